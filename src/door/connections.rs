use std::collections::HashMap;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_executor::Task;
use async_io::Async;
use bytes::Bytes;
use flamingo_edge::HyperIo;
use flamingo_edge::ReadLimit;
use flamingo_edge::Spawner;
use flamingo_edge::timeout;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;

/// time limit for connecting: many round trips, yet a small part of a caller's deadline.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// idle timeout assumed for a replica that does not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// share of the replica's idle timeout during which a connection is reused: after it, a close may already be
/// on its way.
const REUSE_SHARE: f64 = 0.7;

/// buffer limit for the status line and headers of an answer: far more than any replica sends.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// bytes that may arrive before the response head is complete: the head, interim (1xx) heads and body bytes
/// read ahead.
const MAX_BYTES_BEFORE_ANSWER: u64 = 4 * MAX_HEAD_BYTES as u64;

/// an open connection to a replica; dropping it closes the socket.
pub(super) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    read_limit: ReadLimit,
    /// when it was opened.
    pub opened: Instant,
    /// answers whose heads have arrived.
    answer_count: u32,
    /// start of the process at the other end in Unix milliseconds, once it has told.
    pub process_start: Option<u64>,
    _driver: Task<()>,
}

/// why a connection could not be established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectError {
    /// no process listens at the address.
    Refused,
    /// a timeout, or an error that does not show whether a process listens.
    Inconclusive,
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => Self::Refused,
            _ => Self::Inconclusive,
        }
    }
}

/// how sending a request failed.
pub(super) enum SendError {
    /// no byte of the request was sent.
    NotSent,
    /// the replica may or may not have run the request.
    Indeterminate,
}

/// a pool of idle connections to replicas, by address.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

impl ConnectionPool {
    /// takes an idle connection that is still open out of the pool.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut by_address = self.idle.lock().expect("pool lock poisoned");
        let idle = by_address.get_mut(&address)?;
        while let Some(candidate) = idle.pop() {
            if now < candidate.expires_at && candidate.connection.sender.is_ready() {
                return Some(candidate.connection);
            }
        }
        by_address.remove(&address);
        None
    }

    /// adds a connection to the pool; `idle_timeout` is how long the replica keeps it open.
    pub fn put(&self, connection: Connection, idle_timeout: Option<Duration>) {
        let idle_timeout = idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).mul_f64(REUSE_SHARE);
        if idle_timeout.is_zero() {
            return;
        }
        let mut by_address = self.idle.lock().expect("pool lock poisoned");
        let idle = by_address.entry(connection.address).or_default();
        idle.push(IdleConnection { connection, expires_at: Instant::now() + idle_timeout });
    }

    /// closes connections that are closed by the peer or idle for too long.
    pub fn expire(&self) {
        let now = Instant::now();
        let mut by_address = self.idle.lock().expect("pool lock poisoned");
        for idle in by_address.values_mut() {
            idle.retain(|candidate| now < candidate.expires_at && !candidate.connection.sender.is_closed());
        }
        by_address.retain(|_, idle| !idle.is_empty());
    }

    /// closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle.lock().expect("pool lock poisoned").clear();
    }

    /// closes all idle connections to an address, as after a failure of its replica.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().expect("pool lock poisoned").remove(&address);
    }
}

impl Connection {
    /// connects and completes the HTTP/1.1 handshake.
    pub async fn open(spawner: &Spawner, address: SocketAddr) -> Result<Self, ConnectError> {
        let stream = timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(address)).await;
        let stream = stream.ok_or(ConnectError::Inconclusive)??;
        // Without TCP_NODELAY small requests wait for acknowledgements; a failure only costs latency.
        let _ = stream.get_ref().set_nodelay(true);
        let io = HyperIo::new(stream);
        let read_limit = io.read_limit();
        let mut builder = http1::Builder::new();
        builder.preserve_header_case(true).max_buf_size(MAX_HEAD_BYTES);
        let (sender, connection) = builder.handshake(io).await.map_err(|_| ConnectError::Inconclusive)?;
        let driver = spawner.spawn(async move {
            // Errors are reported by the request in flight.
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender,
            read_limit,
            opened: Instant::now(),
            answer_count: 0,
            process_start: None,
            _driver: driver,
        })
    }

    /// whether one answer has arrived, and none before it.
    pub fn is_first_answer(&self) -> bool {
        self.answer_count == 1
    }

    /// sends a request and waits for the response head.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        self.read_limit.set(MAX_BYTES_BEFORE_ANSWER);
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.read_limit.lift();
                self.answer_count += 1;
                Ok(response)
            }
            // hyper returns the request only if it has written no byte of it.
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::Indeterminate),
            },
        }
    }
}
