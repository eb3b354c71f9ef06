//! the object API with named objects of kinds: `/objects/KIND/NAME`, each with `metadata`, `spec` and `status`.

use std::collections::HashMap;

use flamingo_edge::Incoming;
use flamingo_edge::json;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;
use serde_json::Value;
use serde_json::json as value;
use serde_json::value::RawValue;
use serde_json::value::to_raw_value;

use super::Change;
use super::Object;
use super::Page;
use super::StoreError;
use super::routes::Call;
use super::routes::MAX_WATCH_MS;
use super::standin::State;

/// path of the objects.
pub(super) const OBJECTS_PATH: &str = "/objects/";
/// most objects in one page.
const PAGE_OBJECTS: usize = 500;

/// reads a call from its path, query and body; a write carries its value.
pub(super) fn parse(incoming: &Incoming, body: &[u8]) -> Option<(Call, Vec<u8>)> {
    let request = &incoming.request;
    let query: HashMap<String, String> = request.url().query_pairs().into_owned().collect();
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let path = request.url().path().strip_prefix(OBJECTS_PATH)?;
    let parts: Vec<&str> = path.split('/').collect();
    let body: Value = if body.is_empty() { Value::Null } else { serde_json::from_slice(body).ok()? };
    let spec = body["spec"].to_string().into_bytes();
    let revision = body["metadata"]["revision"].as_u64();
    let call = match (request.method(), parts.as_slice()) {
        (Method::Get, [kind]) => match number("watch") {
            Some(after_revision) => Call::Watch {
                prefix: format!("{kind}/"),
                after_revision,
                wait_ms: number("wait_ms").unwrap_or(0).min(MAX_WATCH_MS),
            },
            None => Call::List {
                prefix: format!("{kind}/"),
                after: query.get("after").map(|name| format!("{kind}/{name}")).unwrap_or_default(),
                limit: PAGE_OBJECTS,
                values: true,
            },
        },
        (Method::Get, [kind, name]) => Call::Get(format!("{kind}/{name}")),
        (Method::Delete, [kind, name]) => Call::Delete(format!("{kind}/{name}")),
        (Method::Post, [kind]) => Call::Create(format!("{kind}/{}", body["metadata"]["name"].as_str()?)),
        (Method::Put, [kind, name]) => Call::Update(format!("{kind}/{name}"), revision),
        (Method::Put, [kind, name, "status"]) => {
            let status = body["status"].to_string().into_bytes();
            return Some((Call::SetStatus(format!("{kind}/{name}")), status));
        }
        _ => return None,
    };
    Some((call, spec))
}

/// an object as a reply shows it.
#[derive(Serialize)]
pub(super) struct ObjectBody {
    metadata: Value,
    spec: Box<RawValue>,
    status: Value,
}

#[derive(Serialize)]
struct PageBody {
    items: Vec<ObjectBody>,
    has_more: bool,
    current_rev: u64,
}

#[derive(Serialize)]
struct EventBody {
    object: ObjectBody,
    removed: bool,
}

#[derive(Serialize)]
struct ChangesBody {
    events: Vec<EventBody>,
    current_rev: u64,
}

/// an object as a reply shows it; its value is handed on as it was written, even if no parser takes it.
pub(super) fn object(state: &State, object: &Object) -> ObjectBody {
    let (_, name) = object.key.split_once('/').unwrap_or(("", &object.key));
    let status = state.statuses.get(&object.key).cloned().unwrap_or(Value::Null);
    let metadata = value!({ "name": name, "revision": object.version, "finalizers": [], "deleting": false });
    ObjectBody { metadata, spec: spec(&object.value), status }
}

/// a value as JSON; bytes that are no JSON are shown as text.
fn spec(value: &[u8]) -> Box<RawValue> {
    let text = String::from_utf8_lossy(value);
    let shown = RawValue::from_string(text.clone().into_owned());
    shown.or_else(|_| to_raw_value(&text)).expect("a text is valid JSON")
}

/// a page of a list.
pub(super) fn page(state: &State, page: &Page) -> Response {
    let items = page.objects.iter().map(|item| object(state, item)).collect();
    json(StatusCode::Ok, &PageBody { items, has_more: page.more, current_rev: page.revision })
}

/// the result of a watch.
pub(super) fn changes(state: &State, changes: &[Change], revision: u64) -> Response {
    let event = |change: &Change| {
        let value = change.value.clone().unwrap_or_else(|| b"null".as_slice().into());
        let shown = Object { key: change.key.clone(), version: change.version, value };
        EventBody { object: object(state, &shown), removed: change.value.is_none() }
    };
    json(StatusCode::Ok, &ChangesBody { events: changes.iter().map(event).collect(), current_rev: revision })
}

/// a call that the store refused.
pub(super) fn failure(error: StoreError) -> Response {
    let status = match error {
        StoreError::NotFound => StatusCode::NotFound,
        StoreError::Conflict => StatusCode::Conflict,
        StoreError::Gap => StatusCode::Gone,
        StoreError::TooLarge => StatusCode::PayloadTooLarge,
    };
    json(status, &value!({ "error": error.to_string() }))
}
