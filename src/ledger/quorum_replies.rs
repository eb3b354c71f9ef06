use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::ledger::Quorum;
use crate::schema::KeptTurn;
use crate::schema::LedgerAccount;
use crate::schema::LedgerMember;
use crate::schema::LedgerSpend;
use crate::schema::LedgerStored;
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
pub enum BudgetDecision {
    /// the budget holds the turn.
    Within,
    /// the budget does not hold the turn.
    Exceeded,
    /// too few nodes have answered.
    Pending,
}

/// the answers of ledger nodes to the questions of one turn.
#[derive(Debug)]
pub struct QuorumReplies {
    quorum: Quorum,
    previous: Option<String>,
    complete: BTreeSet<String>,
    stored: BTreeSet<String>,
    /// tokens held by each turn.
    spends: BTreeMap<String, LedgerSpend>,
    turns: HashMap<String, KeptTurn>,
    /// replica that ran the last turn of the line, by the first member that knows one.
    home: Option<String>,
    /// complete members that lack a turn, by the turn.
    lacked_by: HashMap<String, BTreeSet<String>>,
}

impl QuorumReplies {
    /// gathers answers of the members of a view; `previous` is the turn whose history is asked for.
    pub fn new(view: &LedgerView, previous: Option<&str>) -> Self {
        Self {
            quorum: view.quorum(),
            previous: previous.map(str::to_owned),
            complete: BTreeSet::new(),
            stored: BTreeSet::new(),
            spends: BTreeMap::new(),
            turns: HashMap::new(),
            home: None,
            lacked_by: HashMap::new(),
        }
    }

    /// takes what a member knows of the program, and of `turn` if that was asked for as well.
    pub fn add_account(&mut self, member: &str, turn: Option<&str>, mut account: LedgerAccount) {
        self.take_spends(account.spends.drain(..));
        self.home = self.home.take().or_else(|| account.home.take());
        if account.complete {
            self.complete.insert(member.to_owned());
        }
        self.add_history(member, turn, account);
    }

    fn take_spends(&mut self, spends: impl Iterator<Item = LedgerSpend>) {
        for spend in spends {
            let known = self.spends.entry(spend.request.clone()).or_insert_with(|| spend.clone());
            known.away |= spend.away;
            if spend.settled && !known.settled {
                known.tokens = spend.tokens;
                known.settled = true;
            }
        }
    }

    /// takes what a member knows of a turn only.
    pub fn add_history(&mut self, member: &str, turn: Option<&str>, account: LedgerAccount) {
        if let Some(turn) = turn.filter(|_| account.complete && !account.knows_turn) {
            self.lacked_by.entry(turn.to_owned()).or_default().insert(member.to_owned());
        }
        for kept in account.history {
            self.turns.insert(kept.turn.clone(), kept);
        }
    }

    /// replica at which the turn finds most of its prompt.
    pub fn home(&self) -> Option<&str> {
        self.home.as_deref()
    }

    /// takes note that the records are on the disk of a member, and what changed there meanwhile.
    pub fn add_stored(&mut self, member: &str, stored: LedgerStored) {
        self.stored.insert(member.to_owned());
        self.take_spends(stored.spends.into_iter());
    }

    /// whether the answers suffice for the last word on a budget: all `first` members, the same ones from every
    /// door, have the reservation and told what they knew then, and no turn was reserved elsewhere.
    ///
    /// Of the turns that are stored so, the last one at any of these members sees all others.
    pub fn is_decisive(&self, first: &[LedgerMember]) -> bool {
        let all_stored = first.iter().all(|member| self.stored.contains(&member.name));
        all_stored && self.has_read_quorum() && !self.spends.values().any(|spend| spend.away)
    }

    /// members that have the records on disk; only what they say then counts as a later look.
    pub fn stored_at(&self) -> impl Iterator<Item = &str> {
        self.stored.iter().map(String::as_str)
    }

    /// whether the records survive the tolerated losses.
    pub fn has_write_quorum(&self) -> bool {
        self.stored.len() >= self.quorum.write()
    }

    /// whether the answers show each record that was stored before the question.
    pub fn has_read_quorum(&self) -> bool {
        self.complete.len() >= self.quorum.read()
    }

    /// tokens held by all turns of the program.
    pub fn held_tokens(&self) -> u64 {
        self.spends.values().map(|spend| spend.tokens).sum()
    }

    /// whether the tokens that the turns hold, the asking one among them, fit into the budget.
    pub fn decision(&self, budget_tokens: u64) -> BudgetDecision {
        if !self.has_read_quorum() {
            return BudgetDecision::Pending;
        }
        if self.held_tokens() <= budget_tokens { BudgetDecision::Within } else { BudgetDecision::Exceeded }
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
