use slog::Logger;
use slog::info;
use slog::warn;

use crate::fleet::ListWatch;
use crate::fleet::WatchUpdate;
use crate::platform::PlatformError;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;

/// how long after a failed call removals may still be lapses of the platform's outage.
///
/// Entries lapse during an outage, and are back within two seconds of its end.
const AFTER_OUTAGE_MS: u64 = 2_500;

/// a follower with its memory of outages, which it logs.
#[derive(Debug)]
pub struct PrefixWatcher {
    prefix: &'static str,
    follower: ListWatch,
    failed_ms: Option<u64>,
    is_lost: bool,
}

/// what one call brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchStep {
    /// objects or changes.
    pub update: WatchUpdate,
    /// whether calls failed shortly before.
    pub after_outage: bool,
}

impl PrefixWatcher {
    /// follows a prefix with watches of `wait_ms`.
    pub fn new(prefix: &'static str, wait_ms: u64) -> Self {
        Self::with(prefix, ListWatch::new(prefix, wait_ms, rand::random()))
    }

    /// follows a prefix beside others who do; failed calls are repeated less often.
    pub fn fallback(prefix: &'static str, wait_ms: u64) -> Self {
        Self::with(prefix, ListWatch::new(prefix, wait_ms, rand::random()).into_fallback())
    }

    fn with(prefix: &'static str, follower: ListWatch) -> Self {
        Self { prefix, follower, failed_ms: None, is_lost: false }
    }

    /// how long to wait before the next call.
    pub fn pause_ms(&self, now_ms: u64) -> u64 {
        self.follower.next_call_ms().saturating_sub(now_ms)
    }

    /// the next call.
    pub fn request(&self) -> PlatformRequest {
        self.follower.request()
    }

    /// revision up to which all changes were seen.
    pub fn revision(&self) -> Option<u64> {
        self.follower.revision()
    }

    /// takes the outcome of the call.
    pub fn on_result(&mut self, now_ms: u64, result: PlatformResult, log: &Logger) -> WatchStep {
        let update = self.follower.on_result(now_ms, result);
        match &update {
            // A history that was dropped is no outage.
            WatchUpdate::Failed(PlatformError::Gap) => {}
            WatchUpdate::Failed(error) => {
                self.failed_ms = Some(now_ms);
                if !self.is_lost {
                    warn!(log, "a dependency is lost"; "dependency" => "platform", "prefix" => self.prefix,
                        "error" => error.to_string());
                }
                self.is_lost = true;
            }
            WatchUpdate::Snapshot(_) | WatchUpdate::Changes(_) | WatchUpdate::Nothing if self.is_lost => {
                self.is_lost = false;
                info!(log, "a dependency is back"; "dependency" => "platform", "prefix" => self.prefix);
            }
            WatchUpdate::Snapshot(_) | WatchUpdate::Changes(_) | WatchUpdate::Nothing => {}
        }
        let after_outage = self.failed_ms.is_some_and(|failed_ms| now_ms < failed_ms + AFTER_OUTAGE_MS);
        WatchStep { update, after_outage }
    }
}
