use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use flamingo_edge::timeout;
use futures_lite::future;
use hyper::Response;
use slog::info;

use crate::door::answer::DoorBody;
use crate::door::answer::full_body;
use crate::door::answer_buffer::ReadFailure;
use crate::door::attempt::AttemptResult;
use crate::door::attempt::Indeterminate;
use crate::door::attempt::NotRun;
use crate::door::attempt::PendingAnswer;
use crate::door::attempt::attempt;
use crate::door::door::Door;
use crate::door::door::MAX_LIMIT_WAIT;
use crate::door::lease::Lease;
use crate::door::refusal::Refusal;
use crate::door::reporter::refresh_poison;
use crate::door::request::DoorRequest;
use crate::platform::caller_headers;
use crate::routing::NoPick;
use crate::routing::Outcome;
use crate::routing::ReplicaId;
use crate::routing::ReplicaPick;
use crate::routing::RequestKind;
use crate::routing::Route;

/// attempts that replicas may decline without running the request before it is refused.
const MAX_NOT_RUN: u32 = 4;

/// the attempts of one request.
pub(super) struct Attempts<'a> {
    door: &'a Arc<Door>,
    request: &'a DoorRequest,
    route: &'a Route,
    service: String,
    tried_replicas: Vec<ReplicaId>,
    /// attempts that may have run the request.
    indeterminate_count: u32,
    not_run: u32,
    last_not_run: Option<NotRun>,
    /// time spent waiting for limited replicas.
    limit_wait: Duration,
}

impl<'a> Attempts<'a> {
    pub fn new(door: &'a Arc<Door>, request: &'a DoorRequest, route: &'a Route) -> Result<Self, Refusal> {
        let service = match &request.software {
            Some(software) => software.service.clone(),
            None => route.backend(door.draw()).ok_or(Refusal::NoReplica)?.to_owned(),
        };
        Ok(Self {
            door,
            request,
            route,
            service,
            tried_replicas: Vec::new(),
            indeterminate_count: 0,
            not_run: 0,
            last_not_run: None,
            limit_wait: Duration::ZERO,
        })
    }

    /// tries replicas until one answers or no further attempt is allowed.
    pub async fn run_until_head(&mut self) -> Result<Box<PendingAnswer>, Refusal> {
        loop {
            if self.request.remaining().is_zero() {
                return Err(if self.indeterminate_count > 0 { Refusal::TimedOut } else { Refusal::TooLate });
            }
            // Another door reaches the replicas; what may have run goes there only if it may run again.
            if self.door.reach.is_cut_off() && (self.indeterminate_count == 0 || self.route.is_retryable()) {
                return Err(Refusal::CutOff);
            }
            if self.door.is_suspect(self.request) {
                refresh_poison(self.door).await;
            }
            if let Err(refusal) = self.door.check_principal(self.request, self.route) {
                return Err(if self.indeterminate_count > 0 { Refusal::AnswerLost } else { refusal });
            }
            if let Some(hold) = self.door.hold(self.request, self.route) {
                return Err(if self.indeterminate_count > 0 { Refusal::AnswerLost } else { hold.into() });
            }
            let affinity = self.request.affinity(self.route);
            let version = self.request.software.as_ref().map(|software| software.version.as_str());
            let pick =
                self.door.pick(&self.service, version, affinity, &self.tried_replicas, self.limit_wait);
            let pick = match pick {
                Ok(pick) => pick,
                Err(NoPick::NoReplica) => return Err(self.no_replica_left()),
                Err(NoPick::Limited { retry_after }) => {
                    self.wait_for_limit(retry_after).await?;
                    continue;
                }
            };
            self.tried_replicas.push(pick.key);
            let replica = pick.id.clone();
            let attempt_timeout = self.attempt_timeout();
            let started = Instant::now();
            match self.attempt_until_cut_off(pick, attempt_timeout).await {
                AttemptResult::Head(head) => {
                    let latency_ms = started.elapsed().as_secs_f64() * 1_000.0;
                    self.door.attempt_timeouts().record_latency(&self.route.name, latency_ms);
                    return Ok(head);
                }
                AttemptResult::NotRun(why) => {
                    self.log_failed_attempt(&replica, why.into(), started);
                    self.not_run += 1;
                    self.last_not_run = Some(why);
                    if self.not_run >= MAX_NOT_RUN {
                        return Err(self.no_replica_left());
                    }
                }
                // Checked above; a replica behind a cut does not count as an attempt.
                AttemptResult::Indeterminate(why @ Indeterminate::CutOff) => {
                    self.log_failed_attempt(&replica, why.into(), started);
                }
                AttemptResult::Indeterminate(why) => {
                    self.log_failed_attempt(&replica, why.into(), started);
                    if why == Indeterminate::Slow {
                        self.door.attempt_timeouts().record_abandoned(&self.route.name);
                    }
                    self.record_indeterminate(why)?;
                }
            }
        }
    }

