use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_dup::Arc as SharedIo;
use async_io::Async;
use futures_lite::AsyncBufReadExt;
use futures_lite::AsyncReadExt;
use futures_lite::FutureExt;
use http_types::Request;
use http_types::Response;

use crate::ClientError;
use crate::ReadError;
use crate::ReadLimit;
use crate::connection::asks_to_close;
use crate::keep_alive;
use crate::limited_socket::LimitedSocket;
use crate::timeout;

/// the longest line taken from a streamed body.
const MAX_LINE_BYTES: u64 = 4 * 1024 * 1024;

/// bytes that may come before the head of a response is whole: the head, and what is read ahead of a body.
const MAX_BYTES_BEFORE_ANSWER: u64 = 64 * 1024;

/// connections given back between two sweeps of the idle ones.
const PUTS_PER_SWEEP: u64 = 256;
/// how long an idle connection is kept.
const MAX_IDLE: Duration = Duration::from_secs(60);

/// timeouts and pool size of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// how long a connection may take to open.
    pub connect_timeout_ms: u64,
    /// how long the peer may stay silent, head and body pieces alike.
    pub silence_timeout_ms: u64,
    /// idle connections kept for each peer.
    pub idle_per_peer: usize,
}

type Socket = SharedIo<Async<TcpStream>>;

#[derive(Debug)]
struct Pool {
    settings: ClientSettings,
    idle: Mutex<Idle>,
}

/// kept connections, the most recently used of each peer last.
#[derive(Debug, Default)]
struct Idle {
    peers: HashMap<SocketAddr, Vec<(Instant, Socket)>>,
    put_count: u64,
}

/// an HTTP client that keeps connections and never hands out a short body as whole.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Client {
    /// builds a client with no open connections.
    pub fn new(settings: ClientSettings) -> Self {
        Self { pool: Arc::new(Pool { settings, idle: Mutex::default() }) }
    }

    /// connections kept for later requests.
    pub fn idle_count(&self) -> usize {
        let idle = self.pool.idle.lock().expect("pool lock poisoned");
        idle.peers.values().map(Vec::len).sum()
    }

    /// sends a request that may be repeated; a kept connection that turns out closed is replaced.
    pub async fn send(&self, peer: SocketAddr, mut request: Request) -> Result<Exchange, ClientError> {
        let Some(socket) = self.pool.take(peer) else {
            return self.send_fresh(peer, request).await;
        };
        let body = request.take_body().into_bytes().await;
        let body = body.map_err(|error| ClientError::NotSent(error.to_string()))?;
        let mut copy = Request::new(request.method(), request.url().clone());
        for (name, values) in &request {
            copy.insert_header(name.clone(), values);
        }
        copy.set_body(body.as_slice());
        match self.exchange(socket, peer, copy).await {
            Ok(exchange) => Ok(exchange),
            // A silent peer has the request; asking again would only add to its work.
            Err(Failure::Silent) => Err(Failure::Silent.into()),
            Err(Failure::Closed(_)) => {
                request.set_body(body);
                self.send_fresh(peer, request).await
            }
        }
    }

    /// sends a request once, over a kept connection when there is one that looks open.
    ///
    /// A kept connection that closes under the request gives `Broken`, although the peer may have seen nothing.
    pub async fn send_once(&self, peer: SocketAddr, request: Request) -> Result<Exchange, ClientError> {
        match self.pool.take(peer) {
            None => self.send_fresh(peer, request).await,
            Some(socket) => Ok(self.exchange(socket, peer, request).await?),
        }
    }

    /// sends a request once, over a new connection, so that an error tells whether bytes went out.
    pub async fn send_fresh(&self, peer: SocketAddr, request: Request) -> Result<Exchange, ClientError> {
        let limit = Duration::from_millis(self.pool.settings.connect_timeout_ms);
        let stream = match timeout(limit, Async::<TcpStream>::connect(peer)).await {
            None => return Err(ClientError::NotSent("the connection did not open in time".to_owned())),
            Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(ClientError::Refused(error.to_string()));
            }
            Some(Err(error)) => return Err(ClientError::NotSent(error.to_string())),
            Some(Ok(stream)) => stream,
        };
        // Without these the connection is slower to send, or to notice that its peer is gone.
        let _ = stream.get_ref().set_nodelay(true);
        let _ = keep_alive(&stream);
        Ok(self.exchange(SharedIo::new(stream), peer, request).await?)
    }

    async fn exchange(
        &self,
        socket: Socket,
        peer: SocketAddr,
        request: Request,
    ) -> Result<Exchange, Failure> {
        let limit = Duration::from_millis(self.pool.settings.silence_timeout_ms);
        // The future of async-h1 takes several kilobytes; nested futures would copy it on the stack.
        let read_limit = ReadLimit::default();
        read_limit.set(MAX_BYTES_BEFORE_ANSWER);
        let limited = LimitedSocket::new(socket.clone(), read_limit.clone());
        let connect = Box::pin(async_h1::connect(limited, request));
        // A header value that is not ASCII makes http-types panic.
        let connect = AssertUnwindSafe(connect).catch_unwind();
        let response = match timeout(limit, connect).await {
            None => return Err(Failure::Silent),
            Some(Err(_)) => return Err(Failure::Closed("a header is not ASCII text".to_owned())),
            Some(Ok(Err(error))) => return Err(Failure::Closed(error.to_string())),
            Some(Ok(Ok(response))) => response,
        };
        read_limit.lift();
        // A response without any length has an empty body of length 0 in http-types; only the header counts.
        let announced = response.header("content-length").map(|value| value.last().as_str());
        let announced = announced.and_then(|length| length.parse::<usize>().ok());
        let coding = response.header("transfer-encoding").map(|value| value.last().as_str());
        // async-h1 knows this one spelling; it reads the body of any other as empty.
        let chunked = coding == Some("chunked");
        if announced.is_none() && !chunked {
            let why = "the response has neither length nor chunked coding";
            return Err(Failure::Closed(why.to_owned()));
        }
        let closes = asks_to_close(response.header("connection"));
        let keep = (!closes).then(|| (Arc::clone(&self.pool), socket, peer));
        Ok(Exchange { response, announced, read_bytes: 0, keep, silence: limit })
    }
}

