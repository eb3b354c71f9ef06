use std::sync::Arc;
use std::time::Duration;

use anyhow::anyhow;
use bytes::Bytes;
use flamingo_edge::timeout;
use futures_lite::future;
use futures_lite::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use slog::info;

use crate::door::BufferShare;
use crate::door::SseSplitter;
use crate::door::answer::DoorBody;
use crate::door::attempt::AttemptResult;
use crate::door::attempt::PendingAnswer;
use crate::door::attempt::attempt;
use crate::door::connections::Connection;
use crate::door::door::Door;
use crate::door::door::MAX_LIMIT_WAIT;
use crate::door::lease::Lease;
use crate::door::refusal::Refusal;
use crate::door::reporter::refresh_poison;
use crate::door::request::DoorRequest;
use crate::door::stream_origin::record_origin;
use crate::door::turn::TurnAccount;
use crate::platform::caller_headers;
use crate::platform::is_event_stream;
use crate::routing::ReplicaId;
use crate::routing::ReplicaPick;
use crate::routing::Route;
use crate::routing::Software;

/// relays a stream of server-sent events from a replica to a caller.
///
/// Dropping it, as when the caller disconnects, closes the connection to the replica, which cancels the run.
struct Relay {
    door: Arc<Door>,
    request: DoorRequest,
    route: Arc<Route>,
    /// the software that began the stream.
    software: Software,
    run: ActiveRun,
    splitter: SseSplitter,
    /// memory of what the replica has sent and the caller has not taken.
    share: BufferShare,
    last_event: Option<String>,
    account: Option<TurnAccount>,
    /// attempts counted against the route's limit; a resume after the replica ended does not count.
    attempt_count: u32,
    /// replicas that broke off the stream.
    failed_replicas: Vec<ReplicaId>,
}

/// the run at the replica that currently sends the stream.
struct ActiveRun {
    body: Incoming,
    connection: Connection,
    lease: Lease,
    idle_timeout: Option<Duration>,
}

/// the next step of a stream.
enum StreamStep {
    Event(Bytes),
    End,
    /// the connection closed inside an event or failed, or an event was too large.
    Broken,
    /// the deadline passed.
    TimedOut,
    /// the door is cut off from the replicas; another door goes on with the stream when the caller comes back.
    CutOff,
    /// the replica sent more events than the turn has tokens for.
    Overlong,
}

/// relays a stream event by event, and records each event in `account`.
pub(super) fn relay(
    door: &Arc<Door>,
    request: &DoorRequest,
    route: &Arc<Route>,
    head: PendingAnswer,
    account: Option<TurnAccount>,
) -> Response<DoorBody> {
    let PendingAnswer { response, connection, lease, idle_timeout } = head;
    let (parts, body) = response.into_parts();
    let relay = Relay {
        door: Arc::clone(door),
        request: request.clone(),
        route: Arc::clone(route),
        software: lease.pick.software.clone(),
        run: ActiveRun { body, connection, lease, idle_timeout },
        splitter: SseSplitter::default(),
        share: door.answers.share(),
        last_event: request.caller.last_event_id.clone(),
        account,
        attempt_count: 1,
        failed_replicas: Vec::new(),
    };
    let frames = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.advance().await {
            Ok(Some(event)) => Some((Ok(Frame::data(event)), Some(relay))),
            Ok(None) => {
                relay.finish();
                None
            }
            Err(error) => Some((Err(error), None)),
        }
    });
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    *response.status_mut() = parts.status;
    *response.headers_mut() = caller_headers(&parts.headers);
    response
}

impl Relay {
    /// the next event; `None` once the stream has ended and a retained turn is stored.
    async fn advance(&mut self) -> anyhow::Result<Option<Bytes>> {
        loop {
            match self.next_step().await {
                StreamStep::Event(event) => return Ok(Some(event)),
                StreamStep::End => {
                    if let Some(account) = &mut self.account {
                        account.finish().await?;
                    }
                    return Ok(None);
                }
                StreamStep::TimedOut => {
                    self.log_interruption("timed_out");
                    return Err(anyhow!("request deadline exceeded"));
                }
                StreamStep::CutOff => {
                    self.log_interruption("cut_off");
                    return Err(anyhow!("replicas are out of reach"));
                }
                StreamStep::Overlong => {
                    self.log_interruption("overlong");
                    self.run.lease.mark_resolved();
                    return Err(anyhow!("replica exceeded the token limit of the turn"));
                }
                StreamStep::Broken => {
                    let replica_ended = self.run.lease.probe_after_break().await;
                    if !self.resume(replica_ended).await {
                        self.log_interruption("broken_off");
                        return Err(anyhow!("replica broke off the stream"));
                    }
                }
            }
        }
    }

