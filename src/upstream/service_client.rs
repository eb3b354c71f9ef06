use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use flamingo_edge::Client;
use flamingo_edge::ClientError;
use flamingo_edge::ClientSettings;
use flamingo_edge::timeout;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use http_types::Url;
use metrics::counter;
use serde::Deserialize;
use serde_json::Value;

use crate::owner::ServiceOutcome;
use crate::owner::ServiceRequest;

/// most bytes of an answer.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// idle connections kept to each replica for requests that may be repeated.
const IDLE_CONNECTIONS: usize = 8;
/// the longest silence on a connection; each call has its own timeout.
const MAX_SILENCE_MS: u64 = 3_600_000;
/// most attempts of an idempotent call that may have reached a replica.
const MAX_SENT_ATTEMPTS: usize = 3;

/// what a service says of a call by its key.
#[derive(Clone, Debug, PartialEq)]
pub enum LookUp {
    /// it ran.
    Ran {
        /// HTTP status of its answer.
        status: u16,
        /// its answer.
        body: Value,
    },
    /// it did not run and will not.
    NotRun,
    /// some replica did not say.
    Unknown {
        /// why.
        detail: String,
    },
}

/// a client of the plain services.
#[derive(Debug)]
pub struct ServiceClient {
    client: Client,
}

#[derive(Deserialize)]
struct RefusalBody {
    ran: String,
}

#[derive(Deserialize)]
struct FoundBody {
    status: u16,
    body: Value,
}

/// how one attempt at one replica ended.
enum Attempt {
    /// it got a whole answer.
    Answered(u16, Value),
    /// it certainly did not run and will not.
    NotRun(String),
    /// it may have run.
    Unclear(String),
}

impl ServiceClient {
    /// builds a client with no open connections.
    pub fn new(connect_timeout_ms: u64) -> Self {
        let client = Client::new(ClientSettings {
            connect_timeout_ms,
            silence_timeout_ms: MAX_SILENCE_MS,
            idle_per_peer: IDLE_CONNECTIONS,
        });
        Self { client }
    }

    /// makes a call at the first of `replicas` that takes it.
    ///
    /// Another replica is tried while no byte went out, after a refusal that says `not_run`, and after
    /// anything when the call is idempotent.
    pub async fn call(&self, replicas: &[SocketAddr], request: &ServiceRequest) -> ServiceOutcome {
        let outcome = self.first_answer(replicas, request).await;
        let result = match &outcome {
            ServiceOutcome::Answered { .. } => "answered",
            ServiceOutcome::NotSent { .. } => "not_sent",
            ServiceOutcome::Unknown { .. } => "broken",
        };
        counter!("service_calls_total", "result" => result).increment(1);
        outcome
    }

    async fn first_answer(&self, replicas: &[SocketAddr], request: &ServiceRequest) -> ServiceOutcome {
        let deadline = Instant::now() + Duration::from_millis(request.timeout_ms);
        let mut not_run = "the service has no replica".to_owned();
        let mut unclear = None;
        let mut sent_attempts = 0;
        for replica in replicas {
            if Instant::now() >= deadline || sent_attempts == MAX_SENT_ATTEMPTS {
                break;
            }
            match self.attempt(*replica, request, deadline).await {
                Attempt::Answered(status, body) => return ServiceOutcome::Answered { status, body },
                Attempt::NotRun(why) => not_run = format!("{replica}: {why}"),
                Attempt::Unclear(why) if request.idempotent => {
                    sent_attempts += 1;
                    unclear = Some(format!("{replica}: {why}"));
                }
                Attempt::Unclear(why) => {
                    return ServiceOutcome::Unknown { detail: format!("{replica}: {why}") };
                }
            }
        }
        match unclear {
            Some(detail) => ServiceOutcome::Unknown { detail },
            None => ServiceOutcome::NotSent { detail: not_run },
        }
    }

    async fn attempt(&self, replica: SocketAddr, request: &ServiceRequest, deadline: Instant) -> Attempt {
        let message = match encode(replica, request) {
            Ok(message) => message,
            Err(why) => return Attempt::NotRun(why),
        };
        counter!("service_attempts_total").increment(1);
        let left = deadline.saturating_duration_since(Instant::now());
        let attempt = async {
            // A kept connection that breaks cannot tell whether the call was taken, so a call that may
            // not be repeated has a connection of its own.
            let sent = match request.idempotent {
                true => self.client.send_once(replica, message).await,
                false => self.client.send_fresh(replica, message).await,
            };
            match sent {
                Err(ClientError::Refused(why) | ClientError::NotSent(why)) => Attempt::NotRun(why),
                Err(ClientError::Broken(why)) => Attempt::Unclear(why),
                Ok(exchange) => {
                    let status = exchange.response.status();
                    let is_json = has_json(&exchange.response);
                    match exchange.bytes(MAX_ANSWER_BYTES).await {
                        Ok(bytes) => judge(status, is_json, &bytes),
                        Err(error) => Attempt::Unclear(error.to_string()),
                    }
                }
            }
        };
        let late = || Attempt::Unclear("the replica did not answer in time".to_owned());
        timeout(left, attempt).await.unwrap_or_else(late)
    }

