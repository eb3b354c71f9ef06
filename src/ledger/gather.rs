use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::ledger::Quorum;
use crate::schema::KeptTurn;
use crate::schema::LedgerAccount;
use crate::schema::LedgerView;

/// what is known of the history that a turn goes on from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum History {
    /// the turn goes on from none.
    None,
    /// everything that was said, the oldest turn first.
    Found(Vec<u8>),
    /// this turn of the history has not arrived yet.
    Gap(String),
    /// enough complete nodes say that there is no such turn.
    Missing,
    /// enough complete nodes lack a turn before the one that was named.
    Damaged(String),
}

/// what the answers so far allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// the budget holds the turn.
    Within,
    /// the budget does not hold the turn.
    Spent,
    /// too few nodes have answered.
    Open,
}

/// the answers of ledger nodes to the questions of one turn.
#[derive(Debug)]
pub struct Gather {
    quorum: Quorum,
    previous: Option<String>,
    complete: BTreeSet<String>,
    stored: BTreeSet<String>,
    /// tokens of each turn, and whether the number is final.
    spends: BTreeMap<String, (u64, bool)>,
    turns: HashMap<String, KeptTurn>,
    /// complete members that lack a turn, by the turn.
    lacked_by: HashMap<String, BTreeSet<String>>,
}

impl Gather {
    /// gathers answers of the members of a view; `previous` is the turn whose history is asked for.
    pub fn new(view: &LedgerView, previous: Option<&str>) -> Self {
        Self {
            quorum: view.quorum(),
            previous: previous.map(str::to_owned),
            complete: BTreeSet::new(),
            stored: BTreeSet::new(),
            spends: BTreeMap::new(),
            turns: HashMap::new(),
            lacked_by: HashMap::new(),
        }
    }

    /// takes what a member knows of the program, and of `turn` if that was asked for as well.
    pub fn account(&mut self, member: &str, turn: Option<&str>, mut account: LedgerAccount) {
        for spend in account.spends.drain(..) {
            let known = self.spends.entry(spend.request).or_insert((spend.tokens, spend.settled));
            if spend.settled && !known.1 {
                *known = (spend.tokens, true);
            }
        }
        if account.complete {
            self.complete.insert(member.to_owned());
        }
        self.kept(member, turn, account);
    }

    /// takes what a member knows of a turn only.
    pub fn kept(&mut self, member: &str, turn: Option<&str>, account: LedgerAccount) {
        if let Some(turn) = turn.filter(|_| account.complete && !account.knows_turn) {
            self.lacked_by.entry(turn.to_owned()).or_default().insert(member.to_owned());
        }
        for kept in account.history {
            self.turns.insert(kept.turn.clone(), kept);
        }
    }

    /// takes note that the records are on the disk of a member.
    pub fn stored(&mut self, member: &str) {
        self.stored.insert(member.to_owned());
    }

    /// whether the records survive the tolerated losses.
    pub fn is_stored(&self) -> bool {
        self.stored.len() >= self.quorum.write()
    }

    /// whether the answers show each record that was stored before the question.
    pub fn is_read(&self) -> bool {
        self.complete.len() >= self.quorum.read()
    }

    /// tokens held by all turns of the program.
    pub fn held_tokens(&self) -> u64 {
        self.spends.values().map(|(tokens, _)| tokens).sum()
    }

    /// whether the tokens that the turns hold, the asking one among them, fit into the budget.
    pub fn decision(&self, budget_tokens: u64) -> Decision {
        if !self.is_read() {
            return Decision::Open;
        }
        if self.held_tokens() <= budget_tokens { Decision::Within } else { Decision::Spent }
    }

    /// what is known of the history.
    pub fn history(&self) -> History {
        let Some(previous) = &self.previous else {
            return History::None;
        };
        let mut newest_first: Vec<&KeptTurn> = Vec::new();
        let mut next = Some(previous);
        while let Some(name) = next {
            let Some(kept) = self.turns.get(name) else {
                return self.gap(name, name == previous);
            };
            newest_first.push(kept);
            next = kept.previous.as_ref();
        }
        let mut bytes = Vec::new();
        for kept in newest_first.iter().rev() {
            bytes.extend_from_slice(kept.said.as_slice());
        }
        History::Found(bytes)
    }

    fn gap(&self, turn: &str, is_named: bool) -> History {
        let lacked_by = self.lacked_by.get(turn).map_or(0, BTreeSet::len);
        if lacked_by < self.quorum.read() {
            return History::Gap(turn.to_owned());
        }
        if is_named { History::Missing } else { History::Damaged(turn.to_owned()) }
    }
}
