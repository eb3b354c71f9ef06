//! the HTTP server against malformed, slow and pipelining callers.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use flamingo_edge::Incoming;
use flamingo_edge::ReadError;
use flamingo_edge::ServerLimits;
use flamingo_edge::Spawner;
use flamingo_edge::json;
use flamingo_edge::json_problem;
use flamingo_edge::serve;
use http_types::Response;
use http_types::StatusCode;
use test_case::test_case;

/// one worker, so that a task that breaks it is noticed.
const THREAD_COUNT: usize = 1;

const LIMITS: ServerLimits =
    ServerLimits { head_timeout_ms: 300, body_timeout_ms: 300, max_body_bytes: 1_000, max_connections: 100 };

async fn answer(mut incoming: Incoming) -> Response {
    let path = incoming.request.url().path().to_owned();
    if path == "/panic" {
        panic!("asked for by the test");
    }
    if path == "/unread" {
        return json(StatusCode::Forbidden, &path);
    }
    match incoming.body().await {
        Ok(body) => json(StatusCode::Ok, &serde_json::json!({ "path": path, "bytes": body.len() })),
        Err(ReadError::TooLarge) => json_problem(StatusCode::PayloadTooLarge, "too_large", "too large"),
        Err(error) => json_problem(StatusCode::BadRequest, "broken_body", &error.to_string()),
    }
}

fn server() -> SocketAddr {
    let spawner = Spawner::start(THREAD_COUNT);
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("the test's own step succeeds");
    let address = listener.get_ref().local_addr().expect("the test's own step succeeds");
    spawner.detach(serve(listener, spawner.clone(), LIMITS, answer));
    address
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the test's own step succeeds");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("the test's own step succeeds");
    stream
}

/// sends bytes and returns everything that comes back until the server closes.
fn exchange(address: SocketAddr, sent: &[u8]) -> String {
    let mut stream = connect(address);
    stream.write_all(sent).expect("the test's own step succeeds");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("the test's own step succeeds");
    String::from_utf8(received).expect("the test's own step succeeds")
}

fn assert_alive(address: SocketAddr) {
    let answer = exchange(address, b"GET /alive HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[test_case(b"GET / HTTP/1.1\r\n\r\n"; "no host")]
#[test_case(b"\x01\x02junk\r\n\r\n"; "junk")]
#[test_case(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc"; "two lengths")]
#[test_case(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: many\r\n\r\n"; "length that is no number")]
#[test_case(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd"; "length given twice")]
#[test_case(b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip\r\n\r\nabc"; "unknown coding")]
#[test_case(b"GET / HTTP/1.0\r\nhost: x\r\n\r\n"; "old version")]
#[test_case(b"GET / HTTP/1.1\r\nhost: x\r\nx-name: \xc3\xa9\r\n\r\n"; "header beyond ascii")]
#[test_case(b"GET / HTTP/1.1\r\nhost: x\r\nx-name: \xff\r\n\r\n"; "header that is no text")]
#[test_case(b"BREW / HTTP/1.1\r\nhost: x\r\n\r\n"; "unknown method")]
fn malformed_head(head: &[u8]) {
    let address = server();
    let answer = exchange(address, head);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("application/problem+json"), "{answer}");
    assert!(answer.contains("malformed_head"), "{answer}");
    assert_alive(address);
}

#[test]
fn long_head() {
    let address = server();
    let mut head = b"GET / HTTP/1.1\r\nhost: x\r\nx-long: ".to_vec();
    head.extend(vec![b'a'; 20_000]);
    head.extend(b"\r\n\r\n");
    let answer = exchange(address, &head);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert_alive(address);
}

#[test]
fn large_body() {
    let address = server();
    let mut sent = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 200000\r\n\r\n".to_vec();
    sent.extend(vec![b'a'; 200_000]);
    let answer = exchange(address, &sent);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("too_large"), "{answer}");
    assert_alive(address);
}

