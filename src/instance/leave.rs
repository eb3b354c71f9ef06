use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use slog::info;
use slog::warn;

use crate::instance::Shared;
use crate::membership::MembershipInput;
use crate::owner::OwnerInput;
use crate::timeline::EventKind;

/// time between two looks at the requests under way.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// how long callers with an older answer of `where` are still served after the slots are given away.
const LINGER: Duration = Duration::from_millis(500);

impl Shared {
    /// starts to leave: no new slots, the present ones go to others, requests in flight finish.
    pub fn begin_leaving(&self) {
        if self.leaving.swap(true, Ordering::AcqRel) {
            return;
        }
        info!(self.log, "leaving");
        self.timeline.record_subject(EventKind::Leaving, &self.settings.instance.name, String::new());
        self.tell_membership(MembershipInput::Leave);
        self.tell_owner(OwnerInput::Leave);
    }

    /// waits until nothing of a caller is in flight here, or the drain runs out of time.
    pub(crate) async fn drained(self: &Arc<Self>) {
        let deadline = Instant::now() + Duration::from_millis(self.settings.limits.drain_timeout_ms);
        let mut quiet_since = Instant::now();
        loop {
            let busy = self.in_flight.load(Ordering::Acquire) > 0
                || !self.turns.is_empty()
                || !self.askers.is_empty();
            if busy {
                quiet_since = Instant::now();
            }
            if quiet_since.elapsed() >= LINGER {
                return;
            }
            if Instant::now() >= deadline {
                warn!(self.log, "the drain ran out of time"; "in_flight" => self.in_flight.load(Ordering::Relaxed));
                return;
            }
            Timer::after(POLL_PAUSE).await;
        }
    }
}
