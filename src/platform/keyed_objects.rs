//! encoding of the object API's form with objects under keys: a value is a body, a version is its entity tag.
//! Pages are JSON, with values in base64.

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
    objects: Vec<ObjectRow>,
    more: bool,
    revision: u64,
}

#[derive(Deserialize)]
struct ChangesBody {
    changes: Vec<ObjectRow>,
    revision: u64,
}

#[derive(Deserialize)]
struct ObjectRow {
    key: String,
    version: u64,
    #[serde(default)]
    value: Option<String>,
}

impl ObjectRow {
    fn value(&self) -> Result<Option<Vec<u8>>, String> {
        let decoded = self.value.as_ref().map(|text| BASE64_STANDARD.decode(text));
        decoded.transpose().map_err(|error| format!("value of {} is not base64: {error}", self.key))
    }
}

impl TryFrom<ObjectRow> for Object {
    type Error = String;

    fn try_from(row: ObjectRow) -> Result<Self, String> {
        let value = row.value()?.unwrap_or_default();
        Ok(Self { key: row.key, version: row.version, value })
    }
}

impl TryFrom<ObjectRow> for Change {
    type Error = String;

    fn try_from(row: ObjectRow) -> Result<Self, String> {
        let value = row.value()?;
        Ok(Self { key: row.key, version: row.version, value })
    }
}

/// encodes a call as an HTTP request.
pub(super) fn encode(address: SocketAddr, request: &PlatformRequest) -> Result<Request, String> {
    match request {
        PlatformRequest::Get { key } => Ok(Request::new(Method::Get, object_url(address, key)?)),
        PlatformRequest::Delete { key } => Ok(Request::new(Method::Delete, object_url(address, key)?)),
        PlatformRequest::SetStatus { .. } => Err("keyed objects have no status".to_owned()),
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

/// decodes the body of a successful reply; `version` is from its entity tag.
pub(super) fn decode(
    request: &PlatformRequest,
    version: Option<u64>,
    body: Vec<u8>,
) -> Result<PlatformReply, String> {
    let version = || version.ok_or_else(|| "the reply has no etag header with a version".to_owned());
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

/// version of the object, from the entity tag.
pub(super) fn version(response: &Response) -> Option<u64> {
    response.header("etag")?.as_str().trim_matches('"').parse().ok()
}

/// delay that a rejection asks for.
pub(super) fn retry_after_ms(response: &Response) -> Option<u64> {
    response.header("retry-after-ms")?.as_str().parse().ok()
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

fn object_url(address: SocketAddr, key: &str) -> Result<Url, String> {
    let is_safe_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/:@=+".contains(&byte);
    let has_bad_segment =
        key.split('/').any(|segment| segment.is_empty() || segment == "." || segment == "..");
    if has_bad_segment || !key.bytes().all(is_safe_byte) {
        return Err(format!("key {key:?} cannot be used in a URL path"));
    }
    url(address, &format!("/v1/objects/{key}"))
}

fn url(address: SocketAddr, path: &str) -> Result<Url, String> {
    Url::parse(&format!("http://{address}{path}")).map_err(|error| error.to_string())
}
