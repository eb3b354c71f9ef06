use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_dup::Arc as SharedIo;
use async_io::Async;
use futures_lite::AsyncBufReadExt;
use futures_lite::AsyncReadExt;
use http_types::Request;
use http_types::Response;

use crate::ClientError;
use crate::ReadError;
use crate::timeout;

/// the longest line taken from a streamed body.
const MAX_LINE_BYTES: u64 = 4 * 1024 * 1024;

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
    idle: Mutex<HashMap<SocketAddr, Vec<Socket>>>,
}

/// an HTTP client that keeps connections and never hands out a short body as whole.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Client {
    /// builds a client with no open connections.
    pub fn new(settings: ClientSettings) -> Self {
        Self { pool: Arc::new(Pool { settings, idle: Mutex::new(HashMap::new()) }) }
    }

    /// sends a request that may be repeated; a kept connection that turns out closed is replaced.
    pub async fn send(&self, peer: SocketAddr, request: Request) -> Result<Exchange, ClientError> {
        if let Some(socket) = self.pool.take(peer) {
            let mut copy = Request::new(request.method(), request.url().clone());
            for (name, values) in &request {
                copy.insert_header(name.clone(), values);
            }
            let mut request = request;
            let bytes = request
                .take_body()
                .into_bytes()
                .await
                .map_err(|error| ClientError::NotSent(error.to_string()))?;
            copy.set_body(bytes.as_slice());
            if let Ok(exchange) = self.exchange(socket, peer, copy).await {
                return Ok(exchange);
            }
            request.set_body(bytes);
            return self.send_fresh(peer, request).await;
        }
        self.send_fresh(peer, request).await
    }

    /// sends a request once, over a new connection, so that an error tells whether bytes went out.
    pub async fn send_fresh(&self, peer: SocketAddr, request: Request) -> Result<Exchange, ClientError> {
        let limit = Duration::from_millis(self.pool.settings.connect_timeout_ms);
        let stream = match timeout(limit, Async::<TcpStream>::connect(peer)).await {
            None => return Err(ClientError::NotSent("the connection did not open in time".to_owned())),
            Some(Err(error)) => return Err(ClientError::NotSent(error.to_string())),
            Some(Ok(stream)) => stream,
        };
        let _ = stream.get_ref().set_nodelay(true);
        self.exchange(SharedIo::new(stream), peer, request).await
    }

    async fn exchange(
        &self,
        socket: Socket,
        peer: SocketAddr,
        request: Request,
    ) -> Result<Exchange, ClientError> {
        let limit = Duration::from_millis(self.pool.settings.silence_timeout_ms);
        let sent = timeout(limit, async_h1::connect(socket.clone(), request)).await;
        let response = match sent {
            None => return Err(ClientError::Broken("the peer stayed silent".to_owned())),
            Some(Err(error)) => return Err(ClientError::Broken(error.to_string())),
            Some(Ok(response)) => response,
        };
        let announced = response.len();
        let chunked = response.header("transfer-encoding").is_some();
        if announced.is_none() && !chunked {
            return Err(ClientError::Broken("the response has neither length nor chunked coding".to_owned()));
        }
        let closes =
            response.header("connection").is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        let keep = (!closes).then(|| (Arc::clone(&self.pool), socket, peer));
        Ok(Exchange { response, announced, read_bytes: 0, keep, silence: limit })
    }
}

impl Pool {
    fn take(&self, peer: SocketAddr) -> Option<Socket> {
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        let sockets = idle.get_mut(&peer)?;
        while let Some(socket) = sockets.pop() {
            if is_open(&socket) {
                return Some(socket);
            }
        }
        idle.remove(&peer);
        None
    }

    fn put(&self, socket: Socket, peer: SocketAddr) {
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        let sockets = idle.entry(peer).or_default();
        if sockets.len() < self.settings.idle_per_peer {
            sockets.push(socket);
        }
    }
}

/// an idle connection has nothing to read; a closed one reads as its end.
fn is_open(socket: &Socket) -> bool {
    let stream: &TcpStream = socket.get_ref();
    let mut byte = [0_u8; 1];
    matches!(stream.peek(&mut byte), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
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
        match timeout(self.silence, limited.read_to_end(&mut bytes)).await {
            None => return Err(ReadError::TooSlow),
            Some(Err(_)) => return Err(ReadError::Broken),
            Some(Ok(_)) => {}
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
