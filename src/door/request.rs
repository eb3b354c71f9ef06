use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;

use crate::platform::CallerRequest;
use crate::routing::Route;

/// a caller's request, read whole.
#[derive(Clone, Debug)]
pub(super) struct DoorRequest {
    pub method: Method,
    /// path and query.
    pub target: Uri,
    pub headers: HeaderMap,
    pub caller: CallerRequest,
    pub body: Bytes,
    /// when the caller's or the route's time is over, whichever is first.
    pub deadline: Instant,
}

impl DoorRequest {
    /// the time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// what the request gains from the same replica by.
    pub fn affinity(&self, route: &Route) -> Option<&str> {
        let key = self.caller.program.as_ref().or(self.caller.affinity_key.as_ref())?;
        route.sticky.then_some(key.as_str())
    }

    /// digest of what a request is, whatever its id: the same one comes again with it.
    pub fn content_digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.method.as_str().as_bytes());
        hasher.update(self.target.to_string().as_bytes());
        hasher.update(&[0]);
        hasher.update(self.caller.program.as_deref().unwrap_or_default().as_bytes());
        hasher.update(&[0]);
        hasher.update(&self.body);
        hasher.finalize().to_hex().as_str()[..32].to_owned()
    }
}

/// when the time of a request is over.
pub(super) fn deadline(received: Instant, route: &Route, caller: &CallerRequest) -> Instant {
    let wait_ms = caller.wait_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    received + Duration::from_millis(wait_ms)
}
