use crate::ids::SlotId;
use crate::owner::owner::RETRY_MOVED_MS;
use crate::owner::owner::STALL_MS;
use crate::program::refuse;
use crate::schema::Problem;
use crate::schema::Ran;

/// wait before a request for a slot that moves slowly is sent again.
const RETRY_BUSY_MS: u64 = 500;

/// a slot that another instance serves: nothing ran here.
pub(super) fn not_owner(slot: SlotId) -> Problem {
    let problem = refuse(421, "not_owner", format!("slot {slot} is served by another instance"));
    Problem { retry_after_ms: Some(RETRY_MOVED_MS), ..problem }
}

/// a slot that moved while a request waited: its new owner answers the same request.
pub(super) fn owner_moved(slot: SlotId) -> Problem {
    let problem = refuse(421, "owner_moved", format!("slot {slot} moved to another instance"));
    Problem { retry_after_ms: Some(RETRY_MOVED_MS), ran: Ran::Unknown, ..problem }
}

/// the owner was replaced while an answer waited for proof that it was not; it had started nothing.
pub(super) fn stopped() -> Problem {
    let problem = refuse(421, "owner_moved", "another instance took over");
    Problem { retry_after_ms: Some(RETRY_MOVED_MS), ran: Ran::Unknown, ..problem }
}

/// the platform does not answer, so that nothing can be said for certain.
pub(super) fn platform_unavailable() -> Problem {
    let problem = refuse(503, "platform_unavailable", "the platform does not answer");
    Problem { retry_after_ms: Some(STALL_MS), ran: Ran::Unknown, ..problem }
}

/// the platform does not take the move of a slot; what asks for it was not started.
pub(super) fn move_stuck() -> Problem {
    let problem = refuse(503, "platform_unavailable", "the platform does not take the move of the slot");
    Problem { retry_after_ms: Some(STALL_MS), ..problem }
}

/// too many requests wait, or one waited for too long.
pub(super) fn busy() -> Problem {
    let problem = refuse(503, "slot_moving", "the slot is being moved; nothing ran");
    Problem { retry_after_ms: Some(RETRY_BUSY_MS), ..problem }
}
