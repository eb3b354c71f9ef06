use async_channel::Receiver;
use futures_lite::io::BufReader;
use futures_util::stream::TryStreamExt;
use http_types::Body;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

/// builds a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let mut response = Response::new(status);
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    response.set_body(Body::from_bytes(bytes));
    response.insert_header("content-type", "application/json");
    response
}

/// builds a problem response (RFC 9457) with a stable code and a sentence.
pub fn json_problem(status: StatusCode, code: &str, detail: &str) -> Response {
    let value = serde_json::json!({ "code": code, "ran": "not_run", "detail": detail });
    let mut response = json(status, &value);
    response.insert_header("content-type", "application/problem+json");
    response
}

/// builds a server-sent events response whose pieces go out as they arrive.
pub fn streamed(pieces: Receiver<std::io::Result<Vec<u8>>>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    // async-channel's receiver is not Unpin, which into_async_read needs.
    let reader = Box::pin(pieces).into_async_read();
    response.set_body(Body::from_reader(BufReader::new(reader), None));
    response.insert_header("content-type", "text/event-stream");
    response.insert_header("cache-control", "no-store");
    response
}
