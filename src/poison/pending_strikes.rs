use std::collections::BTreeSet;

use crate::schema::PoisonStrike;

/// strikes that wait to be stored; of more, the oldest are given up.
const MAX_STRIKES: usize = 1_024;

/// strikes of this door that too few ledger nodes have stored.
#[derive(Debug, Default)]
pub struct PendingStrikes {
    /// the oldest first.
    strikes: Vec<Row>,
    /// nodes that were told and have not answered.
    asked: BTreeSet<String>,
    /// epoch of the view whose members are told. A member of another view may have lost its disk since.
    epoch: u64,
}

#[derive(Debug)]
struct Row {
    strike: PoisonStrike,
    stored_at: BTreeSet<String>,
}

impl PendingStrikes {
    /// takes a strike that no ledger node knows.
    pub fn add(&mut self, strike: PoisonStrike) {
        if self.strikes.len() >= MAX_STRIKES {
            self.strikes.remove(0);
        }
        self.strikes.push(Row { strike, stored_at: BTreeSet::new() });
    }

    /// what a node is to be told now in a view; it is not told again before it has answered.
    pub fn next_batch(&mut self, epoch: u64, node: &str) -> Vec<PoisonStrike> {
        self.follow(epoch);
        if self.asked.contains(node) {
            return Vec::new();
        }
        let missing = self.strikes.iter().filter(|row| !row.stored_at.contains(node));
        let missing: Vec<PoisonStrike> = missing.map(|row| row.strike.clone()).collect();
        if !missing.is_empty() {
            self.asked.insert(node.to_owned());
        }
        missing
    }

    /// a node has these strikes on its disk. What `enough` nodes of one view have stored is not told any more.
    pub fn acknowledge(&mut self, epoch: u64, node: &str, strikes: &[PoisonStrike], enough: usize) {
        if epoch != self.epoch {
            return;
        }
        self.asked.remove(node);
        for row in &mut self.strikes {
            if strikes.contains(&row.strike) {
                row.stored_at.insert(node.to_owned());
            }
        }
        self.strikes.retain(|row| row.stored_at.len() < enough);
    }

    /// a node has not answered, and is told again.
    pub fn request_failed(&mut self, epoch: u64, node: &str) {
        if epoch == self.epoch {
            self.asked.remove(node);
        }
    }

    fn follow(&mut self, epoch: u64) {
        if epoch == self.epoch {
            return;
        }
        self.epoch = epoch;
        self.asked.clear();
        for row in &mut self.strikes {
            row.stored_at.clear();
        }
    }

    /// whether all strikes are stored.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty()
    }
}
