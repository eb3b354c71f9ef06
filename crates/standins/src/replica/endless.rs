use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use serde_json::Value;
use serde_json::json;

/// bytes after which the stand-in gives up on a caller that never closes, to bound a test that fails.
const MOST_BYTES: u64 = 1 << 30;
/// how long a write may wait for a caller that reads nothing more.
const WRITE_LIMIT: Duration = Duration::from_secs(10);

/// size of a large event, below what a door takes for one.
const LARGE_EVENT_BYTES: usize = 1_000_000;
/// time between two bytes of a slow event.
const SLOW_PAUSE: Duration = Duration::from_millis(50);

/// what comes without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum EndlessPart {
    /// one header line after the other.
    HeadLines,
    /// the value of one header.
    HeadValue,
    /// heads that say that the answer follows.
    Interim,
    /// bytes in no protocol, without a line end.
    Junk,
    /// chunks of a body.
    Chunks,
    /// a body without a length.
    Unframed,
    /// whole events of a stream.
    Events,
    /// whole events of a stream, each of almost a megabyte.
    LargeEvents,
    /// almost a megabyte of one event of a stream, and then a byte now and then.
    SlowEvent,
    /// one event of a stream.
    OneEvent,
    /// the body of a failure.
    FailureBody,
    /// the body of a rejection, which has not run the request.
    RejectionBody,
    /// bytes after a whole answer.
    AfterAnswer,
}

/// a replica that answers each request with bytes until the connection is closed.
#[derive(Debug)]
pub struct EndlessReplica {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    /// connections on which a request came.
    asked: AtomicUsize,
    /// connections that the caller has closed since.
    closed: AtomicUsize,
    sent_bytes: AtomicU64,
    ends: AtomicBool,
}

impl EndlessReplica {
    /// listens on a free port.
    pub fn start(part: EndlessPart) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).context("listening on a free port")?;
        let address = listener.local_addr().context("reading the listening address")?;
        let shared = Arc::new(Shared::default());
        let accepting = Arc::clone(&shared);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), false) = (stream, accepting.ends.load(Ordering::Relaxed)) else {
                    return;
                };
                let serving = Arc::clone(&accepting);
                std::thread::spawn(move || serving.serve(stream, part));
            }
        });
        Ok(Self { address, shared })
    }

    /// what the replica says of itself in the platform's list.
    pub fn entry(&self, service: &str) -> Value {
        json!({
            "service": service, "address": self.address.to_string(), "zone": "zone-a", "version": "v1",
            "slots": 6, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 1_u64,
        })
    }

    /// address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// connections on which a request came.
    pub fn asked(&self) -> usize {
        self.shared.asked.load(Ordering::Relaxed)
    }

    /// connections that the caller has closed after its request.
    pub fn closed(&self) -> usize {
        self.shared.closed.load(Ordering::Relaxed)
    }

    /// bytes that went out on all connections.
    pub fn sent_bytes(&self) -> u64 {
        self.shared.sent_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for EndlessReplica {
    fn drop(&mut self) {
        self.shared.ends.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts; it is gone if this fails.
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    fn serve(&self, mut stream: TcpStream, part: EndlessPart) {
        let Some(id) = read_request(&mut stream) else {
            return;
        };
        self.asked.fetch_add(1, Ordering::Relaxed);
        // A socket that refuses the limit only makes a failing test slower.
        let _ = stream.set_write_timeout(Some(WRITE_LIMIT));
        let (start, piece) = bytes_of(part, &id);
        let pause = if part == EndlessPart::SlowEvent { SLOW_PAUSE } else { Duration::ZERO };
        let mut sent_bytes = 0;
        let mut result = stream.write_all(start.as_bytes());
        while result.is_ok() && sent_bytes < MOST_BYTES && !self.ends.load(Ordering::Relaxed) {
            std::thread::sleep(pause);
            result = stream.write_all(piece.as_bytes());
            sent_bytes += piece.len() as u64;
            self.sent_bytes.fetch_add(piece.len() as u64, Ordering::Relaxed);
        }
        let is_closed = result.is_err_and(|error| error.kind() != std::io::ErrorKind::WouldBlock);
        self.closed.fetch_add(usize::from(is_closed), Ordering::Relaxed);
    }
}

/// reads the head of a request and returns its id; its body stays unread.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0_u8; 1];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let id = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("x-request-id").then(|| value.trim().to_owned())
    });
    Some(id.unwrap_or_default())
}

/// what comes first, and what then comes again and again.
fn bytes_of(part: EndlessPart, id: &str) -> (String, String) {
    let filler = "a".repeat(16 * 1024);
    let signed = format!("x-request-id: {id}\r\nx-response-signature: sig\r\n");
    let chunked = |kind: &str| {
        format!("HTTP/1.1 200 OK\r\n{signed}content-type: {kind}\r\ntransfer-encoding: chunked\r\n\r\n")
    };
    let chunk = |data: &str| format!("{:x}\r\n{data}\r\n", data.len());
    match part {
        EndlessPart::HeadLines => (format!("HTTP/1.1 200 OK\r\n{signed}"), "x-more: more\r\n".repeat(1_000)),
        EndlessPart::HeadValue => (format!("HTTP/1.1 200 OK\r\n{signed}x-more: "), filler),
        EndlessPart::Interim => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n".repeat(500)),
        EndlessPart::Junk => (String::new(), filler),
        EndlessPart::Chunks => (chunked("text/plain"), chunk(&filler)),
        EndlessPart::Unframed => (format!("HTTP/1.1 200 OK\r\n{signed}connection: close\r\n\r\n"), filler),
        EndlessPart::Events => {
            (chunked("text/event-stream"), chunk(&format!("id: 1\ndata: {}\n\n", &filler[..1_000])))
        }
        EndlessPart::LargeEvents => {
            let event = format!("id: 1\ndata: {}\n\n", "a".repeat(LARGE_EVENT_BYTES));
            (chunked("text/event-stream"), chunk(&event))
        }
        EndlessPart::SlowEvent => {
            let event = format!("id: 1\ndata: {}", "a".repeat(LARGE_EVENT_BYTES));
            (chunked("text/event-stream") + &chunk(&event), chunk("a"))
        }
        EndlessPart::OneEvent => (chunked("text/event-stream") + &chunk("id: 1\ndata: "), chunk(&filler)),
        EndlessPart::FailureBody => {
            (chunked("text/plain").replacen("200 OK", "500 Internal Server Error", 1), chunk(&filler))
        }
        EndlessPart::RejectionBody => {
            let rejection = "429 Too Many Requests\r\nx-not-executed: 1";
            (chunked("text/plain").replacen("200 OK", rejection, 1), chunk(&filler))
        }
        EndlessPart::AfterAnswer => {
            (format!("HTTP/1.1 200 OK\r\n{signed}content-length: 4\r\n\r\ndone"), filler)
        }
    }
}
