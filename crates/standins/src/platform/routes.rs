use std::collections::HashMap;
use std::time::Duration;

use async_io::Timer;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use flamingo_edge::Incoming;
use flamingo_edge::ReadError;
use flamingo_edge::json;
use flamingo_edge::json_problem;
use flamingo_edge::timeout;
use futures_lite::future;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json as value;

use super::Change;
use super::InstanceRow;
use super::Object;
use super::Outage;
use super::PlatformFaults;
use super::StoreError;
use super::named_routes;
use super::standin::Shared;

/// the longest wait of a watch.
pub(super) const MAX_WATCH_MS: u64 = 60_000;
/// how long a caller should wait after a refusal during an outage.
const OUTAGE_RETRY_AFTER_MS: u64 = 200;

#[derive(Serialize)]
struct ObjectRow<'a> {
    key: &'a str,
    version: u64,
    value: Option<String>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum InstancesBody {
    Rows(Vec<InstanceRow>),
    WithLag { lag_ms: u64, instances: Vec<InstanceRow> },
}

/// one call of the object API.
pub(super) enum Call {
    Get(String),
    Create(String),
    /// with the version that the object must have, if any.
    Update(String, Option<u64>),
    SetStatus(String),
    Delete(String),
    List {
        prefix: String,
        after: String,
        limit: usize,
        values: bool,
    },
    Watch {
        prefix: String,
        after_revision: u64,
        wait_ms: u64,
    },
    Instances,
}

impl Call {
    fn is_write(&self) -> bool {
        matches!(self, Self::Create(_) | Self::Update(..) | Self::SetStatus(_) | Self::Delete(_))
    }
}

pub(super) async fn answer(shared: &Shared, mut incoming: Incoming) -> Response {
    let path = incoming.request.url().path().to_owned();
    if let Some(route) = path.strip_prefix("/control/") {
        return control(shared, route, incoming).await;
    }
    let is_named = path.starts_with(named_routes::OBJECTS_PATH);
    let body = match incoming.body().await {
        Ok(body) => body,
        Err(ReadError::TooLarge) => return too_large(),
        Err(error) => return json_problem(StatusCode::BadRequest, "broken_body", &error.to_string()),
    };
    let parsed = match is_named {
        true => named_routes::parse(&incoming, &body),
        false => parse(&incoming).map(|call| (call, body)),
    };
    let Some((call, body)) = parsed else {
        return json_problem(StatusCode::NotFound, "no_route", "no such call");
    };
    let (outage, slow_ms) = count(shared, &call);
    match outage {
        Outage::None => {}
        Outage::Close => {
            incoming.connection.abort();
            return Response::new(StatusCode::ServiceUnavailable);
        }
        Outage::Unavailable => return refused(StatusCode::ServiceUnavailable, OUTAGE_RETRY_AFTER_MS),
        Outage::Hang => {
            incoming.connection.closed().await;
            return Response::new(StatusCode::ServiceUnavailable);
        }
    }
    if slow_ms > 0 {
        Timer::after(Duration::from_millis(slow_ms)).await;
    }
    if let Err(wait) = take_budget(shared, &call) {
        return refused(StatusCode::TooManyRequests, wait.as_millis() as u64 + 1);
    }
    if call.is_write() {
        let (response, lost) = write(shared, &call, &body, is_named);
        if lost {
            incoming.connection.abort();
        }
        return response;
    }
    read(shared, call, &incoming, is_named).await
}

fn parse(incoming: &Incoming) -> Option<Call> {
    let request = &incoming.request;
    let path = request.url().path();
    let query: HashMap<String, String> = request.url().query_pairs().into_owned().collect();
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    if let Some(key) = path.strip_prefix("/v1/objects/") {
        let key = key.to_owned();
        return match request.method() {
            Method::Get => Some(Call::Get(key)),
            Method::Delete => Some(Call::Delete(key)),
            Method::Put if request.header("if-none-match").is_some() => Some(Call::Create(key)),
            Method::Put => {
                let version = request.header("if-match")?.as_str().trim_matches('"').parse().ok()?;
                Some(Call::Update(key, Some(version)))
            }
            _ => None,
        };
    }
    match (request.method(), path) {
        (Method::Get, "/v1/objects") => Some(Call::List {
            prefix: text("prefix"),
            after: text("after"),
            limit: number("limit").unwrap_or(u64::MAX) as usize,
            values: text("values") == "1",
        }),
        (Method::Get, "/v1/watch") => Some(Call::Watch {
            prefix: text("prefix"),
            after_revision: number("after_revision")?,
            wait_ms: number("wait_ms").unwrap_or(0).min(MAX_WATCH_MS),
        }),
        (Method::Get, "/v1/instances") => Some(Call::Instances),
        _ => None,
    }
}

