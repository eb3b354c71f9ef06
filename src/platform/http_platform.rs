use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use async_io::Timer;
use flamingo_edge::Client;
use flamingo_edge::ClientError;
use flamingo_edge::ClientSettings;
use flamingo_edge::TokenBucket;
use flamingo_edge::timeout;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http_types::Request;
use http_types::StatusCode;
use metrics::counter;

use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::platform::keyed_objects;
use crate::platform::named_objects;
use crate::schema::ObjectForm;
use crate::schema::PlatformSettings;

/// idle connections kept to the platform.
const IDLE_CONNECTIONS: usize = 16;
/// most bytes of a reply: a page of values in base64 with their keys.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;
/// the longest silence on the connection of a watch; the call has its own timeout.
const MAX_WATCH_MS: u64 = 120_000;
/// part of the calls of a second that may go out at once.
const BURST_SHARE: f64 = 0.1;
/// when to come back after a refusal that does not say so.
const DEFAULT_RETRY_AFTER_MS: u64 = 250;

/// settings of a platform client.
#[derive(Clone, Copy, Debug)]
pub struct HttpPlatformOptions {
    /// address of the object API.
    pub address: SocketAddr,
    /// most calls made in any second; a watch counts as one.
    pub calls_per_second: u32,
    /// form of the object API.
    pub form: ObjectForm,
    /// how long one call may take, its wait for the rate budget and a watch's own wait excluded.
    pub timeout_ms: u64,
}

impl TryFrom<&PlatformSettings> for HttpPlatformOptions {
    type Error = anyhow::Error;

    fn try_from(settings: &PlatformSettings) -> Result<Self, Self::Error> {
        Ok(Self {
            address: settings.address.parse().context("the platform's address")?,
            calls_per_second: settings.calls_per_second,
            form: settings.form,
            timeout_ms: settings.timeout_ms,
        })
    }
}

/// the platform over HTTP, within a rate budget that is kept.
#[derive(Clone)]
pub struct HttpPlatform {
    shared: Arc<Shared>,
}

struct Shared {
    options: HttpPlatformOptions,
    calls: Client,
    watches: Client,
    budget: Mutex<TokenBucket>,
    started_at: Instant,
    call_count: AtomicU64,
}

impl fmt::Debug for HttpPlatform {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("HttpPlatform").field("options", &self.shared.options).finish_non_exhaustive()
    }
}

impl HttpPlatform {
    /// builds a client; no connection is opened yet.
    pub fn new(options: HttpPlatformOptions) -> Self {
        let rate = f64::from(options.calls_per_second);
        let settings = ClientSettings {
            connect_timeout_ms: options.timeout_ms,
            silence_timeout_ms: options.timeout_ms,
            idle_per_peer: IDLE_CONNECTIONS,
        };
        let watch_settings = ClientSettings { silence_timeout_ms: MAX_WATCH_MS, ..settings };
        let shared = Shared {
            options,
            calls: Client::new(settings),
            watches: Client::new(watch_settings),
            budget: Mutex::new(TokenBucket::strict(rate, rate * BURST_SHARE)),
            started_at: Instant::now(),
            call_count: AtomicU64::new(0),
        };
        Self { shared: Arc::new(shared) }
    }

    /// calls made so far, of all kinds.
    pub fn call_count(&self) -> u64 {
        self.shared.call_count.load(Ordering::Relaxed)
    }
}

impl Platform for HttpPlatform {
    fn call(&self, request: PlatformRequest) -> Boxed<PlatformResult> {
        let shared = Arc::clone(&self.shared);
        async move { shared.call(request).await }.boxed()
    }
}

impl Shared {
    async fn call(&self, request: PlatformRequest) -> PlatformResult {
        let kind = request.kind();
        let result = self.call_with_retry(&request).await;
        counter!("platform_calls_total", "kind" => kind, "result" => result_name(&result)).increment(1);
        result
    }

    /// repeats a read whose reply broke once, over a new connection; a write is never repeated here.
    async fn call_with_retry(&self, request: &PlatformRequest) -> PlatformResult {
        match self.attempt(request, false).await {
            Err(Attempt::Failed(error)) => Err(error),
            Err(Attempt::Broken) if is_write(request) => Err(PlatformError::Unknown),
            Err(Attempt::Broken) => match self.attempt(request, true).await {
                Err(Attempt::Failed(error)) => Err(error),
                Err(Attempt::Broken) => Err(PlatformError::Unavailable),
                Ok(reply) => Ok(reply),
            },
            Ok(reply) => Ok(reply),
        }
    }

