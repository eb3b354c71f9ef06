use std::sync::Arc;
use std::time::Duration;

use anyhow::anyhow;
use bytes::Bytes;
use flamingo_edge::timeout;
use futures_lite::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use slog::info;

use crate::door::EventCutter;
use crate::door::answer::DoorBody;
use crate::door::attempt::Head;
use crate::door::attempt::Tried;
use crate::door::attempt::attempt;
use crate::door::connections::Connection;
use crate::door::door::Door;
use crate::door::lease::Lease;
use crate::door::refusal::Refusal;
use crate::door::request::DoorRequest;
use crate::door::turn::TurnAccount;
use crate::platform::caller_headers;
use crate::routing::ReplicaId;
use crate::routing::Route;

/// a stream of events on its way from a replica to a caller.
///
/// Dropping it, as when the caller leaves, closes the connection to the replica, which ends the run there.
struct Relay {
    door: Arc<Door>,
    request: DoorRequest,
    route: Arc<Route>,
    run: Run,
    cutter: EventCutter,
    last_event: Option<String>,
    account: Option<TurnAccount>,
    /// replicas that may have run the request.
    run_count: u32,
    /// replicas that broke the stream off.
    broken: Vec<ReplicaId>,
}

/// the replica that a stream comes from.
struct Run {
    body: Incoming,
    connection: Connection,
    lease: Lease,
    keeps: Option<Duration>,
}

/// what comes next of a stream.
enum Next {
    Event(Bytes),
    End,
    /// the replica broke the stream off.
    Broken,
    /// the time is over.
    TimedOut,
    /// the replica goes on beyond the tokens of the turn.
    Overlong,
}

/// hands a stream on, event by event; `account` is told of each.
pub(super) fn relay(
    door: &Arc<Door>,
    request: &DoorRequest,
    route: &Arc<Route>,
    head: Head,
    account: Option<TurnAccount>,
) -> Response<DoorBody> {
    let Head { response, connection, lease, keeps } = head;
    let (parts, body) = response.into_parts();
    let relay = Relay {
        door: Arc::clone(door),
        request: request.clone(),
        route: Arc::clone(route),
        run: Run { body, connection, lease, keeps },
        cutter: EventCutter::default(),
        last_event: request.caller.last_event_id.clone(),
        account,
        run_count: 1,
        broken: Vec::new(),
    };
    let frames = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.advance().await {
            Ok(Some(event)) => Some((Ok(Frame::data(event)), Some(relay))),
            Ok(None) => {
                relay.end();
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
    /// the next event; `None` once the stream is whole and what must last of it is stored.
    async fn advance(&mut self) -> anyhow::Result<Option<Bytes>> {
        loop {
            match self.next().await {
                Next::Event(event) => return Ok(Some(event)),
                Next::End => {
                    if let Some(account) = &mut self.account {
                        account.finish().await?;
                    }
                    return Ok(None);
                }
                Next::TimedOut => {
                    self.note("timed_out");
                    return Err(anyhow!("the time of the route is over"));
                }
                Next::Overlong => {
                    self.note("overlong");
                    self.run.lease.settle();
                    return Err(anyhow!("the replica goes on beyond the tokens of the turn"));
                }
                Next::Broken => {
                    let has_ended = self.run.lease.broke().await;
                    if !self.resume(has_ended).await {
                        self.note("broken_off");
                        return Err(anyhow!("the replica broke the stream off"));
                    }
                }
            }
        }
    }

    async fn next(&mut self) -> Next {
        loop {
            if let Some(event) = self.cutter.cut() {
                if let Some(id) = event.id() {
                    self.last_event = Some(id.to_owned());
                }
                let fits = self.account.as_mut().is_none_or(|account| account.count(&event));
                return if fits { Next::Event(event.bytes) } else { Next::Overlong };
            }
            let frame = match timeout(self.request.left(), self.run.body.frame()).await {
                None => return Next::TimedOut,
                Some(None) if self.cutter.is_empty() => return Next::End,
                Some(None | Some(Err(_))) => return Next::Broken,
                Some(Some(Ok(frame))) => frame,
            };
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            if !self.cutter.push(bytes) {
                return Next::Broken;
            }
        }
    }

    /// goes on at another replica after the last event that has reached the caller.
    async fn resume(&mut self, has_ended: bool) -> bool {
        if !self.route.resumable || self.door.is_held(&self.request, &self.route) {
            return false;
        }
        // A replica that has ended does not count as an attempt.
        if !has_ended {
            self.run_count += 1;
        }
        if self.run_count > self.route.max_attempts {
            return false;
        }
        let service = match self.route.backend(self.door.draw()) {
            Some(service) => service.to_owned(),
            None => return false,
        };
        self.broken.push(self.run.lease.pick.key);
        let affinity = self.request.affinity(&self.route);
        let Some(pick) = self.door.pick(&service, affinity, &self.broken) else {
            return false;
        };
        let lease = Lease::new(&self.door, pick, &self.request);
        let tried = attempt(&self.door, &self.request, lease, self.last_event.as_deref(), None).await;
        let Tried::Head(head) = tried else {
            return false;
        };
        if !head.response.status().is_success() {
            return false;
        }
        self.note("resumed");
        let Head { response, connection, lease, keeps } = *head;
        if let Some(account) = &mut self.account {
            account.runs_at(&lease.pick.id);
        }
        self.run = Run { body: response.into_body(), connection, lease, keeps };
        self.cutter = EventCutter::default();
        true
    }

    /// keeps the connection for later requests.
    fn end(self) {
        let Run { connection, mut lease, keeps, .. } = self.run;
        lease.settle();
        self.door.keep(connection, &lease.pick, keeps);
    }

    fn note(&self, what: &'static str) {
        metrics::counter!("door_streams_disturbed_total", "what" => what).increment(1);
        info!(self.door.log, "a stream was disturbed"; "request" => self.request.caller.id.as_deref(),
            "what" => what, "replica" => &self.run.lease.pick.id, "last_event" => self.last_event.as_deref(),
            "route" => &self.route.name, "content" => self.request.content().digest());
    }
}

/// runs a request that is answered by a stream and belongs to no program.
pub(super) async fn stream_only(
    door: &Arc<Door>,
    request: &DoorRequest,
    route: &Arc<Route>,
    head: Head,
) -> Result<Response<DoorBody>, Refusal> {
    if head.response.status().is_success() {
        return Ok(relay(door, request, route, head, None));
    }
    crate::door::call::read_whole(door, request, head).await.map_err(|_| Refusal::AnswerLost)
}
