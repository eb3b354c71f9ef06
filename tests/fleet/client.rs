use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use super::HOST;

/// time limit for connecting and for each read.
const IO_TIMEOUT: Duration = Duration::from_secs(10);

/// a request that a test sends.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub body: String,
    pub headers: Vec<(String, String)>,
}

impl ClientRequest {
    pub fn get(path: &str, id: &str) -> Self {
        Self::new("GET", path, id, "")
    }

    pub fn post(path: &str, id: &str, body: &str) -> Self {
        Self::new("POST", path, id, body)
    }

    fn new(method: &'static str, path: &str, id: &str, body: &str) -> Self {
        let headers = vec![("X-Deadline-Ms".to_owned(), "3000".to_owned())];
        Self { method, path: path.to_owned(), id: id.to_owned(), body: body.to_owned(), headers }
    }

    /// sets a header, replacing one of the same name.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// adds a header beside others of the same name.
    pub fn and(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// a turn of a program with a budget of `budget` tokens, at most `max_tokens` of them in this turn.
    pub fn turn(path: &str, id: &str, body: &str, program: &str, budget: u64, max_tokens: u64) -> Self {
        let counts = format!("100,{max_tokens}");
        let request = Self::post(path, id, body).with("X-Program-Id", program).with("X-Session-Id", "line");
        request.with("X-Token-Budget", &budget.to_string()).with("X-Token-Count", &counts)
    }

    /// continues the turn that the request with this id has stored.
    pub fn after(self, previous: &str) -> Self {
        self.with("X-Previous-Turn", previous)
    }

    /// the same request as attempt `number`; each retry has its own request id.
    pub fn attempt(&self, number: u32) -> Self {
        let id = if number == 1 { self.id.clone() } else { format!("{}-{number}", self.id) };
        Self { id, ..self.clone() }
    }

    fn head(&self) -> String {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {}\r\n",
            self.method, self.path, self.id
        );
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        head + &format!("Content-Length: {}\r\nConnection: close\r\n\r\n", self.body.len())
    }
}

/// an answer as the caller received it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no response head was received.
    pub status: u16,
    pub head: String,
    pub body: String,
    /// whether the body is complete by its length or chunked framing.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// the data of all events in order.
    pub fn events(&self) -> Vec<&str> {
        self.body.lines().filter_map(|line| line.strip_prefix("data: ")).collect()
    }
}

/// sends a request over a new connection and reads the answer to its end.
pub fn send(peer: SocketAddr, request: &ClientRequest) -> Answer {
    exchange(peer, &request.head(), &request.body).unwrap_or_default()
}

/// sends a request without reading the answer; dropping the stream closes the connection.
pub fn open(peer: SocketAddr, request: &ClientRequest) -> TcpStream {
    let mut stream = TcpStream::connect(peer).expect("the door accepts connections");
    stream.write_all(format!("{}{}", request.head(), request.body).as_bytes()).expect("the request is sent");
    stream
}

pub fn get(peer: SocketAddr, path: &str) -> Answer {
    let head = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    exchange(peer, &head, "").unwrap_or_default()
}

fn exchange(peer: SocketAddr, head: &str, body: &str) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&peer, IO_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.write_all(format!("{head}{body}").as_bytes())?;
    let mut bytes = Vec::new();
    let mut chunk = [0_u8; 4096];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(read) => bytes.extend_from_slice(&chunk[..read]),
            // Signals to processes of the test interrupt reads that have a timeout.
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            // Bytes received before a reset still count.
            Err(_) => break,
        }
    }
    Ok(parse(&String::from_utf8_lossy(&bytes)))
}

fn parse(text: &str) -> Answer {
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return Answer::default();
    };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, head: head.to_owned(), ..Answer::default() };
    if answer.header("transfer-encoding") == Some("chunked") {
        (answer.body, answer.is_whole) = unchunk(rest);
        return answer;
    }
    answer.body = rest.to_owned();
    let length = answer.header("content-length").and_then(|length| length.parse().ok());
    answer.is_whole = length == Some(rest.len());
    answer
}

/// decodes a chunked body; `false` if the last chunk is missing.
fn unchunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return (body, false);
        };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..size) else {
            return (body, false);
        };
        body += chunk;
        rest = after.get(size + 2..).unwrap_or("");
    }
    (body, false)
}
