use std::sync::Arc;
use std::time::Duration;

use anyhow::anyhow;
use async_io::Timer;
use flamingo_edge::timeout;
use futures_lite::future;
use futures_lite::stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use slog::info;
use strum::IntoStaticStr;

use crate::clock::Moment;
use crate::door::SseSplitter;
use crate::door::answer::DoorBody;
use crate::door::answer::full_body;
use crate::door::connections::Connection;
use crate::door::connections::SendError;
use crate::door::door::Door;
use crate::door::refusal::Refusal;
use crate::door::request::DoorRequest;
use crate::door::turn::TurnAccount;
use crate::platform::is_event_stream;
use crate::platform::keep_alive_timeout;
use crate::platform::passed_headers;
use crate::reach::NOT_TAKEN_HEADER;
use crate::reach::PASS_HEADER;
use crate::reach::PassTag;
use crate::reach::PassedRequest;
use crate::reach::RUN_AT_HEADER;
use crate::routing::Route;
use crate::schema::DoorHelper;
use crate::schema::DoorRow;

/// doors to which a request is passed on, one after the other, before it is given up.
const MAX_HELPERS: usize = 3;

/// how often a door looks whether a helper that has not answered still takes requests: as often as reports come.
const HELPER_LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// how a door answered that was to take a request; the names are values of a metric and of log lines.
#[derive(IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Passed {
    /// an answer for the caller.
    Answered(Response<DoorBody>),
    /// it has not taken the request, which ran nowhere through it.
    NotTaken,
    /// the request may have run.
    Lost,
    /// the deadline passed; the request may have run.
    TimedOut,
}

/// counts a request as under way through another door until it is dropped.
struct HelperLease {
    door: Arc<Door>,
    callers: String,
}

impl Drop for HelperLease {
    fn drop(&mut self) {
        self.door.helper_choice().end(&self.callers);
    }
}

/// has another door run a request, as this one is cut off from the replicas.
///
/// The other door does all that a door does: it reserves tokens, chooses the replica and records the run. A request
/// that may not run twice is passed on again only if no door has taken it.
///
/// `reserved` is the account of a turn whose tokens this door has reserved. The doors that are asked hold the same
/// reservation; this one ends it with what its caller got.
pub(super) async fn pass_on(
    door: &Arc<Door>,
    request: &DoorRequest,
    route: &Route,
    reserved: Option<TurnAccount>,
) -> Result<Response<DoorBody>, Refusal> {
    let mut account = reserved.or_else(|| TurnAccount::of_passed(door, request, route));
    let mut tried = Vec::new();
    let mut may_have_run = false;
    while tried.len() < MAX_HELPERS && !request.remaining().is_zero() {
        // A door that reaches no ledger node very likely reaches no door either.
        if !door.ledger.is_reachable() {
            break;
        }
        let Some(helper) = door.choose_helper(&tried) else {
            break;
        };
        tried.push(helper.callers.clone());
        if let Some(account) = &mut account {
            account.expect_helper();
        }
        let lease = HelperLease { door: Arc::clone(door), callers: helper.callers.clone() };
        let passed = match route.is_retryable() {
            true => future::or(pass_to(door, request, &helper, lease), lost_helper(door, &helper)).await,
            false => pass_to(door, request, &helper, lease).await,
        };
        let result: &'static str = (&passed).into();
        metrics::counter!("door_passes_total", "result" => result).increment(1);
        if !matches!(passed, Passed::Answered(_)) {
            info!(door.log, "another door brought no answer"; "request" => request.caller.id.as_deref(),
                "door" => &helper.callers, "why" => result, "tries" => tried.len());
        }
        match passed {
            // To the caller, a refused key means that the request ran nowhere.
            Passed::Answered(answer) if may_have_run && answer.status() == StatusCode::UNAUTHORIZED => {
                return Err(Refusal::AnswerLost);
            }
            Passed::Answered(answer) => return Ok(with_account(answer, account)),
            Passed::NotTaken => {}
            Passed::Lost if route.is_retryable() => may_have_run = true,
            Passed::Lost => return Err(Refusal::AnswerLost),
            Passed::TimedOut => return Err(Refusal::TimedOut),
        }
    }
    Err(if may_have_run { Refusal::AnswerLost } else { Refusal::NoHelper })
}

/// counts the events of an answer for the caller; the turn is settled once the answer has ended or is dropped.
fn with_account(answer: Response<DoorBody>, account: Option<TurnAccount>) -> Response<DoorBody> {
    let (mut parts, body) = answer.into_parts();
    let run_at = parts.headers.remove(RUN_AT_HEADER);
    let Some(mut account) = account.filter(|_| parts.status.is_success()) else {
        return Response::from_parts(parts, body);
    };
    if let Some(Ok(replica)) = run_at.as_ref().map(HeaderValue::to_str) {
        account.set_replica(replica);
    }
    let mut splitter = SseSplitter::default();
    let body = body.map_frame(move |frame| {
        if let Some(bytes) = frame.data_ref() {
            account.record_passed(&mut splitter, bytes);
        }
        frame
    });
    Response::from_parts(parts, body.boxed_unsync())
}