fn count(shared: &Shared, call: &Call) -> (Outage, u64) {
    let mut state = shared.lock();
    let counts = &mut state.counts;
    let counter = match call {
        Call::Get(_) => &mut counts.get,
        Call::Create(_) => &mut counts.create,
        Call::Update(..) | Call::SetStatus(_) => &mut counts.update,
        Call::Delete(_) => &mut counts.delete,
        Call::List { .. } => &mut counts.list,
        Call::Watch { .. } => &mut counts.watch,
        Call::Instances => &mut counts.instances,
    };
    *counter += 1;
    counts.total += 1;
    (state.faults.outage, state.faults.slow_ms)
}

fn take_budget(shared: &Shared, call: &Call) -> Result<(), Duration> {
    let now = shared.now();
    let mut state = shared.lock();
    let taken = if call.is_write() { state.take_write(now) } else { state.take_read(now) };
    state.counts.rate_limited += u64::from(taken.is_err());
    taken
}

fn write(shared: &Shared, call: &Call, body: &[u8], is_named: bool) -> (Response, bool) {
    let now = shared.now();
    let mut state = shared.lock();
    let result = match call {
        Call::Create(key) => state.store.create(key, body),
        Call::Update(key, version) => {
            let standing = state.store.get(key).map(|object| object.version);
            standing.and_then(|standing| state.store.update(key, body, version.unwrap_or(standing)))
        }
        Call::SetStatus(key) => {
            let found = state.store.get(key);
            let status = serde_json::from_slice(body).unwrap_or_default();
            found.map(|object| {
                state.statuses.insert(key.clone(), status);
                object.version
            })
        }
        Call::Delete(key) => state.store.delete(key),
        _ => return (Response::new(StatusCode::InternalServerError), false),
    };
    if result.is_ok() {
        state.written(now);
    }
    let lost = state.loses_reply();
    let written = match call {
        Call::Create(key) | Call::Update(key, _) | Call::SetStatus(key) if is_named => {
            state.store.get(key).ok().map(|object| named_routes::object(&state, &object))
        }
        _ => None,
    };
    drop(state);
    let response = match result {
        Ok(_) if is_named => json(StatusCode::Ok, &written),
        Err(error) if is_named => named_routes::failure(error),
        Ok(version) => {
            let mut response = Response::new(StatusCode::Ok);
            response.insert_header("etag", format!("\"{version}\""));
            response.set_body(Vec::new());
            response
        }
        Err(error) => failure(error),
    };
    (response, lost)
}

async fn read(shared: &Shared, call: Call, incoming: &Incoming, is_named: bool) -> Response {
    match call {
        Call::Get(key) => {
            let state = shared.lock();
            let found = match state.stale_revision(shared.now()) {
                None => state.store.get(&key),
                Some(revision) => state.store.get_at(&key, revision),
            };
            match found {
                Err(error) if is_named => named_routes::failure(error),
                Ok(found) if is_named => json(StatusCode::Ok, &named_routes::object(&state, &found)),
                found => found.map_or_else(failure, object),
            }
        }
        Call::List { prefix, after, limit, values } => {
            let state = shared.lock();
            let page = match state.stale_revision(shared.now()) {
                None => state.store.list(&prefix, &after, limit, values),
                Some(revision) => state.store.list_at(&prefix, &after, limit, values, revision),
            };
            if is_named {
                return named_routes::page(&state, &page);
            }
            let rows: Vec<ObjectRow<'_>> = page.objects.iter().map(|object| listed(object, values)).collect();
            let body = value!({ "objects": rows, "more": page.more, "revision": page.revision });
            json(StatusCode::Ok, &body)
        }
        Call::Watch { prefix, after_revision, wait_ms } => {
            let wait = Duration::from_millis(wait_ms);
            watch(shared, incoming, &prefix, after_revision, wait, is_named).await
        }
        Call::Instances => json(StatusCode::Ok, &shared.lock().instances.shown(shared.now())),
        Call::Create(_) | Call::Update(..) | Call::SetStatus(_) | Call::Delete(_) => {
            Response::new(StatusCode::InternalServerError)
        }
    }
}

/// what ends the wait of a watch.
enum WatchEnd {
    Changes(Vec<Change>, u64),
    Refused(StoreError),
    Outage(Outage),
    HungUp,
}

