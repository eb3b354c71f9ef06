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
use crate::mesh::FrameSeal;
use crate::mesh::MeshHandler;
use crate::mesh::MeshLimits;
use crate::mesh::PeerIdentity;
use crate::mesh::frame;
use crate::mesh::frame::Read;
use crate::mesh::handshake::Session;
use crate::mesh::handshake::Socket;
use crate::mesh::link::Link;
use crate::mesh::out_queue::Next;
use crate::timeline::Timeline;

/// what the two directions of one connection share.
pub(super) struct Connection {
    pub link: Arc<Link>,
    pub limits: MeshLimits,
    /// whether this end connected; it closes the connection when it is idle.
    pub is_client: bool,
    pub timeline: Arc<Timeline>,
    pub handler: Arc<dyn MeshHandler>,
}

impl Connection {
    /// carries messages both ways until the connection ends.
    pub async fn run(&self, session: Session) {
        let Session { socket, peer, outgoing, incoming } = session;
        let (sink, stream) = socket.split();
        let both = async {
            let reads = self.read(stream, &peer, incoming);
            future::zip(reads, self.write(sink, outgoing)).await;
        };
        future::or(both, self.link.aborted()).await;
    }

    async fn read(&self, mut stream: SplitStream<Socket>, peer: &PeerIdentity, mut seal: FrameSeal) {
        let ping = Duration::from_millis(self.limits.ping_ms);
        let mut silent_periods = 0;
        loop {
            let Some(next) = timeout(ping, stream.next()).await else {
                silent_periods += 1;
                if silent_periods > 1 {
                    self.link.abort();
                    return;
                }
                self.link.queue.ping();
                self.close_idle();
                continue;
            };
            silent_periods = 0;
            match next {
                Some(Ok(Message::Binary(bytes))) => {
                    self.link.touch();
                    if !self.deliver(peer, &mut seal, &bytes) {
                        self.link.abort();
                        return;
                    }
                }
                Some(Ok(Message::Ping(_) | Message::Pong(_))) => self.close_idle(),
                Some(Ok(Message::Close(_))) => {}
                Some(Ok(_)) | Some(Err(_)) | None => {
                    // Whatever waits can no longer be delivered.
                    self.link.abort();
                    return;
                }
            }
        }
    }

    /// closes a connection that no message has passed for long.
    fn close_idle(&self) {
        if self.is_client && self.link.idle_ms() >= self.limits.idle_ms {
            self.link.queue.close();
        }
    }

    fn deliver(&self, peer: &PeerIdentity, seal: &mut FrameSeal, sealed: &[u8]) -> bool {
        metrics::counter!("mesh_bytes_total", "direction" => "in").increment(sealed.len() as u64);
        let Some(bytes) = seal.open(sealed) else {
            metrics::counter!("mesh_frames_refused_total").increment(1);
            return false;
        };
        match frame::decode(bytes) {
            Read::Known(frame) => {
                self.timeline.clock.observe(frame.at);
                let kind = frame::kind(&frame.message);
                metrics::counter!("mesh_frames_total", "kind" => kind, "direction" => "in").increment(1);
                self.handler.on_message(peer, frame.message);
                true
            }
            Read::Unknown { at } => {
                self.timeline.clock.observe(at);
                metrics::counter!("mesh_frames_total", "kind" => "unknown", "direction" => "in").increment(1);
                true
            }
            Read::Malformed => {
                metrics::counter!("mesh_frames_refused_total").increment(1);
                false
            }
        }
    }

    async fn write(&self, mut sink: SplitSink<Socket, Message>, mut seal: FrameSeal) {
        let limit = Duration::from_millis(self.limits.write_timeout_ms);
        loop {
            let next = match self.link.queue.poll() {
                Some(next) => next,
                None => {
                    // Frames that were queued together go out in one packet.
                    let Some(Ok(())) = timeout(limit, sink.flush()).await else {
                        self.link.abort();
                        return;
                    };
                    self.link.queue.next().await
                }
            };
            let message = match next {
                Next::Ping => Message::Ping(Vec::new().into()),
                Next::Frame(mut bytes) => {
                    seal.seal(&mut bytes);
                    metrics::counter!("mesh_bytes_total", "direction" => "out").increment(bytes.len() as u64);
                    Message::binary(bytes)
                }
                Next::Close => break,
            };
            let Some(Ok(())) = timeout(limit, sink.feed(message)).await else {
                self.link.abort();
                return;
            };
        }
        // The reader goes on, so that what the peer has sent before its own goodbye still arrives.
        let limit = Duration::from_millis(self.limits.close_timeout_ms);
        let _ = timeout(limit, sink.send(Message::Close(None))).await;
        async_io::Timer::after(limit).await;
        self.link.abort();
    }
}

/// hybrid time of a message that is sent now.
pub(super) fn stamp(timeline: &Timeline) -> u64 {
    timeline.clock.stamp(Now::read(std::time::Instant::now()).unix_ms)
}
