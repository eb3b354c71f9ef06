use std::net::SocketAddr;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;
use flamingo_edge::Client;
use flamingo_edge::ClientSettings;
use flamingo_edge::Exchange;
use flamingo_edge::SseReader;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use serde_json::Value;
use serde_json::json;

/// largest answer read.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// a caller of the quickstart: asks where to go and sends requests there.
#[derive(Clone)]
pub(crate) struct Visitor {
    client: Client,
    key: String,
    /// any instance; it tells which one to use.
    pub(crate) first_door: SocketAddr,
}

/// what one turn gave.
#[derive(Clone, Debug)]
pub(crate) struct TurnSeen {
    pub(crate) text: String,
    pub(crate) digest: String,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) turn: u64,
}

impl Visitor {
    pub(crate) fn new(key: &str, first_door: SocketAddr) -> Self {
        let settings =
            ClientSettings { connect_timeout_ms: 1_000, silence_timeout_ms: 30_000, idle_per_peer: 4 };
        Self { client: Client::new(settings), key: key.to_owned(), first_door }
    }

    /// the best address for a program.
    pub(crate) async fn door_of(&self, program: &str) -> anyhow::Result<SocketAddr> {
        let answer = self.get(self.first_door, &format!("/v1/where?program={program}")).await?;
        let address = answer["addresses"][0]["address"].as_str().context("an address for the program")?;
        address.parse().context("an IP and port")
    }

    /// opens a program and returns its identifier and history digest.
    pub(crate) async fn open(
        &self,
        agent_program: &str,
        parent: Option<&str>,
    ) -> anyhow::Result<(String, String)> {
        let mut body = json!({ "agent_program": agent_program });
        if let Some(parent) = parent {
            body["parent"] = json!(parent);
        }
        let answer = self.post(self.first_door, "/v1/programs", &body).await?;
        let program = answer["program"].as_str().context("an identifier")?.to_owned();
        let digest = answer["history"]["digest"].as_str().context("a digest")?.to_owned();
        Ok((program, digest))
    }

    /// asks for a turn, its tokens streamed, and checks that the pieces make up the whole answer.
    pub(crate) async fn turn(&self, program: &str, extends: &str, text: &str) -> anyhow::Result<TurnSeen> {
        let door = self.door_of(program).await?;
        let messages = json!([{ "role": "user", "content": text }]);
        let body = json!({ "extends": extends, "messages": messages, "max_tokens": 48, "stream": true });
        let request =
            self.request(door, Method::Post, &format!("/v1/programs/{program}/turns"), Some(&body))?;
        let exchange = self.client.send(door, request).await?;
        let mut events = SseReader::new(checked(exchange).await?);
        let mut pieces = String::new();
        while let Some(event) = events.next().await? {
            let data: Value = serde_json::from_str(&event.data)?;
            match event.event.as_str() {
                "token" => pieces.push_str(data["text"].as_str().unwrap_or_default()),
                "restarted" => pieces.clear(),
                "answer" => return seen(&data, &pieces),
                other => bail!("{other}: {data}"),
            }
        }
        bail!("the stream ended without an answer")
    }

    /// asks for a call to a plain service.
    pub(crate) async fn call(&self, program: &str, call: &Value) -> anyhow::Result<Value> {
        let door = self.door_of(program).await?;
        self.post(door, &format!("/v1/programs/{program}/calls"), call).await
    }

    /// ends a program and returns its state.
    pub(crate) async fn end(&self, program: &str) -> anyhow::Result<Value> {
        let door = self.door_of(program).await?;
        self.post(door, &format!("/v1/programs/{program}/end"), &json!({ "reason": "finished" })).await
    }

    pub(crate) async fn get(&self, door: SocketAddr, path: &str) -> anyhow::Result<Value> {
        let request = self.request(door, Method::Get, path, None)?;
        let exchange = checked(self.client.send(door, request).await?).await?;
        Ok(serde_json::from_slice(&exchange.bytes(MAX_ANSWER_BYTES).await?)?)
    }

    pub(crate) async fn post(&self, door: SocketAddr, path: &str, body: &Value) -> anyhow::Result<Value> {
        let request = self.request(door, Method::Post, path, Some(body))?;
        let exchange = checked(self.client.send(door, request).await?).await?;
        Ok(serde_json::from_slice(&exchange.bytes(MAX_ANSWER_BYTES).await?)?)
    }

    fn request(
        &self,
        door: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> anyhow::Result<Request> {
        let mut request = Request::new(method, Url::parse(&format!("http://{door}{path}"))?);
        request.insert_header("authorization", format!("Bearer {}", self.key));
        if let Some(body) = body {
            request.set_body(serde_json::to_vec(body)?);
        }
        Ok(request)
    }
}

/// passes a good answer on and turns a refusal into an error with its text.
async fn checked(exchange: Exchange) -> anyhow::Result<Exchange> {
    if exchange.response.status().is_success() {
        return Ok(exchange);
    }
    let status = exchange.response.status();
    let bytes = exchange.bytes(MAX_ANSWER_BYTES).await?;
    bail!("{status}: {}", String::from_utf8_lossy(&bytes))
}

fn seen(answer: &Value, pieces: &str) -> anyhow::Result<TurnSeen> {
    let text = answer["message"]["content"].as_str().unwrap_or_default().to_owned();
    if text != pieces {
        bail!("the streamed pieces differ from the whole answer");
    }
    Ok(TurnSeen {
        text,
        digest: answer["history"]["digest"].as_str().unwrap_or_default().to_owned(),
        prompt_tokens: answer["usage"]["prompt_tokens"].as_u64().unwrap_or(0),
        cached_tokens: answer["usage"]["cached_tokens"].as_u64().unwrap_or(0),
        turn: answer["turn"].as_u64().unwrap_or(0),
    })
}

/// time since `start` in milliseconds.
pub(crate) fn elapsed_ms(start: Instant) -> u64 {
    start.elapsed().as_millis() as u64
}
