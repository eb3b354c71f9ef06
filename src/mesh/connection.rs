use std::sync::Arc;
use std::time::Duration;

use flamingo_edge::timeout;
use futures_lite::future;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use tokio_tungstenite::tungstenite::Message;

use crate::clock::Now;
use crate::mesh::FrameMac;
use crate::mesh::MeshHandler;
use crate::mesh::MeshLimits;
use crate::mesh::PeerIdentity;
use crate::mesh::frame;
use crate::mesh::frame::DecodedFrame;
use crate::mesh::handshake::Session;
use crate::mesh::handshake::Socket;
use crate::mesh::link::Link;
use crate::mesh::out_queue::WriteAction;
use crate::timeline::Timeline;

/// context that the reader and the writer of one connection share.
pub(super) struct Connection {
    pub link: Arc<Link>,
    pub limits: MeshLimits,
    /// whether this end dialed; the dialing end closes an idle connection.
    pub is_client: bool,
    pub timeline: Arc<Timeline>,
    pub handler: Arc<dyn MeshHandler>,
}

impl Connection {
    /// reads and writes frames until the connection closes or is aborted.
    pub async fn run(&self, session: Session) {
        let Session { socket, peer, outgoing, incoming } = session;
        let (sink, stream) = socket.split();
        let both = async {
            let reads = self.read(stream, &peer, incoming);
            future::zip(reads, self.write(sink, outgoing)).await;
        };
        future::or(both, self.link.aborted()).await;
    }

    async fn read(&self, mut stream: SplitStream<Socket>, peer: &PeerIdentity, mut mac: FrameMac) {
        let ping_interval = Duration::from_millis(self.limits.ping_ms);
        let mut silent_intervals = 0;
        loop {
            let Some(next) = timeout(ping_interval, stream.next()).await else {
                silent_intervals += 1;
                if silent_intervals > 1 {
                    self.link.abort();
                    return;
                }
                self.link.queue.ping();
                self.close_idle();
                continue;
            };
            silent_intervals = 0;
            match next {
                Some(Ok(Message::Binary(bytes))) => {
                    self.link.record_activity();
                    if !self.deliver(peer, &mut mac, &bytes) {
                        self.link.abort();
                        return;
                    }
                }
                Some(Ok(Message::Ping(_) | Message::Pong(_))) => self.close_idle(),
                Some(Ok(Message::Close(_))) => {}
                Some(Ok(_)) | Some(Err(_)) | None => {
                    // Queued frames can no longer be delivered.
                    self.link.abort();
                    return;
                }
            }
        }
    }

    /// closes the connection if this end dialed it and no message has passed within the idle timeout.
    fn close_idle(&self) {
        if self.is_client && self.link.idle_ms() >= self.limits.idle_ms {
            self.link.queue.close();
        }
    }

    /// authenticates and dispatches a frame; `false` when the connection has to be aborted.
    fn deliver(&self, peer: &PeerIdentity, mac: &mut FrameMac, tagged: &[u8]) -> bool {
        metrics::counter!("mesh_bytes_total", "direction" => "in").increment(tagged.len() as u64);
        let Some(bytes) = mac.verify(tagged) else {
            metrics::counter!("mesh_frames_refused_total").increment(1);
            return false;
        };
        match frame::decode(bytes) {
            DecodedFrame::Known(frame) => {
                self.timeline.clock.observe(frame.at);
                let kind = frame::kind(&frame.message);
                metrics::counter!("mesh_frames_total", "kind" => kind, "direction" => "in").increment(1);
                self.handler.on_message(peer, frame.message);
                true
            }
            DecodedFrame::Unknown { at } => {
                self.timeline.clock.observe(at);
                metrics::counter!("mesh_frames_total", "kind" => "unknown", "direction" => "in").increment(1);
                true
            }
            DecodedFrame::Malformed => {
                metrics::counter!("mesh_frames_refused_total").increment(1);
                false
            }
        }
    }

    async fn write(&self, mut sink: SplitSink<Socket, Message>, mut mac: FrameMac) {
        let write_timeout = Duration::from_millis(self.limits.write_timeout_ms);
        loop {
            let action = match self.link.queue.try_next() {
                Some(action) => action,
                None => {
                    // Flushed only when the queue is empty, so that frames queued together share a packet.
                    let Some(Ok(())) = timeout(write_timeout, sink.flush()).await else {
                        self.link.abort();
                        return;
                    };
                    self.link.queue.next().await
                }
            };
            let message = match action {
                WriteAction::Ping => Message::Ping(Vec::new().into()),
                WriteAction::Frame(mut bytes) => {
                    mac.append_tag(&mut bytes);
                    metrics::counter!("mesh_bytes_total", "direction" => "out").increment(bytes.len() as u64);
                    Message::binary(bytes)
                }
                WriteAction::Close => break,
            };
            let Some(Ok(())) = timeout(write_timeout, sink.feed(message)).await else {
                self.link.abort();
                return;
            };
        }
        // The reader keeps running meanwhile: frames sent before the peer's own close frame still arrive.
        let close_timeout = Duration::from_millis(self.limits.close_timeout_ms);
        let _ = timeout(close_timeout, sink.send(Message::Close(None))).await;
        async_io::Timer::after(close_timeout).await;
        self.link.abort();
    }
}

/// hybrid timestamp of a message that is sent now.
pub(super) fn timestamp(timeline: &Timeline) -> u64 {
    timeline.clock.stamp(Now::read(std::time::Instant::now()).unix_ms)
}
