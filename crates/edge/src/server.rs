use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_dup::Arc as SharedIo;
use async_global_executor::GlobalExecutorConfig;
use async_h1::server::Encoder;
use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use crate::Connection;
use crate::ReadError;
use crate::Spawner;
use crate::connection::asks_to_close;
use crate::head_reader::HeadReader;
use crate::json_problem;
use crate::timeout;

/// what a caller is told beyond the limit of connections.
const FULL: &str = "this instance holds as many connections as it accepts; try another address";
/// bytes of a response written at once.
const WRITE_PIECE_BYTES: usize = 8 * 1024;
/// most bytes read from a caller before its connection is closed.
const MAX_LINGER_BYTES: u64 = 4 * 1024 * 1024;
/// how long a closing connection waits for its caller.
const MAX_LINGER: Duration = Duration::from_secs(1);
/// how long to pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

type Socket = SharedIo<Async<TcpStream>>;

/// limits of one listening address.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// how long a head may take to arrive, idle time of a kept connection included.
    pub head_timeout_ms: u64,
    /// how long a body may take to arrive, and the caller to take a piece of the answer.
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
    // async-h1 answers `Expect: 100-continue` there; by default it would start a thread a core for that.
    let interim_answers = GlobalExecutorConfig::default().with_min_threads(1).with_max_threads(1);
    async_global_executor::init_with_config(interim_answers);
    let open_count = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let handler = handler.clone();
        let place = Place::take(&open_count, limits.max_connections);
        spawner.detach(async move {
            let connection = Served { stream: SharedIo::new(stream), peer, limits };
            let _ = match &place {
                Some(_) => connection.run(handler).await,
                None => connection.refuse(StatusCode::ServiceUnavailable, "too_many_connections", FULL).await,
            };
        });
    }
}

/// one of the places for connections; it is free again when this is dropped, also after a panic.
struct Place {
    open_count: Arc<AtomicUsize>,
}

impl Place {
    fn take(open_count: &Arc<AtomicUsize>, limit: usize) -> Option<Self> {
        let place = Self { open_count: Arc::clone(open_count) };
        let before = open_count.fetch_add(1, Ordering::Relaxed);
        (before < limit).then_some(place)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.open_count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// one accepted connection.
struct Served {
    stream: Socket,
    peer: SocketAddr,
    limits: ServerLimits,
}

impl Served {
    /// answers requests in turn until one side closes.
    async fn run<H, F>(&self, handler: H) -> io::Result<()>
    where
        H: Fn(Incoming) -> F,
        F: Future<Output = Response>,
    {
        while self.run_one(&handler).await? {}
        Ok(())
    }

    /// answers one request and tells whether another may follow.
    async fn run_one<H, F>(&self, handler: &H) -> io::Result<bool>
    where
        H: Fn(Incoming) -> F,
        F: Future<Output = Response>,
    {
        let reader = HeadReader::new(self.stream.clone());
        let Some((request, mut body)) = self.head(&reader).await? else {
            return Ok(false);
        };
        let method = request.method();
        let mut ends = asks_to_close(request.header("connection"));
        let announced = request.len();
        let connection = Connection::new(self.stream.clone(), self.peer);
        let mut response = handler(Incoming { request, connection, limits: self.limits }).await;
        ends |= asks_to_close(response.header("connection"));
        // A body that was refused unread would be taken for the next head.
        ends |= response.status() == StatusCode::PayloadTooLarge;
        ends |= announced.is_some_and(|length| reader.has_read_beyond(length as u64));
        if ends {
            response.insert_header("connection", "close");
        }
        self.write(response, method).await?;
        if !ends && announced != Some(0) {
            ends = !self.drain(&mut body).await;
        }
        if ends {
            self.close().await;
        }
        Ok(!ends)
    }

    /// reads a head; one that makes no sense is answered, and `None` ends the connection.
    async fn head(
        &self,
        reader: &HeadReader,
    ) -> io::Result<Option<(Request, impl AsyncRead + Unpin + use<>)>> {
        // The future of async-h1 takes several kilobytes; nested futures would copy it on the stack.
        let decode = Box::pin(async_h1::server::decode(reader.clone()));
        // A header value that is not ASCII makes http-types panic.
        let decode = AssertUnwindSafe(decode).catch_unwind();
        let Some(decoded) = timeout(Duration::from_millis(self.limits.head_timeout_ms), decode).await else {
            if reader.has_begun() {
                let why = "the head of the request did not arrive in time";
                self.refuse(StatusCode::RequestTimeout, "slow_head", why).await?;
            }
            return Ok(None);
        };
        let why = match decoded {
            Ok(Ok(Some((request, _)))) if !has_clear_length(&request) => {
                "the length of the body is not clear".to_owned()
            }
            Ok(Ok(decoded)) => return Ok(decoded),
            Ok(Err(error)) if error.downcast_ref::<io::Error>().is_some() => return Ok(None),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "a header is not ASCII text".to_owned(),
        };
        self.refuse(StatusCode::BadRequest, "malformed_head", &why).await?;
        Ok(None)
    }

    /// reads what the handler left of a body; false when that takes too long or too much.
    async fn drain(&self, body: &mut (impl AsyncRead + Unpin)) -> bool {
        let limit = self.limits.max_body_bytes as u64 + 1;
        let drain = futures_lite::io::copy(body.take(limit), futures_lite::io::sink());
        let drained = timeout(Duration::from_millis(self.limits.body_timeout_ms), drain).await;
        matches!(drained, Some(Ok(drained_bytes)) if drained_bytes < limit)
    }

    /// writes a response; a caller that takes nothing of it for too long is given up.
    async fn write(&self, response: Response, method: Method) -> io::Result<()> {
        let limit = Duration::from_millis(self.limits.body_timeout_ms);
        let mut stream = self.stream.clone();
        let mut encoder = Encoder::new(response, method);
        let mut piece = vec![0; WRITE_PIECE_BYTES];
        loop {
            let piece_bytes = encoder.read(&mut piece).await?;
            if piece_bytes == 0 {
                return stream.flush().await;
            }
            let written = timeout(limit, stream.write_all(&piece[..piece_bytes])).await;
            written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
        }
    }

    /// answers with a problem and closes.
    async fn refuse(&self, status: StatusCode, code: &str, detail: &str) -> io::Result<()> {
        let mut response = json_problem(status, code, detail);
        response.insert_header("connection", "close");
        self.write(response, Method::Get).await?;
        self.close().await;
        Ok(())
    }

    /// closes after reading what is still on its way; closing with unread bytes would reset the connection
    /// and could take the answer with it.
    async fn close(&self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let unread = self.stream.clone().take(MAX_LINGER_BYTES);
        let drain = futures_lite::io::copy(unread, futures_lite::io::sink());
        let _ = timeout(MAX_LINGER, drain).await;
    }
}

/// tells whether both sides agree where the body ends; async-h1 takes the last of several lengths, and reads
/// the body of an unknown coding as the next head.
fn has_clear_length(request: &Request) -> bool {
    let single = |name: &str| request.header(name).is_none_or(|values| values.iter().count() == 1);
    let coding = request.header("transfer-encoding").map(|values| values.as_str());
    let known = coding.is_none_or(|coding| coding.eq_ignore_ascii_case("chunked"));
    known && single("content-length") && single("transfer-encoding")
}