async fn watch(
    shared: &Shared,
    incoming: &Incoming,
    prefix: &str,
    after_revision: u64,
    wait: Duration,
    is_named: bool,
) -> Response {
    let waiting = async {
        let ended = timeout(wait, watch_end(shared, prefix, after_revision)).await;
        ended.unwrap_or_else(|| {
            WatchEnd::Changes(Vec::new(), shared.lock().store.revision().max(after_revision))
        })
    };
    let hung_up = async {
        incoming.connection.closed().await;
        WatchEnd::HungUp
    };
    match future::or(waiting, hung_up).await {
        WatchEnd::Changes(changes, revision) if is_named => {
            named_routes::changes(&shared.lock(), &changes, revision)
        }
        WatchEnd::Refused(error) if is_named => named_routes::failure(error),
        WatchEnd::Changes(changes, revision) => {
            let rows: Vec<ObjectRow<'_>> = changes.iter().map(changed).collect();
            json(StatusCode::Ok, &value!({ "changes": rows, "revision": revision }))
        }
        WatchEnd::Refused(error) => failure(error),
        WatchEnd::Outage(Outage::Close) => {
            incoming.connection.abort();
            Response::new(StatusCode::ServiceUnavailable)
        }
        WatchEnd::Outage(_) => refused(StatusCode::ServiceUnavailable, OUTAGE_RETRY_AFTER_MS),
        WatchEnd::HungUp => Response::new(StatusCode::ServiceUnavailable),
    }
}

/// waits for changes below a prefix, or for an outage that ends the watch.
async fn watch_end(shared: &Shared, prefix: &str, after_revision: u64) -> WatchEnd {
    loop {
        let woken = {
            let mut state = shared.lock();
            let outage = state.faults.outage;
            match state.store.watch_after(prefix, after_revision) {
                _ if matches!(outage, Outage::Close | Outage::Unavailable) => {
                    return WatchEnd::Outage(outage);
                }
                Err(error) => return WatchEnd::Refused(error),
                Ok((changes, revision)) if !changes.is_empty() && outage == Outage::None => {
                    return WatchEnd::Changes(changes, revision);
                }
                Ok(_) => state.wait_for_write(),
            }
        };
        let _ = woken.recv().await;
    }
}

fn changed(change: &Change) -> ObjectRow<'_> {
    let text = change.value.as_ref().map(|bytes| BASE64_STANDARD.encode(bytes));
    ObjectRow { key: &change.key, version: change.version, value: text }
}

fn listed(object: &Object, values: bool) -> ObjectRow<'_> {
    let text = values.then(|| BASE64_STANDARD.encode(&object.value));
    ObjectRow { key: &object.key, version: object.version, value: text }
}

fn object(object: Object) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("etag", format!("\"{}\"", object.version));
    response.insert_header("content-type", "application/octet-stream");
    response.set_body(object.value.to_vec());
    response
}

fn failure(error: StoreError) -> Response {
    let (status, code) = match error {
        StoreError::NotFound => (StatusCode::NotFound, "not_found"),
        StoreError::Conflict => (StatusCode::PreconditionFailed, "conflict"),
        StoreError::Gap => (StatusCode::Gone, "gap"),
        StoreError::TooLarge => return too_large(),
    };
    json_problem(status, code, &error.to_string())
}

fn too_large() -> Response {
    json_problem(StatusCode::PayloadTooLarge, "too_large", "an object holds at most 1,048,576 bytes")
}

fn refused(status: StatusCode, retry_after_ms: u64) -> Response {
    let mut response = json_problem(status, "refused", "the platform refuses for now");
    response.insert_header("retry-after-ms", retry_after_ms.to_string());
    response
}

async fn control(shared: &Shared, route: &str, mut incoming: Incoming) -> Response {
    let method = incoming.request.method();
    let body = incoming.body().await.unwrap_or_default();
    match (method, route) {
        (Method::Get, "calls") => json(StatusCode::Ok, &shared.lock().counts),
        (Method::Get, "faults") => json(StatusCode::Ok, &shared.lock().faults),
        (Method::Put, "faults") => match serde_json::from_slice::<PlatformFaults>(&body) {
            Ok(faults) => {
                shared.lock().set_faults(faults);
                json(StatusCode::Ok, &value!({}))
            }
            Err(error) => bad_control(&error),
        },
        (Method::Get, "instances") => json(StatusCode::Ok, &shared.lock().instances.newest()),
        (Method::Put, "instances") => match serde_json::from_slice::<InstancesBody>(&body) {
            Ok(body) => {
                set_instances(shared, body);
                json(StatusCode::Ok, &value!({}))
            }
            Err(error) => bad_control(&error),
        },
        (Method::Post, "watch-gap") => {
            let now = shared.now();
            let mut state = shared.lock();
            state.store.compact();
            state.written(now);
            json(StatusCode::Ok, &value!({}))
        }
        _ => json_problem(StatusCode::NotFound, "no_route", "no such control route"),
    }
}

fn set_instances(shared: &Shared, body: InstancesBody) {
    let now = shared.now();
    let mut state = shared.lock();
    let rows = match body {
        InstancesBody::Rows(rows) => rows,
        InstancesBody::WithLag { lag_ms, instances } => {
            state.instances.set_lag(Duration::from_millis(lag_ms));
            instances
        }
    };
    state.instances.set(now, rows);
}

fn bad_control(error: &serde_json::Error) -> Response {
    json_problem(StatusCode::BadRequest, "bad_control", &error.to_string())
}
