use std::collections::BTreeSet;

use crate::schema::PoisonStrike;

/// limit of pending strikes; beyond it, the oldest is dropped.
const MAX_PENDING: usize = 1_024;

/// strikes seen by this door that fewer than a write quorum of ledger nodes have stored.
#[derive(Debug, Default)]
pub struct PendingStrikes {
    /// oldest first.
    strikes: Vec<Row>,
    /// nodes with a request in flight.
    in_flight: BTreeSet<String>,
    /// epoch of the view whose members are asked. A member of another view may have lost its disk since.
    epoch: u64,
}

#[derive(Debug)]
struct Row {
    strike: PoisonStrike,
    stored_at: BTreeSet<String>,
}

impl PendingStrikes {
    /// adds a strike that no ledger node has stored.
    pub fn add(&mut self, strike: PoisonStrike) {
        if self.strikes.len() >= MAX_PENDING {
            self.strikes.remove(0);
        }
        self.strikes.push(Row { strike, stored_at: BTreeSet::new() });
    }

    /// all pending strikes, oldest first.
    pub fn strikes(&self) -> impl Iterator<Item = &PoisonStrike> {
        self.strikes.iter().map(|row| &row.strike)
    }

    /// strikes to send to a node now; empty while a request to it is in flight.
    pub fn next_batch(&mut self, epoch: u64, node: &str) -> Vec<PoisonStrike> {
        self.set_epoch(epoch);
        if self.in_flight.contains(node) {
            return Vec::new();
        }
        let missing = self.strikes.iter().filter(|row| !row.stored_at.contains(node));
        let missing: Vec<PoisonStrike> = missing.map(|row| row.strike.clone()).collect();
        if !missing.is_empty() {
            self.in_flight.insert(node.to_owned());
        }
        missing
    }

    /// handles a node's confirmation that strikes are on its disk; drops those that `quorum` nodes of one
    /// view have stored.
    pub fn acknowledge(&mut self, epoch: u64, node: &str, strikes: &[PoisonStrike], quorum: usize) {
        if epoch != self.epoch {
            return;
        }
        self.in_flight.remove(node);
        for row in &mut self.strikes {
            if strikes.contains(&row.strike) {
                row.stored_at.insert(node.to_owned());
            }
        }
        self.strikes.retain(|row| row.stored_at.len() < quorum);
    }

    /// handles a failed request to a node, so that the next batch repeats it.
    pub fn request_failed(&mut self, epoch: u64, node: &str) {
        if epoch == self.epoch {
            self.in_flight.remove(node);
        }
    }

    fn set_epoch(&mut self, epoch: u64) {
        if epoch == self.epoch {
            return;
        }
        self.epoch = epoch;
        self.in_flight.clear();
        for row in &mut self.strikes {
            row.stored_at.clear();
        }
    }

    /// whether no strike is pending.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty()
    }
}
