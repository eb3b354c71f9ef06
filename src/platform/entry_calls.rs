//! what callers and the platform ask a front door beside requests: which doors to use, and whether it is ready.

use serde_json::json;

/// path of the question for doors.
pub const RESOLVE_PATH: &str = "/resolve";
/// path of the platform's readiness check.
pub const READINESS_PATH: &str = "/readyz";
/// most doors in one answer.
pub const MAX_ADDRESSES: usize = 64;

/// the answer to a question for doors.
pub fn resolve_body(addresses: &[&str], keep_s: f64) -> String {
    json!({ "addresses": addresses, "ttl_s": keep_s }).to_string()
}
