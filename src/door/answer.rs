use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;

/// a response body for a caller; an error aborts the connection, so that a truncated answer is not taken as
/// complete.
pub(super) type DoorBody = UnsyncBoxBody<Bytes, anyhow::Error>;

/// a body that is already in memory.
pub(super) fn full_body(bytes: impl Into<Bytes>) -> DoorBody {
    Full::new(bytes.into()).map_err(|infallible| match infallible {}).boxed_unsync()
}

/// a plain-text response.
pub(super) fn plain_text(status: StatusCode, text: &str) -> Response<DoorBody> {
    let mut response = Response::new(full_body(text.to_owned()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
