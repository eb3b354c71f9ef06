//! tests of mesh connections between instances on loopback sockets.

#![allow(clippy::unwrap_used, reason = "a test fails where it unwraps")]

mod mesh_support;

use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use flamingostand::ids::Incarnation;
use flamingostand::mesh::MeshLimits;
use flamingostand::mesh::SendError;
use futures_lite::future::block_on;
use mesh_support::Instance;
use mesh_support::KEY;
use mesh_support::after_version;
use mesh_support::release_pull;

#[test]
fn echoes_in_order() {
    let a = Instance::start("a", MeshLimits::default());
    let b = Instance::start("b", MeshLimits::default());
    for number in 0..200 {
        a.mesh.send(b.address(), Some(&b.incarnation), release_pull(number)).unwrap();
    }
    for number in 0..200 {
        let (from, message) = b.next_message();
        assert_eq!(after_version(&message), number);
        assert_eq!((from.name.as_str(), &from.incarnation, from.address), ("a", &a.incarnation, a.address()));
        b.mesh.reply(&from, release_pull(1000 + number)).unwrap();
    }
    for number in 0..200 {
        let (from, message) = a.next_message();
        assert_eq!(after_version(&message), 1000 + number);
        assert_eq!((from.name.as_str(), from.address), ("b", b.address()));
    }
    // Messages in the other direction use the same connection.
    b.mesh.send(a.address(), Some(&a.incarnation), release_pull(2_000)).unwrap();
    assert_eq!(after_version(&a.next_message().1), 2_000);
    assert_eq!((a.mesh.connection_count(), b.mesh.connection_count()), (1, 1));
}

#[test]
fn closes_gracefully() {
    let a = Instance::start("a", MeshLimits::default());
    let b = Instance::start("b", MeshLimits::default());
    let connection = a.mesh.send(b.address(), None, release_pull(1)).unwrap();
    block_on(a.mesh.close());
    assert_eq!(after_version(&b.next_message().1), 1);
    assert_eq!(b.next_closed().incarnation, a.incarnation);
    assert_eq!(a.next_closed().connection, connection);
}

#[test]
fn other_incarnation_refused() {
    let a = Instance::start("a", MeshLimits::default());
    let b = Instance::start("b", MeshLimits::default());
    let earlier = Incarnation::from("0");
    let connection = a.mesh.send(b.address(), Some(&earlier), release_pull(1)).unwrap();
    let closed = a.next_closed();
    assert_eq!((closed.connection, closed.incarnation), (connection, earlier.clone()));
    a.mesh.send(b.address(), Some(&b.incarnation), release_pull(2)).unwrap();
    assert_eq!(after_version(&b.next_message().1), 2);
    assert_eq!(a.mesh.send(b.address(), Some(&earlier), release_pull(3)), Err(SendError::OtherIncarnation));
}

#[test]
fn reconnects_after_loss() {
    let a = Instance::start("a", MeshLimits::default());
    let b = Instance::start("b", MeshLimits::default());
    let address = b.address();
    let first = a.mesh.send(address, None, release_pull(1)).unwrap();
    assert_eq!(after_version(&b.next_message().1), 1);
    block_on(b.mesh.close());
    assert_eq!(a.next_closed().connection, first);
    drop(b);
    let b = Instance::start_at(address, "b", "test", KEY, MeshLimits::default());
    let second = a.mesh.send(address, Some(&b.incarnation), release_pull(2)).unwrap();
    assert_ne!(first, second);
    assert_eq!(after_version(&b.next_message().1), 2);
}

#[test]
fn newer_incarnation_dialed() {
    let a = Instance::start("a", MeshLimits::default());
    let b = Instance::start("b", MeshLimits::default());
    // The link is still bound to the older incarnation when a message for the newer one is sent.
    let older = Incarnation::from("0");
    let first = a.mesh.send(b.address(), Some(&older), release_pull(1)).unwrap();
    let second = a.mesh.send(b.address(), Some(&b.incarnation), release_pull(2)).unwrap();
    assert_ne!(first, second);
    assert_eq!(after_version(&b.next_message().1), 2);
    assert_eq!(a.next_closed().connection, first);
}

#[test]
fn backs_off_when_unreachable() {
    let a = Instance::start("a", MeshLimits::default());
    let unused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let connection = a.mesh.send(unused, None, release_pull(1)).unwrap();
    assert_eq!(a.next_closed().connection, connection);
    assert!(matches!(a.mesh.send(unused, None, release_pull(2)), Err(SendError::Unreachable { .. })));
    let b = Instance::start_at(unused, "b", "test", KEY, MeshLimits::default());
    let mut number = 2;
    while a.mesh.send(unused, None, release_pull(number)).is_err() {
        number += 1;
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(after_version(&b.next_message().1), number);
}

#[test]
fn idle_connection_closed() {
    let limits = MeshLimits { ping_ms: 50, idle_ms: 100, ..MeshLimits::default() };
    let a = Instance::start("a", limits);
    let b = Instance::start("b", limits);
    a.mesh.send(b.address(), None, release_pull(1)).unwrap();
    assert_eq!(after_version(&b.next_message().1), 1);
    assert_eq!(b.next_closed().incarnation, a.incarnation);
    assert_eq!(a.next_closed().incarnation, b.incarnation);
    a.mesh.send(b.address(), None, release_pull(2)).unwrap();
    assert_eq!(after_version(&b.next_message().1), 2);
}

#[test]
fn disconnect_closes_both_ends() {
    let a = Instance::start("a", MeshLimits::default());
    let b = Instance::start("b", MeshLimits::default());
    a.mesh.send(b.address(), None, release_pull(1)).unwrap();
    assert_eq!(after_version(&b.next_message().1), 1);
    a.mesh.disconnect(&b.incarnation);
    assert_eq!(a.next_closed().incarnation, b.incarnation);
    assert_eq!(b.next_closed().incarnation, a.incarnation);
}
