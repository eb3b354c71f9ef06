use slog::Logger;
use slog::info;
use slog::warn;

use crate::fleet::Followed;
use crate::fleet::Follower;
use crate::platform::PlatformError;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;

/// how long after a failed call removals may still be lapses of the platform's outage.
///
/// Entries lapse during an outage, and are back within two seconds of its end.
const AFTER_OUTAGE_MS: u64 = 2_500;

/// a follower with its memory of outages, which it logs.
#[derive(Debug)]
pub struct Following {
    prefix: &'static str,
    follower: Follower,
    failed_ms: Option<u64>,
    is_lost: bool,
}

/// what one call brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// objects or changes.
    pub followed: Followed,
    /// whether calls failed shortly before.
    pub after_outage: bool,
}

impl Following {
    /// follows a prefix with watches of `wait_ms`.
    pub fn new(prefix: &'static str, wait_ms: u64) -> Self {
        Self::with(prefix, Follower::new(prefix, wait_ms, rand::random()))
    }

    /// follows a prefix beside others who do; failed calls are repeated less often.
    pub fn fallback(prefix: &'static str, wait_ms: u64) -> Self {
        Self::with(prefix, Follower::new(prefix, wait_ms, rand::random()).into_fallback())
    }

    fn with(prefix: &'static str, follower: Follower) -> Self {
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
    pub fn take(&mut self, now_ms: u64, result: PlatformResult, log: &Logger) -> Step {
        let followed = self.follower.take(now_ms, result);
        match &followed {
            // A history that was dropped is no outage.
            Followed::Failed(PlatformError::Gap) => {}
            Followed::Failed(error) => {
                self.failed_ms = Some(now_ms);
                if !self.is_lost {
                    warn!(log, "a dependency is lost"; "dependency" => "platform", "prefix" => self.prefix,
                        "error" => error.to_string());
                }
                self.is_lost = true;
            }
            Followed::Snapshot(_) | Followed::Changes(_) | Followed::Nothing if self.is_lost => {
                self.is_lost = false;
                info!(log, "a dependency is back"; "dependency" => "platform", "prefix" => self.prefix);
            }
            Followed::Snapshot(_) | Followed::Changes(_) | Followed::Nothing => {}
        }
        let after_outage = self.failed_ms.is_some_and(|failed_ms| now_ms < failed_ms + AFTER_OUTAGE_MS);
        Step { followed, after_outage }
    }
}
