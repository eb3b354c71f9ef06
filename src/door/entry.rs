use std::sync::Arc;

use flamingo_edge::timeout;
use futures_lite::future;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use slog::info;

use crate::clock::Deadline;
use crate::clock::Moment;
use crate::door::OwnDoor;
use crate::door::allotment::admit as admit_request;
use crate::door::allotment::allotment_of;
use crate::door::answer::DoorBody;
use crate::door::answer::full_body;
use crate::door::answer::plain_text;
use crate::door::call::run_call;
use crate::door::caller_identity::count_refusal;
use crate::door::door::Door;
use crate::door::pass_on::pass_on;
use crate::door::passed_request::PassGuard;
use crate::door::refusal::Refusal;
use crate::door::request::DoorRequest;
use crate::door::request::deadline;
use crate::door::turn::run_turn;
use crate::platform::CallerRequest;
use crate::platform::MAX_ADDRESSES;
use crate::platform::READINESS_PATH;
use crate::platform::RESOLVE_PATH;
use crate::platform::caller_zone;
use crate::platform::hide_key;
use crate::platform::resolve_body;
use crate::reach::NOT_TAKEN_HEADER;
use crate::routing::RequestKind;
use crate::routing::Route;
use crate::workspace::Principal;

/// who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sender {
    /// a caller.
    Caller,
    /// another door, for a caller of its own.
    Door,
}

/// handles a request.
pub(super) async fn handle_request(
    door: Arc<Door>,
    request: Request<Incoming>,
    sender: Sender,
) -> Response<DoorBody> {
    let received = Moment::now();
    let (mut head, body) = request.into_parts();
    hide_key(&mut head.headers);
    let caller = CallerRequest::from_headers(&head.headers);
    let id = caller.id.clone();
    let mut waiting_caller = WaitingCaller { door: &door, id: id.as_deref(), received, is_answered: false };
    let admission = admit(&door, &head, &caller);
    let label = admission.as_ref().ok().and_then(|admission| door.count_request(&admission.principal));
    let outcome = match admission {
        Ok(admission) => receive(&door, admission, head, body, caller, received, sender).await,
        Err(refusal) => Err(refusal),
    };
    waiting_caller.is_answered = true;
    drop(waiting_caller);
    let elapsed_ms = received.monotonic.elapsed().as_secs_f64() * 1_000.0;
    metrics::histogram!("door_first_byte_ms").record(elapsed_ms);
    metrics::counter!("door_requests_total", "answered" => if outcome.is_ok() { "yes" } else { "no" })
        .increment(1);
    let mut response = outcome.unwrap_or_else(|refusal| {
        let reason: &'static str = refusal.into();
        metrics::counter!("door_refusals_total", "reason" => reason).increment(1);
        count_refusal(label, refusal);
        info!(door.log, "request ended without an answer from a replica"; "request" => id, "reason" => reason,
            "status" => refusal.status().as_u16(),
            "waited_ms" => received.monotonic.elapsed().as_millis() as u64);
        let mut response = refusal.response();
        if sender == Sender::Door && refusal.may_be_served_elsewhere() {
            response.headers_mut().insert(NOT_TAKEN_HEADER, HeaderValue::from_static(reason));
        }
        response
    });
    if door.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// a caller that waits for an answer; logs and counts a disconnect before it.
struct WaitingCaller<'a> {
    door: &'a Door,
    id: Option<&'a str>,
    received: Moment,
    is_answered: bool,
}

impl Drop for WaitingCaller<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        metrics::counter!("door_callers_left_total").increment(1);
        info!(self.door.log, "caller disconnected before the answer"; "request" => self.id,
            "waited_ms" => self.received.monotonic.elapsed().as_millis() as u64);
    }
}

/// what the configuration in force says of a request.
struct Admission {
    route: Arc<Route>,
    principal: Principal,
    max_body_bytes: usize,
}

/// finds the route of a request, and on whose behalf it runs.
fn admit(door: &Door, head: &Parts, caller: &CallerRequest) -> Result<Admission, Refusal> {
    let table = door.table.load();
    let table = table.as_ref().ok_or(Refusal::NoConfiguration)?;
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).ok_or(Refusal::BadRequest)?;
    let route = table.route(host, head.uri.path()).ok_or(Refusal::NoRoute)?;
    let principal = door.identify(table, route, caller)?;
    Ok(Admission { route: Arc::clone(route), principal, max_body_bytes: table.limits.max_body_bytes })
}

