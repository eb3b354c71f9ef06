//! encoding of the object API's form with named objects of kinds: a key is `KIND/NAME`, a value is the `spec`
//! of the object as JSON.

use std::net::SocketAddr;

use http_types::Method;
use http_types::Request;
use http_types::Url;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use serde_json::value::RawValue;

use crate::platform::Change;
use crate::platform::Object;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;

/// an object as it arrives.
///
/// Other writers may store values that no parser takes: nested deeply, or with numbers out of range. Each part is
/// parsed by itself, so that one such value does not spoil the reply.
#[derive(Deserialize)]
struct NamedObject<'a> {
    metadata: Metadata<'a>,
    #[serde(borrow, default)]
    spec: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Metadata<'a> {
    name: String,
    #[serde(borrow, default)]
    revision: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct ListBody<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    has_more: bool,
    /// revision of the whole store, not of one object.
    current_rev: u64,
}

#[derive(Deserialize)]
struct WatchBody<'a> {
    #[serde(borrow)]
    events: Vec<&'a RawValue>,
    /// revision to continue the watch after.
    current_rev: u64,
}

#[derive(Deserialize)]
struct WatchEvent<'a> {
    #[serde(borrow)]
    object: NamedObject<'a>,
    removed: bool,
}

impl NamedObject<'_> {
    fn key(&self, kind: &str) -> String {
        format!("{kind}/{}", self.metadata.name)
    }

    fn revision(&self) -> u64 {
        self.metadata.revision.and_then(|revision| revision.get().parse().ok()).unwrap_or(0)
    }

    fn to_object(&self, kind: &str) -> Object {
        let value = self.spec.map_or("null", RawValue::get).as_bytes().to_vec();
        Object { key: self.key(kind), version: self.revision(), value }
    }
}