    async fn attempt(&self, request: &PlatformRequest, fresh: bool) -> Result<PlatformReply, Attempt> {
        let message = self.encode(request).map_err(PlatformError::Invalid)?;
        self.wait_for_budget().await?;
        self.call_count.fetch_add(1, Ordering::Relaxed);
        let limit = Duration::from_millis(self.limit_ms(request));
        match timeout(limit, self.exchange(request, message, fresh)).await {
            None => Err(Attempt::Broken),
            Some(result) => result,
        }
    }

    fn encode(&self, request: &PlatformRequest) -> Result<Request, String> {
        match self.options.form {
            ObjectForm::Keyed => keyed_objects::encode(self.options.address, request),
            ObjectForm::Named => named_objects::encode(self.options.address, request),
        }
    }

    fn limit_ms(&self, request: &PlatformRequest) -> u64 {
        match request {
            PlatformRequest::Watch { wait_ms, .. } => self.options.timeout_ms + wait_ms,
            _ => self.options.timeout_ms,
        }
    }

    /// waits for the rate budget of this process; a wait beyond the timeout of a call is refused at once.
    async fn wait_for_budget(&self) -> Result<(), PlatformError> {
        let max_wait = Duration::from_millis(self.options.timeout_ms);
        let now = self.started_at.elapsed();
        let reserved = self.budget.lock().expect("budget lock poisoned").reserve(now, 1.0, max_wait);
        match reserved {
            Err(wait) => Err(PlatformError::RateLimited { retry_after_ms: wait.as_millis() as u64 + 1 }),
            Ok(Duration::ZERO) => Ok(()),
            Ok(wait) => {
                Timer::after(wait).await;
                Ok(())
            }
        }
    }

    async fn exchange(
        &self,
        request: &PlatformRequest,
        message: Request,
        fresh: bool,
    ) -> Result<PlatformReply, Attempt> {
        let client = match request {
            PlatformRequest::Watch { .. } => &self.watches,
            _ => &self.calls,
        };
        let address = self.options.address;
        let sent = if fresh {
            client.send_fresh(address, message).await
        } else {
            client.send_once(address, message).await
        };
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(ClientError::Refused(_) | ClientError::NotSent(_)) => {
                return Err(PlatformError::Unavailable.into());
            }
            Err(ClientError::Broken(_)) => return Err(Attempt::Broken),
        };
        let status = exchange.response.status();
        let version = keyed_objects::version(&exchange.response);
        let retry_after_ms =
            keyed_objects::retry_after_ms(&exchange.response).unwrap_or(DEFAULT_RETRY_AFTER_MS);
        // The status alone settles a refusal, whole body or not.
        let body = exchange.bytes(MAX_REPLY_BYTES).await;
        match status {
            StatusCode::NotFound => return Err(PlatformError::NotFound.into()),
            StatusCode::PreconditionFailed | StatusCode::Conflict => {
                return Err(PlatformError::Conflict.into());
            }
            StatusCode::Gone => return Err(PlatformError::Gap.into()),
            StatusCode::TooManyRequests => return Err(PlatformError::RateLimited { retry_after_ms }.into()),
            StatusCode::ServiceUnavailable => return Err(PlatformError::Unavailable.into()),
            status if status.is_client_error() => {
                return Err(PlatformError::Invalid(format!("the platform answered {status}")).into());
            }
            status if !status.is_success() => return Err(Attempt::Broken),
            _ => {}
        }
        let body = body.map_err(|_| Attempt::Broken)?;
        let reply = match self.options.form {
            ObjectForm::Keyed => keyed_objects::decode(request, version, body),
            ObjectForm::Named => named_objects::decode(request, &body),
        };
        reply.map_err(|why| PlatformError::Invalid(why).into())
    }
}

/// how one attempt failed.
enum Attempt {
    /// its outcome is known.
    Failed(PlatformError),
    /// the reply was lost; the call may have taken effect.
    Broken,
}

impl From<PlatformError> for Attempt {
    fn from(error: PlatformError) -> Self {
        Self::Failed(error)
    }
}

fn is_write(request: &PlatformRequest) -> bool {
    match request {
        PlatformRequest::Create { .. }
        | PlatformRequest::Update { .. }
        | PlatformRequest::SetStatus { .. }
        | PlatformRequest::Delete { .. } => true,
        PlatformRequest::Get { .. }
        | PlatformRequest::List { .. }
        | PlatformRequest::Watch { .. }
        | PlatformRequest::Instances => false,
    }
}

fn result_name(result: &PlatformResult) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(PlatformError::NotFound) => "not_found",
        Err(PlatformError::Conflict) => "conflict",
        Err(PlatformError::Gap) => "gap",
        Err(PlatformError::RateLimited { .. }) => "rate_limited",
        Err(PlatformError::Unavailable) => "unavailable",
        Err(PlatformError::Unknown) => "unknown",
        Err(PlatformError::Invalid(_)) => "invalid",
    }
}
