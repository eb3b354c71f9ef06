use crate::clock::Now;
use crate::owner::Owner;
use crate::owner::refusals::platform_unavailable;
use crate::program::Outbox;
use crate::schema::OwnerEvent;

/// how long an answer waits for its fence before it is refused.
const FENCE_WAIT_MS: u64 = 5000;

/// an answer from local state, sent once its fence has passed: the journal was not sealed by then, so that no
/// other owner has taken over.
#[derive(Debug)]
pub(super) struct FencedAnswer {
    pub(super) fence: u64,
    pub(super) ticket: u64,
    pub(super) event: OwnerEvent,
    pub(super) deadline_ms: u64,
}

impl Owner {
    pub(super) fn hold_fenced(&mut self, now: Now, out: &mut Outbox) {
        for (ticket, event) in out.fenced.drain(..) {
            let fence = self.journal.request_fence();
            self.fenced.push(FencedAnswer { fence, ticket, event, deadline_ms: now.ms + FENCE_WAIT_MS });
        }
    }

    pub(super) fn release_fenced(&mut self, now: Now, out: &mut Outbox) {
        for answer in std::mem::take(&mut self.fenced) {
            if self.journal.fence_passed(answer.fence) {
                out.answer(answer.ticket, answer.event);
            } else if now.ms >= answer.deadline_ms {
                out.refuse(answer.ticket, platform_unavailable());
            } else {
                self.fenced.push(answer);
            }
        }
    }
}
