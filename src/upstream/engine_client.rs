use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use flamingo_edge::Client;
use flamingo_edge::ClientSettings;
use flamingo_edge::timeout;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::Url;
use metrics::counter;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::schema::JobEvent;
use crate::schema::TurnJob;
use crate::upstream::CacheEventPage;
use crate::upstream::CacheHold;
use crate::upstream::EngineError;
use crate::upstream::EngineLoad;
use crate::upstream::EngineOrders;
use crate::upstream::EngineState;
use crate::upstream::Export;
use crate::upstream::cancels::Cancels;
use crate::upstream::engine_run::EngineRun;

/// most bytes of a reply that is not streamed.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// idle connections kept to each engine.
const IDLE_CONNECTIONS: usize = 32;
/// the longest silence on a connection; runs and waits have their own timeouts.
const MAX_SILENCE_MS: u64 = 3_600_000;

/// how long to wait before asking again an engine that broke off the question whether it lives.
const ENDING_PAUSE: Duration = Duration::from_millis(50);

/// timeouts of an engine client.
#[derive(Clone, Copy, Debug)]
pub struct EngineClientSettings {
    /// how long a connection may take to open.
    pub connect_timeout_ms: u64,
    /// how long a short call may take.
    pub call_timeout_ms: u64,
    /// how long a stream may pause between two tokens, and how often an engine that is still to send the
    /// first one is asked whether it lives.
    pub token_timeout_ms: u64,
    /// how long an engine is asked about a turn that failed.
    pub settle_timeout_ms: u64,
}

impl Default for EngineClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            call_timeout_ms: 2_000,
            token_timeout_ms: 5_000,
            settle_timeout_ms: 500,
        }
    }
}

/// a client of the model engines.
#[derive(Debug)]
pub struct EngineClient {
    pub(super) settings: EngineClientSettings,
    pub(super) client: Client,
    pub(super) cancels: Cancels,
    /// the start of each engine that was last seen, to notice one that died and came back.
    incarnations: Mutex<HashMap<SocketAddr, String>>,
}

/// whether an engine lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Life {
    /// it answers.
    Lives,
    /// it answers, but it is another start than the one last seen.
    Restarted,
    /// nothing listens at its address.
    Gone,
    /// it does not answer.
    Silent,
}

#[derive(Deserialize)]
struct TokensBody {
    tokens: u64,
}

#[derive(Deserialize)]
struct CancelledBody {
    completion_tokens: u64,
}

#[derive(Deserialize)]
struct StateBody {
    state: EngineState,
}

#[derive(Deserialize)]
struct FenceBody {
    fence: u64,
}

impl EngineClient {
    /// builds a client with no open connections.
    pub fn new(settings: EngineClientSettings) -> Self {
        let client = Client::new(ClientSettings {
            connect_timeout_ms: settings.connect_timeout_ms,
            silence_timeout_ms: MAX_SILENCE_MS,
            idle_per_peer: IDLE_CONNECTIONS,
        });
        Self { settings, client, cancels: Cancels::default(), incarnations: Mutex::default() }
    }

    /// runs a turn and reports its tokens, then exactly one `Done` or `Failed`.
    ///
    /// Dropping the future hangs up, which lets the engine cancel the turn after a while.
    pub async fn run(
        &self,
        address: SocketAddr,
        request_id: &str,
        job: &TurnJob,
        mut on_event: impl FnMut(JobEvent) + Send,
    ) {
        let run = EngineRun::new(self, address, request_id, job);
        let last = run.finish_turn(&mut on_event).await;
        let result = match &last {
            JobEvent::Failed(failed) => failed.fault.to_string(),
            _ => "done".to_owned(),
        };
        counter!("engine_turns_total", "result" => result).increment(1);
        on_event(last);
    }

    /// cancels a turn and returns the tokens that it generated.
    ///
    /// A `run` of this client that waits for the turn ends at once as cancelled, whatever the engine does.
    pub async fn cancel(&self, address: SocketAddr, request_id: &str) -> Result<u64, EngineError> {
        self.cancels.cancel(request_id);
        self.cancel_within(address, request_id, self.settings.call_timeout_ms).await
    }

    /// forgets what is known of engines other than these.
    pub fn retain(&self, addresses: &BTreeSet<SocketAddr>) {
        let mut incarnations = self.incarnations.lock().expect("incarnations lock poisoned");
        incarnations.retain(|address, _| addresses.contains(address));
    }

    /// reads the load.
    pub async fn load(&self, address: SocketAddr) -> Result<EngineLoad, EngineError> {
        self.load_within(address, self.settings.call_timeout_ms).await
    }

    /// cancels a turn whose end is waited for.
    pub(super) async fn cancel_within(
        &self,
        address: SocketAddr,
        request_id: &str,
        limit_ms: u64,
    ) -> Result<u64, EngineError> {
        let path = format!("/v1/streams/{request_id}/cancel");
        let body = json!({});
        let cancelled = self.call_within("cancel", address, Method::Post, &path, Some(&body), limit_ms);
        let body: CancelledBody = cancelled.await?;
        Ok(body.completion_tokens)
    }

    /// reads the load and remembers the start of the engine.
    async fn load_within(&self, address: SocketAddr, limit_ms: u64) -> Result<EngineLoad, EngineError> {
        let load: EngineLoad =
            self.call_within("load", address, Method::Get, "/v1/load", None, limit_ms).await?;
        let mut incarnations = self.incarnations.lock().expect("incarnations lock poisoned");
        incarnations.insert(address, load.incarnation.clone());
        Ok(load)
    }