    /// one attempt; a request that may run again does not wait for a replica behind a cut.
    async fn attempt_until_cut_off(&self, pick: ReplicaPick, limit: Option<Duration>) -> AttemptResult {
        let lease = Lease::new(self.door, pick, self.request);
        let attempt = attempt(self.door, self.request, lease, None, limit);
        if !self.route.is_retryable() {
            return attempt.await;
        }
        let cut_off = async {
            self.door.reach.until_cut_off().await;
            AttemptResult::Indeterminate(Indeterminate::CutOff)
        };
        future::or(attempt, cut_off).await
    }

    /// counts an attempt that may have run the request; an error if the request must not be retried.
    pub fn record_indeterminate(&mut self, why: Indeterminate) -> Result<(), Refusal> {
        self.indeterminate_count += 1;
        if why == Indeterminate::TimedOut {
            return Err(Refusal::TimedOut);
        }
        let may_retry = self.route.is_retryable() && self.indeterminate_count < self.route.max_attempts;
        if may_retry { Ok(()) } else { Err(Refusal::AnswerLost) }
    }

    /// logs an attempt that brought no answer.
    fn log_failed_attempt(&self, replica: &str, why: &'static str, started: Instant) {
        metrics::counter!("door_tries_failed_total", "why" => why).increment(1);
        info!(self.door.log, "attempt brought no answer"; "request" => self.request.caller.id.as_deref(),
            "why" => why, "replica" => replica, "route" => &self.route.name,
            "content" => self.request.content().digest(),
            "waited_ms" => started.elapsed().as_millis() as u64, "tries" => self.tried_replicas.len(),
            "left_ms" => self.request.remaining().as_millis() as u64);
    }

    /// time limit of the next attempt; `None` if no further attempt may follow it.
    fn attempt_timeout(&self) -> Option<Duration> {
        let is_last = self.indeterminate_count + 1 >= self.route.max_attempts;
        if is_last || self.route.kind != RequestKind::Idempotent {
            return None;
        }
        let limit_ms =
            self.door.attempt_timeouts().timeout_ms(&self.route.name, self.route.target_latency_ms)?;
        // Giving up early only helps if the attempt after it has as much time.
        let leaves_time = Duration::from_millis(2 * limit_ms) <= self.request.remaining();
        leaves_time.then(|| Duration::from_millis(limit_ms))
    }

    /// waits until a limited replica takes a request again; an error if that is too long.
    async fn wait_for_limit(&mut self, retry_after: Duration) -> Result<(), Refusal> {
        self.limit_wait += retry_after;
        if self.limit_wait <= MAX_LIMIT_WAIT && retry_after < self.request.remaining() {
            Timer::after(retry_after).await;
            return Ok(());
        }
        if self.indeterminate_count > 0 {
            return Err(Refusal::AnswerLost);
        }
        Err(Refusal::Limited { retry_after_ms: retry_after.as_millis() as u64 })
    }

    fn no_replica_left(&self) -> Refusal {
        match self.last_not_run {
            _ if self.indeterminate_count > 0 => Refusal::AnswerLost,
            None => Refusal::NoReplica,
            Some(NotRun::Shed) => Refusal::AllFull,
            Some(NotRun::Expired) => Refusal::TooLate,
            Some(NotRun::OtherReplica | NotRun::OtherProcess | NotRun::Unreachable) => Refusal::Unreachable,
        }
    }
}

/// runs a request whose answer is buffered before it is returned.
pub(super) async fn run_call(
    door: &Arc<Door>,
    request: &DoorRequest,
    route: &Route,
) -> Result<Response<DoorBody>, Refusal> {
    let mut attempts = Attempts::new(door, request, route)?;
    loop {
        let head = attempts.run_until_head().await?;
        match read_full_answer(door, request, *head).await {
            Ok(response) => return Ok(response),
            Err(why) => attempts.record_indeterminate(why)?,
        }
    }
}

/// reads the whole body of an answer and returns the connection to the pool.
pub(super) async fn read_full_answer(
    door: &Arc<Door>,
    request: &DoorRequest,
    head: PendingAnswer,
) -> Result<Response<DoorBody>, Indeterminate> {
    let PendingAnswer { response, connection, mut lease, idle_timeout } = head;
    let (parts, body) = response.into_parts();
    let body = match timeout(request.remaining(), door.answers.read(body)).await {
        None => return Err(Indeterminate::TimedOut),
        Some(Err(ReadFailure::Broken)) => {
            lease.probe_after_break().await;
            return Err(Indeterminate::Broken);
        }
        Some(Err(ReadFailure::TooLarge)) => {
            info!(door.log, "answer exceeds the size limits; discarded";
                "request" => request.caller.id.as_deref(),
                "replica" => &lease.pick.id);
            door.replicas().record_outcome(door.now_ms(), lease.pick.key, Outcome::ConnectionFailed);
            lease.mark_resolved();
            return Err(Indeterminate::TooLarge);
        }
        Some(Ok(body)) => body,
    };
    lease.mark_resolved();
    door.replica_answered(&lease.pick.id, lease.pick.started_unix_ms, connection.opened);
    if parts.status.is_success() {
        door.request_succeeded(request);
    }
    door.pool_connection(connection, &lease.pick, idle_timeout);
    drop(lease);
    let mut response = Response::new(full_body(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = caller_headers(&parts.headers);
    Ok(response)
}
