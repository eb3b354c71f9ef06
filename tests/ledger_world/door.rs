use std::collections::BTreeSet;

use flamingostand::ledger::BudgetDecision;
use flamingostand::ledger::History;
use flamingostand::ledger::QuorumReplies;
use flamingostand::schema::LedgerBegin;
use flamingostand::schema::LedgerFinish;
use flamingostand::schema::LedgerHistory;
use flamingostand::schema::LedgerMember;
use flamingostand::schema::LedgerRequest;
use flamingostand::schema::LedgerSpent;
use flamingostand::schema::LedgerTurn;
use flamingostand::schema::LedgerView;

use super::reference::Reference;

/// how long a door waits in each stage of a turn.
pub const STAGE_LIMIT_MS: u64 = 1_500;
/// how long a door waits for the first members of a program before it asks all.
pub const PATIENCE_MS: u64 = 60;
/// how long a test keeps turns: longer than a run.
const KEEP_MS: u64 = 10_000_000;

/// what a turn waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// to be told whether it may run.
    Begin,
    /// for its reservation to be stored.
    Store,
    /// for a second look at the budget.
    Look,
    /// for its end to be stored.
    Finish,
    /// for nothing more.
    Done,
}

/// one turn at a door.
pub struct Turn {
    pub program: u64,
    pub request: String,
    pub previous: Option<String>,
    pub budget_tokens: u64,
    pub tokens: u64,
    pub stage: Stage,
    pub stage_ends_ms: u64,
    pub view: LedgerView,
    pub gather: QuorumReplies,
    searched: BTreeSet<String>,
    /// whether other members than the first ones of the program are asked.
    pub is_away: bool,
    /// whether all members are asked, and not only as many as a write and a read need.
    pub is_wide: bool,
    /// how far the members that are asked in place of the first ones lie behind these.
    pub away_shift: usize,
    /// members that had the reservation on disk when the turn looked again.
    stored_at: BTreeSet<String>,
}

impl Turn {
    pub fn new(
        program: u64,
        request: String,
        previous: Option<String>,
        budget_tokens: u64,
        tokens: u64,
    ) -> Self {
        let view = LedgerView { epoch: 0, lost_disks: 0, members: Vec::new() };
        Self {
            program,
            request,
            gather: QuorumReplies::new(&view, previous.as_deref()),
            previous,
            budget_tokens,
            tokens,
            stage: Stage::Begin,
            stage_ends_ms: 0,
            view,
            searched: BTreeSet::new(),
            is_away: false,
            is_wide: false,
            away_shift: 0,
            stored_at: BTreeSet::new(),
        }
    }

    /// starts the questions of the stage again, under this view.
    pub fn restart(&mut self, view: &LedgerView) -> LedgerRequest {
        let previous = self.previous.as_deref().filter(|_| self.stage == Stage::Begin);
        self.gather = QuorumReplies::new(view, previous);
        self.view = view.clone();
        self.searched.clear();
        self.question()
    }

    /// members in the order in which this program asks them, the same from every door.
    pub fn ranked(&self) -> Vec<LedgerMember> {
        let mut members = self.view.members.clone();
        let count = members.len().max(1);
        members.rotate_left(self.program as usize % count);
        members
    }

    /// members that the question of the stage goes to.
    pub fn asked(&self) -> Vec<LedgerMember> {
        let mut members = self.ranked();
        if self.stage == Stage::Look {
            members.retain(|member| self.stored_at.contains(&member.name));
        }
        let begins = matches!(self.stage, Stage::Begin | Stage::Store);
        if begins && self.is_away {
            let count = members.len().max(1);
            members.rotate_left(self.away_shift % count);
        }
        if begins && !self.is_wide {
            let quorum = self.view.quorum();
            members.truncate(quorum.write().max(quorum.read()));
        }
        members
    }

    fn is_settled(&self) -> bool {
        let first = self.view.quorum().write().min(self.view.members.len());
        !self.is_away && self.gather.is_decisive(&self.ranked()[..first])
    }

