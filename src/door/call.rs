use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use flamingo_edge::timeout;
use hyper::Response;
use slog::info;

use crate::door::answer::DoorBody;
use crate::door::answer::whole;
use crate::door::answer_buffer::ReadFailure;
use crate::door::attempt::Head;
use crate::door::attempt::NotRun;
use crate::door::attempt::Tried;
use crate::door::attempt::Unclear;
use crate::door::attempt::attempt;
use crate::door::door::Door;
use crate::door::lease::Lease;
use crate::door::refusal::Refusal;
use crate::door::request::DoorRequest;
use crate::platform::caller_headers;
use crate::routing::Outcome;
use crate::routing::ReplicaId;
use crate::routing::RequestKind;
use crate::routing::Route;

/// replicas that may say in turn that they have not run a request before it is refused.
const MAX_NOT_RUN: u32 = 4;

/// the tries of one request.
pub(super) struct Tries<'a> {
    door: &'a Arc<Door>,
    request: &'a DoorRequest,
    route: &'a Route,
    service: String,
    tried: Vec<ReplicaId>,
    /// tries whose outcome is unknown.
    unclear: u32,
    not_run: u32,
    last_not_run: Option<NotRun>,
}

impl<'a> Tries<'a> {
    pub fn new(door: &'a Arc<Door>, request: &'a DoorRequest, route: &'a Route) -> Result<Self, Refusal> {
        let service = route.backend(door.draw()).ok_or(Refusal::NoReplica)?.to_owned();
        Ok(Self {
            door,
            request,
            route,
            service,
            tried: Vec::new(),
            unclear: 0,
            not_run: 0,
            last_not_run: None,
        })
    }

    /// tries replicas until one answers, or nothing more may be tried.
    pub async fn head(&mut self) -> Result<Box<Head>, Refusal> {
        loop {
            if self.request.left().is_zero() {
                return Err(if self.unclear > 0 { Refusal::TimedOut } else { Refusal::TooLate });
            }
            if self.door.is_held(self.request, self.route) {
                return Err(if self.unclear > 0 { Refusal::AnswerLost } else { Refusal::Poisoned });
            }
            let Some(pick) = self.door.pick(&self.service, self.request.affinity(self.route), &self.tried)
            else {
                return Err(self.out_of_replicas());
            };
            self.tried.push(pick.key);
            let replica = pick.id.clone();
            let patience = self.patience();
            let started = Instant::now();
            match attempt(self.door, self.request, Lease::new(self.door, pick, self.request), None, patience)
                .await
            {
                Tried::Head(head) => {
                    let latency_ms = started.elapsed().as_secs_f64() * 1_000.0;
                    self.door.patience().record_latency(&self.route.name, latency_ms);
                    return Ok(head);
                }
                Tried::NotRun(why) => {
                    self.note(&replica, why.into(), started);
                    self.not_run += 1;
                    self.last_not_run = Some(why);
                    if self.not_run >= MAX_NOT_RUN {
                        return Err(self.out_of_replicas());
                    }
                }
                Tried::Unclear(why) => {
                    self.note(&replica, why.into(), started);
                    if why == Unclear::Slow {
                        self.door.patience().record_abandoned(&self.route.name);
                    }
                    self.unclear(why)?;
                }
            }
        }
    }

    /// decides whether the request may go on after a try whose outcome is unknown.
    pub fn unclear(&mut self, why: Unclear) -> Result<(), Refusal> {
        self.unclear += 1;
        if why == Unclear::TimedOut {
            return Err(Refusal::TimedOut);
        }
        let again = self.route.is_retryable() && self.unclear < self.route.max_attempts;
        if again { Ok(()) } else { Err(Refusal::AnswerLost) }
    }

    /// writes down a try that brought no answer.
    fn note(&self, replica: &str, why: &'static str, started: Instant) {
        metrics::counter!("door_tries_failed_total", "why" => why).increment(1);
        info!(self.door.log, "a try brought no answer"; "request" => self.request.caller.id.as_deref(),
            "why" => why, "replica" => replica, "route" => &self.route.name,
            "content" => self.request.content().digest(),
            "waited_ms" => started.elapsed().as_millis() as u64, "tries" => self.tried.len(),
            "left_ms" => self.request.left().as_millis() as u64);
    }

    /// how long the next attempt may take, if there may be another one after it.
    fn patience(&self) -> Option<Duration> {
        let is_last = self.unclear + 1 >= self.route.max_attempts;
        if is_last || self.route.kind != RequestKind::Idempotent {
            return None;
        }
        let limit_ms = self.door.patience().timeout_ms(&self.route.name, self.route.target_latency_ms)?;
        // Nothing is gained if the next attempt would have no time either.
        let leaves_time = Duration::from_millis(2 * limit_ms) <= self.request.left();
        leaves_time.then(|| Duration::from_millis(limit_ms))
    }

    fn out_of_replicas(&self) -> Refusal {
        match self.last_not_run {
            _ if self.unclear > 0 => Refusal::AnswerLost,
            None => Refusal::NoReplica,
            Some(NotRun::Shed) => Refusal::AllFull,
            Some(NotRun::Expired) => Refusal::TooLate,
            Some(NotRun::OtherReplica | NotRun::Unreachable) => Refusal::Unreachable,
        }
    }
}

/// runs a request whose answer is handed on whole.
pub(super) async fn call(
    door: &Arc<Door>,
    request: &DoorRequest,
    route: &Route,
) -> Result<Response<DoorBody>, Refusal> {
    let mut tries = Tries::new(door, request, route)?;
    loop {
        let head = tries.head().await?;
        match read_whole(door, request, *head).await {
            Ok(response) => return Ok(response),
            Err(why) => tries.unclear(why)?,
        }
    }
}

/// reads the whole body of an answer, and keeps the connection after it.
pub(super) async fn read_whole(
    door: &Arc<Door>,
    request: &DoorRequest,
    head: Head,
) -> Result<Response<DoorBody>, Unclear> {
    let Head { response, connection, mut lease, keeps } = head;
    let (parts, body) = response.into_parts();
    let body = match timeout(request.left(), door.answers.read(body)).await {
        None => return Err(Unclear::TimedOut),
        Some(Err(ReadFailure::Broken)) => {
            lease.broke().await;
            return Err(Unclear::Broken);
        }
        Some(Err(ReadFailure::TooLarge)) => {
            info!(door.log, "an answer is too large"; "request" => request.caller.id.as_deref(),
                "replica" => &lease.pick.id);
            door.replicas().record_outcome(door.now_ms(), lease.pick.key, Outcome::ConnectionFailed);
            lease.settle();
            return Err(Unclear::TooLarge);
        }
        Some(Ok(body)) => body,
    };
    lease.settle();
    door.keep(connection, &lease.pick, keeps);
    drop(lease);
    let mut response = Response::new(whole(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = caller_headers(&parts.headers);
    Ok(response)
}
