use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use hyper::header::HOST;

use crate::clock::Deadline;
use crate::clock::Moment;
use crate::door::turn_tokens::TurnRole;
use crate::platform::CallerRequest;
use crate::poison::Content;
use crate::reach::PassTag;
use crate::routing::Affinity;
use crate::routing::RequestKind;
use crate::routing::Route;
use crate::routing::Software;
use crate::workspace::Principal;

/// a caller's request with its complete body.
#[derive(Clone, Debug)]
pub(super) struct DoorRequest {
    pub method: Method,
    /// path and query.
    pub target: Uri,
    pub headers: HeaderMap,
    pub caller: CallerRequest,
    /// on whose behalf the request runs.
    pub principal: Principal,
    /// the body as it goes to a replica.
    pub body: Bytes,
    /// the body as the caller sent it, without the history of a turn.
    pub input: Bytes,
    /// replica that ran the previous turn, if the ledger knows it.
    pub home: Option<String>,
    /// software that must run the request; any if `None`.
    pub software: Option<Software>,
    /// whether the software that runs it has to be certain, as its stream may go on elsewhere.
    pub needs_certain_software: bool,
    /// whether another door has passed it on, which is then not done once more.
    pub is_passed_on: bool,
    /// the earlier of the caller's deadline and the route's timeout.
    pub deadline: Deadline,
    /// whether it has been sent to a replica, which may have run it since.
    pub is_sent: Arc<AtomicBool>,
}

impl DoorRequest {
    /// notes that the request is about to be sent to a replica; returns whether it was before.
    pub fn mark_sent(&self) -> bool {
        self.is_sent.swap(true, Ordering::Relaxed)
    }

    /// notes that the attempt after `mark_sent` has sent nothing.
    pub fn unmark_sent(&self, was_sent: bool) {
        self.is_sent.store(was_sent, Ordering::Relaxed);
    }

    /// whether the request has been sent to a replica.
    pub fn was_sent(&self) -> bool {
        self.is_sent.load(Ordering::Relaxed)
    }

    /// time until the deadline; zero once it has passed.
    pub fn remaining(&self) -> Duration {
        self.deadline.remaining(&Moment::now())
    }

    /// what this door has to do with the reservation of the turn, if the request is one.
    pub fn role(&self) -> TurnRole {
        if !self.is_passed_on {
            return TurnRole::Caller;
        }
        match PassTag::from_headers(&self.headers) {
            Some(tag) if tag.sender_ends_turns => TurnRole::Helper,
            Some(_) | None => TurnRole::EndingHelper,
        }
    }

    /// what the choice of a replica should follow: the program's last replica, a key, or nothing.
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

    /// the content of the request, which strikes are counted against.
    pub fn content(&self) -> Content {
        let host = self.headers.get(HOST).and_then(|host| host.to_str().ok());
        let caller = self.caller.program.as_deref().or(self.caller.affinity_key.as_deref());
        let caller = caller.map(|caller| self.principal.scoped(caller));
        Content::new(&self.method, host, &self.target, &self.body, caller.as_deref()).with_input(&self.input)
    }
}

/// the deadline of a request: the caller's wait or the route's timeout, whichever is shorter.
pub(super) fn deadline(received: Moment, route: &Route, caller: &CallerRequest) -> Deadline {
    let wait_ms = caller.timeout_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    Deadline::new(received, Duration::from_millis(wait_ms))
}
