use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use flamingo_edge::Connection;
use flamingo_edge::Incoming;
use flamingo_edge::json;
use flamingo_edge::json_problem;
use futures_lite::future;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use http_types::Url;
use serde::Deserialize;
use serde_json::json as value;

use super::CacheEvent;
use super::EngineFaults;
use super::PrefixPart;
use super::orders::Order;
use super::standin::Shared;
use super::state::GenerateBody;

/// when to come back after a refusal.
const RETRY_AFTER_MS: u64 = 200;
/// pieces of a stream that wait for a slow reader.
const PIECES_AHEAD: usize = 64;
/// the longest wait for cache events.
const MAX_EVENT_WAIT_MS: u64 = 60_000;
/// how often a waiting reader of cache events is looked after.
const EVENT_POLL: Duration = Duration::from_millis(20);
/// the largest export taken from another engine.
const MAX_EXPORT_BYTES: usize = 16 * 1024 * 1024;

static INCARNATIONS: AtomicU64 = AtomicU64::new(1);

/// numbers the engines of this process.
pub(super) fn next_incarnation() -> u64 {
    INCARNATIONS.fetch_add(1, Ordering::Relaxed)
}

/// where a stream stops short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    Never,
    Break(u64),
    Stall(u64),
}

#[derive(Deserialize)]
struct ProgramBody {
    program: String,
}

#[derive(Deserialize)]
struct ImportBody {
    from: SocketAddr,
    handle: String,
    program: String,
}

#[derive(Deserialize)]
struct LeavingBody {
    leaving: bool,
}

pub(super) async fn answer(shared: &Arc<Shared>, mut incoming: Incoming) -> Response {
    if shared.lock().dead {
        incoming.connection.abort();
        return Response::new(StatusCode::ServiceUnavailable);
    }
    let body = match incoming.body().await {
        Ok(body) => body,
        Err(error) => return json_problem(StatusCode::BadRequest, "broken_body", &error.to_string()),
    };
    let path = incoming.request.url().path().to_owned();
    if let Some(route) = path.strip_prefix("/control/") {
        return control(shared, incoming.request.method(), route, &body);
    }
    if let Some(rest) = path.strip_prefix("/v1/streams/") {
        return streams(shared, &incoming, rest);
    }
    match (incoming.request.method(), path.as_str()) {
        (Method::Post, "/v1/chat/completions") => generate(shared, &incoming, &body),
        (Method::Get, "/v1/load") => load(shared),
        (Method::Get, "/v1/cache/events") => cache_events(shared, &incoming).await,
        (Method::Get, "/v1/cache/holds") => holds(shared),
        (Method::Post, "/v1/cache/release") => release(shared, &body),
        (Method::Post, "/v1/cache/export") => export(shared, &body),
        (Method::Post, "/v1/cache/import") => import(shared, &body).await,
        (Method::Post, "/v1/orders") => order(shared, &body),
        (Method::Get, "/v1/orders") => orders(shared),
        (Method::Get, path) => match path.strip_prefix("/v1/cache/exports/") {
            Some(handle) => exported(shared, handle),
            None => no_route(),
        },
        _ => no_route(),
    }
}

fn generate(shared: &Arc<Shared>, incoming: &Incoming, body: &[u8]) -> Response {
    let header = |name: &str| incoming.request.header(name).map(|value| value.as_str().to_owned());
    let Some(request) = header("x-request-id") else {
        return json_problem(StatusCode::BadRequest, "no_request_id", "the header x-request-id is missing");
    };
    let program = header("x-program-id").unwrap_or_default();
    let parsed: GenerateBody = match serde_json::from_slice(body) {
        Ok(parsed) => parsed,
        Err(error) => return json_problem(StatusCode::BadRequest, "bad_request", &error.to_string()),
    };
    let crashes = parsed.messages.iter().any(|message| message.holds(&shared.options.crash_marker));
    let now_us = shared.now_us();
    let mut state = shared.lock();
    if state.faults.close_next > 0 {
        state.faults.close_next -= 1;
        incoming.connection.abort();
        return Response::new(StatusCode::ServiceUnavailable);
    }
    let refusal = if state.leaving {
        Some((StatusCode::ServiceUnavailable, "leaving"))
    } else if state.faults.overloaded || state.batch.waiting_count() >= shared.options.max_waiting {
        Some((StatusCode::ServiceUnavailable, "overloaded"))
    } else if !state.orders.serves(&parsed.model) {
        Some((StatusCode::NotFound, "unknown_model"))
    } else if state.streams.contains_key(&request) {
        Some((StatusCode::Conflict, "duplicate_request"))
    } else {
        None
    };
    if let Some((status, code)) = refusal {
        state.counts.refused += 1;
        return refused(status, code);
    }
    let cut = next_cut(&mut state.faults);
    state.submit(now_us, &request, &program, parsed, crashes);
    drop(state);
    shared.wake_driver();
    read_stream(shared, &incoming.connection, request, 0, cut)
}

