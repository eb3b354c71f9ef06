//! the object API with named objects of kinds: a key is `KIND/NAME`, a value is the object's `spec` as JSON.

use std::net::SocketAddr;

use http_types::Method;
use http_types::Request;
use http_types::Url;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::platform::Change;
use crate::platform::Object;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;

#[derive(Deserialize)]
struct Named {
    metadata: Metadata,
    #[serde(default)]
    spec: Value,
}

#[derive(Deserialize)]
struct Metadata {
    name: String,
    #[serde(default)]
    revision: u64,
}

#[derive(Deserialize)]
struct Page {
    items: Vec<Named>,
    has_more: bool,
    /// revision of the whole store, not of an item.
    current_rev: u64,
}

#[derive(Deserialize)]
struct Watched {
    events: Vec<WatchedEvent>,
    /// revision to watch from next.
    current_rev: u64,
}

#[derive(Deserialize)]
struct WatchedEvent {
    object: Named,
    removed: bool,
}

impl Named {
    fn key(&self, kind: &str) -> String {
        format!("{kind}/{}", self.metadata.name)
    }

    fn object(&self, kind: &str) -> Object {
        let value = self.spec.to_string().into_bytes();
        Object { key: self.key(kind), version: self.metadata.revision, value }
    }
}

/// writes a call as an HTTP request.
pub(super) fn encode(address: SocketAddr, request: &PlatformRequest) -> Result<Request, String> {
    match request {
        PlatformRequest::Get { key } => {
            let (kind, name) = split(key)?;
            Ok(Request::new(Method::Get, url(address, &[kind, name], &[])?))
        }
        PlatformRequest::Delete { key } => {
            let (kind, name) = split(key)?;
            Ok(Request::new(Method::Delete, url(address, &[kind, name], &[])?))
        }
        PlatformRequest::Create { key, value } => {
            let (kind, name) = split(key)?;
            let body = json!({ "metadata": { "name": name }, "spec": parse::<Value>(value)? });
            with_body(Method::Post, url(address, &[kind], &[])?, &body)
        }
        PlatformRequest::Update { key, value, version } => {
            let (kind, name) = split(key)?;
            let metadata = json!({ "name": name, "revision": version });
            let body = json!({ "metadata": metadata, "spec": parse::<Value>(value)? });
            with_body(Method::Put, url(address, &[kind, name], &[])?, &body)
        }
        PlatformRequest::SetStatus { key, value } => {
            let (kind, name) = split(key)?;
            let body = json!({ "metadata": { "name": name }, "status": parse::<Value>(value)? });
            with_body(Method::Put, url(address, &[kind, name, "status"], &[])?, &body)
        }
        PlatformRequest::List { prefix, after, .. } => {
            let kind = kind_of(prefix)?;
            let after = after.strip_prefix(prefix.as_str()).unwrap_or(after);
            let query: &[(&str, &str)] = if after.is_empty() { &[] } else { &[("after", after)] };
            Ok(Request::new(Method::Get, url(address, &[kind], query)?))
        }
        PlatformRequest::Watch { prefix, after_revision, wait_ms } => {
            let query = [("watch", &*after_revision.to_string()), ("wait_ms", &*wait_ms.to_string())];
            Ok(Request::new(Method::Get, url(address, &[kind_of(prefix)?], &query)?))
        }
        PlatformRequest::Instances => Err("this form of the object API lists no instances".to_owned()),
    }
}

/// reads the reply to a call that succeeded.
pub(super) fn decode(request: &PlatformRequest, body: &[u8]) -> Result<PlatformReply, String> {
    match request {
        PlatformRequest::Get { key } => {
            let named: Named = parse(body)?;
            Ok(PlatformReply::Object(named.object(split(key)?.0)))
        }
        PlatformRequest::Create { .. }
        | PlatformRequest::Update { .. }
        | PlatformRequest::SetStatus { .. } => {
            let named: Named = parse(body)?;
            Ok(PlatformReply::Written { version: named.metadata.revision })
        }
        PlatformRequest::Delete { .. } => Ok(PlatformReply::Deleted),
        PlatformRequest::List { prefix, .. } => {
            let kind = kind_of(prefix)?;
            let page: Page = parse(body)?;
            let objects = page.items.iter().map(|item| item.object(kind)).collect();
            Ok(PlatformReply::Page { objects, more: page.has_more, revision: page.current_rev })
        }
        PlatformRequest::Watch { prefix, .. } => {
            let kind = kind_of(prefix)?;
            let watched: Watched = parse(body)?;
            let changes = watched.events.iter().map(|event| {
                let object = event.object.object(kind);
                let value = (!event.removed).then_some(object.value);
                Change { key: object.key, version: object.version, value }
            });
            Ok(PlatformReply::Changes { changes: changes.collect(), revision: watched.current_rev })
        }
        PlatformRequest::Instances => Err("this form of the object API lists no instances".to_owned()),
    }
}

fn split(key: &str) -> Result<(&str, &str), String> {
    let parts = key.split_once('/').filter(|(kind, name)| is_plain(kind) && is_plain(name));
    parts.ok_or_else(|| format!("{key:?} is not KIND/NAME"))
}

fn kind_of(prefix: &str) -> Result<&str, String> {
    let kind = prefix.strip_suffix('/').filter(|kind| is_plain(kind));
    kind.ok_or_else(|| format!("{prefix:?} names no kind"))
}

fn is_plain(part: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    !part.is_empty() && part != "." && part != ".." && part.bytes().all(plain)
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

fn with_body(method: Method, url: Url, body: &Value) -> Result<Request, String> {
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
