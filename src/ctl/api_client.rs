use std::net::SocketAddr;

use flamingo_edge::Client;
use flamingo_edge::ClientSettings;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::ctl::ApiError;
use crate::schema::AdminProblem;
use crate::schema::Ran;

/// how long a connection may take to open.
const CONNECT_TIMEOUT_MS: u64 = 3_000;

/// how long the server may stay silent; an acceptance can take several seconds.
const SILENCE_TIMEOUT_MS: u64 = 20_000;

/// largest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// a client of the administration API.
#[derive(Clone, Debug)]
pub struct ApiClient {
    client: Client,
    server: SocketAddr,
    key: String,
}

impl ApiClient {
    /// talks to an instance with an operator's key.
    pub fn new(server: SocketAddr, key: String) -> Self {
        let client = Client::new(ClientSettings {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            silence_timeout_ms: SILENCE_TIMEOUT_MS,
            idle_per_peer: 1,
        });
        Self { client, server, key }
    }

    /// asks for something.
    pub async fn get(&self, path: &str, query: &[(&str, String)]) -> Result<Value, ApiError> {
        let mut url = self.url(path)?;
        for (name, value) in query {
            url.query_pairs_mut().append_pair(name, value);
        }
        self.send(Request::new(Method::Get, url)).await
    }

    /// asks for a change, with a body in JSON.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Value, ApiError> {
        let mut request = Request::new(Method::Post, self.url(path)?);
        request.set_body(body.to_string().as_str());
        request.insert_header("content-type", "application/json");
        self.send(request).await
    }

    fn url(&self, path: &str) -> Result<Url, ApiError> {
        let text = format!("http://{}{path}", self.server);
        Url::parse(&text).map_err(|error| ApiError::Local(format!("{text}: {error}")))
    }

    async fn send(&self, mut request: Request) -> Result<Value, ApiError> {
        request.insert_header("authorization", format!("Bearer {}", self.key));
        request.insert_header("accept", "application/json");
        let exchange = self.client.send_fresh(self.server, request).await?;
        let status = u16::from(exchange.response.status());
        let bytes = exchange.bytes(MAX_ANSWER_BYTES).await?;
        if (200..300).contains(&status) {
            return parse(&bytes);
        }
        let problem = serde_json::from_slice(&bytes).unwrap_or_else(|_| plain_problem(status, &bytes));
        Err(ApiError::Refused { status, problem: Box::new(problem) })
    }
}

/// reads a wire type out of an answer.
pub(super) fn read<T: DeserializeOwned>(value: &Value) -> Result<T, ApiError> {
    T::deserialize(value).map_err(|error| ApiError::Malformed(error.to_string()))
}

fn parse(bytes: &[u8]) -> Result<Value, ApiError> {
    if bytes.is_empty() {
        return Ok(Value::Null);
    }
    serde_json::from_slice(bytes).map_err(|error| ApiError::Malformed(error.to_string()))
}

/// a refusal that is not in the form of a problem.
fn plain_problem(status: u16, bytes: &[u8]) -> AdminProblem {
    AdminProblem {
        code: format!("http_{status}"),
        ran: Ran::Unknown,
        detail: String::from_utf8_lossy(bytes).trim().to_owned(),
        retry_after_ms: None,
        findings: Vec::new(),
    }
}
