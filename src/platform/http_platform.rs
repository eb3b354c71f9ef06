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

/// limit of idle connections kept to the platform.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// limit of bytes in a reply; the largest are pages of base64 values with their keys.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;
/// limit of silence on a watch's connection; the call has a timeout of its own.
const WATCH_SILENCE_TIMEOUT_MS: u64 = 120_000;
/// burst of the rate limit, as a share of the calls per second.
const BURST_SHARE: f64 = 0.1;
/// delay after a reply with status 429 that names none.
const DEFAULT_RETRY_AFTER_MS: u64 = 250;

/// options of a platform client.
#[derive(Clone, Copy, Debug)]
pub struct HttpPlatformOptions {
    /// address of the object API.
    pub address: SocketAddr,
    /// limit of calls within any second; a watch counts as one.
    pub calls_per_second: u32,
    /// form of the object API: objects under keys, or named objects of kinds.
    pub form: ObjectForm,
    /// timeout of one attempt, which excludes the wait for the rate limit and the wait that a watch asks for.
    pub timeout_ms: u64,
}

impl TryFrom<&PlatformSettings> for HttpPlatformOptions {
    type Error = anyhow::Error;

    fn try_from(settings: &PlatformSettings) -> Result<Self, Self::Error> {
        Ok(Self {
            address: settings.address.parse().context("platform.address is not an IP address with a port")?,
            calls_per_second: settings.calls_per_second,
            form: settings.form,
            timeout_ms: settings.timeout_ms,
        })
    }
}

/// HTTP client of the platform, with a rate limit over all its clones.
#[derive(Clone)]
pub struct HttpPlatform {
    inner: Arc<Inner>,
}

struct Inner {
    options: HttpPlatformOptions,
    calls: Client,
    watches: Client,
    rate_limit: Mutex<TokenBucket>,
    started_at: Instant,
    call_count: AtomicU64,
}

impl fmt::Debug for HttpPlatform {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("HttpPlatform").field("options", &self.inner.options).finish_non_exhaustive()
    }
}

impl HttpPlatform {
    /// creates a client without opening a connection.
    pub fn new(options: HttpPlatformOptions) -> Self {
        let rate = f64::from(options.calls_per_second);
        let settings = ClientSettings {
            connect_timeout_ms: options.timeout_ms,
            silence_timeout_ms: options.timeout_ms,
            idle_per_peer: MAX_IDLE_CONNECTIONS,
        };
        let watch_settings = ClientSettings { silence_timeout_ms: WATCH_SILENCE_TIMEOUT_MS, ..settings };
        let inner = Inner {
            options,
            calls: Client::new(settings),
            watches: Client::new(watch_settings),
            rate_limit: Mutex::new(TokenBucket::strict(rate, rate * BURST_SHARE)),
            started_at: Instant::now(),
            call_count: AtomicU64::new(0),
        };
        Self { inner: Arc::new(inner) }
    }

    /// attempts made so far, over all kinds of calls.
    pub fn call_count(&self) -> u64 {
        self.inner.call_count.load(Ordering::Relaxed)
    }
}

impl Platform for HttpPlatform {
    fn call(&self, request: PlatformRequest) -> Boxed<PlatformResult> {
        let inner = Arc::clone(&self.inner);
        async move { inner.call(request).await }.boxed()
    }
}

impl Inner {
    async fn call(&self, request: PlatformRequest) -> PlatformResult {
        let kind = request.kind();
        let result = self.call_with_retry(&request).await;
        counter!("platform_calls_total", "kind" => kind, "result" => result_label(&result)).increment(1);
        result
    }

    /// retries a read once, over a new connection, if it got no usable reply. A write may have taken effect
    /// and is never retried here.
    async fn call_with_retry(&self, request: &PlatformRequest) -> PlatformResult {
        match self.attempt(request, false).await {
            Err(AttemptError::Failed(error)) => Err(error),
            Err(AttemptError::Unknown) if is_write(request) => Err(PlatformError::Unknown),
            Err(AttemptError::Unknown) => match self.attempt(request, true).await {
                Err(AttemptError::Failed(error)) => Err(error),
                Err(AttemptError::Unknown) => Err(PlatformError::Unavailable),
                Ok(reply) => Ok(reply),
            },
            Ok(reply) => Ok(reply),
        }
    }

    async fn attempt(
        &self,
        request: &PlatformRequest,
        new_connection: bool,
    ) -> Result<PlatformReply, AttemptError> {
        let message = self.encode(request).map_err(PlatformError::Invalid)?;
        self.wait_for_rate_limit().await?;
        self.call_count.fetch_add(1, Ordering::Relaxed);
        let time_limit = Duration::from_millis(self.attempt_timeout_ms(request));
        match timeout(time_limit, self.exchange(request, message, new_connection)).await {
            None => Err(AttemptError::Unknown),
            Some(result) => result,
        }
    }

    fn encode(&self, request: &PlatformRequest) -> Result<Request, String> {
        match self.options.form {
            ObjectForm::Keyed => keyed_objects::encode(self.options.address, request),
            ObjectForm::Named => named_objects::encode(self.options.address, request),
        }
    }

    fn attempt_timeout_ms(&self, request: &PlatformRequest) -> u64 {
        match request {
            PlatformRequest::Watch { wait_ms, .. } => self.options.timeout_ms + wait_ms,
            _ => self.options.timeout_ms,
        }
    }

    /// waits until the rate limit of this process permits a call; fails at once if that takes longer than the
    /// timeout of a call.
    async fn wait_for_rate_limit(&self) -> Result<(), PlatformError> {
        let max_wait = Duration::from_millis(self.options.timeout_ms);
        let now = self.started_at.elapsed();
        let reserved = self.rate_limit.lock().expect("rate limit lock poisoned").reserve(now, 1.0, max_wait);
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
        new_connection: bool,
    ) -> Result<PlatformReply, AttemptError> {
        let client = match request {
            PlatformRequest::Watch { .. } => &self.watches,
            _ => &self.calls,
        };
        let address = self.options.address;
        let sent = if new_connection {
            client.send_fresh(address, message).await
        } else {
            client.send_once(address, message).await
        };
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(ClientError::Refused(_) | ClientError::NotSent(_)) => {
                return Err(PlatformError::Unavailable.into());
            }
            Err(ClientError::Broken(_)) => return Err(AttemptError::Unknown),
        };
        let status = exchange.response.status();
        let version = keyed_objects::version(&exchange.response);
        let retry_after_ms =
            keyed_objects::retry_after_ms(&exchange.response).unwrap_or(DEFAULT_RETRY_AFTER_MS);
        // These statuses are conclusive, even if the body is cut off.
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
                return Err(
                    PlatformError::Invalid(format!("the platform replied with status {status}")).into()
                );
            }
            status if !status.is_success() => return Err(AttemptError::Unknown),
            _ => {}
        }
        let body = body.map_err(|_| AttemptError::Unknown)?;
        let reply = match self.options.form {
            ObjectForm::Keyed => keyed_objects::decode(request, version, body),
            ObjectForm::Named => named_objects::decode(request, &body),
        };
        reply.map_err(|why| PlatformError::Invalid(why).into())
    }
}

/// why an attempt failed.
enum AttemptError {
    /// conclusive; the call is not retried.
    Failed(PlatformError),
    /// no usable reply; the call may have taken effect.
    Unknown,
}

impl From<PlatformError> for AttemptError {
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

fn result_label(result: &PlatformResult) -> &'static str {
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
