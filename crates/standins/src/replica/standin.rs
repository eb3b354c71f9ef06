use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use anyhow::Result;
use async_io::Timer;
use flamingo_edge::Incoming;
use flamingo_edge::Spawner;
use flamingo_edge::streamed;
use http_types::Response;
use http_types::StatusCode;
use serde_json::Value;
use serde_json::json;

use super::ReplicaFault;
use crate::host::Host;

/// time after which the connection of a short answer ends.
const SHORT_ANSWER_TIME: Duration = Duration::from_millis(50);

/// settings of a replica stand-in.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// id under which it is listed.
    pub id: String,
    /// service that it belongs to.
    pub service: String,
    /// availability zone.
    pub zone: String,
    /// events of a stream; 0 for answers that come whole.
    pub events: usize,
    /// time of each event, or of a whole answer.
    pub step_ms: u64,
}

/// a request that a replica ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// id of the request.
    pub request: String,
    /// path and query.
    pub target: String,
    /// body.
    pub body: String,
    /// time that the replica was given.
    pub left_ms: Option<u64>,
    /// whether its stream was handed over whole.
    pub is_whole: bool,
    /// whether its caller left before it was answered.
    pub is_cancelled: bool,
}

#[derive(Debug, Default)]
struct State {
    fault: ReplicaFault,
    runs: Vec<Run>,
}

/// a replica over HTTP.
#[derive(Clone, Debug)]
pub struct ReplicaStandin {
    options: Arc<ReplicaOptions>,
    state: Arc<Mutex<State>>,
    host: Arc<Host>,
}

impl ReplicaStandin {
    /// starts a replica on a free port.
    pub fn start(spawner: &Spawner, options: ReplicaOptions) -> Result<Self> {
        let options = Arc::new(options);
        let state = Arc::new(Mutex::new(State::default()));
        let (own, shared, tasks) = (Arc::clone(&options), Arc::clone(&state), spawner.clone());
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let host = Host::start(spawner, listen, move |incoming| {
            answer(tasks.clone(), Arc::clone(&own), Arc::clone(&shared), incoming)
        })?;
        Ok(Self { options, state, host: Arc::new(host) })
    }

    /// what the replica says of itself in the platform's list.
    pub fn entry(&self, state: &str) -> Value {
        json!({
            "service": self.options.service, "address": self.host.address().to_string(),
            "zone": self.options.zone, "version": "v1", "slots": 6, "state": state,
            "cold_remaining_ms": 0, "seq": 1, "born": 1_700_000_000_000_u64,
        })
    }

    /// id under which it is listed.
    pub fn id(&self) -> &str {
        &self.options.id
    }

    /// treats requests in this way from now on.
    pub fn set_fault(&self, fault: ReplicaFault) {
        lock(&self.state).fault = fault;
    }

    /// requests that it ran, the oldest first.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    /// stops listening, as if the process had died.
    pub fn die(&self) {
        self.host.close();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("replica lock poisoned")
}

async fn answer(
    tasks: Spawner,
    options: Arc<ReplicaOptions>,
    state: Arc<Mutex<State>>,
    mut incoming: Incoming,
) -> Response {
    let request = &incoming.request;
    let header = |name: &str| request.header(name).map(|values| values.last().as_str().to_owned());
    let id = header("x-request-id").unwrap_or_default();
    let expected = header("x-expect-instance");
    let left_ms = header("x-deadline-ms").and_then(|text| text.parse().ok());
    let skip = header("last-event-id").and_then(|text| text.parse::<usize>().ok());
    let url = request.url();
    let query = url.query().map(|query| format!("?{query}")).unwrap_or_default();
    let target = format!("{}{query}", url.path());
    let fault = lock(&state).fault;
    if expected.is_some_and(|expected| expected != options.id) {
        return Response::new(StatusCode::MisdirectedRequest);
    }
    if fault == ReplicaFault::Shed {
        let mut response = Response::new(StatusCode::ServiceUnavailable);
        response.insert_header("x-not-executed", "1");
        return response;
    }
    let Ok(body) = incoming.body().await else {
        return Response::new(StatusCode::BadRequest);
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    let run = Run { request: id.clone(), target, body, left_ms, is_whole: false, is_cancelled: false };
    let index = {
        let mut state = lock(&state);
        state.runs.push(run);
        state.runs.len() - 1
    };
    let mut response = match fault {
        ReplicaFault::LoseAnswer => {
            incoming.connection.abort();
            return Response::new(StatusCode::InternalServerError);
        }
        ReplicaFault::Mute => {
            incoming.connection.closed().await;
            lock(&state).runs[index].is_cancelled = true;
            return Response::new(StatusCode::InternalServerError);
        }
        _ if options.events > 0 => stream(tasks.clone(), &options, state, fault, index, skip, &incoming),
        _ => {
            Timer::after(Duration::from_millis(options.step_ms)).await;
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(format!("done {id}"));
            response
        }
    };
    if fault == ReplicaFault::Short {
        response.set_body(http_types::Body::from_reader(futures_lite::io::Cursor::new("half"), Some(100)));
        let connection = incoming.connection.clone();
        tasks.detach(async move {
            Timer::after(SHORT_ANSWER_TIME).await;
            connection.abort();
        });
    }
    let echoed = if fault == ReplicaFault::Foreign { "another" } else { &id };
    response.insert_header("x-request-id", echoed);
    if fault != ReplicaFault::Unsigned {
        response.insert_header("x-response-signature", format!("sig-{}", options.id));
    }
    response
}

fn stream(
    tasks: Spawner,
    options: &Arc<ReplicaOptions>,
    state: Arc<Mutex<State>>,
    fault: ReplicaFault,
    index: usize,
    skip: Option<usize>,
    incoming: &Incoming,
) -> Response {
    let (sender, pieces) = async_channel::bounded(1);
    let response = streamed(pieces);
    let connection = incoming.connection.clone();
    let options = Arc::clone(options);
    tasks.detach(async move {
        for number in skip.unwrap_or(0)..options.events {
            if fault == ReplicaFault::BreakAfter(number) {
                // What was sent before should arrive, as a reset takes unread bytes along.
                Timer::after(SHORT_ANSWER_TIME).await;
                connection.abort();
                return;
            }
            Timer::after(Duration::from_millis(options.step_ms)).await;
            let event = format!("id: {}\ndata: word{}\n\n", number + 1, number + 1);
            if sender.send(Ok(event.into_bytes())).await.is_err() {
                return;
            }
        }
        lock(&state).runs[index].is_whole = true;
    });
    response
}
