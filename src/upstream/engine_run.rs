use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use flamingo_edge::ClientError;
use flamingo_edge::Exchange;
use flamingo_edge::SseReader;
use flamingo_edge::timeout;
use futures_lite::future;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use metrics::counter;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::schema::ChatMessage;
use crate::schema::JobDone;
use crate::schema::JobEvent;
use crate::schema::JobFailed;
use crate::schema::JobFault;
use crate::schema::Token;
use crate::schema::TurnJob;
use crate::schema::Usage;
use crate::upstream::EngineClient;
use crate::upstream::EngineError;
use crate::upstream::cancels::Cancellable;
use crate::upstream::engine_client::Life;
use crate::upstream::engine_client::engine_url;
use crate::upstream::tool_calls::ToolCalls;

/// most bytes of a refusal.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;
/// how often a stream that broke is resumed.
const MAX_RESUMES: u32 = 1;
/// the finish reason of a turn that was cancelled at its engine.
const CANCELLED: &str = "cancelled";

#[derive(Serialize)]
struct GenerateBody<'a> {
    model: &'a str,
    messages: &'a [ChatMessage],
    max_tokens: u64,
    stream: bool,
}

#[derive(Deserialize)]
struct RefusalBody {
    #[serde(default)]
    code: String,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    #[serde(default)]
    usage: Option<ChunkUsage>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
    #[serde(default)]
    tool_calls: Vec<Value>,
}

#[derive(Deserialize)]
struct ChunkUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

/// how a stream stopped short.
enum Stop {
    /// the answer is settled.
    Settled(JobFault, String),
    /// the stream broke off; the engine may have more of it.
    Broken(String),
}

/// one turn at one engine.
pub(super) struct EngineRun<'a> {
    engine: &'a EngineClient,
    address: SocketAddr,
    request_id: &'a str,
    job: &'a TurnJob,
    /// the start of the engine that was known when the turn began.
    incarnation: Option<String>,
    deadline: Instant,
    text: String,
    tool_calls: ToolCalls,
    received_tokens: u64,
    finish_reason: Option<String>,
    usage: Option<Usage>,
    retry_after_ms: Option<u64>,
    cancellable: Cancellable,
}

impl<'a> EngineRun<'a> {
    pub(super) fn new(
        engine: &'a EngineClient,
        address: SocketAddr,
        request_id: &'a str,
        job: &'a TurnJob,
    ) -> Self {
        Self {
            engine,
            address,
            request_id,
            job,
            incarnation: engine.incarnation(address),
            deadline: Instant::now() + Duration::from_millis(job.deadline_ms),
            text: String::new(),
            tool_calls: ToolCalls::default(),
            received_tokens: 0,
            finish_reason: None,
            usage: None,
            retry_after_ms: None,
            cancellable: engine.cancels.register(request_id),
        }
    }

    /// runs the turn and returns its last event.
    pub(super) async fn finish_turn(mut self, on_event: &mut (impl FnMut(JobEvent) + Send)) -> JobEvent {
        let mut resumes = 0;
        let mut stop = self.start(on_event).await;
        loop {
            let why = match stop {
                Ok(()) => return self.done(),
                Err(Stop::Settled(fault, detail)) => return self.failed(fault, detail).await,
                Err(Stop::Broken(why)) => why,
            };
            stop = if resumes < MAX_RESUMES {
                resumes += 1;
                self.resume(why, on_event).await
            } else {
                Err(lost(why, self.life().await))
            };
        }
    }

