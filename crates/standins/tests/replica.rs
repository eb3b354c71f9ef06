//! the stand-in for a replica behind front doors.

use std::net::TcpStream;
use std::time::Duration;

use flamingo_edge::Spawner;
use flamingo_standins::replica::ReplicaOptions;
use flamingo_standins::replica::ReplicaStandin;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// time in which a socket is closed.
const CLOSE_TIME: Duration = Duration::from_millis(500);

/// Guards against a replica that cannot start again because a socket of another process has taken its port.
#[test]
fn port_stays_reserved_while_the_replica_is_down() {
    let spawner = Spawner::start(1);
    let options = ReplicaOptions {
        id: "replica".to_owned(),
        service: "service".to_owned(),
        zone: "zone".to_owned(),
        events: 0,
        step_ms: 0,
        version: "v1".to_owned(),
    };
    let replica = ReplicaStandin::start(&spawner, options).expect("the replica starts");
    replica.die();
    assert!(TcpStream::connect(replica.address()).is_err(), "nobody listens");
    // The listening socket is closed by a task.
    std::thread::sleep(CLOSE_TIME);
    let other = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    assert!(other.bind(&replica.address().into()).is_err(), "the port is taken by nobody else");
}
