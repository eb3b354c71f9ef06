use std::io;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use socket2::SockRef;
use socket2::TcpKeepalive;

/// silence after which the system asks the peer for a sign of life; the shortest that it takes.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// time between two such questions; the shortest that the system takes.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// questions without an answer after which the connection is given up.
const MAX_PROBES: u32 = 2;
/// time without an acknowledgement after which the connection is given up: more than a lost packet or two, and less
/// than the time in which a healed connection has to work again.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// has the system notice a connection that has gone silent without a reset, at no cost to the peer's program.
pub fn keep_alive(stream: &Async<TcpStream>) -> io::Result<()> {
    let socket = SockRef::from(stream.get_ref());
    let probes =
        TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_EVERY).with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
