//! what callers and the platform ask a front door beside requests: which doors to use, and whether it is ready.

use hyper::Uri;
use serde_json::json;

/// path of the question for doors.
pub const RESOLVE_PATH: &str = "/resolve";
/// field of the question that names the caller's availability zone.
const ZONE: &str = "zone";
/// path of the platform's readiness check.
pub const READINESS_PATH: &str = "/readyz";
/// most doors in one answer.
pub const MAX_ADDRESSES: usize = 64;

/// availability zone of the caller that asks for doors, as it names it in the query.
pub fn caller_zone(target: &Uri) -> Option<&str> {
    let fields = target.query()?.split('&');
    fields.filter_map(|field| field.split_once('=')).find_map(|(name, value)| (name == ZONE).then_some(value))
}

/// the answer to a question for doors.
pub fn resolve_body(addresses: &[&str], keep_s: f64) -> String {
    json!({ "addresses": addresses, "ttl_s": keep_s }).to_string()
}
