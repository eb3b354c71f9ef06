use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;

/// a body for a caller; an error ends the connection, so that the answer does not look whole.
pub(super) type DoorBody = UnsyncBoxBody<Bytes, anyhow::Error>;

/// a body of known bytes.
pub(super) fn whole(bytes: impl Into<Bytes>) -> DoorBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// an answer of a few words.
pub(super) fn plain(status: StatusCode, words: &str) -> Response<DoorBody> {
    let mut response = Response::new(whole(words.to_owned()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
