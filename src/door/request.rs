use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use hyper::header::HOST;

use crate::clock::Deadline;
use crate::clock::Moment;
use crate::door::content::Content;
use crate::platform::CallerRequest;
use crate::routing::Affinity;
use crate::routing::RequestKind;
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
    /// replica that ran the turn before this one, as far as the ledger knows.
    pub home: Option<String>,
    /// when the caller's or the route's time is over, whichever is first.
    pub deadline: Deadline,
}

impl DoorRequest {
    /// the time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.left(&Moment::now())
    }

    /// what the request gains from the same replica by.
    pub fn affinity(&self, route: &Route) -> Affinity<'_> {
        if !route.sticky {
            return Affinity::None;
        }
        if route.kind == RequestKind::Streaming && self.caller.program.is_some() {
            return Affinity::Program { home: self.home.as_deref() };
        }
        let key = self.caller.affinity_key.as_ref().or(self.caller.program.as_ref());
        key.map_or(Affinity::None, |key| Affinity::Key(key))
    }

    /// what goes to a replica.
    pub fn content(&self) -> Content {
        let host = self.headers.get(HOST).and_then(|host| host.to_str().ok());
        let caller = self.caller.program.as_deref().or(self.caller.affinity_key.as_deref());
        Content::new(&self.method, host, &self.target, &self.body, caller)
    }
}

/// when the time of a request is over.
pub(super) fn deadline(received: Moment, route: &Route, caller: &CallerRequest) -> Deadline {
    let wait_ms = caller.timeout_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    Deadline::new(received, Duration::from_millis(wait_ms))
}
