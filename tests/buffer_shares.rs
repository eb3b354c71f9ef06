//! memory of the answers that a door is still reading, shared between large and small ones.

use flamingostand::door::BufferBudget;
use flamingostand::door::BufferShare;

/// limit of all answers together.
const LIMIT_BYTES: usize = 16 << 20;
/// further room for small answers.
const SMALL_ANSWERS_BYTES: usize = 8 << 20;
/// a piece of an answer as it comes from a connection.
const PIECE_BYTES: usize = 16 << 10;

/// lets an answer grow until there is no room for more.
fn fill(share: &mut BufferShare) -> usize {
    let mut pieces = 0;
    while share.grow(PIECE_BYTES) {
        pieces += 1;
        assert!(pieces * PIECE_BYTES <= LIMIT_BYTES, "the answer grows without end");
    }
    pieces * PIECE_BYTES
}

/// Guards against sound answers that fail because replicas that send without end have taken all the memory.
#[test]
fn small_answers_find_room_beside_endless_ones() {
    let budget = BufferBudget::default();
    let mut endless: Vec<BufferShare> = (0..12).map(|_| budget.share()).collect();
    for share in &mut endless {
        // Fills what is left, and would go on if it were let.
        fill(share);
    }
    let mut sound: Vec<BufferShare> = (0..100).map(|_| budget.share()).collect();
    for share in &mut sound {
        assert!(share.grow(PIECE_BYTES) && share.grow(PIECE_BYTES));
    }
    for share in &mut endless {
        assert!(!share.grow(PIECE_BYTES), "an endless answer makes room");
    }
}

/// Guards against answers that together take more memory than the machine has.
#[test]
fn all_answers_are_bounded_together() {
    let budget = BufferBudget::default();
    let mut shares: Vec<BufferShare> = (0..500).map(|_| budget.share()).collect();
    let total: usize = shares.iter_mut().map(fill).sum();
    assert!(total <= LIMIT_BYTES + SMALL_ANSWERS_BYTES, "{total} bytes");
}

/// Guards against memory that stays counted after an answer has ended or been handed on.
#[test]
fn released_memory_can_be_used_again() {
    let budget = BufferBudget::default();
    for _ in 0..100 {
        let mut share = budget.share();
        assert!(share.grow(LIMIT_BYTES));
        assert!(!share.grow(1), "one answer alone stays below the limit");
        assert!(share.resize(0) && share.grow(LIMIT_BYTES));
    }
}