    /// asks every replica whether a call ran; only when all say no, it did not.
    ///
    /// `replicas` must hold each replica that the call may have been sent to.
    pub async fn look_up(&self, replicas: &[SocketAddr], key: &str, timeout_ms: u64) -> LookUp {
        let mut not_run = !replicas.is_empty();
        let mut detail = "the service has no replica".to_owned();
        for replica in replicas {
            let asked = self.look_up_at(*replica, key);
            match timeout(Duration::from_millis(timeout_ms), asked).await {
                Some(Ok(Some((status, body)))) => return LookUp::Ran { status, body },
                Some(Ok(None)) => {}
                Some(Err(why)) => {
                    not_run = false;
                    detail = format!("{replica}: {why}");
                }
                None => {
                    not_run = false;
                    detail = format!("{replica} did not answer in time");
                }
            }
        }
        if not_run { LookUp::NotRun } else { LookUp::Unknown { detail } }
    }

    async fn look_up_at(&self, replica: SocketAddr, key: &str) -> Result<Option<(u16, Value)>, String> {
        let mut url = url(replica, "/lookup")?;
        url.path_segments_mut().map_err(|()| "no path".to_owned())?.push(key);
        let sent = self.client.send(replica, Request::new(Method::Get, url)).await;
        let exchange = sent.map_err(|error| error.to_string())?;
        let status = exchange.response.status();
        let bytes = exchange.bytes(MAX_ANSWER_BYTES).await.map_err(|error| error.to_string())?;
        match status {
            StatusCode::Ok => {
                let found: FoundBody = serde_json::from_slice(&bytes).map_err(|error| error.to_string())?;
                Ok(Some((found.status, found.body)))
            }
            StatusCode::NotFound => Ok(None),
            status => Err(format!("the look-up was answered {status}")),
        }
    }
}

/// tells what a whole response means.
fn judge(status: StatusCode, is_json: bool, bytes: &[u8]) -> Attempt {
    if matches!(status, StatusCode::TooManyRequests | StatusCode::ServiceUnavailable) {
        let refusal = serde_json::from_slice::<RefusalBody>(bytes);
        if refusal.is_ok_and(|refusal| refusal.ran == "not_run") {
            return Attempt::NotRun(format!("refused with {status} as not run"));
        }
        if status == StatusCode::ServiceUnavailable {
            return Attempt::Unclear(format!("answered {status} without saying whether it ran"));
        }
    }
    let body = match serde_json::from_slice::<Value>(bytes) {
        Ok(value) => value,
        Err(error) if is_json => return Attempt::Unclear(format!("the answer is no JSON: {error}")),
        Err(_) => Value::from(String::from_utf8_lossy(bytes).into_owned()),
    };
    Attempt::Answered(status.into(), body)
}

fn has_json(response: &Response) -> bool {
    response.header("content-type").is_some_and(|value| value.as_str().starts_with("application/json"))
}

fn encode(replica: SocketAddr, request: &ServiceRequest) -> Result<Request, String> {
    if !request.path.starts_with('/') {
        return Err(format!("the path {:?} does not start with a slash", request.path));
    }
    let mut message = Request::new(Method::Post, url(replica, &request.path)?);
    let headers = [
        ("idempotency-key", &request.call),
        ("x-workspace", &request.workspace),
        ("x-program-id", &request.program),
    ];
    for (name, value) in headers {
        let plain = value.bytes().all(|byte| byte.is_ascii_graphic() || byte == b' ');
        if !plain {
            return Err(format!("{value:?} cannot stand in the header {name}"));
        }
        message.insert_header(name, value.as_str());
    }
    message.set_body(request.body.to_string());
    message.insert_header("content-type", "application/json");
    Ok(message)
}

fn url(replica: SocketAddr, path: &str) -> Result<Url, String> {
    Url::parse(&format!("http://{replica}{path}")).map_err(|error| error.to_string())
}