async fn read_body(body: Incoming, max_bytes: usize, deadline: Deadline) -> Result<bytes::Bytes, Refusal> {
    let left = deadline.remaining(&Moment::now());
    match timeout(left, Limited::new(body, max_bytes).collect()).await {
        None => Err(Refusal::TooLate),
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Some(Err(_)) => Err(Refusal::BodyBroken),
    }
}

/// reads a request to its end and runs it.
async fn receive(
    door: &Arc<Door>,
    admission: Admission,
    head: Parts,
    body: Incoming,
    caller: CallerRequest,
    received: Moment,
    sender: Sender,
) -> Result<Response<DoorBody>, Refusal> {
    let Admission { route, principal, max_body_bytes } = admission;
    let deadline = deadline(received, &route, &caller);
    if !door.may_take(&route, deadline) {
        return Err(Refusal::Stopping);
    }
    let body = read_body(body, max_body_bytes, deadline).await?;
    let request = DoorRequest {
        method: head.method,
        target: head.uri,
        headers: head.headers,
        caller,
        principal,
        input: body.clone(),
        body,
        home: None,
        software: None,
        needs_certain_software: route.kind == RequestKind::Streaming && route.resumable,
        is_passed_on: sender == Sender::Door,
        deadline,
        is_sent: Arc::default(),
    };
    let answer = async {
        match sender {
            Sender::Caller => run_counted(door, &request, &route).await,
            Sender::Door => run_passed(door, &request, &route).await,
        }
    };
    let exit = async {
        door.until_exit().await;
        Err(Refusal::AnswerLost)
    };
    future::or(answer, exit).await
}

/// runs a request that another door has passed on.
async fn run_passed(
    door: &Arc<Door>,
    request: &DoorRequest,
    route: &Arc<Route>,
) -> Result<Response<DoorBody>, Refusal> {
    let guard = PassGuard::new(door, request)?;
    let answer = run_request(door, request, route).await?;
    Ok(guard.watch(answer))
}

/// runs a request of a caller as far as the allotment of its workspace has room.
///
/// One that another door has passed on is not counted again.
async fn run_counted(
    door: &Arc<Door>,
    request: &DoorRequest,
    route: &Arc<Route>,
) -> Result<Response<DoorBody>, Refusal> {
    let Some((workspace, terms)) = allotment_of(door, &request.principal) else {
        return run_request(door, request, route).await;
    };
    let admitted = admit_request(door, &workspace, terms, request).await?;
    let answer = run_request(door, request, route).await;
    admitted.settle(door, request, &answer);
    answer
}

async fn run_request(
    door: &Arc<Door>,
    request: &DoorRequest,
    route: &Arc<Route>,
) -> Result<Response<DoorBody>, Refusal> {
    if door.reach.is_cut_off() && !request.is_passed_on {
        return pass_on(door, request, route, None).await;
    }
    let answer = match route.kind {
        RequestKind::Streaming => run_turn(door, request, route).await,
        RequestKind::Idempotent | RequestKind::NonIdempotent => run_call(door, request, route).await,
    };
    match answer {
        Err(Refusal::CutOff) if !request.is_passed_on => pass_on(door, request, route, None).await,
        answer => answer,
    }
}

/// handles the platform's readiness check.
pub(super) fn answer_readiness(door: &Door, request: &Request<Incoming>) -> Response<DoorBody> {
    match request.uri().path() {
        READINESS_PATH if door.is_ready() => plain_text(StatusCode::OK, "ready"),
        READINESS_PATH => plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        _ => plain_text(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// handles a directory query: the addresses of doors that a caller should use.
pub(super) fn answer_directory(door: &Door, request: &Request<Incoming>) -> Response<DoorBody> {
    if request.uri().path() != RESOLVE_PATH {
        return plain_text(StatusCode::NOT_FOUND, "no such path");
    }
    let callers = door.addresses.callers.to_string();
    let own = OwnDoor { callers: &callers, zone: &door.settings.instance.zone, is_ready: door.is_ready() };
    let fleet = door.fleet();
    let mut addresses = fleet.addresses(&own, caller_zone(request.uri()));
    addresses.truncate(MAX_ADDRESSES);
    let keep_s = door.settings.bounds.directory_ttl_ms as f64 / 1_000.0;
    let mut response = Response::new(full_body(resolve_body(&addresses, keep_s)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
