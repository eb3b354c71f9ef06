//! what a model replica reports about itself when it is asked directly.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use serde::Deserialize;

/// path of the report; it takes no slot of the replica.
const REPORT_PATH: &str = "/report";

#[derive(Deserialize)]
struct ReportWire {
    /// Unix time of the process start in milliseconds.
    #[serde(default)]
    born: Option<u64>,
}

/// asks a replica for its report.
pub fn report_request(address: SocketAddr) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = REPORT_PATH.parse().expect("the path is a URI");
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    request
}

/// the start of the process that reported, in Unix milliseconds; `None` if the report does not tell.
pub fn reported_start(body: &[u8]) -> Option<u64> {
    serde_json::from_slice::<ReportWire>(body).ok()?.born
}
