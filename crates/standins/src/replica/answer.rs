use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use flamingo_edge::Connection;
use flamingo_edge::Incoming;
use flamingo_edge::Spawner;
use flamingo_edge::streamed;
use http_types::Response;
use http_types::StatusCode;

use super::DEADLY;
use super::EndStage;
use super::ReplicaFault;
use super::ReplicaOptions;
use super::Run;
use super::standin::HostSlot;
use super::standin::State;
use super::standin::lock;

/// time after which the connection of a short answer ends.
const SHORT_ANSWER_TIME: Duration = Duration::from_millis(50);

/// path of the health check.
const HEALTH_PATH: &str = "/healthz";
/// path of the report, which takes no slot.
const REPORT_PATH: &str = "/report";

/// what the requests of a replica share.
#[derive(Clone)]
pub(super) struct Parts {
    pub tasks: Spawner,
    pub options: Arc<ReplicaOptions>,
    pub state: Arc<Mutex<State>>,
    /// weak, since the host owns the handler that holds this.
    pub host: Weak<HostSlot>,
}

impl Parts {
    /// ends the replica under the request of a connection, which is reset.
    fn end(&self, connection: &Connection) {
        self.close();
        connection.abort();
    }

    /// breaks an answer off; the replica may end there.
    fn break_off(&self, connection: &Connection, ends: Option<EndStage>) {
        match ends {
            None => {}
            Some(EndStage::InBodyAndBack) => {
                let mut state = lock(&self.state);
                state.ends += 1;
                state.restarts += 1;
            }
            Some(EndStage::BeforeHead | EndStage::InBody | EndStage::Silent) => self.close(),
        }
        connection.abort();
    }

    /// stops listening under a request.
    fn close(&self) {
        {
            let mut state = lock(&self.state);
            state.ends += 1;
            state.is_down = true;
        }
        if let Some(host) = self.host.upgrade() {
            host.lock().expect("host lock poisoned").take();
        }
    }
}

/// answers a request as the replica's fault says.
pub(super) async fn answer(parts: Parts, incoming: Incoming) -> Response {
    let state = Arc::clone(&parts.state);
    if ![HEALTH_PATH, REPORT_PATH].contains(&incoming.request.url().path()) {
        let mut state = lock(&state);
        state.asked += 1;
        state.asked_at.push(Instant::now());
    }
    let mut response = run(parts, incoming).await;
    if let Some(limit) = &lock(&state).limit {
        response.insert_header("server-limit", limit.as_str());
    }
    if lock(&state).is_leaving {
        response.insert_header("server-leaving", "1");
    }
    response
}

