//! endpoints of a door besides its routes: the directory of doors and the platform's readiness check.

use hyper::Uri;
use serde_json::json;

/// path of the directory of doors.
pub const RESOLVE_PATH: &str = "/resolve";
/// query parameter for the caller's availability zone.
const ZONE_PARAMETER: &str = "zone";
/// path of the platform's readiness check.
pub const READINESS_PATH: &str = "/readyz";
/// limit of doors in one answer of the directory.
pub const MAX_ADDRESSES: usize = 64;

/// availability zone of the caller, if the query of a directory request names it.
pub fn caller_zone(target: &Uri) -> Option<&str> {
    let fields = target.query()?.split('&');
    fields
        .filter_map(|field| field.split_once('='))
        .find_map(|(name, value)| (name == ZONE_PARAMETER).then_some(value))
}

/// body of an answer of the directory, which callers may cache for `ttl_s` seconds.
pub fn resolve_body(addresses: &[&str], ttl_s: f64) -> String {
    json!({ "addresses": addresses, "ttl_s": ttl_s }).to_string()
}