    async fn start(&mut self, on_event: &mut (impl FnMut(JobEvent) + Send)) -> Result<(), Stop> {
        let request = self.request().map_err(|why| Stop::Settled(JobFault::NotSent, why))?;
        let sent = self.while_alive(self.engine.client.send_once(self.address, request)).await?;
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(ClientError::Refused(why) | ClientError::NotSent(why)) => {
                return Err(Stop::Settled(JobFault::NotSent, why));
            }
            Err(ClientError::Broken(why)) => return Err(Stop::Broken(why)),
        };
        if exchange.response.status() != StatusCode::Ok {
            return Err(self.refusal(exchange).await);
        }
        self.read(exchange, on_event).await
    }

    fn request(&self) -> Result<Request, String> {
        let body = GenerateBody {
            model: &self.job.model,
            messages: &self.job.messages,
            max_tokens: self.job.max_tokens,
            stream: true,
        };
        let bytes = serde_json::to_vec(&body).map_err(|error| error.to_string())?;
        let url = engine_url(self.address, "/v1/chat/completions").map_err(|error| error.to_string())?;
        let mut request = Request::new(Method::Post, url);
        request.set_body(bytes);
        request.insert_header("content-type", "application/json");
        request.insert_header("x-request-id", self.request_id);
        request.insert_header("x-program-id", self.job.program.as_str());
        Ok(request)
    }

    /// tells what a response other than 200 means.
    async fn refusal(&mut self, exchange: Exchange) -> Stop {
        let status = exchange.response.status();
        let retry_after = exchange.response.header("retry-after-ms");
        self.retry_after_ms = retry_after.and_then(|value| value.as_str().parse().ok());
        let read = self.within_deadline(exchange.bytes(MAX_REFUSAL_BYTES)).await;
        let bytes = match read {
            Err(stop) => return stop,
            Ok(Err(error)) => return Stop::Broken(error.to_string()),
            Ok(Ok(bytes)) => bytes,
        };
        let body = serde_json::from_slice::<RefusalBody>(&bytes).ok();
        let code = body.map_or_else(String::new, |body| body.code);
        let detail = format!("the engine answered {status} {code}");
        match (status, code.as_str()) {
            (StatusCode::ServiceUnavailable, "leaving") => Stop::Settled(JobFault::Leaving, detail),
            (StatusCode::ServiceUnavailable, "overloaded") | (StatusCode::TooManyRequests, _) => {
                Stop::Settled(JobFault::Overloaded, detail)
            }
            (status, _) if status.is_client_error() => Stop::Settled(JobFault::Refused, detail),
            _ => Stop::Broken(detail),
        }
    }

    /// reads a stream to its end.
    async fn read(
        &mut self,
        exchange: Exchange,
        on_event: &mut (impl FnMut(JobEvent) + Send),
    ) -> Result<(), Stop> {
        let mut events = SseReader::new(exchange);
        loop {
            let event = match self.next_event(&mut events).await? {
                Ok(Some(event)) => event,
                Ok(None) => return Err(Stop::Broken("the stream ended before its last event".to_owned())),
                Err(error) => return Err(Stop::Broken(error.to_string())),
            };
            if event.data == "[DONE]" {
                // Reading on to the end gives the connection back.
                let _ = self.next_event(&mut events).await?;
                return self.ended();
            }
            let chunk: Chunk = serde_json::from_str(&event.data)
                .map_err(|error| Stop::Broken(format!("an event that is no chunk: {error}")))?;
            self.take(chunk, on_event);
        }
    }

    async fn next_event(
        &self,
        events: &mut SseReader,
    ) -> Result<Result<Option<flamingo_edge::SseEvent>, ClientError>, Stop> {
        // The wait for the first token holds the engine's own queue and is bounded by the deadline alone.
        if self.received_tokens == 0 {
            return self.while_alive(events.next()).await;
        }
        let limit = Duration::from_millis(self.engine.settings.token_timeout_ms);
        let next = self.within_deadline(timeout(limit, events.next())).await?;
        next.ok_or_else(|| Stop::Broken("the stream stalled".to_owned()))
    }

    fn take(&mut self, chunk: Chunk, on_event: &mut (impl FnMut(JobEvent) + Send)) {
        if let Some(usage) = chunk.usage {
            let details = usage.prompt_tokens_details;
            self.usage = Some(Usage {
                prompt_tokens: usage.prompt_tokens,
                cached_tokens: details.map_or(0, |details| details.cached_tokens),
                completion_tokens: usage.completion_tokens,
            });
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            return;
        };
        if choice.finish_reason.is_some() {
            self.finish_reason = choice.finish_reason;
        }
        if !choice.delta.tool_calls.is_empty() {
            self.received_tokens += 1;
            self.tool_calls.add(&choice.delta.tool_calls);
        }
        let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) else {
            return;
        };
        self.received_tokens += 1;
        self.text.push_str(&text);
        on_event(JobEvent::Token(Token { text }));
    }

    /// checks that a stream that ended properly holds a whole answer.
    fn ended(&self) -> Result<(), Stop> {
        if self.finish_reason.as_deref() == Some(CANCELLED) {
            let why = "the turn was cancelled at its engine".to_owned();
            return Err(Stop::Settled(JobFault::Cancelled, why));
        }
        if self.finish_reason.is_none() || self.usage.is_none() {
            return Err(Stop::Broken("the stream ended without finish reason or usage".to_owned()));
        }
        Ok(())
    }

    /// goes on where a stream broke off, or finds out why it cannot.
    async fn resume(
        &mut self,
        why: String,
        on_event: &mut (impl FnMut(JobEvent) + Send),
    ) -> Result<(), Stop> {
        let path = format!("/v1/streams/{}?after={}", self.request_id, self.received_tokens);
        let url = engine_url(self.address, &path);
        let url = url.map_err(|error| Stop::Settled(JobFault::Broken, error.to_string()))?;
        let request = Request::new(Method::Get, url);
        let sent = self.while_alive(self.engine.client.send_fresh(self.address, request)).await?;
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(ClientError::Refused(refused)) => {
                return Err(Stop::Settled(JobFault::Died, format!("{why}; then: {refused}")));
            }
            Err(ClientError::NotSent(again)) => {
                return Err(Stop::Settled(JobFault::Broken, format!("{why}; then: {again}")));
            }
            Err(ClientError::Broken(again)) => return Err(Stop::Broken(format!("{why}; then: {again}"))),
        };
        if exchange.response.status() == StatusCode::Ok {
            counter!("engine_streams_resumed_total").increment(1);
            return self.read(exchange, on_event).await;
        }
        drop(exchange);
        Err(lost(format!("{why}; the engine does not resume it"), self.life().await))
    }

    /// whether the engine that took the turn still lives.
    async fn life(&self) -> Life {
        self.engine.life(self.address, self.incarnation.as_deref()).await
    }

    fn done(self) -> JobEvent {
        let usage = self.usage.unwrap_or(Usage { prompt_tokens: 0, cached_tokens: 0, completion_tokens: 0 });
        JobEvent::Done(JobDone {
            text: self.text,
            finish_reason: self.finish_reason.unwrap_or_default(),
            usage,
            tool_calls: self.tool_calls.into_calls(),
        })
    }

    async fn failed(self, fault: JobFault, detail: String) -> JobEvent {
        let spent_tokens = self.spent_tokens(fault).await;
        JobEvent::Failed(JobFailed { fault, detail, spent_tokens, retry_after_ms: self.retry_after_ms })
    }

    /// the most tokens that the engine spent; a turn that it may still run is cancelled.
    async fn spent_tokens(&self, fault: JobFault) -> u64 {
        match fault {
            JobFault::Refused | JobFault::Leaving | JobFault::NotSent | JobFault::Overloaded => 0,
            JobFault::Died | JobFault::Poison => self.job.prompt_tokens + self.received_tokens,
            JobFault::Broken | JobFault::TooLate | JobFault::Cancelled => {
                if let Some(usage) = &self.usage {
                    return usage.prompt_tokens + usage.completion_tokens;
                }
                let limit_ms = self.engine.settings.settle_timeout_ms;
                match self.engine.cancel_within(self.address, self.request_id, limit_ms).await {
                    Ok(completion_tokens) => self.job.prompt_tokens + completion_tokens,
                    Err(EngineError::Unknown) => self.job.prompt_tokens + self.received_tokens,
                    Err(_) => self.job.prompt_tokens + self.job.max_tokens,
                }
            }
        }
    }

    /// waits for an engine that may take its time, as long as it answers other calls.
    async fn while_alive<T>(&self, work: impl Future<Output = T>) -> Result<T, Stop> {
        let mut work = Box::pin(work);
        let limit = Duration::from_millis(self.engine.settings.token_timeout_ms);
        loop {
            if let Some(result) = self.within_deadline(timeout(limit, work.as_mut())).await? {
                return Ok(result);
            }
            let life = self.within_deadline(self.life()).await?;
            if life != Life::Lives {
                return Err(lost("the engine does not answer the turn".to_owned(), life));
            }
        }
    }

    /// runs `work` until the turn is cancelled or its deadline has passed.
    async fn within_deadline<T>(&self, work: impl Future<Output = T>) -> Result<T, Stop> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let cancelled = async {
            self.cancellable.cancelled().await;
            Err(Stop::Settled(JobFault::Cancelled, "the turn is no longer wanted".to_owned()))
        };
        let work = future::or(cancelled, async { Ok(work.await) });
        let late = || Stop::Settled(JobFault::TooLate, "the deadline of the turn has passed".to_owned());
        timeout(left, work).await.unwrap_or_else(|| Err(late()))
    }
}

/// tells what became of a turn that broke and cannot be resumed.
fn lost(why: String, life: Life) -> Stop {
    match life {
        Life::Gone => Stop::Settled(JobFault::Died, format!("{why}; the engine is gone")),
        Life::Restarted => Stop::Settled(JobFault::Died, format!("{why}; the engine has restarted")),
        Life::Lives => Stop::Settled(JobFault::Broken, why),
        Life::Silent => Stop::Settled(JobFault::Broken, format!("{why}; the engine is silent")),
    }
}