/// why an exchange brought no head.
enum Failure {
    /// the connection closed, or what came over it makes no sense.
    Closed(String),
    /// the peer did not answer in time.
    Silent,
}

impl From<Failure> for ClientError {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Closed(why) => Self::Broken(why),
            Failure::Silent => Self::Broken("the peer stayed silent".to_owned()),
        }
    }
}

impl Pool {
    fn take(&self, peer: SocketAddr) -> Option<Socket> {
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        let sockets = idle.peers.get_mut(&peer)?;
        while let Some((_, socket)) = sockets.pop() {
            if is_open(&socket) {
                return Some(socket);
            }
        }
        idle.peers.remove(&peer);
        None
    }

    fn put(&self, socket: Socket, peer: SocketAddr) {
        let now = Instant::now();
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        idle.put_count += 1;
        if idle.put_count.is_multiple_of(PUTS_PER_SWEEP) {
            idle.sweep(now);
        }
        let sockets = idle.peers.entry(peer).or_default();
        if sockets.len() < self.settings.idle_per_peer {
            sockets.push((now, socket));
        }
    }
}

impl Idle {
    /// drops connections that closed or were not used for long, such as those to peers that are gone.
    fn sweep(&mut self, now: Instant) {
        for sockets in self.peers.values_mut() {
            sockets.retain(|(since, socket)| now.duration_since(*since) < MAX_IDLE && is_open(socket));
        }
        self.peers.retain(|_, sockets| !sockets.is_empty());
    }
}

/// an idle connection has nothing to read; a closed one reads as its end.
fn is_open(socket: &Socket) -> bool {
    let stream: &TcpStream = socket.get_ref();
    let mut byte = [0_u8; 1];
    matches!(stream.peek(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// a response whose body is read through counted reads.
#[derive(Debug)]
pub struct Exchange {
    /// head of the response.
    pub response: Response,
    announced: Option<usize>,
    read_bytes: usize,
    keep: Option<(Arc<Pool>, Socket, SocketAddr)>,
    silence: Duration,
}

impl Exchange {
    /// reads the whole body, at most `max_bytes` long.
    pub async fn bytes(mut self, max_bytes: usize) -> Result<Vec<u8>, ReadError> {
        if self.announced.is_some_and(|length| length > max_bytes) {
            return Err(ReadError::TooLarge);
        }
        let mut bytes = Vec::with_capacity(self.announced.unwrap_or(0));
        let mut limited = (&mut self.response).take(max_bytes as u64 + 1);
        loop {
            let piece = timeout(self.silence, limited.fill_buf()).await.ok_or(ReadError::TooSlow)?;
            let piece = piece.map_err(|_| ReadError::Broken)?;
            if piece.is_empty() {
                break;
            }
            bytes.extend_from_slice(piece);
            let piece_bytes = piece.len();
            limited.consume(piece_bytes);
        }
        if bytes.len() > max_bytes {
            return Err(ReadError::TooLarge);
        }
        self.read_bytes = bytes.len();
        self.finish()?;
        Ok(bytes)
    }

    /// reads the next line of a streamed body, without its line end; `None` after a whole body.
    pub async fn next_line(&mut self) -> Result<Option<String>, ReadError> {
        let mut line = Vec::new();
        let mut limited = (&mut self.response).take(MAX_LINE_BYTES);
        match timeout(self.silence, limited.read_until(b'\n', &mut line)).await {
            None => return Err(ReadError::TooSlow),
            Some(Err(_)) => return Err(ReadError::Broken),
            Some(Ok(_)) => {}
        }
        self.read_bytes += line.len();
        if line.is_empty() {
            self.finish()?;
            return Ok(None);
        }
        if line.pop() != Some(b'\n') {
            return Err(ReadError::Broken);
        }
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        String::from_utf8(line).map(Some).map_err(|_| ReadError::Broken)
    }

    /// returns the connection to the pool after a whole body.
    fn finish(&mut self) -> Result<(), ReadError> {
        if self.announced.is_some_and(|length| length != self.read_bytes) {
            return Err(ReadError::Broken);
        }
        if let Some((pool, socket, peer)) = self.keep.take() {
            pool.put(socket, peer);
        }
        Ok(())
    }
}
