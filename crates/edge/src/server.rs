use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_dup::Arc as SharedIo;
use async_h1::server::Encoder;
use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use crate::Connection;
use crate::ReadError;
use crate::Spawner;
use crate::connection::asks_to_close;
use crate::json_problem;
use crate::timeout;

/// how long to pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// limits of one listening address.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// how long a head may take to arrive, idle time of a kept connection included.
    pub head_timeout_ms: u64,
    /// how long a body may take to arrive.
    pub body_timeout_ms: u64,
    /// the largest body taken.
    pub max_body_bytes: usize,
    /// the most connections held at once.
    pub max_connections: usize,
}

/// one request with the socket it came on.
#[derive(Debug)]
pub struct Incoming {
    /// head of the request, with its body still unread.
    pub request: Request,
    /// the caller's socket.
    pub connection: Connection,
    limits: ServerLimits,
}

impl Incoming {
    /// reads the whole body, counted against its announced length.
    pub async fn body(&mut self) -> Result<Vec<u8>, ReadError> {
        let limits = self.limits;
        let announced = self.request.len();
        if announced.is_some_and(|length| length > limits.max_body_bytes) {
            return Err(ReadError::TooLarge);
        }
        let mut bytes = Vec::with_capacity(announced.unwrap_or(0));
        let mut body = self.request.take_body().take(limits.max_body_bytes as u64 + 1);
        let read = timeout(Duration::from_millis(limits.body_timeout_ms), body.read_to_end(&mut bytes)).await;
        match read {
            None => return Err(ReadError::TooSlow),
            Some(Err(_)) => return Err(ReadError::Broken),
            Some(Ok(_)) => {}
        }
        if bytes.len() > limits.max_body_bytes {
            return Err(ReadError::TooLarge);
        }
        if announced.is_some_and(|length| length != bytes.len()) {
            return Err(ReadError::Broken);
        }
        Ok(bytes)
    }
}

/// accepts connections until the returned future is dropped; requests under way go on.
pub async fn serve<H, F>(listener: Async<TcpListener>, spawner: Spawner, limits: ServerLimits, handler: H)
where
    H: Fn(Incoming) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let open_count = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let handler = handler.clone();
        let open_count = Arc::clone(&open_count);
        spawner.detach(async move {
            let stream = SharedIo::new(stream);
            if open_count.fetch_add(1, Ordering::Relaxed) < limits.max_connections {
                let _ = serve_connection(&stream, peer, limits, handler).await;
            } else {
                let busy = "this instance holds as many connections as it accepts; try another address";
                let _ =
                    write_last(&stream, StatusCode::ServiceUnavailable, "too_many_connections", busy).await;
            }
            open_count.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection<H, F>(
    stream: &SharedIo<Async<TcpStream>>,
    peer: SocketAddr,
    limits: ServerLimits,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Incoming) -> F,
    F: Future<Output = Response>,
{
    loop {
        // The future of async-h1 takes several kilobytes; nested futures would copy it on the stack.
        let head = Box::pin(async_h1::server::decode(stream.clone()));
        let Some(decoded) = timeout(Duration::from_millis(limits.head_timeout_ms), head).await else {
            return Ok(());
        };
        let (request, mut body) = match decoded {
            Ok(Some(decoded)) => decoded,
            Ok(None) => return Ok(()),
            Err(error) if error.downcast_ref::<io::Error>().is_some() => return Ok(()),
            Err(error) => {
                return write_last(stream, StatusCode::BadRequest, "malformed_head", &error.to_string())
                    .await;
            }
        };
        let method = request.method();
        let closes = asks_to_close(request.header("connection"));
        let unread = request.len();
        let incoming = Incoming { request, connection: Connection::new(stream.clone(), peer), limits };
        let response = handler(incoming).await;
        let refused_body = response.status() == StatusCode::PayloadTooLarge;
        let ends = closes || refused_body || asks_to_close(response.header("connection"));
        write_response(stream, response, method).await?;
        // A body that was refused unread would be taken for the next head.
        if ends {
            return Ok(());
        }
        if unread != Some(0) {
            let drain = futures_lite::io::copy(&mut body, futures_lite::io::sink());
            let Some(Ok(_)) = timeout(Duration::from_millis(limits.body_timeout_ms), drain).await else {
                return Ok(());
            };
        }
    }
}

async fn write_response(
    stream: &SharedIo<Async<TcpStream>>,
    response: Response,
    method: http_types::Method,
) -> io::Result<()> {
    let mut stream = stream.clone();
    let mut encoder = Encoder::new(response, method);
    futures_lite::io::copy(&mut encoder, &mut stream).await?;
    stream.flush().await
}

async fn write_last(
    stream: &SharedIo<Async<TcpStream>>,
    status: StatusCode,
    code: &str,
    detail: &str,
) -> io::Result<()> {
    let mut response = json_problem(status, code, detail);
    response.insert_header("connection", "close");
    write_response(stream, response, http_types::Method::Get).await
}
