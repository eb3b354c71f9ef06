use std::time::Duration;

use async_io::Timer;
use flamingo_edge::Incoming;
use flamingo_edge::json;
use flamingo_edge::json_problem;
use futures_lite::io::Cursor;
use http_types::Body;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use http_types::Url;
use serde_json::Value;
use serde_json::json as value;

use super::ServiceFaults;
use super::standin::Shared;
use super::standin::State;

/// when to come back after a refusal.
const RETRY_AFTER_MS: u64 = 200;

/// what the script does with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answer,
    Refuse,
    Unclear,
    CloseBefore,
    CloseAfter,
    ShortBody,
    HangAfter,
    DieAfter,
}

pub(super) async fn answer(shared: &Shared, mut incoming: Incoming) -> Response {
    if shared.lock().dead {
        return closed(&incoming);
    }
    let path = incoming.request.url().path().to_owned();
    let body = match incoming.body().await {
        Ok(body) => body,
        Err(error) => return json_problem(StatusCode::BadRequest, "broken_body", &error.to_string()),
    };
    if let Some(route) = path.strip_prefix("/control/") {
        return control(shared, incoming.request.method(), route, &body);
    }
    if let (Method::Get, Some(key)) = (incoming.request.method(), path.strip_prefix("/lookup/")) {
        return look_up(shared, key);
    }
    if incoming.request.method() != Method::Post {
        return json_problem(StatusCode::NotFound, "no_route", "calls are made by POST");
    }
    call(shared, &incoming, &path, &body).await
}

async fn call(shared: &Shared, incoming: &Incoming, path: &str, body: &[u8]) -> Response {
    let Ok(parsed) = serde_json::from_slice::<Value>(body) else {
        return json_problem(StatusCode::BadRequest, "bad_request", "the body is not JSON");
    };
    let key = incoming.request.header("idempotency-key").map(|value| value.as_str().to_owned());
    let key = key.unwrap_or_default();
    let (mut fate, latency_ms) = {
        let mut state = shared.lock();
        let latency_ms = state.faults.latency_ms + shared.options.latency_ms;
        (next_fate(&mut state), latency_ms)
    };
    if latency_ms > 0 {
        Timer::after(Duration::from_millis(latency_ms)).await;
    }
    if String::from_utf8_lossy(body).contains(&shared.options.crash_marker) {
        fate = Fate::DieAfter;
    }
    match fate {
        Fate::Refuse => return refused(Some("not_run")),
        Fate::Unclear => return refused(None),
        Fate::CloseBefore => return closed(incoming),
        _ => {}
    }
    let ran = {
        let mut state = shared.lock();
        let barred = state.barred.contains(&key);
        (!barred).then(|| state.run(&key, path, &parsed))
    };
    let Some((status, answer)) = ran else {
        return refused(Some("not_run"));
    };
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::Ok);
    match fate {
        Fate::CloseAfter => closed(incoming),
        Fate::HangAfter => {
            incoming.connection.closed().await;
            closed(incoming)
        }
        Fate::DieAfter => {
            shared.die();
            closed(incoming)
        }
        Fate::ShortBody => short(status, &answer),
        _ => json(status, &answer),
    }
}

fn next_fate(state: &mut State) -> Fate {
    let chaos = state.faults.chaos;
    let ServiceFaults {
        refuse_next,
        unclear_next,
        close_before_next,
        close_after_next,
        short_body_next,
        hang_after_next,
        die_after_next,
        ..
    } = &mut state.faults;
    let counted = [
        (refuse_next, Fate::Refuse),
        (unclear_next, Fate::Unclear),
        (close_before_next, Fate::CloseBefore),
        (close_after_next, Fate::CloseAfter),
        (short_body_next, Fate::ShortBody),
        (hang_after_next, Fate::HangAfter),
        (die_after_next, Fate::DieAfter),
    ];
    for (left, fate) in counted {
        if *left > 0 {
            *left -= 1;
            return fate;
        }
    }
    if chaos > 0.0 {
        for fate in [Fate::CloseBefore, Fate::CloseAfter, Fate::ShortBody] {
            if state.chaos.chance(chaos) {
                return fate;
            }
        }
    }
    Fate::Answer
}

fn look_up(shared: &Shared, key: &str) -> Response {
    if !shared.options.finds_by_key {
        return json_problem(StatusCode::NotImplemented, "no_lookup", "this service does not find by key");
    }
    let key = decoded(key);
    let mut state = shared.lock();
    match state.answers.get(&key) {
        Some((status, body)) => json(StatusCode::Ok, &value!({ "status": status, "body": body })),
        None => {
            state.barred.insert(key);
            json_problem(StatusCode::NotFound, "not_run", "no request with this key ran, and none will")
        }
    }
}

/// a path segment without its percent coding.
fn decoded(segment: &str) -> String {
    let query = format!("http://localhost/?key={}", segment.replace('+', "%2B"));
    let url = Url::parse(&query).ok();
    let pair = url.as_ref().and_then(|url| url.query_pairs().next());
    pair.map_or_else(|| segment.to_owned(), |(_, value)| value.into_owned())
}

fn control(shared: &Shared, method: Method, route: &str, body: &[u8]) -> Response {
    match (method, route) {
        (Method::Get, "runs") => json(StatusCode::Ok, &shared.lock().runs),
        (Method::Get, "faults") => json(StatusCode::Ok, &shared.lock().faults),
        (Method::Put, "faults") => match serde_json::from_slice::<ServiceFaults>(body) {
            Ok(faults) => {
                shared.lock().set_faults(faults);
                json(StatusCode::Ok, &value!({}))
            }
            Err(error) => json_problem(StatusCode::BadRequest, "bad_control", &error.to_string()),
        },
        (Method::Post, "die") => {
            shared.die();
            Response::new(StatusCode::ServiceUnavailable)
        }
        _ => json_problem(StatusCode::NotFound, "no_route", "no such control route"),
    }
}

fn refused(ran: Option<&str>) -> Response {
    let body = match ran {
        Some(ran) => value!({ "ran": ran }),
        None => value!({ "error": "unavailable" }),
    };
    let mut response = json(StatusCode::ServiceUnavailable, &body);
    response.insert_header("retry-after-ms", RETRY_AFTER_MS.to_string());
    response
}

/// an answer whose body is shorter than its announced length.
fn short(status: StatusCode, answer: &Value) -> Response {
    let bytes = serde_json::to_vec(answer).unwrap_or_default();
    let announced = bytes.len();
    let half = bytes[..announced / 2].to_vec();
    let mut response = Response::new(status);
    response.set_body(Body::from_reader(Cursor::new(half), Some(announced)));
    response.insert_header("content-type", "application/json");
    response.insert_header("connection", "close");
    response
}

fn closed(incoming: &Incoming) -> Response {
    incoming.connection.abort();
    Response::new(StatusCode::ServiceUnavailable)
}
