//! the listening side that all stand-ins share.

use std::future::Future;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::sync::Mutex;

use anyhow::Context;
use anyhow::Result;
use async_executor::Task;
use async_io::Async;
use flamingo_edge::Incoming;
use flamingo_edge::ServerLimits;
use flamingo_edge::Spawner;
use flamingo_edge::serve;
use http_types::Response;

/// limits of a stand-in's listening address.
const LIMITS: ServerLimits = ServerLimits {
    head_timeout_ms: 600_000,
    body_timeout_ms: 30_000,
    max_body_bytes: 32 * 1024 * 1024,
    max_connections: 20_000,
};

/// a listening address that can be closed.
#[derive(Debug)]
pub struct Host {
    address: SocketAddr,
    listening: Mutex<Option<Listening>>,
}

#[derive(Debug)]
struct Listening {
    /// the listening socket; a stream is what the standard library shuts down.
    socket: TcpStream,
    /// accepts connections until it is dropped.
    _accepting: Task<()>,
}

impl Host {
    /// listens on `listen` (port 0 takes a free one) and answers with `handler`.
    pub fn start<H, F>(spawner: &Spawner, listen: SocketAddr, handler: H) -> Result<Self>
    where
        H: Fn(Incoming) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let listener =
            Async::<TcpListener>::bind(listen).with_context(|| format!("listening on {listen}"))?;
        let address = listener.get_ref().local_addr().context("reading the listening address")?;
        let copy = listener.get_ref().try_clone().context("copying the listening socket")?;
        let socket = TcpStream::from(OwnedFd::from(copy));
        let accepting = spawner.spawn(serve(listener, spawner.clone(), LIMITS, handler));
        let listening = Listening { socket, _accepting: accepting };
        Ok(Self { address, listening: Mutex::new(Some(listening)) })
    }

    /// the address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// stops listening; connections are refused by the system from now on.
    pub fn close(&self) {
        if let Some(listening) = self.listening.lock().expect("host lock poisoned").take() {
            // Dropping the task closes the socket only once a worker gets to it.
            let _ = listening.socket.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.close();
    }
}
