//! tests of the mesh with unauthenticated, faulty and slow peers, and peers of other protocol versions.

#![allow(clippy::unwrap_used, reason = "a test fails where it unwraps")]

mod mesh_support;

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;

use flamingostand::mesh::MeshLimits;
use flamingostand::mesh::PROTOCOL_VERSION;
use flamingostand::mesh::SendError;
use flamingostand::schema::MeshFrame;
use flamingostand::schema::MeshMessage;
use flamingostand::schema::SlotMoved;
use mesh_support::Instance;
use mesh_support::KEY;
use mesh_support::OTHER_KEY;
use mesh_support::RawPeer;
use mesh_support::after_version;
use mesh_support::encode;
use mesh_support::release_pull;
use serde_json::json;
use test_case::test_case;

fn frame(message: MeshMessage) -> MeshFrame {
    MeshFrame { at: 1, message }
}

fn raw_peer(to: &Instance) -> RawPeer {
    RawPeer::connect(to.address(), "test", KEY, PROTOCOL_VERSION).unwrap()
}

#[test_case("test", OTHER_KEY, PROTOCOL_VERSION; "wrong key")]
#[test_case("other", KEY, PROTOCOL_VERSION; "other cluster")]
#[test_case("test", KEY, 0; "old version")]
fn client_handshake_refused(cluster: &str, key: &str, protocol_version: u32) {
    let a = Instance::start("a", MeshLimits::default());
    assert!(RawPeer::connect(a.address(), cluster, key, protocol_version).is_none());
    assert_eq!(a.mesh.connection_count(), 0);
}

#[test_case(OTHER_KEY, "test"; "wrong key")]
#[test_case(KEY, "other"; "other cluster")]
fn server_handshake_refused(key: &str, cluster: &str) {
    let a = Instance::start("a", MeshLimits::default());
    let server = Instance::start_at("127.0.0.1:0".parse().unwrap(), "b", cluster, key, MeshLimits::default());
    let connection = a.mesh.send(server.address(), None, release_pull(1)).unwrap();
    assert_eq!(a.next_closed().connection, connection);
    assert_eq!(server.mesh.connection_count(), 0);
}

#[test]
fn invalid_handshake_refused() {
    let limits = MeshLimits { handshake_timeout_ms: 200, ..MeshLimits::default() };
    let a = Instance::start("a", limits);
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 100], b""] {
        let mut stream = TcpStream::connect(a.address()).unwrap();
        stream.write_all(bytes).unwrap();
        let mut response = Vec::new();
        // End of stream or a reset: either way the connection is closed.
        let _ = stream.read_to_end(&mut response);
    }
    assert_eq!(a.mesh.connection_count(), 0);
    let mut peer = raw_peer(&a);
    peer.send(&frame(release_pull(1)));
    assert_eq!(after_version(&a.next_message().1), 1);
}

#[test]
fn silent_server_times_out() {
    let limits = MeshLimits { handshake_timeout_ms: 200, ..MeshLimits::default() };
    let a = Instance::start("a", limits);
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let connection = a.mesh.send(silent.local_addr().unwrap(), None, release_pull(1)).unwrap();
    assert_eq!(a.next_closed().connection, connection);
}

#[test]
fn newer_version_accepted() {
    let a = Instance::start("a", MeshLimits::default());
    let mut peer = RawPeer::connect(a.address(), "test", KEY, PROTOCOL_VERSION + 1).unwrap();
    peer.send(&json!({ "at": 1, "message": { "added_later": { "id": 7 } } }));
    let extended_pull = json!({ "after_version": 5, "id": 0, "added_later": true });
    peer.send(&json!({ "at": 2, "message": { "release_pull": extended_pull }, "added_later": [1] }));
    let (from, message) = a.next_message();
    assert_eq!(after_version(&message), 5);
    assert_eq!(from.protocol_version, PROTOCOL_VERSION);
}

#[test]
fn malformed_frame_refused() {
    let a = Instance::start("a", MeshLimits::default());
    let mut peer = raw_peer(&a);
    peer.send(&json!([1, 2, 3]));
    assert_eq!(a.next_closed().name, "raw");
}

#[test]
fn replayed_frame_refused() {
    let a = Instance::start("a", MeshLimits::default());
    let mut peer = raw_peer(&a);
    let mut tagged = encode(&frame(release_pull(1)));
    peer.outgoing.append_tag(&mut tagged);
    peer.send_bytes(tagged.clone());
    assert_eq!(after_version(&a.next_message().1), 1);
    peer.send_bytes(tagged);
    assert_eq!(a.next_closed().name, "raw");
}

#[test]
fn oversized_frame_refused() {
    let limits = MeshLimits { max_frame_bytes: 10_000, ..MeshLimits::default() };
    let a = Instance::start("a", limits);
    let b = Instance::start("b", MeshLimits::default());
    let large =
        |bytes: usize| MeshMessage::SlotMoved(SlotMoved { slot: 1, owner: "x".repeat(bytes), epoch: 1 });
    assert_eq!(a.mesh.send(b.address(), None, large(20_000)), Err(SendError::TooLarge));
    let connection = b.mesh.send(a.address(), None, large(20_000)).unwrap();
    assert_eq!(b.next_closed().connection, connection);
    b.mesh.send(a.address(), None, release_pull(1)).unwrap();
    assert_eq!(after_version(&a.next_message().1), 1);
}

#[test]
fn slow_reader_disconnected() {
    let limits = MeshLimits { max_queued_bytes: 1 << 20, ..MeshLimits::default() };
    let a = Instance::start("a", limits);
    let b = Instance::start("b", MeshLimits::default());
    let mut slow = raw_peer(&a);
    slow.send(&frame(release_pull(1)));
    let (slow_identity, _) = a.next_message();
    let large = MeshMessage::SlotMoved(SlotMoved { slot: 1, owner: "x".repeat(100_000), epoch: 1 });
    let mut send_error = None;
    for number in 0..2_000 {
        if let Err(error) = a.mesh.reply(&slow_identity, large.clone()) {
            send_error = Some(error);
            break;
        }
        // Other peers are still served.
        a.mesh.send(b.address(), None, release_pull(number)).unwrap();
        assert_eq!(after_version(&b.next_message().1), number);
    }
    assert_eq!(send_error, Some(SendError::Overloaded));
    assert_eq!(a.next_closed().connection, slow_identity.connection);
    a.mesh.send(b.address(), None, release_pull(9_999)).unwrap();
    assert_eq!(after_version(&b.next_message().1), 9_999);
}
