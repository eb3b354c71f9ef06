//! tests of mesh datagrams between loopback sockets.

#![allow(clippy::unwrap_used, reason = "a test fails where it unwraps")]

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::str::FromStr;
use std::time::Duration;

use flamingo_edge::timeout;
use flamingostand::mesh::DatagramSocket;
use flamingostand::mesh::MeshKey;
use flamingostand::schema::Datagram;
use flamingostand::schema::DatagramBody;
use flamingostand::schema::DatagramSender;
use flamingostand::schema::MemberHealth;
use flamingostand::schema::MemberRecord;
use flamingostand::schema::Probe;
use futures_lite::future::block_on;
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(20);

fn bind(cluster: &str, digit: &str) -> DatagramSocket {
    let key = MeshKey::from_str(&digit.repeat(64)).unwrap();
    DatagramSocket::bind("127.0.0.1:0".parse().unwrap(), cluster, key).unwrap()
}

fn datagram(cluster: &str, sequence: u64, record_count: usize) -> Datagram {
    let record = MemberRecord {
        name: "entry-1".into(),
        incarnation: "1".into(),
        refutation: 3,
        health: MemberHealth::Suspect,
        leaving: true,
        region: "ljubljana".into(),
        zone: "ljubljana-a".into(),
        mesh: "10.0.0.1:7000".into(),
        callers: "10.0.0.1:8000".into(),
        release_version: 9,
    };
    Datagram {
        cluster: cluster.into(),
        sender: DatagramSender {
            name: "entry-2".into(),
            incarnation: "2".into(),
            refutation: 1,
            release_version: 8,
        },
        body: DatagramBody::Probe(Probe { sequence }),
        view_digest: u64::MAX,
        records: vec![record; record_count],
    }
}

fn receive(socket: &DatagramSocket) -> (SocketAddr, Box<Datagram>) {
    block_on(timeout(TIMEOUT, socket.receive())).expect("no datagram arrived in time").unwrap()
}

#[test]
fn carries_all_fields() {
    let (a, b) = (bind("test", "1"), bind("test", "1"));
    let sent = datagram("test", 1, 3);
    a.send(b.local_address().unwrap(), &sent);
    let (from, received) = receive(&b);
    assert_eq!(from, a.local_address().unwrap());
    assert_eq!(*received, sent);
}

#[test_case("other", "1"; "other cluster")]
#[test_case("test", "2"; "wrong key")]
fn unauthenticated_datagram_dropped(cluster: &str, digit: &str) {
    let (untrusted, member, receiver) = (bind(cluster, digit), bind("test", "1"), bind("test", "1"));
    let to = receiver.local_address().unwrap();
    untrusted.send(to, &datagram(cluster, 1, 1));
    member.send(to, &datagram("test", 2, 1));
    // Loopback keeps the order, so the untrusted datagram would have arrived first.
    assert_eq!(receive(&receiver).1.body, DatagramBody::Probe(Probe { sequence: 2 }));
}

#[test]
fn malformed_datagram_dropped() {
    let (member, receiver) = (bind("test", "1"), bind("test", "1"));
    let to = receiver.local_address().unwrap();
    let untrusted = UdpSocket::bind("127.0.0.1:0").unwrap();
    for length in [0, 1, 15, 16, 17, 1_200, 9_000] {
        untrusted.send_to(&vec![7; length], to).unwrap();
    }
    member.send(to, &datagram("test", 3, 0));
    assert_eq!(receive(&receiver).1.body, DatagramBody::Probe(Probe { sequence: 3 }));
}
