use std::net::SocketAddr;
use std::time::Duration;

use async_io::block_on;
use flamingo_edge::Client;
use flamingo_edge::ClientSettings;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use serde_json::Value;

/// largest answer read.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// status and JSON body of an answer; status 0 means that no whole answer came.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

impl Answer {
    /// the code of a problem, or an empty text.
    pub fn code(&self) -> &str {
        self.body["code"].as_str().unwrap_or_default()
    }
}

/// a caller with a key.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    key: String,
    keeps: bool,
}

impl Caller {
    pub fn new(key: &str) -> Self {
        let settings =
            ClientSettings { connect_timeout_ms: 1_000, silence_timeout_ms: 30_000, idle_per_peer: 4 };
        Self { client: Client::new(settings), key: key.to_owned(), keeps: false }
    }

    /// a caller that keeps its connections.
    pub fn kept(key: &str) -> Self {
        Self { keeps: true, ..Self::new(key) }
    }

    /// reads a text.
    pub fn text(&self, peer: SocketAddr, path: &str) -> String {
        let request = self.request(peer, Method::Get, path, None);
        block_on(async {
            let Ok(exchange) = self.client.send(peer, request).await else {
                return String::new();
            };
            let bytes = exchange.bytes(MAX_ANSWER_BYTES).await.unwrap_or_default();
            String::from_utf8_lossy(&bytes).into_owned()
        })
    }

    /// posts a request of an engine's interface and reads the stream to its end.
    pub fn stream(&self, peer: SocketAddr, path: &str, body: &Value, request_id: &str) {
        let mut request = self.request(peer, Method::Post, path, Some(body));
        request.insert_header("x-request-id", request_id);
        block_on(async {
            let mut exchange = self.client.send(peer, request).await.expect("the engine answers");
            while exchange.next_line().await.expect("the stream is whole").is_some() {}
        });
    }

    /// makes an object of the platform.
    pub fn create(&self, peer: SocketAddr, path: &str) {
        let mut request = self.request(peer, Method::Put, path, Some(&Value::Null));
        request.insert_header("if-none-match", "*");
        block_on(async {
            let exchange = self.client.send(peer, request).await.expect("the platform answers");
            exchange.bytes(MAX_ANSWER_BYTES).await.expect("the answer is whole");
        });
    }

    /// sends a request and closes the connection shortly after.
    pub fn hang_up(&self, peer: SocketAddr, path: &str, body: &Value) {
        let request = self.request(peer, Method::Post, path, Some(body));
        block_on(async {
            let sent = self.client.send_fresh(peer, request);
            flamingo_edge::timeout(Duration::from_millis(300), sent).await;
        });
    }

    pub fn get(&self, peer: SocketAddr, path: &str) -> Answer {
        self.send(peer, Method::Get, path, None)
    }

    pub fn post(&self, peer: SocketAddr, path: &str, body: &Value) -> Answer {
        self.send(peer, Method::Post, path, Some(body))
    }

    /// posts to an engine in the name of a program.
    pub fn post_for(&self, peer: SocketAddr, path: &str, body: &Value, program: &str) -> Answer {
        let mut request = self.request(peer, Method::Post, path, Some(body));
        request.insert_header("x-program-id", program);
        request.insert_header("x-request-id", format!("planted-{program}"));
        self.exchange(peer, request)
    }

    pub fn put(&self, peer: SocketAddr, path: &str, body: &Value) -> Answer {
        self.send(peer, Method::Put, path, Some(body))
    }

    fn send(&self, peer: SocketAddr, method: Method, path: &str, body: Option<&Value>) -> Answer {
        self.exchange(peer, self.request(peer, method, path, body))
    }

    fn request(&self, peer: SocketAddr, method: Method, path: &str, body: Option<&Value>) -> Request {
        let url = Url::parse(&format!("http://{peer}{path}")).expect("a test's path is valid");
        let mut request = Request::new(method, url);
        request.insert_header("authorization", format!("Bearer {}", self.key));
        if let Some(body) = body {
            request.set_body(serde_json::to_vec(body).expect("a value serialises"));
        }
        request
    }

    fn exchange(&self, peer: SocketAddr, request: Request) -> Answer {
        block_on(async {
            // A fresh connection each time: tests kill the processes behind kept ones.
            let sent = if self.keeps {
                self.client.send(peer, request).await
            } else {
                self.client.send_fresh(peer, request).await
            };
            let Ok(exchange) = sent else {
                return Answer { status: 0, body: Value::Null };
            };
            let status = u16::from(exchange.response.status());
            match exchange.bytes(MAX_ANSWER_BYTES).await {
                Ok(bytes) => Answer { status, body: serde_json::from_slice(&bytes).unwrap_or(Value::Null) },
                Err(_) => Answer { status: 0, body: Value::Null },
            }
        })
    }
}
