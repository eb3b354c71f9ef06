//! the HTTP client against peers that send short, crossed or no answers.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use async_io::block_on;
use flamingo_edge::Client;
use flamingo_edge::ClientError;
use flamingo_edge::ClientSettings;
use flamingo_edge::Exchange;
use flamingo_edge::ReadError;
use flamingo_edge::SseReader;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use test_case::test_case;

const WHOLE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// a peer that answers each request of each connection with the next of its scripted answers, and closes a
/// connection whose answer is empty or when none is left.
struct Peer {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl Peer {
    fn start(connections: &[&'static [&'static [u8]]]) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("the test's own step succeeds");
        let address = listener.local_addr().expect("the test's own step succeeds");
        let requests = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&requests);
        let connections = connections.to_vec();
        thread::spawn(move || {
            for answers in connections {
                let (stream, _) = listener.accept().expect("the test's own step succeeds");
                let counted = Arc::clone(&counted);
                thread::spawn(move || serve(stream, answers, &counted));
            }
        });
        Self { address, requests }
    }

    fn request_count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, answers: &[&[u8]], requests: &AtomicUsize) {
    for answer in answers {
        if !read_head(&mut stream) {
            return;
        }
        requests.fetch_add(1, Ordering::SeqCst);
        if stream.write_all(answer).is_err() {
            return;
        }
    }
}

fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}

fn client() -> Client {
    Client::new(ClientSettings { connect_timeout_ms: 1_000, silence_timeout_ms: 300, idle_per_peer: 4 })
}

fn request(peer: &Peer) -> Request {
    Request::new(
        Method::Get,
        Url::parse(&format!("http://{}/", peer.address)).expect("the test's own step succeeds"),
    )
}

fn body(exchange: Result<Exchange, ClientError>) -> Result<Vec<u8>, ReadError> {
    block_on(exchange.expect("the test's own step succeeds").bytes(1_000))
}

#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort"; "shorter than its length")]
#[test_case(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n"; "chunked without its end")]
#[test_case(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nshort"; "chunk cut short")]
fn short_body(answer: &'static [u8]) {
    let peer = Peer::start(&[Vec::leak(vec![answer])]);
    assert_eq!(body(block_on(client().send_fresh(peer.address, request(&peer)))), Err(ReadError::Broken));
}

#[test_case(b"HTTP/1.1 200 OK\r\n\r\nwhole?"; "neither length nor chunks")]
#[test_case(b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nwhole?"; "another coding")]
#[test_case(b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"; "another spelling")]
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-name: \xc3\xa9\r\n\r\nok"; "header beyond ascii")]
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-le"; "head cut short")]
#[test_case(b"nonsense\r\n\r\n"; "nonsense")]
#[test_case(b""; "closed")]
fn broken_head(answer: &'static [u8]) {
    let peer = Peer::start(&[Vec::leak(vec![answer])]);
    let result = block_on(client().send_fresh(peer.address, request(&peer)));
    assert!(matches!(result, Err(ClientError::Broken(_))), "{result:?}");
}

/// Guards against an answer that stopped in its head and is taken for an empty or short one.
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 2\r\n\r\nok"; "length")]
#[test_case(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"; "chunks")]
fn answer_that_stops_anywhere(whole: &'static [u8]) {
    for place in 0..whole.len() {
        let peer = Peer::start(&[Vec::leak(vec![&whole[..place]])]);
        let answer = block_on(client().send_fresh(peer.address, request(&peer)));
        let Ok(exchange) = answer else {
            continue;
        };
        match block_on(exchange.bytes(1_000)) {
            Err(ReadError::Broken) => {}
            // The last chunk is there, and only the line end after it is missing.
            body => assert_eq!(body, Ok(b"ok".to_vec()), "stopped after {place} bytes"),
        }
    }
}

#[test]
fn silent_peer() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let peer = Peer { address: listener.local_addr().unwrap(), requests: Arc::default() };
    let result = block_on(client().send(peer.address, request(&peer)));
    assert!(matches!(result, Err(ClientError::Broken(_))), "{result:?}");
}

#[test]
fn absent_peer() {
    let listener = TcpListener::bind((Ipv4Addr::new(127, 1, 0, 1), 0)).unwrap();
    let peer = Peer { address: listener.local_addr().unwrap(), requests: Arc::default() };
    drop(listener);
    let result = block_on(client().send(peer.address, request(&peer)));
    assert!(matches!(&result, Err(error @ ClientError::Refused(_)) if error.is_not_sent()), "{result:?}");
}

#[test]
fn reused_connection() {
    let peer = Peer::start(&[&[WHOLE, WHOLE, WHOLE]]);
    let client = client();
    for _ in 0..3 {
        assert_eq!(body(block_on(client.send(peer.address, request(&peer)))).unwrap(), b"ok");
    }
    assert_eq!(peer.request_count(), 3);
}

