//! connections of the mesh over loopback sockets.
#![allow(clippy::unwrap_used, reason = "a test fails where it unwraps")]

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use flamingo_edge::Spawner;
use flamingo_edge::timeout;
use flamingostand::ids::Incarnation;
use flamingostand::mesh::Mesh;
use flamingostand::mesh::MeshHandler;
use flamingostand::mesh::MeshKey;
use flamingostand::mesh::MeshLimits;
use flamingostand::mesh::MeshSettings;
use flamingostand::mesh::PeerIdentity;
use flamingostand::schema::MeshMessage;
use flamingostand::schema::ReleasePull;
use flamingostand::timeline::Timeline;
use futures_lite::future::block_on;

/// how long a test waits for something that must happen.
const WAIT: Duration = Duration::from_secs(20);
const KEY: &str = "0101010101010101010101010101010101010101010101010101010101010101";
#[expect(dead_code)]
const OTHER_KEY: &str = "0202020202020202020202020202020202020202020202020202020202020202";

enum Event {
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

struct Instance {
    mesh: Arc<Mesh>,
    events: Receiver<Event>,
    incarnation: Incarnation,
}

impl Instance {
    fn start(name: &str, limits: MeshLimits) -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap(), name, "test", KEY, limits)
    }

    fn start_at(listen: SocketAddr, name: &str, cluster: &str, key: &str, limits: MeshLimits) -> Self {
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

    fn address(&self) -> SocketAddr {
        self.mesh.local_address()
    }

    fn message(&self) -> (PeerIdentity, MeshMessage) {
        loop {
            if let Event::Message(from, message) = self.event() {
                return (from, *message);
            }
        }
    }

    fn closed(&self) -> PeerIdentity {
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

fn pull(version: u64) -> MeshMessage {
    MeshMessage::ReleasePull(ReleasePull { after_version: version, id: 0, part: 0, snapshot_version: 0 })
}

fn version(message: &MeshMessage) -> u64 {
    match message {
        MeshMessage::ReleasePull(pull) => pull.after_version,
        _ => panic!("unexpected message"),
    }
}

#[test]
fn echoes_in_order() {
    let a = Instance::start("a", MeshLimits::default());
    let b = Instance::start("b", MeshLimits::default());
    for number in 0..200 {
        a.mesh.send(b.address(), Some(&b.incarnation), pull(number)).unwrap();
    }
    for number in 0..200 {
        let (from, message) = b.message();
        assert_eq!(version(&message), number);
        assert_eq!((from.name.as_str(), &from.incarnation, from.mesh), ("a", &a.incarnation, a.address()));
        b.mesh.reply(&from, pull(1000 + number)).unwrap();
    }
    for number in 0..200 {
        let (from, message) = a.message();
        assert_eq!(version(&message), 1000 + number);
        assert_eq!((from.name.as_str(), from.mesh), ("b", b.address()));
    }
    assert_eq!(a.mesh.connection_count(), 1);
}

#[test]
fn closes_gracefully() {
    let a = Instance::start("a", MeshLimits::default());
    let b = Instance::start("b", MeshLimits::default());
    let connection = a.mesh.send(b.address(), None, pull(1)).unwrap();
    block_on(a.mesh.close());
    assert_eq!(version(&b.message().1), 1);
    assert_eq!(b.closed().incarnation, a.incarnation);
    assert_eq!(a.closed().connection, connection);
}
