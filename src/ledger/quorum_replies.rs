use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::ledger::Quorum;
use crate::ledger::stream_versions::merge_stream;
use crate::schema::KeptTurn;
use crate::schema::LedgerAccount;
use crate::schema::LedgerMember;
use crate::schema::LedgerSpend;
use crate::schema::LedgerStored;
use crate::schema::LedgerView;
use crate::schema::StreamVersion;

/// state of the history that a turn continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum History {
    /// the turn continues none.
    None,
    /// the whole content, oldest turn first.
    Found(Vec<u8>),
    /// this turn of the history is not known yet.
    Gap(String),
    /// a read quorum of complete nodes lacks the requested turn, so it does not exist.
    Missing,
    /// a read quorum of complete nodes lacks this predecessor of the requested turn.
    Damaged(String),
}

/// outcome of the budget check with the answers so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetDecision {
    /// the turn fits into the budget.
    Within,
    /// the turn does not fit into the budget.
    Exceeded,
    /// the read quorum is not reached.
    Pending,
}

/// merged answers of ledger nodes to the requests of one turn.
#[derive(Debug)]
pub struct QuorumReplies {
    quorum: Quorum,
    previous: Option<String>,
    complete_members: BTreeSet<String>,
    stored_members: BTreeSet<String>,
    /// tokens held, by request id of the turn.
    spends: BTreeMap<String, LedgerSpend>,
    turns: HashMap<String, KeptTurn>,
    /// replica of the last turn of the line, from the first member that knows one.
    home: Option<String>,
    /// software that began the stream that was asked for.
    stream: Option<StreamVersion>,
    /// complete members that lack a turn, by turn.
    missing_at: HashMap<String, BTreeSet<String>>,
}

impl QuorumReplies {
    /// starts without answers; `previous` is the turn whose history is requested.
    pub fn new(view: &LedgerView, previous: Option<&str>) -> Self {
        Self {
            quorum: view.quorum(),
            previous: previous.map(str::to_owned),
            complete_members: BTreeSet::new(),
            stored_members: BTreeSet::new(),
            spends: BTreeMap::new(),
            turns: HashMap::new(),
            home: None,
            stream: None,
            missing_at: HashMap::new(),
        }
    }

    /// adds a member's account of the program, and of `turn` if that was requested too.
    pub fn add_account(&mut self, member: &str, turn: Option<&str>, mut account: LedgerAccount) {
        self.merge_spends(account.spends.drain(..));
        self.home = self.home.take().or_else(|| account.home.take());
        self.add_stream(account.stream.take());
        if account.complete {
            self.complete_members.insert(member.to_owned());
        }
        self.add_history(member, turn, account);
    }

    fn merge_spends(&mut self, spends: impl Iterator<Item = LedgerSpend>) {
        for spend in spends {
            let known = self.spends.entry(spend.request.clone()).or_insert_with(|| spend.clone());
            known.away |= spend.away;
            match (spend.settled, known.settled) {
                (false, _) => {}
                (true, false) => (known.tokens, known.settled) = (spend.tokens, true),
                // Members may have heard of different ends of a turn that was passed on.
                (true, true) => known.tokens = known.tokens.max(spend.tokens),
            }
        }
    }

    fn add_stream(&mut self, stream: Option<StreamVersion>) {
        match (&mut self.stream, stream) {
            (_, None) => {}
            (Some(known), Some(stream)) => {
                merge_stream(known, &stream);
            }
            (none @ None, stream) => *none = stream,
        }
    }

    /// the software that began the stream that was asked for; final once a read quorum has answered.
    pub fn stream(&self) -> Option<&StreamVersion> {
        self.stream.as_ref()
    }

    /// adds a member's account of a turn only.
    pub fn add_history(&mut self, member: &str, turn: Option<&str>, account: LedgerAccount) {
        if let Some(turn) = turn.filter(|_| account.complete && !account.knows_turn) {
            self.missing_at.entry(turn.to_owned()).or_default().insert(member.to_owned());
        }
        for kept in account.history {
            self.turns.insert(kept.turn.clone(), kept);
        }
    }

    /// replica that probably has most of the turn's prompt cached.
    pub fn home(&self) -> Option<&str> {
        self.home.as_deref()
    }

    /// adds a member's confirmation that the records are on its disk, with the spending that changed
    /// meanwhile.
    pub fn add_stored(&mut self, member: &str, stored: LedgerStored) {
        self.stored_members.insert(member.to_owned());
        self.merge_spends(stored.spends.into_iter());
    }

    /// whether the budget can be decided without a second read: all `preferred` members, which are the same
    /// from every door, have stored the reservation and reported their spending since, and no turn was
    /// reserved elsewhere.
    ///
    /// Of the turns stored this way, the last one at any of these members sees all others.
    pub fn is_decisive(&self, preferred: &[LedgerMember]) -> bool {
        let all_stored = preferred.iter().all(|member| self.stored_members.contains(&member.name));
        all_stored && self.has_read_quorum() && !self.spends.values().any(|spend| spend.away)
    }

    /// members that have the records on disk; the second read of a budget counts only their answers.
    pub fn stored_at(&self) -> impl Iterator<Item = &str> {
        self.stored_members.iter().map(String::as_str)
    }

    /// whether enough members have the records on disk to survive the tolerated disk losses.
    pub fn has_write_quorum(&self) -> bool {
        self.stored_members.len() >= self.quorum.write()
    }

    /// whether the answers include each record that was stored before the request.
    pub fn has_read_quorum(&self) -> bool {
        self.complete_members.len() >= self.quorum.read()
    }

    /// total of tokens held by the turns of the program.
    pub fn held_tokens(&self) -> u64 {
        self.spends.values().map(|spend| spend.tokens).sum()
    }

    /// compares the tokens held by all turns, this one included, with the budget.
    pub fn decision(&self, budget_tokens: u64) -> BudgetDecision {
        if !self.has_read_quorum() {
            return BudgetDecision::Pending;
        }
        if self.held_tokens() <= budget_tokens { BudgetDecision::Within } else { BudgetDecision::Exceeded }
    }

    /// the history, as far as it is known.
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

    fn gap(&self, turn: &str, is_requested: bool) -> History {
        let missing_at = self.missing_at.get(turn).map_or(0, BTreeSet::len);
        if missing_at < self.quorum.read() {
            return History::Gap(turn.to_owned());
        }
        if is_requested { History::Missing } else { History::Damaged(turn.to_owned()) }
    }
}