    /// the start of the engine at `address` that was last seen.
    pub(super) fn incarnation(&self, address: SocketAddr) -> Option<String> {
        self.incarnations.lock().expect("incarnations lock poisoned").get(&address).cloned()
    }

    /// asks an engine that does not answer a turn whether it lives and is still the start `before`.
    pub(super) async fn life(&self, address: SocketAddr, before: Option<&str>) -> Life {
        let mut load = self.load_within(address, self.settings.settle_timeout_ms).await;
        if matches!(load, Err(EngineError::Broken(_))) {
            // A process that ends may still take a connection in the moment before its listener closes.
            Timer::after(ENDING_PAUSE).await;
            load = self.load_within(address, self.settings.settle_timeout_ms).await;
        }
        match load {
            Ok(load) if before.is_some_and(|before| before != load.incarnation) => Life::Restarted,
            Ok(_) => Life::Lives,
            Err(EngineError::Gone(_)) => Life::Gone,
            Err(_) => Life::Silent,
        }
    }

    /// waits for cache events after a number.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
        wait_ms: u64,
    ) -> Result<CacheEventPage, EngineError> {
        let path = format!("/v1/cache/events?after={after}&wait_ms={wait_ms}");
        let limit_ms = self.settings.call_timeout_ms + wait_ms;
        self.call_within("cache_events", address, Method::Get, &path, None, limit_ms).await
    }

    /// lists the programs whose cache the engine holds.
    pub async fn holds(&self, address: SocketAddr) -> Result<Vec<CacheHold>, EngineError> {
        self.call("holds", address, Method::Get, "/v1/cache/holds", None).await
    }

    /// drops the cache of a program and returns its tokens; doing so twice is harmless.
    pub async fn release(&self, address: SocketAddr, program: &str) -> Result<u64, EngineError> {
        let body = json!({ "program": program });
        let body: TokensBody =
            self.call("release", address, Method::Post, "/v1/cache/release", Some(&body)).await?;
        Ok(body.tokens)
    }

    /// makes the cache of a program ready for another engine.
    pub async fn export(&self, address: SocketAddr, program: &str) -> Result<Export, EngineError> {
        let body = json!({ "program": program });
        self.call("export", address, Method::Post, "/v1/cache/export", Some(&body)).await
    }

    /// takes the cache of a program over from another engine, and returns its tokens.
    pub async fn import(
        &self,
        address: SocketAddr,
        from: SocketAddr,
        handle: &str,
        program: &str,
    ) -> Result<u64, EngineError> {
        let body = json!({ "from": from, "handle": handle, "program": program });
        let body: TokensBody =
            self.call("import", address, Method::Post, "/v1/cache/import", Some(&body)).await?;
        Ok(body.tokens)
    }

    /// orders an engine to become something.
    pub async fn order(
        &self,
        address: SocketAddr,
        fence: u64,
        wanted: &EngineState,
    ) -> Result<EngineState, EngineError> {
        let body = json!({ "fence": fence, "wanted": wanted });
        let body: StateBody = self.call("order", address, Method::Post, "/v1/orders", Some(&body)).await?;
        Ok(body.state)
    }

    /// reads the last order that an engine obeyed.
    pub async fn state(&self, address: SocketAddr) -> Result<EngineOrders, EngineError> {
        self.call("state", address, Method::Get, "/v1/orders", None).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        kind: &'static str,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<T, EngineError> {
        self.call_within(kind, address, method, path, body, self.settings.call_timeout_ms).await
    }

    async fn call_within<T: DeserializeOwned>(
        &self,
        kind: &'static str,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
        limit_ms: u64,
    ) -> Result<T, EngineError> {
        // Boxed, so that the futures of callers stay small.
        let attempt = Box::pin(self.exchange(address, method, path, body));
        let result = match timeout(Duration::from_millis(limit_ms), attempt).await {
            None => Err(EngineError::Broken("the engine did not answer in time".to_owned())),
            Some(result) => result,
        };
        let name = result.as_ref().map_or_else(EngineError::name, |_| "ok");
        counter!("engine_calls_total", "kind" => kind, "result" => name).increment(1);
        let bytes = result?;
        serde_json::from_slice(&bytes).map_err(|error| EngineError::Invalid(error.to_string()))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Vec<u8>, EngineError> {
        let mut request = Request::new(method, engine_url(address, path)?);
        if let Some(body) = body {
            request.set_body(body.to_string());
            request.insert_header("content-type", "application/json");
        }
        let exchange = self.client.send(address, request).await?;
        let status = exchange.response.status();
        let bytes = exchange.bytes(MAX_REPLY_BYTES).await;
        let bytes = bytes.map_err(|error| EngineError::Broken(error.to_string()))?;
        match status {
            StatusCode::Ok => Ok(bytes),
            StatusCode::NotFound => Err(EngineError::Unknown),
            StatusCode::Conflict => {
                let body: FenceBody = serde_json::from_slice(&bytes)
                    .map_err(|_| EngineError::Refused { status: status.into() })?;
                Err(EngineError::OldFence { fence: body.fence })
            }
            status => Err(EngineError::Refused { status: status.into() }),
        }
    }
}

/// the URL of a call; the identifiers in its path come from this system.
pub(super) fn engine_url(address: SocketAddr, path: &str) -> Result<Url, EngineError> {
    Url::parse(&format!("http://{address}{path}")).map_err(|error| EngineError::NotSent(error.to_string()))
}