async fn run(parts: Parts, mut incoming: Incoming) -> Response {
    let Parts { options, state, .. } = &parts;
    let request = &incoming.request;
    let header = |name: &str| request.header(name).map(|values| values.last().as_str().to_owned());
    let id = header("x-request-id").unwrap_or_default();
    let expected = header("x-expect-instance");
    let left_ms = header("x-deadline-ms").and_then(|text| text.parse().ok());
    let skip = header("last-event-id").and_then(|text| text.parse::<usize>().ok());
    let url = request.url();
    let query = url.query().map(|query| format!("?{query}")).unwrap_or_default();
    let target = format!("{}{query}", url.path());
    let (fault, is_down) = {
        let state = lock(state);
        (state.fault, state.is_down)
    };
    if is_down {
        // The system resets what is sent to a process that has ended.
        incoming.connection.abort();
        return Response::new(StatusCode::InternalServerError);
    }
    let replica_id = lock(state).id.clone();
    if target == HEALTH_PATH {
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header("x-instance-id", replica_id.as_str());
        return response;
    }
    if target == REPORT_PATH {
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(format!("{{\"born\":{}}}", lock(state).started_unix_ms()));
        return response;
    }
    if expected.is_some_and(|expected| expected != replica_id) {
        let mut response = Response::new(StatusCode::MisdirectedRequest);
        response.insert_header("x-request-id", id.as_str());
        response.insert_header("x-instance-id", replica_id.as_str());
        return response;
    }
    if fault == ReplicaFault::Shed {
        let mut response = Response::new(StatusCode::ServiceUnavailable);
        response.insert_header("x-request-id", id.as_str());
        response.insert_header("x-not-executed", "1");
        return response;
    }
    if fault == ReplicaFault::Fail {
        let mut response = Response::new(StatusCode::InternalServerError);
        response.insert_header("x-request-id", id.as_str());
        response.insert_header("x-response-signature", format!("sig-{}", options.id));
        return response;
    }
    let rows = request.iter().flat_map(|(name, values)| values.iter().map(move |value| (name, value)));
    let headers = rows.map(|(name, value)| (name.to_string(), value.to_string())).collect();
    let Ok(body) = incoming.body().await else {
        return Response::new(StatusCode::BadRequest);
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    let ends = match fault {
        ReplicaFault::EndUnder(stage) if target.contains(DEADLY) || body.contains(DEADLY) => Some(stage),
        _ => None,
    };
    let index = {
        let mut state = lock(state);
        let run = Run {
            request: id.clone(),
            target,
            headers,
            body,
            version: state.version.clone(),
            events: 0,
            left_ms,
            is_whole: false,
            is_cancelled: false,
        };
        state.runs.push(run);
        state.runs.len() - 1
    };
    match ends {
        None => {}
        Some(EndStage::BeforeHead) => {
            parts.end(&incoming.connection);
            return Response::new(StatusCode::InternalServerError);
        }
        Some(EndStage::Silent) => {
            parts.close();
            incoming.connection.closed().await;
            return Response::new(StatusCode::InternalServerError);
        }
        // The break of the body below ends the replica.
        Some(EndStage::InBody | EndStage::InBodyAndBack) => {}
    }
    let is_short = fault == ReplicaFault::Short || (ends.is_some() && options.events == 0);
    let mut response = match fault {
        ReplicaFault::LoseAnswer => {
            incoming.connection.abort();
            return Response::new(StatusCode::InternalServerError);
        }
        ReplicaFault::Mute => {
            incoming.connection.closed().await;
            lock(state).runs[index].is_cancelled = true;
            return Response::new(StatusCode::InternalServerError);
        }
        _ if options.events > 0 => {
            // A replica that ends gets no further than its first event.
            let breaks_after = match (fault, ends) {
                (ReplicaFault::BreakAfter(number), _) => Some(number),
                (_, Some(_)) => Some(skip.unwrap_or(0) + 1),
                _ => None,
            };
            stream(&parts, Break { after: breaks_after, ends }, index, skip, &incoming)
        }
        _ => {
            Timer::after(Duration::from_millis(options.step_ms)).await;
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(format!("done {id}"));
            response
        }
    };
    if is_short {
        response.set_body(http_types::Body::from_reader(futures_lite::io::Cursor::new("half"), Some(100)));
        let (parts, connection) = (parts.clone(), incoming.connection.clone());
        parts.tasks.clone().detach(async move {
            Timer::after(SHORT_ANSWER_TIME).await;
            parts.break_off(&connection, ends);
        });
    }
    let echoed = if fault == ReplicaFault::Foreign { "another" } else { &id };
    response.insert_header("x-request-id", echoed);
    if fault != ReplicaFault::Unsigned {
        response.insert_header("x-response-signature", format!("sig-{}", options.id));
    }
    response
}

/// where a stream breaks off, and how the replica ends there.
#[derive(Clone, Copy)]
struct Break {
    after: Option<usize>,
    ends: Option<EndStage>,
}

fn stream(parts: &Parts, breaks: Break, index: usize, skip: Option<usize>, incoming: &Incoming) -> Response {
    let (sender, pieces) = async_channel::bounded(1);
    let response = streamed(pieces);
    let connection = incoming.connection.clone();
    let parts = parts.clone();
    parts.tasks.clone().detach(async move {
        let options = &parts.options;
        for number in skip.unwrap_or(0)..options.events {
            if breaks.after == Some(number) {
                // What was sent before should arrive, as a reset takes unread bytes along.
                Timer::after(SHORT_ANSWER_TIME).await;
                parts.break_off(&connection, breaks.ends);
                return;
            }
            Timer::after(Duration::from_millis(options.step_ms)).await;
            let event = format!("id: {}\ndata: word{}\n\n", number + 1, number + 1);
            if sender.send(Ok(event.into_bytes())).await.is_err() {
                return;
            }
            lock(&parts.state).runs[index].events += 1;
        }
        lock(&parts.state).runs[index].is_whole = true;
    });
    response
}