    /// the question of the stage.
    pub fn question(&self) -> LedgerRequest {
        let program = format!("p{}", self.program);
        match self.stage {
            Stage::Begin | Stage::Store => LedgerRequest::Begin(LedgerBegin {
                program,
                request: self.request.clone(),
                most_tokens: self.tokens,
                line: None,
                previous: self.previous.clone(),
                wants_history: true,
                away: self.is_away,
            }),
            Stage::Look => LedgerRequest::Spent(LedgerSpent { program }),
            Stage::Finish | Stage::Done => LedgerRequest::Finish(LedgerFinish {
                program,
                request: self.request.clone(),
                line: None,
                replica: None,
                used_tokens: self.tokens,
                turn: Some(LedgerTurn {
                    previous: self.previous.clone(),
                    said: self.said().into_bytes().into(),
                    keep_ms: KEEP_MS,
                }),
            }),
        }
    }

    pub fn said(&self) -> String {
        format!("[{}]", self.request)
    }

    /// moves on as far as the answers allow; the result is a further question to all members.
    pub fn advance(&mut self, reference: &mut Reference) -> Option<LedgerRequest> {
        match self.stage {
            Stage::Begin => self.decide(reference),
            Stage::Store if self.gather.has_write_quorum() && self.is_settled() => {
                match self.gather.held_tokens() <= self.budget_tokens {
                    true => self.admit(reference),
                    false => self.give_up(reference),
                }
            }
            Stage::Store if self.gather.has_write_quorum() && !self.is_away => {
                self.is_away = true;
                self.stage = Stage::Begin;
                Some(self.restart(&self.view.clone()))
            }
            Stage::Store if self.gather.has_write_quorum() => {
                self.stored_at = self.gather.stored_at().map(str::to_owned).collect();
                self.stage = Stage::Look;
                Some(self.restart(&self.view.clone()))
            }
            Stage::Look => match self.gather.decision(self.budget_tokens) {
                BudgetDecision::Pending => None,
                BudgetDecision::Exceeded => self.give_up(reference),
                BudgetDecision::Within => self.admit(reference),
            },
            Stage::Finish if self.gather.has_write_quorum() => {
                reference.kept.insert(self.request.clone(), (self.previous.clone(), self.said()));
                self.stage = Stage::Done;
                None
            }
            Stage::Store | Stage::Finish | Stage::Done => None,
        }
    }

    fn decide(&mut self, reference: &mut Reference) -> Option<LedgerRequest> {
        let decision = self.gather.decision(self.budget_tokens);
        match (decision, self.gather.history()) {
            (_, History::Missing) => {
                let previous = self.previous.as_ref().expect("a history was asked for");
                assert!(!reference.kept.contains_key(previous), "turn {previous} is said not to exist");
                self.give_up(reference)
            }
            (_, History::Damaged(turn)) => {
                assert!(!reference.kept.contains_key(&turn), "turn {turn} is lost");
                self.give_up(reference)
            }
            (BudgetDecision::Exceeded, _) => self.give_up(reference),
            (BudgetDecision::Within, History::Found(history)) => {
                let previous = self.previous.as_ref().expect("a history was asked for");
                assert_eq!(
                    String::from_utf8_lossy(&history),
                    reference.history(previous),
                    "a history is mixed up"
                );
                self.stage = Stage::Store;
                // The disks may have been faster than the answers.
                self.advance(reference)
            }
            (BudgetDecision::Within, History::None) => {
                self.stage = Stage::Store;
                // The disks may have been faster than the answers.
                self.advance(reference)
            }
            (_, History::Gap(turn)) => {
                let is_new = self.searched.insert(turn.clone());
                is_new.then_some(LedgerRequest::History(LedgerHistory { turn }))
            }
            (BudgetDecision::Pending, History::None | History::Found(_)) => None,
        }
    }

    fn admit(&mut self, reference: &mut Reference) -> Option<LedgerRequest> {
        reference.admit(self.program, self.tokens, self.budget_tokens);
        reference.said.insert(self.request.clone(), (self.previous.clone(), self.said()));
        self.stage = Stage::Finish;
        Some(self.restart(&self.view.clone()))
    }

    fn give_up(&mut self, reference: &mut Reference) -> Option<LedgerRequest> {
        self.stage = Stage::Done;
        reference.refused_count += 1;
        None
    }
}
