use crate::ids::SlotId;
use crate::owner::owner::RETRY_MOVED_MS;
use crate::owner::owner::STALL_MS;
use crate::program::refuse;
use crate::schema::Problem;
use crate::schema::Ran;

/// retry delay for a request whose slot is still being moved.
const RETRY_BUSY_MS: u64 = 500;

/// another instance serves the slot; nothing ran.
pub(super) fn not_owner(slot: SlotId) -> Problem {
    let problem = refuse(421, "not_owner", format!("slot {slot} is served by another instance"));
    Problem { retry_after_ms: Some(RETRY_MOVED_MS), ..problem }
}

/// the slot moved while the request was in progress; the new owner answers a retry of it.
pub(super) fn owner_moved(slot: SlotId) -> Problem {
    let problem = refuse(421, "owner_moved", format!("slot {slot} moved to another instance"));
    Problem { retry_after_ms: Some(RETRY_MOVED_MS), ran: Ran::Unknown, ..problem }
}

/// the owner stopped before the fence of an answer passed; the request itself started nothing.
pub(super) fn fence_failed() -> Problem {
    let problem = refuse(421, "owner_moved", "another instance took over");
    Problem { retry_after_ms: Some(RETRY_MOVED_MS), ran: Ran::Unknown, ..problem }
}

/// the fence of an answer timed out, so that the answer may be stale.
pub(super) fn platform_unavailable() -> Problem {
    let problem = refuse(503, "platform_unavailable", "the platform does not answer");
    Problem { retry_after_ms: Some(STALL_MS), ran: Ran::Unknown, ..problem }
}

/// the slot cannot move while the platform accepts no writes; nothing ran.
pub(super) fn move_blocked() -> Problem {
    let problem = refuse(503, "platform_unavailable", "the platform does not take the move of the slot");
    Problem { retry_after_ms: Some(STALL_MS), ..problem }
}

/// the wait queue is full, or the request waited too long for a moving slot; nothing ran.
pub(super) fn slot_moving() -> Problem {
    let problem = refuse(503, "slot_moving", "the slot is being moved; nothing ran");
    Problem { retry_after_ms: Some(RETRY_BUSY_MS), ..problem }
}
