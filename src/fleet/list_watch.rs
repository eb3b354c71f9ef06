use crate::platform::Backoff;
use crate::platform::Change;
use crate::platform::Object;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;

/// objects requested per page; the platform may return fewer.
const PAGE_OBJECTS: usize = 500;
/// backoff after the first failed call; doubles with each further one.
const FIRST_BACKOFF_MS: u64 = 60;
/// longest backoff: the end of an outage is noticed well within the time limits, which are a second and more.
const MAX_BACKOFF_MS: u64 = 500;
/// backoffs of a fallback. Each door runs one, so they are longer; the ledger nodes notice the end of an
/// outage first.
const FALLBACK_FIRST_BACKOFF_MS: u64 = 500;
const FALLBACK_MAX_BACKOFF_MS: u64 = 2_000;
/// delay of the next call after changes, so that a burst of changes takes one call, as each call is charged.
/// Far below the limits of two seconds and more within which changes must take effect.
const CHANGES_DELAY_MS: u64 = 150;

/// list and watch of the objects below a prefix: lists them, then watches for changes, and lists again after
/// a gap in the watch.
///
/// Pure logic: the caller performs the calls.
#[derive(Debug)]
pub struct ListWatch {
    prefix: String,
    wait_ms: u64,
    state: State,
    backoff: Backoff,
    seed: u64,
    next_call_ms: u64,
}

#[derive(Debug)]
enum State {
    Listing { after: String, objects: Vec<Object> },
    Watching { revision: u64 },
}

/// what a call returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchUpdate {
    /// the complete list; objects not in it no longer exist.
    Snapshot(Vec<Object>),
    /// changes since the last update, in order.
    Changes(Vec<Change>),
    /// no changes, or a page of an incomplete list.
    Nothing,
    /// the call failed.
    Failed(PlatformError),
}

impl ListWatch {
    /// starts with a list of `prefix`; each watch waits up to `wait_ms`, and `seed` decides the jitter of
    /// retries.
    pub fn new(prefix: &str, wait_ms: u64, seed: u64) -> Self {
        Self {
            prefix: prefix.to_owned(),
            wait_ms,
            state: State::Listing { after: String::new(), objects: Vec::new() },
            backoff: Backoff::new(FIRST_BACKOFF_MS, MAX_BACKOFF_MS, seed),
            seed,
            next_call_ms: 0,
        }
    }

    /// uses longer backoffs, for a watch that only backs up others of the same prefix.
    pub fn into_fallback(mut self) -> Self {
        self.backoff = Backoff::new(FALLBACK_FIRST_BACKOFF_MS, FALLBACK_MAX_BACKOFF_MS, self.seed);
        self
    }

    /// revision up to which all changes were received; `None` while listing.
    pub fn revision(&self) -> Option<u64> {
        match &self.state {
            State::Listing { .. } => None,
            State::Watching { revision } => Some(*revision),
        }
    }

    /// earliest time of the next call.
    pub fn next_call_ms(&self) -> u64 {
        self.next_call_ms
    }

    /// the next call: a page of the list or a watch.
    pub fn request(&self) -> PlatformRequest {
        match &self.state {
            State::Listing { after, .. } => PlatformRequest::List {
                prefix: self.prefix.clone(),
                after: after.clone(),
                limit: PAGE_OBJECTS,
                with_values: true,
            },
            State::Watching { revision } => PlatformRequest::Watch {
                prefix: self.prefix.clone(),
                after_revision: *revision,
                wait_ms: self.wait_ms,
            },
        }
    }

    /// handles the result of the call.
    pub fn on_result(&mut self, now_ms: u64, result: PlatformResult) -> WatchUpdate {
        match result {
            Ok(reply) => {
                self.backoff.reset();
                self.next_call_ms = now_ms;
                self.on_reply(reply)
            }
            Err(PlatformError::Gap) => {
                self.restart_list();
                self.next_call_ms = now_ms;
                WatchUpdate::Failed(PlatformError::Gap)
            }
            Err(error) => {
                // Pages from before a failed call may be inconsistent with later ones.
                if let State::Listing { .. } = self.state {
                    self.restart_list();
                }
                let requested_ms = match &error {
                    PlatformError::RateLimited { retry_after_ms } => *retry_after_ms,
                    _ => 0,
                };
                self.next_call_ms = now_ms + self.backoff.next_ms().max(requested_ms.min(MAX_BACKOFF_MS));
                WatchUpdate::Failed(error)
            }
        }
    }

    fn on_reply(&mut self, reply: PlatformReply) -> WatchUpdate {
        match (reply, &mut self.state) {
            (PlatformReply::Page { objects: page, more, revision }, State::Listing { after, objects }) => {
                let last = page.last().map(|object| object.key.clone());
                objects.extend(page);
                if let Some(last) = last.filter(|_| more) {
                    *after = last;
                    return WatchUpdate::Nothing;
                }
                let objects = std::mem::take(objects);
                self.state = State::Watching { revision };
                WatchUpdate::Snapshot(objects)
            }
            (PlatformReply::Changes { changes, revision: next }, State::Watching { revision }) => {
                *revision = next.max(*revision);
                if changes.is_empty() {
                    return WatchUpdate::Nothing;
                }
                self.next_call_ms += CHANGES_DELAY_MS;
                WatchUpdate::Changes(changes)
            }
            (_, _) => {
                self.restart_list();
                WatchUpdate::Failed(PlatformError::Invalid(
                    "unexpected reply type from the platform".to_owned(),
                ))
            }
        }
    }

    fn restart_list(&mut self) {
        self.state = State::Listing { after: String::new(), objects: Vec::new() };
    }
}