#[test]
fn replaced_connection() {
    // The first connection takes the second request and closes without an answer.
    let peer = Peer::start(&[&[WHOLE, b""], &[WHOLE]]);
    let client = client();
    assert_eq!(body(block_on(client.send(peer.address, request(&peer)))).unwrap(), b"ok");
    assert_eq!(body(block_on(client.send(peer.address, request(&peer)))).unwrap(), b"ok");
    assert_eq!(peer.request_count(), 3);
}

#[test]
fn single_send() {
    let peer = Peer::start(&[&[WHOLE, b""], &[WHOLE]]);
    let client = client();
    assert_eq!(body(block_on(client.send_once(peer.address, request(&peer)))).unwrap(), b"ok");
    let result = block_on(client.send_once(peer.address, request(&peer)));
    assert!(matches!(result, Err(ClientError::Broken(_))), "{result:?}");
    assert_eq!(peer.request_count(), 2, "a request that may have been taken is not sent again");
}

#[test]
fn fresh_send() {
    let peer = Peer::start(&[&[WHOLE, b""], &[WHOLE]]);
    let client = client();
    assert_eq!(body(block_on(client.send(peer.address, request(&peer)))).unwrap(), b"ok");
    assert_eq!(body(block_on(client.send_fresh(peer.address, request(&peer)))).unwrap(), b"ok");
    assert_eq!(peer.request_count(), 2, "a kept connection is left alone");
}

#[test]
fn swept_connections() {
    let gone: Vec<Peer> = (0..3).map(|_| Peer::start(&[&[WHOLE]])).collect();
    let busy = Peer::start(&[&[WHOLE; 600]]);
    let client = client();
    for peer in &gone {
        // The peer closes after its only answer.
        assert_eq!(body(block_on(client.send(peer.address, request(peer)))).unwrap(), b"ok");
    }
    for _ in 0..600 {
        assert_eq!(body(block_on(client.send(busy.address, request(&busy)))).unwrap(), b"ok");
    }
    assert_eq!(client.idle_count(), 1, "connections to peers that are gone are not kept");
}

#[test]
fn crossed_answer() {
    // What follows an answer on a kept connection must not be taken for the next one.
    let peer = Peer::start(&[
        &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nold"],
        &[WHOLE],
    ]);
    let client = client();
    assert_eq!(body(block_on(client.send(peer.address, request(&peer)))).unwrap(), b"ok");
    assert_eq!(body(block_on(client.send(peer.address, request(&peer)))).unwrap(), b"ok");
}

#[test]
fn large_answer() {
    let peer = Peer::start(&[&[b"HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n"]]);
    assert_eq!(body(block_on(client().send(peer.address, request(&peer)))), Err(ReadError::TooLarge));
}

#[test]
fn event_stream() {
    let peer = Peer::start(&[&[
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1f\r\n: hello\nevent: a\ndata: 1\ndata:2\r\n5\r\n\r\n\r\n\n\r\n0\r\n\r\n",
    ]]);
    let mut events = SseReader::new(block_on(client().send(peer.address, request(&peer))).unwrap());
    let event = block_on(events.next()).unwrap().unwrap();
    assert_eq!((event.event.as_str(), event.data.as_str()), ("a", "1\n2"));
    assert_eq!(block_on(events.next()), Ok(None));
}

#[test]
fn cut_event_stream() {
    let peer = Peer::start(&[&[
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n7\r\ndata: 2\r\n0\r\n\r\n",
    ]]);
    let mut events = SseReader::new(block_on(client().send(peer.address, request(&peer))).unwrap());
    assert_eq!(block_on(events.next()).unwrap().unwrap().data, "1");
    assert!(block_on(events.next()).is_err(), "an event without its end is not whole");
}

/// bytes of one answer that may be taken before its head is given up; sockets hold some megabytes by themselves.
const MOST_HEAD_BYTES: usize = 32 << 20;

/// Guards against a client that collects a head without end until its memory is used up.
#[test_case(b"HTTP/1.1 200 OK\r\nx-more: ", b"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"; "one line")]
#[test_case(b"HTTP/1.1 200 OK\r\n", b"x-more: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"; "many lines")]
#[test_case(b"", b"HTTP/1.1 102 Processing\r\n\r\n"; "interim")]
fn endless_head(start: &'static [u8], piece: &'static [u8]) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("the test's own step succeeds");
    let address = listener.local_addr().expect("the test's own step succeeds");
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the test's own step succeeds");
        assert!(read_head(&mut stream));
        let pieces = piece.repeat(1_000);
        let mut sent_bytes = 0;
        let mut result = stream.write_all(start);
        while result.is_ok() && sent_bytes < 16 * MOST_HEAD_BYTES {
            result = stream.write_all(&pieces);
            sent_bytes += pieces.len();
        }
        sent_bytes
    });
    let client = client();
    let url = Url::parse("http://peer/").expect("the test's own step succeeds");
    let outcome = block_on(client.send_fresh(address, Request::new(Method::Get, url)));
    assert!(matches!(outcome, Err(ClientError::Broken(_))), "{outcome:?}");
    drop(client);
    let sent_bytes = peer.join().expect("the peer ends");
    assert!(sent_bytes < MOST_HEAD_BYTES, "{sent_bytes} bytes were taken");
}
