//! measures what connections of the mesh cost: memory of an idle one, and processor time of a message.
//!
//! Run with `cargo run --release --example mesh_slopes -- 100 300 1000`; both ends are in this process.

use std::fs;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flamingo_edge::Spawner;
use flamingostand::ids::Incarnation;
use flamingostand::membership::decode_datagram;
use flamingostand::membership::encode_datagram;
use flamingostand::mesh::Mesh;
use flamingostand::mesh::MeshHandler;
use flamingostand::mesh::MeshKey;
use flamingostand::mesh::MeshLimits;
use flamingostand::mesh::MeshSettings;
use flamingostand::mesh::PeerIdentity;
use flamingostand::schema::Datagram;
use flamingostand::schema::DatagramBody;
use flamingostand::schema::DatagramSender;
use flamingostand::schema::MeshMessage;
use flamingostand::schema::Probe;
use flamingostand::schema::SlotMoved;
use flamingostand::timeline::Timeline;

const MESSAGES: u64 = 100_000;
const MESSAGE_BYTES: usize = 300;
const DATAGRAMS: u64 = 100_000;
const KEY: &str = "0101010101010101010101010101010101010101010101010101010101010101";

#[derive(Default)]
struct Counter {
    received: AtomicU64,
}

impl MeshHandler for Counter {
    fn on_message(&self, _from: &PeerIdentity, _message: MeshMessage) {
        self.received.fetch_add(1, Ordering::Relaxed);
    }

    fn on_closed(&self, _peer: &PeerIdentity) {}
}

fn main() {
    measure_datagrams();
    let counts: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let most = counts.iter().copied().max().unwrap_or(1);
    let spawner = Spawner::start(4);
    let counter = Arc::new(Counter::default());
    let hub = start(&spawner, "hub", Arc::new(Counter::default()));
    let peers: Vec<Arc<Mesh>> =
        (0..most).map(|index| start(&spawner, &format!("peer-{index}"), Arc::clone(&counter))).collect();
    let base_kb = resident_kb();
    let mut reached = 0;
    for count in counts {
        for peer in &peers[reached..count] {
            send(&hub, peer.local_address(), 1);
        }
        await_received(&counter, count as u64);
        reached = count;
        let kb = resident_kb() - base_kb;
        println!("{count:5} connections: {:.1} kB each end", kb as f64 / count as f64 / 2.0);
    }
    let before = (Instant::now(), processor_ms());
    let start_count = counter.received.load(Ordering::Relaxed);
    for number in 0..MESSAGES {
        send(&hub, peers[number as usize % peers.len()].local_address(), MESSAGE_BYTES);
        // Few messages wait at a time, as in service.
        if number % 64 == 0 {
            await_received(&counter, start_count + number);
        }
    }
    await_received(&counter, start_count + MESSAGES);
    let cpu_us = (processor_ms() - before.1) as f64 * 1000.0 / MESSAGES as f64;
    println!("{:.1} us of processor a message, both ends; {:?} in all", cpu_us, before.0.elapsed());
}

fn measure_datagrams() {
    let datagram = Datagram {
        cluster: "test".into(),
        sender: DatagramSender {
            name: "entry-0001".into(),
            incarnation: Incarnation::generate().as_str().into(),
            refutation: 0,
            release_version: 70_000,
        },
        body: DatagramBody::Probe(Probe { sequence: 1 << 31 }),
        view_digest: u64::MAX,
        records: Vec::new(),
    };
    let key = MeshKey::from_str(KEY).expect("a key");
    let before = Instant::now();
    for _ in 0..DATAGRAMS {
        let bytes = encode_datagram(&datagram);
        let sent: [u8; 16] = key.datagram_tag("test", &bytes);
        let received: [u8; 16] = key.datagram_tag("test", &bytes);
        assert_eq!(sent, received);
        assert!(decode_datagram("test", &bytes).is_ok());
    }
    let us = before.elapsed().as_micros() as f64 / DATAGRAMS as f64;
    println!("{us:.1} us to encode, tag, check and decode a datagram");
}

fn start(spawner: &Spawner, name: &str, handler: Arc<Counter>) -> Arc<Mesh> {
    let settings = MeshSettings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        cluster: "test".into(),
        key: MeshKey::from_str(KEY).expect("a key"),
        incarnation: Incarnation::generate(),
        name: name.to_owned(),
        limits: MeshLimits::default(),
    };
    let timeline = Arc::new(Timeline::new(name));
    Mesh::start(spawner.clone(), settings, timeline, handler).expect("a free port")
}

fn send(hub: &Mesh, to: SocketAddr, bytes: usize) {
    let moved = SlotMoved { slot: 1, owner: "x".repeat(bytes), epoch: 1 };
    hub.send(to, None, MeshMessage::SlotMoved(moved)).expect("a peer that reads");
}

fn await_received(counter: &Counter, count: u64) {
    while counter.received.load(Ordering::Relaxed) < count {
        thread::sleep(Duration::from_micros(100));
    }
}

fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

/// user and system time of this process.
fn processor_ms() -> u64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    // Fields 14 and 15 of the line; a tick is ten milliseconds.
    (ticks(11) + ticks(12)) * 10
}
