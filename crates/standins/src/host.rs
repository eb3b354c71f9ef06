//! the listening side that all stand-ins share.

use std::future::Future;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Mutex;

use anyhow::Context;
use anyhow::Result;
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
    accepting: Mutex<Option<async_executor::Task<()>>>,
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
        let task = spawner.spawn(serve(listener, spawner.clone(), LIMITS, handler));
        Ok(Self { address, accepting: Mutex::new(Some(task)) })
    }

    /// the address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// stops listening; later connections are refused by the system.
    pub fn close(&self) {
        self.accepting.lock().expect("host lock poisoned").take();
    }
}
