use slog::Logger;
use slog::info;
use slog::warn;

use crate::fleet::ListWatch;
use crate::fleet::WatchUpdate;
use crate::platform::PlatformError;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;

/// how long after a failed call removals may still be lapses caused by an outage of the platform.
///
/// Entries lapse during an outage and are listed again within two seconds of its end.
const AFTER_OUTAGE_MS: u64 = 2_500;

/// a list and watch of a prefix that tracks and logs outages of the platform.
#[derive(Debug)]
pub struct PrefixWatcher {
    prefix: &'static str,
    list_watch: ListWatch,
    failed_ms: Option<u64>,
    is_failing: bool,
}

/// an update, and whether an outage may explain its removals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchStep {
    /// what the call returned.
    pub update: WatchUpdate,
    /// whether a call failed shortly before, so that removals may be lapsed entries.
    pub after_outage: bool,
}

impl PrefixWatcher {
    /// watches a prefix; each watch waits up to `wait_ms`.
    pub fn new(prefix: &'static str, wait_ms: u64) -> Self {
        Self::wrap(prefix, ListWatch::new(prefix, wait_ms, rand::random()))
    }

    /// watches a prefix as a backup of other watchers, with longer backoffs.
    pub fn fallback(prefix: &'static str, wait_ms: u64) -> Self {
        Self::wrap(prefix, ListWatch::new(prefix, wait_ms, rand::random()).into_fallback())
    }

    fn wrap(prefix: &'static str, list_watch: ListWatch) -> Self {
        Self { prefix, list_watch, failed_ms: None, is_failing: false }
    }

    /// delay until the next call.
    pub fn pause_ms(&self, now_ms: u64) -> u64 {
        self.list_watch.next_call_ms().saturating_sub(now_ms)
    }

    /// the next call to the platform.
    pub fn request(&self) -> PlatformRequest {
        self.list_watch.request()
    }

    /// revision up to which all changes were received; `None` while listing.
    pub fn revision(&self) -> Option<u64> {
        self.list_watch.revision()
    }

    /// handles the result of the call and logs when an outage begins or ends.
    pub fn on_result(&mut self, now_ms: u64, result: PlatformResult, log: &Logger) -> WatchStep {
        let update = self.list_watch.on_result(now_ms, result);
        match &update {
            // The platform answered, but no longer has the requested revisions.
            WatchUpdate::Failed(PlatformError::Gap) => {}
            WatchUpdate::Failed(error) => {
                self.failed_ms = Some(now_ms);
                if !self.is_failing {
                    warn!(log, "calls to the platform fail; backing off"; "dependency" => "platform",
                        "prefix" => self.prefix, "error" => error.to_string());
                }
                self.is_failing = true;
            }
            WatchUpdate::Snapshot(_) | WatchUpdate::Changes(_) | WatchUpdate::Nothing if self.is_failing => {
                self.is_failing = false;
                info!(log, "calls to the platform succeed again"; "dependency" => "platform",
                    "prefix" => self.prefix);
            }
            WatchUpdate::Snapshot(_) | WatchUpdate::Changes(_) | WatchUpdate::Nothing => {}
        }
        let after_outage = self.failed_ms.is_some_and(|failed_ms| now_ms < failed_ms + AFTER_OUTAGE_MS);
        WatchStep { update, after_outage }
    }
}