#[test]
fn large_chunked_body() {
    let address = server();
    let mut sent = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n7d0\r\n".to_vec();
    sent.extend(vec![b'a'; 2_000]);
    sent.extend(b"\r\n0\r\n\r\n");
    let answer = exchange(address, &sent);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

#[test]
fn large_unread_body() {
    let address = server();
    let mut sent = b"POST /unread HTTP/1.1\r\nhost: x\r\ncontent-length: 200000\r\n\r\n".to_vec();
    sent.extend(vec![b'a'; 200_000]);
    let answer = exchange(address, &sent);
    assert!(answer.starts_with("HTTP/1.1 403"), "{answer}");
}

#[test]
fn short_body() {
    let address = server();
    let mut stream = connect(address);
    stream.write_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc").unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 400") && answer.contains("broken_body"), "{answer}");
}

#[test]
fn slow_body() {
    let address = server();
    let answer = exchange(address, b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc");
    assert!(answer.starts_with("HTTP/1.1 400") && answer.contains("in time"), "{answer}");
    assert_alive(address);
}

#[test]
fn slow_head() {
    let address = server();
    let answer = exchange(address, b"GET / HTTP/1.1\r\nho");
    assert!(answer.starts_with("HTTP/1.1 408") && answer.contains("slow_head"), "{answer}");
    assert_alive(address);
}

#[test]
fn idle_connection() {
    let address = server();
    assert_eq!(exchange(address, b""), "", "a connection that asks nothing is closed without an answer");
}

#[test]
fn kept_connection() {
    let address = server();
    let mut stream = connect(address);
    for _ in 0..3 {
        stream.write_all(b"POST /kept HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc").unwrap();
        let mut head = [0; 15];
        stream.read_exact(&mut head).unwrap();
        assert_eq!(&head, b"HTTP/1.1 200 OK");
        let mut rest = Vec::new();
        let mut byte = [0];
        while !rest.ends_with(b"\"/kept\"}") {
            stream.read_exact(&mut byte).unwrap();
            rest.push(byte[0]);
        }
    }
}

#[test]
fn pipelined_requests() {
    let address = server();
    let one = b"POST /one HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc";
    let two = b"GET /two HTTP/1.1\r\nhost: x\r\n\r\n";
    let answer = exchange(address, &[one.as_slice(), two].concat());
    assert!(answer.contains("/one"), "{answer}");
    let told = answer.to_ascii_lowercase().contains("connection: close");
    assert!(
        told && !answer.contains("/two"),
        "the caller learns that its second request was not taken: {answer}"
    );
    assert_alive(address);
}

#[test]
fn continued_upload() {
    let address = server();
    let mut stream = connect(address);
    let head = b"POST /up HTTP/1.1\r\nhost: x\r\nconnection: close\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n";
    stream.write_all(head).unwrap();
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"abc").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[test]
fn handler_panic() {
    let address = server();
    for _ in 0..THREAD_COUNT + 1 {
        let answer = exchange(address, b"GET /panic HTTP/1.1\r\nhost: x\r\n\r\n");
        assert_eq!(answer, "", "what the handler did is unknown");
    }
    assert_alive(address);
}

#[test]
fn unread_answer() {
    let spawner = Spawner::start(THREAD_COUNT);
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let limits = ServerLimits { max_connections: 1, ..LIMITS };
    spawner.detach(serve(listener, spawner.clone(), limits, |_| async {
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(vec![b'a'; 50_000_000]);
        response
    }));
    let mut stream = connect(address);
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    // The only place is freed once the server gives the reader up.
    loop {
        let mut next = connect(address);
        next.write_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").unwrap();
        let mut head = [0; 12];
        next.read_exact(&mut head).unwrap();
        if &head == b"HTTP/1.1 200" {
            break;
        }
        assert_eq!(&head, b"HTTP/1.1 503");
        std::thread::sleep(Duration::from_millis(20));
    }
}
