use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use super::HOST;

/// silence after which a test gives up.
const SILENCE: Duration = Duration::from_secs(10);

/// a request of a test.
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

    /// the request with a header, in place of one of the same name.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// a turn of a program that may generate `budget` tokens, at most `most` of them now.
    pub fn turn(path: &str, id: &str, body: &str, program: &str, budget: u64, most: u64) -> Self {
        let counts = format!("100,{most}");
        let ask = Self::post(path, id, body).with("X-Program-Id", program).with("X-Session-Id", "line");
        ask.with("X-Token-Budget", &budget.to_string()).with("X-Token-Count", &counts)
    }

    pub fn after(self, previous: &str) -> Self {
        self.with("X-Previous-Turn", previous)
    }

    /// the same request as a further attempt, with an id of its own.
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

/// what a caller saw.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub head: String,
    pub body: String,
    /// whether the body ended as its framing says.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// data of the events, in their order.
    pub fn events(&self) -> Vec<&str> {
        self.body.lines().filter_map(|line| line.strip_prefix("data: ")).collect()
    }
}

/// sends a request over a connection of its own and reads the answer to its end.
pub fn send(peer: SocketAddr, ask: &ClientRequest) -> Answer {
    exchange(peer, &ask.head(), &ask.body).unwrap_or_default()
}

/// sends a request; dropping the connection hangs up.
pub fn open(peer: SocketAddr, ask: &ClientRequest) -> TcpStream {
    let mut stream = TcpStream::connect(peer).expect("the door takes connections");
    stream.write_all(format!("{}{}", ask.head(), ask.body).as_bytes()).expect("the request goes out");
    stream
}

pub fn get(peer: SocketAddr, path: &str) -> Answer {
    let head = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    exchange(peer, &head, "").unwrap_or_default()
}

fn exchange(peer: SocketAddr, head: &str, body: &str) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&peer, SILENCE)?;
    stream.set_read_timeout(Some(SILENCE))?;
    stream.write_all(format!("{head}{body}").as_bytes())?;
    let mut bytes = Vec::new();
    let mut piece = [0_u8; 4096];
    loop {
        match stream.read(&mut piece) {
            Ok(0) => break,
            Ok(read) => bytes.extend_from_slice(&piece[..read]),
            // Signals to processes of the test interrupt reads that have a timeout.
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            // What came before a reset still counts.
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

/// the pieces of a chunked body, and whether its last one came.
fn unchunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return (body, false);
        };
        if size == 0 {
            return (body, true);
        }
        let Some(piece) = after.get(..size) else {
            return (body, false);
        };
        body += piece;
        rest = after.get(size + 2..).unwrap_or("");
    }
    (body, false)
}
