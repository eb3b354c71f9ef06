//! the fair queue against a reference model on sorted lists, and its bound on unfairness.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use flamingostand::dispatch::FairQueue;
use flamingostand::dispatch::QueuedTurn;
use proptest::prelude::*;
use test_case::test_case;

const WORKSPACES: [&str; 4] = ["a", "b", "c", "d"];

#[derive(Clone, Debug)]
enum Step {
    Push { workspace: usize, weight: u32, cost_tokens: u64, rank: u64 },
    Pop,
    Remove { nth: usize },
    Settle { workspace: usize, estimated_tokens: u64, actual_tokens: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..4usize, 1..5u32, 1..1000u64, 0..10u64).prop_map(|(workspace, weight, cost_tokens, rank)| {
            Step::Push { workspace, weight: weight * 50, cost_tokens, rank }
        }),
        3 => Just(Step::Pop),
        1 => (0..20usize).prop_map(|nth| Step::Remove { nth }),
        1 => (0..4usize, 1..1000u64, 1..1000u64).prop_map(|(workspace, estimated_tokens, actual_tokens)| {
            Step::Settle { workspace, estimated_tokens, actual_tokens }
        }),
    ];
    prop::collection::vec(step, 1..200)
}

#[derive(Default)]
struct ReferenceWorkspace {
    weight: u64,
    start_time: u64,
    order: usize,
    turns: Vec<(u64, u64, u64)>,
}

/// reference model: the same policy over plain lists, sorted on each insertion.
#[derive(Default)]
struct ReferenceQueue {
    workspaces: BTreeMap<usize, ReferenceWorkspace>,
    virtual_time: u64,
}

impl ReferenceQueue {
    fn push(&mut self, ticket: u64, workspace: usize, weight: u32, cost_tokens: u64, rank: u64) {
        let order = self.workspaces.len();
        let start_time = self.virtual_time;
        let idle = ReferenceWorkspace { start_time, order, ..ReferenceWorkspace::default() };
        let entry = self.workspaces.entry(workspace).or_insert(idle);
        entry.weight = u64::from(weight);
        if entry.turns.is_empty() {
            entry.start_time = entry.start_time.max(start_time);
        }
        entry.turns.push((rank, ticket, cost_tokens));
        entry.turns.sort_unstable();
    }

    fn pop(&mut self) -> Option<u64> {
        let waiting = self.workspaces.values_mut().filter(|entry| !entry.turns.is_empty());
        let entry = waiting.min_by_key(|entry| (entry.start_time, entry.order))?;
        let (_, ticket, cost_tokens) = entry.turns.remove(0);
        self.virtual_time = self.virtual_time.max(entry.start_time);
        entry.start_time += cost_tokens * 1000 / entry.weight;
        Some(ticket)
    }

    fn remove(&mut self, ticket: u64) {
        for entry in self.workspaces.values_mut() {
            entry.turns.retain(|turn| turn.1 != ticket);
        }
    }

    fn settle(&mut self, workspace: usize, estimated_tokens: u64, actual_tokens: u64) {
        let Some(entry) = self.workspaces.get_mut(&workspace) else { return };
        let units = estimated_tokens.abs_diff(actual_tokens) * 1000 / entry.weight;
        entry.start_time = if actual_tokens < estimated_tokens {
            entry.start_time.saturating_sub(units)
        } else {
            entry.start_time + units
        };
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn matches_reference(steps in steps()) {
        let mut queue = FairQueue::default();
        let mut reference = ReferenceQueue::default();
        let mut next_ticket = 0;
        for step in steps {
            match step {
                Step::Push { workspace, weight, cost_tokens, rank } => {
                    let ticket = next_ticket;
                    next_ticket += 1;
                    queue.push(QueuedTurn { ticket, workspace: WORKSPACES[workspace], weight, cost_tokens, rank });
                    reference.push(ticket, workspace, weight, cost_tokens, rank);
                }
                Step::Pop => prop_assert_eq!(queue.pop(), reference.pop()),
                Step::Remove { nth } => {
                    let Some(ticket) = queue.tickets().get(nth).copied() else { continue };
                    prop_assert!(queue.remove(ticket));
                    reference.remove(ticket);
                }
                Step::Settle { workspace, estimated_tokens, actual_tokens } => {
                    queue.settle(WORKSPACES[workspace], estimated_tokens, actual_tokens);
                    reference.settle(workspace, estimated_tokens, actual_tokens);
                }
            }
        }
        while let Some(ticket) = reference.pop() {
            prop_assert_eq!(queue.pop(), Some(ticket));
        }
        prop_assert!(queue.is_empty());
        prop_assert_eq!(queue.queued_cost_tokens(), 0);
    }
}

#[test_case(1, 1; "equal weights")]
#[test_case(1, 3; "triple weight")]
#[test_case(50, 1; "fifty times")]
fn shares_follow_weights(left: u32, right: u32) {
    const COST_TOKENS: u64 = 100;
    let mut queue = FairQueue::default();
    for ticket in 0..10_000 {
        let (workspace, weight) = if ticket % 2 == 0 { ("left", left) } else { ("right", right) };
        queue.push(QueuedTurn { ticket, workspace, weight, cost_tokens: COST_TOKENS, rank: 0 });
    }
    let mut served = [0u64; 2];
    for _ in 0..2_000 {
        let ticket = queue.pop().unwrap();
        served[(ticket % 2) as usize] += COST_TOKENS;
        let left_share = served[0] / u64::from(left);
        let right_share = served[1] / u64::from(right);
        assert!(left_share.abs_diff(right_share) <= 2 * COST_TOKENS, "{served:?}");
    }
}

#[test]
fn new_workspace_goes_next() {
    let mut queue = FairQueue::default();
    for ticket in 0..1_000 {
        queue.push(QueuedTurn { ticket, workspace: "large", weight: 1, cost_tokens: 5_000, rank: ticket });
    }
    for _ in 0..100 {
        queue.pop();
    }
    queue.push(QueuedTurn { ticket: 5_000, workspace: "small", weight: 1, cost_tokens: 10, rank: 0 });
    let next = [queue.pop(), queue.pop()];
    assert!(next.contains(&Some(5_000)));
}

#[test]
fn idle_workspace_dropped() {
    let mut queue = FairQueue::default();
    queue.push(QueuedTurn { ticket: 1, workspace: "a", weight: 1, cost_tokens: 10, rank: 0 });
    queue.pop();
    queue.sweep();
    assert_eq!(queue.workspace_count(), 1);
    queue.settle("a", 10, 0);
    queue.sweep();
    assert_eq!(queue.workspace_count(), 0);
}