/// parses the entries of a reply; those that are no objects with a name are left out and counted.
fn readable<'a, T: Deserialize<'a>>(entries: &[&'a RawValue]) -> impl Iterator<Item = T> {
    entries.iter().filter_map(|entry| {
        let parsed = serde_json::from_str(entry.get()).ok();
        if parsed.is_none() {
            metrics::counter!("platform_unreadable_objects_total").increment(1);
        }
        parsed
    })
}

/// encodes a call as an HTTP request.
pub(super) fn encode(address: SocketAddr, request: &PlatformRequest) -> Result<Request, String> {
    match request {
        PlatformRequest::Get { key } => {
            let (kind, name) = split_key(key)?;
            Ok(Request::new(Method::Get, url(address, &[kind, name], &[])?))
        }
        PlatformRequest::Delete { key } => {
            let (kind, name) = split_key(key)?;
            Ok(Request::new(Method::Delete, url(address, &[kind, name], &[])?))
        }
        PlatformRequest::Create { key, value } => {
            let (kind, name) = split_key(key)?;
            let body = json!({ "metadata": { "name": name }, "spec": value_of(value)? });
            json_request(Method::Post, url(address, &[kind], &[])?, &body)
        }
        PlatformRequest::Update { key, value, version } => {
            let (kind, name) = split_key(key)?;
            let metadata = json!({ "name": name, "revision": version });
            let body = json!({ "metadata": metadata, "spec": value_of(value)? });
            json_request(Method::Put, url(address, &[kind, name], &[])?, &body)
        }
        PlatformRequest::SetStatus { key, value } => {
            let (kind, name) = split_key(key)?;
            let body = json!({ "metadata": { "name": name }, "status": value_of(value)? });
            json_request(Method::Put, url(address, &[kind, name, "status"], &[])?, &body)
        }
        PlatformRequest::List { prefix, after, .. } => {
            let kind = kind_of_prefix(prefix)?;
            let after = after.strip_prefix(prefix.as_str()).unwrap_or(after);
            let query: &[(&str, &str)] = if after.is_empty() { &[] } else { &[("after", after)] };
            Ok(Request::new(Method::Get, url(address, &[kind], query)?))
        }
        PlatformRequest::Watch { prefix, after_revision, wait_ms } => {
            let query = [("watch", &*after_revision.to_string()), ("wait_ms", &*wait_ms.to_string())];
            Ok(Request::new(Method::Get, url(address, &[kind_of_prefix(prefix)?], &query)?))
        }
        PlatformRequest::Instances => Err("named objects have no list of instances".to_owned()),
    }
}

/// decodes the body of a successful reply.
pub(super) fn decode(request: &PlatformRequest, body: &[u8]) -> Result<PlatformReply, String> {
    // Bytes that are no UTF-8 spoil only the text that they are in.
    let body = String::from_utf8_lossy(body);
    match request {
        PlatformRequest::Get { key } => {
            let object: NamedObject<'_> = parse(&body)?;
            Ok(PlatformReply::Object(object.to_object(split_key(key)?.0)))
        }
        PlatformRequest::Create { .. }
        | PlatformRequest::Update { .. }
        | PlatformRequest::SetStatus { .. } => {
            let object: NamedObject<'_> = parse(&body)?;
            Ok(PlatformReply::Written { version: object.revision() })
        }
        PlatformRequest::Delete { .. } => Ok(PlatformReply::Deleted),
        PlatformRequest::List { prefix, .. } => {
            let kind = kind_of_prefix(prefix)?;
            let page: ListBody<'_> = parse(&body)?;
            let objects = readable(&page.items).map(|item: NamedObject<'_>| item.to_object(kind)).collect();
            Ok(PlatformReply::Page { objects, more: page.has_more, revision: page.current_rev })
        }
        PlatformRequest::Watch { prefix, .. } => {
            let kind = kind_of_prefix(prefix)?;
            let watch: WatchBody<'_> = parse(&body)?;
            let changes = readable(&watch.events).map(|event: WatchEvent<'_>| {
                let object = event.object.to_object(kind);
                let value = (!event.removed).then_some(object.value);
                Change { key: object.key, version: object.version, value }
            });
            Ok(PlatformReply::Changes { changes: changes.collect(), revision: watch.current_rev })
        }
        PlatformRequest::Instances => Err("named objects have no list of instances".to_owned()),
    }
}

fn split_key(key: &str) -> Result<(&str, &str), String> {
    let segments = key.split_once('/').filter(|(kind, name)| is_path_safe(kind) && is_path_safe(name));
    segments.ok_or_else(|| format!("key {key:?} is not KIND/NAME in letters, digits, `-`, `.` and `_`"))
}

fn kind_of_prefix(prefix: &str) -> Result<&str, String> {
    let kind = prefix.strip_suffix('/').filter(|kind| is_path_safe(kind));
    kind.ok_or_else(|| format!("prefix {prefix:?} is not KIND/"))
}

fn is_path_safe(segment: &str) -> bool {
    let is_safe_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    !segment.is_empty() && segment != "." && segment != ".." && segment.bytes().all(is_safe_byte)
}

fn parse<'a, T: Deserialize<'a>>(body: &'a str) -> Result<T, String> {
    serde_json::from_str(body).map_err(|error| error.to_string())
}

/// the value of an object that is written.
fn value_of(value: &[u8]) -> Result<Value, String> {
    serde_json::from_slice(value).map_err(|error| error.to_string())
}

fn json_request(method: Method, url: Url, body: &Value) -> Result<Request, String> {
    let mut request = Request::new(method, url);
    request.set_body(body.to_string());
    request.insert_header("content-type", "application/json");
    Ok(request)
}

fn url(address: SocketAddr, path: &[&str], query: &[(&str, &str)]) -> Result<Url, String> {
    let text = format!("http://{address}/objects/{}", path.join("/"));
    let mut url = Url::parse(&text).map_err(|error| error.to_string())?;
    if !query.is_empty() {
        url.query_pairs_mut().extend_pairs(query);
    }
    Ok(url)
}