    async fn next_step(&mut self) -> StreamStep {
        loop {
            if let Some(event) = self.splitter.next_event() {
                if let Some(id) = event.id() {
                    self.last_event = Some(id.to_owned());
                }
                self.run.lease.record_progress();
                // The event is on its way to the caller until the next one is asked for.
                self.share.resize(self.splitter.len() + event.bytes.len());
                let fits = self.account.as_mut().is_none_or(|account| account.record_event(&event));
                return if fits { StreamStep::Event(event.bytes) } else { StreamStep::Overlong };
            }
            let frame = match self.next_frame().await {
                Err(step) => return step,
                Ok(None) if self.splitter.is_empty() => return StreamStep::End,
                Ok(None | Some(Err(_))) => return StreamStep::Broken,
                Ok(Some(Ok(frame))) => frame,
            };
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            if !self.splitter.push(bytes) || !self.share.resize(self.splitter.len()) {
                return StreamStep::Broken;
            }
        }
    }

    /// the next part of the replica's body; an error if the stream ends for another reason.
    ///
    /// Only a stream that may be resumed is given up when the door is cut off: any other one may still go on.
    async fn next_frame(&mut self) -> Result<Option<hyper::Result<Frame<Bytes>>>, StreamStep> {
        let left = self.request.remaining();
        let frame = async { Ok(self.run.body.frame().await) };
        let frame = match self.route.resumable {
            false => timeout(left, frame).await,
            true => {
                let cut_off = async {
                    self.door.reach.until_cut_off().await;
                    Err(StreamStep::CutOff)
                };
                timeout(left, future::or(frame, cut_off)).await
            }
        };
        frame.unwrap_or(Err(StreamStep::TimedOut))
    }

    /// resumes the stream at another replica with the same software after the last relayed event; `false` if that
    /// is not possible.
    async fn resume(&mut self, replica_ended: bool) -> bool {
        // A run whose replica ended does not count as an attempt.
        if !replica_ended {
            self.attempt_count += 1;
        }
        self.failed_replicas.push(self.run.lease.pick.key);
        while self.may_resume().await {
            let Some(pick) = self.pick_next() else {
                return false;
            };
            self.failed_replicas.push(pick.key);
            let lease = Lease::new(&self.door, pick, &self.request);
            match attempt(&self.door, &self.request, lease, self.last_event.as_deref(), None).await {
                AttemptResult::Head(head) if continues_stream(&head) => {
                    self.log_interruption("resumed");
                    self.continue_with(*head);
                    return true;
                }
                AttemptResult::Head(mut head) => {
                    // The replica answered, but with something else than the rest of the stream.
                    head.lease.mark_resolved();
                    self.log_interruption("resume_failed");
                    self.attempt_count += 1;
                }
                AttemptResult::Indeterminate(_) => self.attempt_count += 1,
                AttemptResult::NotRun(_) => {}
            }
        }
        false
    }

    async fn may_resume(&self) -> bool {
        if !self.route.resumable
            || self.attempt_count > self.route.max_attempts
            || self.request.remaining().is_zero()
        {
            return false;
        }
        if self.door.is_suspect(&self.request) {
            refresh_poison(&self.door).await;
        }
        self.door.check_principal(&self.request, &self.route).is_ok()
            && self.door.hold(&self.request, &self.route).is_none()
    }

    fn pick_next(&self) -> Option<ReplicaPick> {
        let Software { service, version } = &self.software;
        let affinity = self.request.affinity(&self.route);
        self.door.pick(service, Some(version), affinity, &self.failed_replicas, MAX_LIMIT_WAIT).ok()
    }

    fn continue_with(&mut self, head: PendingAnswer) {
        let PendingAnswer { response, connection, lease, idle_timeout } = head;
        if let Some(account) = &mut self.account {
            account.set_replica(&lease.pick.id);
        }
        self.run = ActiveRun { body: response.into_body(), connection, lease, idle_timeout };
        self.splitter = SseSplitter::default();
        self.share.resize(0);
    }

    /// returns the connection to the pool.
    fn finish(self) {
        let ActiveRun { connection, mut lease, idle_timeout, .. } = self.run;
        lease.mark_resolved();
        self.door.replica_answered(&lease.pick.id, lease.pick.started_unix_ms, connection.opened);
        self.door.request_succeeded(&self.request);
        self.door.pool_connection(connection, &lease.pick, idle_timeout);
    }

    fn log_interruption(&self, what: &'static str) {
        metrics::counter!("door_streams_disturbed_total", "what" => what).increment(1);
        info!(self.door.log, "stream interrupted"; "request" => self.request.caller.id.as_deref(),
            "what" => what, "replica" => &self.run.lease.pick.id, "last_event" => self.last_event.as_deref(),
            "version" => &self.software.version, "route" => &self.route.name,
            "content" => self.request.content().digest());
    }
}

/// whether an answer goes on with a stream, rather than being an error or a page.
fn continues_stream(head: &PendingAnswer) -> bool {
    head.response.status().is_success() && is_event_stream(head.response.headers())
}

/// answers a streaming request that belongs to no program.
pub(super) async fn stream_without_program(
    door: &Arc<Door>,
    request: &DoorRequest,
    route: &Arc<Route>,
    head: PendingAnswer,
) -> Result<Response<DoorBody>, Refusal> {
    if head.response.status().is_success() {
        if route.resumable && request.caller.take_up.is_none() {
            record_origin(door, request, route, &head.lease.pick.software).await;
        }
        return Ok(relay(door, request, route, head, None));
    }
    crate::door::call::read_full_answer(door, request, head).await.map_err(|_| Refusal::AnswerLost)
}