/// waits until a helper takes no more requests, as when it has frozen: what may run again does not wait for it.
async fn lost_helper(door: &Door, helper: &DoorRow) -> Passed {
    let own = door.addresses.callers.to_string();
    loop {
        Timer::after(HELPER_LOOK_INTERVAL).await;
        let is_listed = door.fleet().helpers(&own).iter().any(|row| row.helper == helper.helper);
        if !is_listed {
            door.helper_choice().record_failure(door.now_ms(), &helper.callers);
            return Passed::Lost;
        }
    }
}

/// passes a request on to one door.
async fn pass_to(door: &Arc<Door>, request: &DoorRequest, helper: &DoorRow, lease: HelperLease) -> Passed {
    let left = request.remaining();
    match timeout(left, exchange(door, request, helper)).await {
        None => Passed::TimedOut,
        Some(Err(failure)) => {
            door.helper_choice().record_failure(door.now_ms(), &helper.callers);
            match failure {
                SendError::NotSent => Passed::NotTaken,
                SendError::Indeterminate => Passed::Lost,
            }
        }
        Some(Ok((_, response))) if response.headers().contains_key(NOT_TAKEN_HEADER) => {
            door.helper_choice().record_failure(door.now_ms(), &helper.callers);
            Passed::NotTaken
        }
        Some(Ok((connection, response))) => hand_over(door, request, connection, response, lease).await,
    }
}

/// sends a request to another door and waits for the head of its answer.
async fn exchange(
    door: &Door,
    request: &DoorRequest,
    helper: &DoorRow,
) -> Result<(Connection, Response<Incoming>), SendError> {
    let target = helper.helper.as_ref().ok_or(SendError::NotSent)?;
    let address = target.address.parse().map_err(|_| SendError::NotSent)?;
    if let Some(mut connection) = door.helper_connections.take(address) {
        match connection.send(build_request(door, request, target)).await {
            Ok(response) => return Ok((connection, response)),
            // The other door has closed the pooled connection.
            Err(SendError::NotSent) => {}
            Err(SendError::Indeterminate) => return Err(SendError::Indeterminate),
        }
    }
    let mut connection = Connection::open(&door.spawner, address).await.map_err(|_| SendError::NotSent)?;
    let response = connection.send(build_request(door, request, target)).await?;
    Ok((connection, response))
}

fn build_request(door: &Door, request: &DoorRequest, target: &DoorHelper) -> Request<Full<bytes::Bytes>> {
    let mut headers = passed_headers(&request.headers, request.remaining(), &request.principal);
    let passed = PassedRequest {
        receiver: &target.started,
        method: &request.method,
        target: &request.target,
        headers: &headers,
        body: &request.body,
    };
    let (key, cluster) = (&door.settings.mesh_key, &door.settings.cluster);
    let tag = PassTag::new(key, cluster, &door.incarnation, door.next_pass(), &passed);
    if let Ok(value) = HeaderValue::from_str(&tag.to_value()) {
        headers.insert(PASS_HEADER, value);
    }
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    *outgoing.headers_mut() = headers;
    outgoing
}

/// the answer for the caller: a stream event by event, anything else once it is whole.
async fn hand_over(
    door: &Arc<Door>,
    request: &DoorRequest,
    connection: Connection,
    response: Response<Incoming>,
    lease: HelperLease,
) -> Passed {
    let (mut parts, body) = response.into_parts();
    let idle_timeout = keep_alive_timeout(&parts.headers);
    for name in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING] {
        parts.headers.remove(name);
    }
    if parts.status.is_success() && is_event_stream(&parts.headers) {
        let body = stream_body(door, request, Relayed { body, connection, idle_timeout, _lease: lease });
        return Passed::Answered(Response::from_parts(parts, body));
    }
    match timeout(request.remaining(), door.answers.read(body)).await {
        None => Passed::TimedOut,
        Some(Err(_)) => Passed::Lost,
        Some(Ok(body)) => {
            door.helper_connections.put(connection, idle_timeout);
            Passed::Answered(Response::from_parts(parts, full_body(body)))
        }
    }
}

/// the stream of another door. Dropping it closes the connection, which cancels the run.
struct Relayed {
    body: Incoming,
    connection: Connection,
    idle_timeout: Option<Duration>,
    _lease: HelperLease,
}

fn stream_body(door: &Arc<Door>, request: &DoorRequest, relayed: Relayed) -> DoorBody {
    let (door, deadline) = (Arc::clone(door), request.deadline);
    let frames = stream::unfold(Some(relayed), move |relayed| {
        let door = Arc::clone(&door);
        async move {
            let mut relayed = relayed?;
            match timeout(deadline.remaining(&Moment::now()), relayed.body.frame()).await {
                Some(Some(Ok(frame))) => Some((Ok(frame), Some(relayed))),
                Some(Some(Err(error))) => Some((Err(error.into()), None)),
                Some(None) => {
                    door.helper_connections.put(relayed.connection, relayed.idle_timeout);
                    None
                }
                None => Some((Err(anyhow!("request deadline exceeded")), None)),
            }
        }
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
