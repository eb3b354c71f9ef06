//! instances of the mesh on loopback sockets, and a peer whose every byte a test decides.
#![allow(clippy::unwrap_used, reason = "a test fails where it unwraps")]
#![allow(dead_code, reason = "each test file uses a part of it")]

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
use flamingostand::mesh::FrameSeal;
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

/// how long a test waits for something that must happen.
const WAIT: Duration = Duration::from_secs(20);
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
        let incarnation = Incarnation::start_now();
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

    pub fn message(&self) -> (PeerIdentity, MeshMessage) {
        loop {
            if let Event::Message(from, message) = self.event() {
                return (from, *message);
            }
        }
    }

    pub fn closed(&self) -> PeerIdentity {
        loop {
            if let Event::Closed(peer) = self.event() {
                return peer;
            }
        }
    }

    fn event(&self) -> Event {
        block_on(timeout(WAIT, self.events.recv())).expect("nothing happened").unwrap()
    }
}

pub fn pull(version: u64) -> MeshMessage {
    MeshMessage::ReleasePull(ReleasePull { after_version: version, id: 0, part: 0, snapshot_version: 0 })
}

pub fn version(message: &MeshMessage) -> u64 {
    match message {
        MeshMessage::ReleasePull(pull) => pull.after_version,
        _ => panic!("unexpected message"),
    }
}

/// a peer that speaks the protocol by hand.
pub struct RawPeer {
    socket: WebSocketStream<Compat<Async<TcpStream>>>,
    pub outgoing: FrameSeal,
}

impl RawPeer {
    /// connects and proves `key`; `None` when it is refused.
    pub fn connect(to: SocketAddr, cluster: &str, key: &str, protocol_version: u32) -> Option<Self> {
        block_on(timeout(WAIT, Self::greet(to, cluster, key, protocol_version))).expect("handshake hangs")
    }

    async fn greet(to: SocketAddr, cluster: &str, key: &str, protocol_version: u32) -> Option<Self> {
        let stream = Async::<TcpStream>::connect(to).await.unwrap();
        let upgrade = tokio_tungstenite::client_async("ws://test/mesh", stream.compat()).await;
        let (mut socket, _) = upgrade.ok()?;
        let hello = MeshHello {
            protocol_version,
            cluster: cluster.to_owned(),
            incarnation: "raw".into(),
            name: "raw".into(),
            nonce: "0".repeat(32),
            mesh: "127.0.0.1:9".into(),
        };
        socket.send(Message::binary(encode(&hello))).await.ok()?;
        let theirs: MeshHello = receive(&mut socket).await?;
        let key = MeshKey::from_str(key).unwrap();
        let proof = key.proof(Side::Client, &hello, &theirs).to_hex().to_string();
        socket.send(Message::binary(encode(&MeshProof { proof }))).await.ok()?;
        let answer: MeshProof = receive(&mut socket).await?;
        assert_eq!(answer.proof, key.proof(Side::Server, &hello, &theirs).to_hex().as_str());
        Some(Self { socket, outgoing: key.seal(Side::Client, &hello, &theirs) })
    }

    /// sends a value as the next frame.
    pub fn send(&mut self, frame: &impl Serialize) {
        let mut bytes = encode(frame);
        self.outgoing.seal(&mut bytes);
        self.send_bytes(bytes);
    }

    /// sends bytes as they are.
    pub fn send_bytes(&mut self, bytes: Vec<u8>) {
        block_on(timeout(WAIT, self.socket.send(Message::binary(bytes)))).expect("send hangs").unwrap();
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