fn next_cut(faults: &mut EngineFaults) -> Cut {
    if faults.break_next > 0 {
        faults.break_next -= 1;
        return Cut::Break(faults.break_after_tokens);
    }
    if faults.stall_next > 0 {
        faults.stall_next -= 1;
        return Cut::Stall(faults.stall_after_tokens);
    }
    Cut::Never
}

fn streams(shared: &Arc<Shared>, incoming: &Incoming, rest: &str) -> Response {
    let unknown = || json_problem(StatusCode::NotFound, "unknown_request", "no such stream");
    if let (Method::Post, Some(request)) = (incoming.request.method(), rest.strip_suffix("/cancel")) {
        let cancelled = shared.lock().cancel(shared.now_us(), request);
        shared.wake_driver();
        return match cancelled {
            Some(tokens) => json(StatusCode::Ok, &value!({ "completion_tokens": tokens })),
            None => unknown(),
        };
    }
    if incoming.request.method() != Method::Get {
        return no_route();
    }
    let after = query_number(incoming, "after").unwrap_or(0);
    let mut state = shared.lock();
    if state.faults.refuse_resume || !state.streams.contains_key(rest) {
        return unknown();
    }
    state.counts.resumed += 1;
    drop(state);
    read_stream(shared, &incoming.connection, rest.to_owned(), after, Cut::Never)
}

/// answers with the events of a stream after the first `sent` tokens.
fn read_stream(
    shared: &Arc<Shared>,
    connection: &Connection,
    request: String,
    sent: u64,
    cut: Cut,
) -> Response {
    let (pieces, receiver) = async_channel::bounded(PIECES_AHEAD);
    let reading = Arc::clone(shared);
    let connection = connection.clone();
    if let Some(stream) = shared.lock().streams.get_mut(&request) {
        stream.reader_count += 1;
    }
    shared.spawner.detach(async move {
        let pump = pump(&reading, &connection, &request, sent, cut, &pieces);
        future::or(pump, connection.closed()).await;
        drop(pieces);
        leave_stream(&reading, &request).await;
    });
    flamingo_edge::streamed(receiver)
}

async fn pump(
    shared: &Shared,
    connection: &Connection,
    request: &str,
    mut sent: u64,
    cut: Cut,
    pieces: &async_channel::Sender<std::io::Result<Vec<u8>>>,
) {
    loop {
        let (text, last, waiting) = {
            let mut state = shared.lock();
            if state.dead {
                drop(state);
                connection.abort();
                return;
            }
            let Some(stream) = state.streams.get_mut(request) else {
                return;
            };
            let until = match cut {
                Cut::Never => stream.completion_tokens,
                Cut::Break(tokens) | Cut::Stall(tokens) => stream.completion_tokens.min(tokens),
            };
            let mut text = String::new();
            for index in sent..until {
                text.push_str(&stream.token_event(request, index));
            }
            sent = sent.max(until);
            let last = stream.finish_reason.filter(|_| sent >= stream.completion_tokens);
            if let Some(finish_reason) = last.filter(|_| cut == Cut::Never) {
                text.push_str(&stream.final_events(request, finish_reason));
            }
            (text, last.is_some(), stream.wait())
        };
        if !text.is_empty() && pieces.send(Ok(text.into_bytes())).await.is_err() {
            return;
        }
        match cut {
            Cut::Break(tokens) if sent >= tokens || last => {
                let _ = pieces.send(Err(std::io::Error::other("broken off by the script"))).await;
                return;
            }
            Cut::Stall(tokens) if sent >= tokens || last => future::pending().await,
            _ if last => return,
            _ => {}
        }
        let _ = waiting.recv().await;
    }
}

