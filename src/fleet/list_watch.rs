use crate::platform::Backoff;
use crate::platform::Change;
use crate::platform::Object;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;

/// objects asked for in one page; the platform may give fewer.
const PAGE_OBJECTS: usize = 500;
/// first wait after a failed call; doubles with each further one.
const FIRST_RETRY_MS: u64 = 60;
/// longest wait after a failed call: an outage that ends is noticed well within the bounds of a second and more.
const LONGEST_RETRY_MS: u64 = 500;
/// the same waits of a fallback, as every door is one: whoever is not a fallback notices the end of an outage first.
const FALLBACK_FIRST_RETRY_MS: u64 = 500;
const FALLBACK_LONGEST_RETRY_MS: u64 = 2_000;
/// wait after changes before the next call, as changes come in rows and each call is charged: far below the bounds of
/// two seconds and more within which changes have to be in force.
const GATHER_CHANGES_MS: u64 = 150;

/// follows the objects below a prefix: lists them, then watches, and lists again where the watch has a gap.
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

/// what a reply brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchUpdate {
    /// all objects as they are; what is not among them is gone.
    Snapshot(Vec<Object>),
    /// changes since what was known.
    Changes(Vec<Change>),
    /// nothing yet.
    Nothing,
    /// the call failed.
    Failed(PlatformError),
}

impl ListWatch {
    /// follows `prefix` with watches of `wait_ms`; the seed spreads retries of several processes.
    pub fn new(prefix: &str, wait_ms: u64, seed: u64) -> Self {
        Self {
            prefix: prefix.to_owned(),
            wait_ms,
            state: State::Listing { after: String::new(), objects: Vec::new() },
            backoff: Backoff::new(FIRST_RETRY_MS, LONGEST_RETRY_MS, seed),
            seed,
            next_call_ms: 0,
        }
    }

    /// repeats failed calls less often, beside others who follow the same prefix.
    pub fn into_fallback(mut self) -> Self {
        self.backoff = Backoff::new(FALLBACK_FIRST_RETRY_MS, FALLBACK_LONGEST_RETRY_MS, self.seed);
        self
    }

    /// revision of the platform up to which all changes were seen; `None` while listing.
    pub fn revision(&self) -> Option<u64> {
        match &self.state {
            State::Listing { .. } => None,
            State::Watching { revision } => Some(*revision),
        }
    }

    /// when the next call is due.
    pub fn next_call_ms(&self) -> u64 {
        self.next_call_ms
    }

    /// the next call.
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

    /// takes the outcome of the call.
    pub fn on_result(&mut self, now_ms: u64, result: PlatformResult) -> WatchUpdate {
        match result {
            Ok(reply) => {
                self.backoff.reset();
                self.next_call_ms = now_ms;
                self.take_reply(reply)
            }
            Err(PlatformError::Gap) => {
                self.list_again();
                self.next_call_ms = now_ms;
                WatchUpdate::Failed(PlatformError::Gap)
            }
            Err(error) => {
                // Pages of a list that broke off need not fit together with later ones.
                if let State::Listing { .. } = self.state {
                    self.list_again();
                }
                let named_ms = match &error {
                    PlatformError::RateLimited { retry_after_ms } => *retry_after_ms,
                    _ => 0,
                };
                self.next_call_ms = now_ms + self.backoff.next_ms().max(named_ms.min(LONGEST_RETRY_MS));
                WatchUpdate::Failed(error)
            }
        }
    }

    fn take_reply(&mut self, reply: PlatformReply) -> WatchUpdate {
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
                self.next_call_ms += GATHER_CHANGES_MS;
                WatchUpdate::Changes(changes)
            }
            (_, _) => {
                self.list_again();
                WatchUpdate::Failed(PlatformError::Invalid("the reply belongs to another call".to_owned()))
            }
        }
    }

    fn list_again(&mut self) {
        self.state = State::Listing { after: String::new(), objects: Vec::new() };
    }
}
