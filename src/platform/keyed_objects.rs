//! the object API's messages: requests as HTTP, replies from JSON and octets.

use std::net::SocketAddr;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use serde::Deserialize;

use crate::platform::Change;
use crate::platform::ListedInstance;
use crate::platform::Object;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;

#[derive(Deserialize)]
struct PageBody {
    objects: Vec<Row>,
    more: bool,
    revision: u64,
}

#[derive(Deserialize)]
struct ChangesBody {
    changes: Vec<Row>,
    revision: u64,
}

#[derive(Deserialize)]
struct Row {
    key: String,
    version: u64,
    #[serde(default)]
    value: Option<String>,
}

impl Row {
    fn value(&self) -> Result<Option<Vec<u8>>, String> {
        let decoded = self.value.as_ref().map(|text| BASE64_STANDARD.decode(text));
        decoded.transpose().map_err(|error| format!("value of {}: {error}", self.key))
    }
}

impl TryFrom<Row> for Object {
    type Error = String;

    fn try_from(row: Row) -> Result<Self, String> {
        let value = row.value()?.unwrap_or_default();
        Ok(Self { key: row.key, version: row.version, value })
    }
}

impl TryFrom<Row> for Change {
    type Error = String;

    fn try_from(row: Row) -> Result<Self, String> {
        let value = row.value()?;
        Ok(Self { key: row.key, version: row.version, value })
    }
}

/// writes a call as an HTTP request.
pub(super) fn encode(address: SocketAddr, request: &PlatformRequest) -> Result<Request, String> {
    match request {
        PlatformRequest::Get { key } => Ok(Request::new(Method::Get, object_url(address, key)?)),
        PlatformRequest::Delete { key } => Ok(Request::new(Method::Delete, object_url(address, key)?)),
        PlatformRequest::SetStatus { .. } => Err("objects under keys have no status".to_owned()),
        PlatformRequest::Create { key, value } => {
            let mut message = Request::new(Method::Put, object_url(address, key)?);
            message.insert_header("if-none-match", "*");
            message.set_body(value.as_slice());
            Ok(message)
        }
        PlatformRequest::Update { key, value, version } => {
            let mut message = Request::new(Method::Put, object_url(address, key)?);
            message.insert_header("if-match", format!("\"{version}\""));
            message.set_body(value.as_slice());
            Ok(message)
        }
        PlatformRequest::List { prefix, after, limit, with_values } => {
            let mut url = url(address, "/v1/objects")?;
            let mut query = url.query_pairs_mut();
            query.append_pair("prefix", prefix);
            query.append_pair("after", after);
            query.append_pair("limit", &limit.to_string());
            query.append_pair("values", if *with_values { "1" } else { "0" });
            drop(query);
            Ok(Request::new(Method::Get, url))
        }
        PlatformRequest::Watch { prefix, after_revision, wait_ms } => {
            let mut url = url(address, "/v1/watch")?;
            let mut query = url.query_pairs_mut();
            query.append_pair("prefix", prefix);
            query.append_pair("after_revision", &after_revision.to_string());
            query.append_pair("wait_ms", &wait_ms.to_string());
            drop(query);
            Ok(Request::new(Method::Get, url))
        }
        PlatformRequest::Instances => Ok(Request::new(Method::Get, url(address, "/v1/instances")?)),
    }
}

/// reads the reply to a call that succeeded.
pub(super) fn decode(
    request: &PlatformRequest,
    version: Option<u64>,
    body: Vec<u8>,
) -> Result<PlatformReply, String> {
    let version = || version.ok_or_else(|| "the reply names no version".to_owned());
    match request {
        PlatformRequest::Get { key } => {
            Ok(PlatformReply::Object(Object { key: key.clone(), version: version()?, value: body }))
        }
        PlatformRequest::Create { .. }
        | PlatformRequest::Update { .. }
        | PlatformRequest::SetStatus { .. } => Ok(PlatformReply::Written { version: version()? }),
        PlatformRequest::Delete { .. } => Ok(PlatformReply::Deleted),
        PlatformRequest::List { .. } => {
            let page: PageBody = parse(&body)?;
            let objects = page.objects.into_iter().map(Object::try_from).collect::<Result<_, _>>()?;
            Ok(PlatformReply::Page { objects, more: page.more, revision: page.revision })
        }
        PlatformRequest::Watch { .. } => {
            let seen: ChangesBody = parse(&body)?;
            let changes = seen.changes.into_iter().map(Change::try_from).collect::<Result<_, _>>()?;
            Ok(PlatformReply::Changes { changes, revision: seen.revision })
        }
        PlatformRequest::Instances => Ok(PlatformReply::Instances(parse::<Vec<ListedInstance>>(&body)?)),
    }
}

/// the version in an entity tag.
pub(super) fn version(response: &Response) -> Option<u64> {
    response.header("etag")?.as_str().trim_matches('"').parse().ok()
}

/// when a refusal asks the caller to come back.
pub(super) fn retry_after_ms(response: &Response) -> Option<u64> {
    response.header("retry-after-ms")?.as_str().parse().ok()
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

fn object_url(address: SocketAddr, key: &str) -> Result<Url, String> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/:@=+".contains(&byte);
    let relative = key.split('/').any(|part| part.is_empty() || part == "." || part == "..");
    if relative || !key.bytes().all(plain) {
        return Err(format!("{key:?} is not a path-safe key"));
    }
    url(address, &format!("/v1/objects/{key}"))
}

fn url(address: SocketAddr, path: &str) -> Result<Url, String> {
    Url::parse(&format!("http://{address}{path}")).map_err(|error| error.to_string())
}
