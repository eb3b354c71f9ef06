use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use async_dup::Arc;
use async_io::Async;
use async_io::Timer;
use http_types::headers::HeaderValues;

/// how long to wait before looking again at a connection that holds unread bytes.
const PEEK_PAUSE: Duration = Duration::from_millis(100);

/// the socket of one caller, watched for a hang-up while its request runs.
#[derive(Clone, Debug)]
pub struct Connection {
    stream: Arc<Async<TcpStream>>,
    /// address of the caller.
    pub peer: SocketAddr,
}

impl Connection {
    pub(crate) fn new(stream: Arc<Async<TcpStream>>, peer: SocketAddr) -> Self {
        Self { stream, peer }
    }

    /// closes the socket in both directions, so that no reply reaches the caller.
    pub fn abort(&self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Both);
    }

    /// waits until the caller hangs up.
    pub async fn closed(&self) {
        let mut byte = [0_u8; 1];
        loop {
            match self.stream.peek(&mut byte).await {
                Ok(0) => return,
                Ok(_) => {
                    // A pipelined request waits there; it says nothing about a hang-up.
                    Timer::after(PEEK_PAUSE).await;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return,
            }
        }
    }
}

/// tells whether a `Connection` header ends the connection after this message.
pub(crate) fn asks_to_close(header: Option<&HeaderValues>) -> bool {
    let Some(values) = header else {
        return false;
    };
    let mut options = values.iter().flat_map(|value| value.as_str().split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}
