use crate::clock::Now;
use crate::owner::Owner;
use crate::owner::refusals::platform_unavailable;
use crate::program::Outbox;
use crate::schema::OwnerEvent;

/// how long an answer waits for proof that no other owner has taken over.
const FENCE_WAIT_MS: u64 = 5000;

/// an answer that waits for proof that no other owner has taken over.
#[derive(Debug)]
pub(super) struct FencedAnswer {
    pub(super) fence: u64,
    pub(super) ticket: u64,
    pub(super) event: OwnerEvent,
    pub(super) until_ms: u64,
}

impl Owner {
    pub(super) fn hold_fenced(&mut self, now: Now, out: &mut Outbox) {
        for (ticket, event) in out.fenced.drain(..) {
            let fence = self.journal.fence();
            self.fenced.push(FencedAnswer { fence, ticket, event, until_ms: now.ms + FENCE_WAIT_MS });
        }
    }

    pub(super) fn release_fenced(&mut self, now: Now, out: &mut Outbox) {
        for answer in std::mem::take(&mut self.fenced) {
            if self.journal.is_fenced(answer.fence) {
                out.answer(answer.ticket, answer.event);
            } else if now.ms >= answer.until_ms {
                out.refuse(answer.ticket, platform_unavailable());
            } else {
                self.fenced.push(answer);
            }
        }
    }
}