/// cancels a stream that nobody reads any more, after a time in which it can be resumed.
async fn leave_stream(shared: &Shared, request: &str) {
    {
        let mut state = shared.lock();
        let Some(stream) = state.streams.get_mut(request) else {
            return;
        };
        stream.reader_count -= 1;
        if stream.reader_count > 0 || stream.finish_reason.is_some() {
            return;
        }
    }
    Timer::after(Duration::from_millis(shared.options.orphan_grace_ms)).await;
    let mut state = shared.lock();
    if state.streams.get(request).is_some_and(|stream| stream.reader_count == 0) {
        state.cancel(shared.now_us(), request);
        drop(state);
        shared.wake_driver();
    }
}

fn load(shared: &Shared) -> Response {
    let state = shared.lock();
    let lag_ms = shared.options.load_lag_ms;
    let reading = state.load_at(shared.now_us(), lag_ms * 1_000);
    let body = value!({
        "running": reading.running,
        "waiting": reading.waiting,
        "age_ms": lag_ms,
        "leaving": state.leaving,
        "incarnation": shared.incarnation,
        "cache_tokens": reading.held_tokens,
        "cache_capacity_tokens": state.batch.cache().capacity_tokens(),
    });
    drop(state);
    json(StatusCode::Ok, &body)
}

async fn cache_events(shared: &Shared, incoming: &Incoming) -> Response {
    let after = query_number(incoming, "after").unwrap_or(0);
    let wait_ms = query_number(incoming, "wait_ms").unwrap_or(0).min(MAX_EVENT_WAIT_MS);
    let until_us = shared.now_us() + wait_ms * 1_000;
    let waiting = async {
        loop {
            if let Some(seen) = events_now(shared, after, until_us) {
                return seen;
            }
            Timer::after(EVENT_POLL).await;
        }
    };
    let hung_up = async {
        incoming.connection.closed().await;
        (Vec::new(), after, 0)
    };
    let (events, next, oldest) = future::or(waiting, hung_up).await;
    json(StatusCode::Ok, &value!({ "events": events, "next": next, "oldest": oldest }))
}

/// the events after `after`, once there are some or the wait is over.
fn events_now(shared: &Shared, after: u64, until_us: u64) -> Option<(Vec<CacheEvent>, u64, u64)> {
    let now_us = shared.now_us();
    let state = shared.lock();
    let (events, next) = state.events.after(now_us, after);
    let over = now_us >= until_us || state.dead;
    (over || !events.is_empty()).then(|| (events, next, state.events.oldest_seq()))
}

fn holds(shared: &Shared) -> Response {
    let holds = shared.lock().batch.cache().holds();
    let rows: Vec<_> =
        holds.iter().map(|(program, tokens)| value!({ "program": program, "tokens": tokens })).collect();
    json(StatusCode::Ok, &rows)
}

fn release(shared: &Shared, body: &[u8]) -> Response {
    let body: ProgramBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return bad_request(&error),
    };
    let mut state = shared.lock();
    let tokens = state.batch.cache_mut().release(&body.program);
    state.publish_cache(shared.now_us());
    json(StatusCode::Ok, &value!({ "tokens": tokens }))
}

fn export(shared: &Shared, body: &[u8]) -> Response {
    let body: ProgramBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return bad_request(&error),
    };
    let (handle, tokens) = shared.lock().export(&body.program);
    json(StatusCode::Ok, &value!({ "handle": handle, "tokens": tokens }))
}

fn exported(shared: &Shared, handle: &str) -> Response {
    let state = shared.lock();
    let Some((_, chain)) = state.exports.iter().find(|(name, _)| name == handle) else {
        return json_problem(StatusCode::NotFound, "unknown_handle", "no such export");
    };
    let rows: Vec<(u64, u64)> = chain.iter().map(|part| (part.prefix, part.tokens)).collect();
    json(StatusCode::Ok, &rows)
}

