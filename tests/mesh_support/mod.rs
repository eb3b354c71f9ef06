//! mesh instances on loopback sockets, and a raw peer that can send arbitrary frames.
#![allow(clippy::unwrap_used, reason = "a test fails where it unwraps")]
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;
use std::net::TcpStream;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Async;
use flamingo_edge::Spawner;
use flamingo_edge::timeout;
use flamingostand::ids::Incarnation;
use flamingostand::mesh::FrameMac;
use flamingostand::mesh::Mesh;
use flamingostand::mesh::MeshHandler;
use flamingostand::mesh::MeshKey;
use flamingostand::mesh::MeshLimits;
use flamingostand::mesh::MeshSettings;
use flamingostand::mesh::PeerIdentity;
use flamingostand::mesh::Side;
use flamingostand::schema::MeshHello;
use flamingostand::schema::MeshMessage;
use flamingostand::schema::MeshProof;
use flamingostand::schema::ReleasePull;
use flamingostand::timeline::Timeline;
use futures_lite::future::block_on;
use futures_util::SinkExt;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_util::compat::Compat;
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// timeout for events and steps that a test expects.
const TIMEOUT: Duration = Duration::from_secs(20);
pub const KEY: &str = "0101010101010101010101010101010101010101010101010101010101010101";
pub const OTHER_KEY: &str = "0202020202020202020202020202020202020202020202020202020202020202";

pub enum Event {
    Message(PeerIdentity, Box<MeshMessage>),
    Closed(PeerIdentity),
}

struct Recorder(Sender<Event>);

impl MeshHandler for Recorder {
    fn on_message(&self, from: &PeerIdentity, message: MeshMessage) {
        let _ = self.0.try_send(Event::Message(from.clone(), Box::new(message)));
    }

    fn on_closed(&self, peer: &PeerIdentity) {
        let _ = self.0.try_send(Event::Closed(peer.clone()));
    }
}

pub struct Instance {
    pub mesh: Arc<Mesh>,
    events: Receiver<Event>,
    pub incarnation: Incarnation,
}

impl Instance {
    pub fn start(name: &str, limits: MeshLimits) -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap(), name, "test", KEY, limits)
    }

    pub fn start_at(listen: SocketAddr, name: &str, cluster: &str, key: &str, limits: MeshLimits) -> Self {
        let (sender, events) = async_channel::unbounded();
        let incarnation = Incarnation::generate();
        let settings = MeshSettings {
            listen,
            cluster: cluster.to_owned(),
            key: MeshKey::from_str(key).unwrap(),
            incarnation: incarnation.clone(),
            name: name.to_owned(),
            limits,
        };
        let timeline = Arc::new(Timeline::new(name));
        let spawner = Spawner::start(1);
        let mesh = Mesh::start(spawner, settings, timeline, Arc::new(Recorder(sender))).unwrap();
        Self { mesh, events, incarnation }
    }

    pub fn address(&self) -> SocketAddr {
        self.mesh.local_address()
    }

    pub fn next_message(&self) -> (PeerIdentity, MeshMessage) {
        loop {
            if let Event::Message(from, message) = self.next_event() {
                return (from, *message);
            }
        }
    }

    pub fn next_closed(&self) -> PeerIdentity {
        loop {
            if let Event::Closed(peer) = self.next_event() {
                return peer;
            }
        }
    }

    fn next_event(&self) -> Event {
        block_on(timeout(TIMEOUT, self.events.recv())).expect("no mesh event arrived in time").unwrap()
    }
}

pub fn release_pull(version: u64) -> MeshMessage {
    MeshMessage::ReleasePull(ReleasePull { after_version: version, id: 0, part: 0, snapshot_version: 0 })
}

pub fn after_version(message: &MeshMessage) -> u64 {
    match message {
        MeshMessage::ReleasePull(pull) => pull.after_version,
        _ => panic!("unexpected message"),
    }
}

/// a peer that implements the handshake itself and sends frames without checks.
pub struct RawPeer {
    socket: WebSocketStream<Compat<Async<TcpStream>>>,
    pub outgoing: FrameMac,
}

impl RawPeer {
    /// connects and authenticates with `key`; `None` if the instance refuses it.
    pub fn connect(to: SocketAddr, cluster: &str, key: &str, protocol_version: u32) -> Option<Self> {
        block_on(timeout(TIMEOUT, Self::handshake(to, cluster, key, protocol_version)))
            .expect("handshake timed out")
    }

    async fn handshake(to: SocketAddr, cluster: &str, key: &str, protocol_version: u32) -> Option<Self> {
        let stream = Async::<TcpStream>::connect(to).await.unwrap();
        let upgrade = tokio_tungstenite::client_async("ws://test/mesh", stream.compat()).await;
        let (mut socket, _) = upgrade.ok()?;
        let own_hello = MeshHello {
            protocol_version,
            cluster: cluster.to_owned(),
            incarnation: "raw".into(),
            name: "raw".into(),
            nonce: "0".repeat(32),
            mesh: "127.0.0.1:9".into(),
        };
        socket.send(Message::binary(encode(&own_hello))).await.ok()?;
        let peer_hello: MeshHello = receive(&mut socket).await?;
        let key = MeshKey::from_str(key).unwrap();
        let proof = key.proof(Side::Client, &own_hello, &peer_hello).to_hex().to_string();
        socket.send(Message::binary(encode(&MeshProof { proof }))).await.ok()?;
        let server_proof: MeshProof = receive(&mut socket).await?;
        assert_eq!(server_proof.proof, key.proof(Side::Server, &own_hello, &peer_hello).to_hex().as_str());
        Some(Self { socket, outgoing: key.frame_mac(Side::Client, &own_hello, &peer_hello) })
    }

    /// sends a value as the next frame, with a valid tag.
    pub fn send(&mut self, frame: &impl Serialize) {
        let mut bytes = encode(frame);
        self.outgoing.append_tag(&mut bytes);
        self.send_bytes(bytes);
    }

    /// sends bytes without appending a tag.
    pub fn send_bytes(&mut self, bytes: Vec<u8>) {
        block_on(timeout(TIMEOUT, self.socket.send(Message::binary(bytes))))
            .expect("send timed out")
            .unwrap();
    }
}

pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    bytes
}

async fn receive<T: DeserializeOwned>(socket: &mut WebSocketStream<Compat<Async<TcpStream>>>) -> Option<T> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => ciborium::from_reader(bytes.as_ref()).ok(),
        _ => None,
    }
}
