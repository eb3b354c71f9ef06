use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use serde_json::Value;
use serde_json::json;
use socket2::SockRef;

/// time in which the bytes before a reset arrive.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// a request as a scripted replica sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptedRequest {
    /// id of the request.
    pub id: String,
    /// last event that the caller has, if a stream is resumed.
    pub last_event: Option<String>,
    /// number of the request among those to run on its connection, from 1.
    pub number: usize,
}

/// what a scripted replica sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptedAnswer {
    /// all bytes, from the status line on.
    pub bytes: String,
    /// what becomes of the connection after them.
    pub ending: Ending,
}

/// what becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// it stays open for further requests.
    KeptOpen,
    /// it is closed.
    Closed,
    /// it is reset.
    Reset,
}

/// decides the answer to each request.
type Script = dyn Fn(&ScriptedRequest) -> ScriptedAnswer + Send + Sync;

/// a replica that runs each request and answers with the bytes of a script.
#[derive(Debug)]
pub struct ScriptedReplica {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    runs: Mutex<Vec<ScriptedRequest>>,
    ends: AtomicBool,
}

impl ScriptedReplica {
    /// listens on a free port.
    pub fn start(
        script: impl Fn(&ScriptedRequest) -> ScriptedAnswer + Send + Sync + 'static,
    ) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).context("listening on a free port")?;
        let address = listener.local_addr().context("reading the listening address")?;
        let shared = Arc::new(Shared::default());
        let (accepting, script) = (Arc::clone(&shared), Arc::new(script));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), false) = (stream, accepting.ends.load(Ordering::Relaxed)) else {
                    return;
                };
                let (serving, script) = (Arc::clone(&accepting), Arc::clone(&script));
                std::thread::spawn(move || serving.serve(stream, &*script));
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

    /// requests that it ran, the oldest first.
    pub fn runs(&self) -> Vec<ScriptedRequest> {
        self.shared.runs.lock().expect("runs lock poisoned").clone()
    }
}

impl Drop for ScriptedReplica {
    fn drop(&mut self) {
        self.shared.ends.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts; it is gone if this fails.
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    fn serve(&self, mut stream: TcpStream, script: &Script) {
        let mut number = 0;
        while let Some(request) = read_request(&mut stream) {
            let (id, last_event) = match request {
                // Scripts are for what the replica runs; its report is always the same.
                Asked::Report => {
                    let _ = stream.write_all(REPORT.as_bytes());
                    continue;
                }
                Asked::Run { id, last_event } => (id, last_event),
            };
            number += 1;
            let request = ScriptedRequest { id, last_event, number };
            self.runs.lock().expect("runs lock poisoned").push(request.clone());
            let answer = script(&request);
            // A caller that has left makes the write fail, and the next read.
            let _ = stream.write_all(answer.bytes.as_bytes());
            match answer.ending {
                Ending::KeptOpen => {}
                Ending::Closed => return,
                Ending::Reset => {
                    // What was sent before should arrive, as a reset takes unread bytes along.
                    std::thread::sleep(RESET_DELAY);
                    // A socket that lingers for no time is reset when it is closed.
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return;
                }
            }
        }
    }
}

/// the report of a process with the start that the entry names.
const REPORT: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 10\r\n\r\n{\"born\":1}";

/// what a request asks for.
enum Asked {
    /// what the replica reports about itself.
    Report,
    /// a run, with the last event that the request names.
    Run { id: String, last_event: Option<String> },
}

/// reads a request with its body.
fn read_request(stream: &mut TcpStream) -> Option<Asked> {
    let mut head = Vec::new();
    let mut byte = [0_u8; 1];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let header = |wanted: &str| {
        let lines = head.lines().filter_map(|line| line.split_once(':'));
        let mut values = lines.filter(|(name, _)| name.eq_ignore_ascii_case(wanted));
        values.next().map(|(_, value)| value.trim().to_owned())
    };
    let length = header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    if head.starts_with("GET /report ") {
        return Some(Asked::Report);
    }
    Some(Asked::Run { id: header("x-request-id").unwrap_or_default(), last_event: header("last-event-id") })
}