async fn import(shared: &Shared, body: &[u8]) -> Response {
    let body: ImportBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return bad_request(&error),
    };
    let Some(chain) = fetch_export(shared, &body).await else {
        return json_problem(
            StatusCode::BadGateway,
            "no_export",
            "the other engine does not give the export",
        );
    };
    let tokens: u64 = chain.iter().map(|part| part.tokens).sum();
    let transfer_us = tokens * 1_000_000 / shared.options.import_tokens_per_s.max(1);
    Timer::after(Duration::from_micros(transfer_us)).await;
    let mut state = shared.lock();
    state.batch.cache_mut().insert(&chain, &body.program);
    state.publish_cache(shared.now_us());
    json(StatusCode::Ok, &value!({ "tokens": tokens }))
}

async fn fetch_export(shared: &Shared, body: &ImportBody) -> Option<Vec<PrefixPart>> {
    let url = Url::parse(&format!("http://{}/v1/cache/exports/{}", body.from, body.handle)).ok()?;
    let exchange = shared.client.send(body.from, Request::new(Method::Get, url)).await.ok()?;
    if exchange.response.status() != StatusCode::Ok {
        return None;
    }
    let bytes = exchange.bytes(MAX_EXPORT_BYTES).await.ok()?;
    let rows: Vec<(u64, u64)> = serde_json::from_slice(&bytes).ok()?;
    Some(rows.into_iter().map(|(prefix, tokens)| PrefixPart { prefix, tokens }).collect())
}

fn order(shared: &Shared, body: &[u8]) -> Response {
    let order: Order = match serde_json::from_slice(body) {
        Ok(order) => order,
        Err(error) => return bad_request(&error),
    };
    let mut state = shared.lock();
    match state.orders.obey(order) {
        Ok(()) => {
            state.counts.orders += 1;
            json(StatusCode::Ok, &value!({ "state": state.orders.state }))
        }
        Err(fence) => {
            state.counts.orders_refused += 1;
            json(StatusCode::Conflict, &value!({ "fence": fence }))
        }
    }
}

fn orders(shared: &Shared) -> Response {
    let state = shared.lock();
    json(StatusCode::Ok, &value!({ "fence": state.orders.fence, "state": state.orders.state }))
}

fn control(shared: &Shared, method: Method, route: &str, body: &[u8]) -> Response {
    match (method, route) {
        (Method::Get, "counts") => json(StatusCode::Ok, &shared.lock().counts),
        (Method::Get, "faults") => json(StatusCode::Ok, &shared.lock().faults),
        (Method::Put, "faults") => match serde_json::from_slice::<EngineFaults>(body) {
            Ok(faults) => {
                shared.lock().set_faults(faults);
                json(StatusCode::Ok, &value!({}))
            }
            Err(error) => bad_request(&error),
        },
        (Method::Put, "leaving") => match serde_json::from_slice::<LeavingBody>(body) {
            Ok(body) => {
                shared.lock().leaving = body.leaving;
                json(StatusCode::Ok, &value!({}))
            }
            Err(error) => bad_request(&error),
        },
        (Method::Post, "die") => {
            shared.die();
            Response::new(StatusCode::ServiceUnavailable)
        }
        _ => no_route(),
    }
}

fn query_number(incoming: &Incoming, name: &str) -> Option<u64> {
    let query: HashMap<_, _> = incoming.request.url().query_pairs().collect();
    query.get(name)?.parse().ok()
}

fn refused(status: StatusCode, code: &str) -> Response {
    let mut response = json_problem(status, code, "the engine refuses the request; nothing ran");
    response.insert_header("retry-after-ms", RETRY_AFTER_MS.to_string());
    response
}

fn bad_request(error: &serde_json::Error) -> Response {
    json_problem(StatusCode::BadRequest, "bad_request", &error.to_string())
}

fn no_route() -> Response {
    json_problem(StatusCode::NotFound, "no_route", "no such call")
}
