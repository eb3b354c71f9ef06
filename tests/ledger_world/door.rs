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

/// timeout of each stage of a turn.
pub const STAGE_TIMEOUT_MS: u64 = 1_500;
/// timeout of the preferred members of a program, after which a turn asks others.
pub const PREFERRED_TIMEOUT_MS: u64 = 60;
/// retention of turns, longer than a simulation.
const KEEP_MS: u64 = 10_000_000;

/// stage of a turn, by what it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// the account of its program and its history.
    Begin,
    /// its reservation to be stored.
    Store,
    /// the second read of its budget.
    Recheck,
    /// its end to be stored.
    Finish,
    /// nothing; it has ended.
    Done,
}

/// what a turn asks the ledger for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnKind {
    /// tokens, and to keep it.
    Kept,
    /// tokens only.
    Reservation,
    /// to end its reservation with these tokens.
    Settlement(u64),
}

/// a turn at a door.
pub struct Turn {
    pub kind: TurnKind,
    /// whether the ledger has granted the tokens.
    pub is_admitted: bool,
    pub program: u64,
    pub request: String,
    pub previous: Option<String>,
    pub budget_tokens: u64,
    pub tokens: u64,
    pub stage: Stage,
    pub stage_ends_ms: u64,
    pub view: LedgerView,
    pub replies: QuorumReplies,
    requested_turns: BTreeSet<String>,
    /// whether members other than the preferred ones of the program are asked.
    pub is_away: bool,
    /// whether all members are asked instead of as many as the larger quorum.
    pub asks_all: bool,
    /// retention of the turn after its end.
    pub keep_ms: u64,
    /// rotation of the member order when others than the preferred members are asked.
    pub away_offset: usize,
    /// members that had the reservation on disk when the second read began.
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
            kind: TurnKind::Kept,
            is_admitted: false,
            program,
            request,
            replies: QuorumReplies::new(&view, previous.as_deref()),
            previous,
            budget_tokens,
            tokens,
            stage: Stage::Begin,
            stage_ends_ms: 0,
            view,
            requested_turns: BTreeSet::new(),
            is_away: false,
            asks_all: false,
            keep_ms: KEEP_MS,
            away_offset: 0,
            stored_at: BTreeSet::new(),
        }
    }

    /// restarts the stage in this view and returns its request.
    pub fn restart(&mut self, view: &LedgerView) -> LedgerRequest {
        let previous = self.previous.as_deref().filter(|_| self.stage == Stage::Begin);
        self.replies = QuorumReplies::new(view, previous);
        self.view = view.clone();
        self.requested_turns.clear();
        self.request_message()
    }

    /// members in the program's order of preference, which is the same at every door.
    pub fn ranked(&self) -> Vec<LedgerMember> {
        let mut members = self.view.members.clone();
        let count = members.len().max(1);
        members.rotate_left(self.program as usize % count);
        members
    }

    /// members to which the request of the stage is sent.
    pub fn asked(&self) -> Vec<LedgerMember> {
        let mut members = self.ranked();
        if self.stage == Stage::Recheck {
            members.retain(|member| self.stored_at.contains(&member.name));
        }
        let is_beginning = matches!(self.stage, Stage::Begin | Stage::Store);
        if is_beginning && self.is_away {
            let count = members.len().max(1);
            members.rotate_left(self.away_offset % count);
        }
        if is_beginning && !self.asks_all {
            let quorum = self.view.quorum();
            members.truncate(quorum.write().max(quorum.read()));
        }
        members
    }

    fn is_decisive(&self) -> bool {
        let preferred = self.view.quorum().write().min(self.view.members.len());
        !self.is_away && self.replies.is_decisive(&self.ranked()[..preferred])
    }

    /// the request of the stage.
    pub fn request_message(&self) -> LedgerRequest {
        let program = format!("p{}", self.program);
        // A member that asks for a view after the turn is granted still lacks the reservation.
        let is_granted = self.stage == Stage::Done && self.kind == TurnKind::Reservation;
        match if is_granted { Stage::Store } else { self.stage } {
            Stage::Begin | Stage::Store => LedgerRequest::Begin(LedgerBegin {
                program,
                request: self.request.clone(),
                most_tokens: self.tokens,
                line: None,
                previous: self.previous.clone(),
                wants_history: true,
                away: self.is_away,
                stream: None,
                resumes: None,
            }),
            Stage::Recheck => LedgerRequest::Spent(LedgerSpent { program }),
            Stage::Finish | Stage::Done => {
                let (used_tokens, turn) = self.end();
                LedgerRequest::Finish(LedgerFinish {
                    program,
                    request: self.request.clone(),
                    line: None,
                    replica: None,
                    used_tokens,
                    turn,
                })
            }
        }
    }

    /// the tokens that are reported at the end, and what is kept.
    fn end(&self) -> (u64, Option<LedgerTurn>) {
        match self.kind {
            TurnKind::Settlement(used_tokens) => (used_tokens, None),
            TurnKind::Reservation => unreachable!("a reservation is ended by a settlement"),
            TurnKind::Kept => {
                let said = self.said().into_bytes().into();
                let turn = LedgerTurn { previous: self.previous.clone(), said, keep_ms: self.keep_ms };
                (self.tokens, Some(turn))
            }
        }
    }

    pub fn said(&self) -> String {
        format!("[{}]", self.request)
    }

    /// advances as far as the answers allow; returns a further request to all members, if one is due.
    pub fn advance(&mut self, reference: &mut Reference) -> Option<LedgerRequest> {
        match self.stage {
            Stage::Begin => self.decide(reference),
            Stage::Store if self.replies.has_write_quorum() && self.is_decisive() => {
                match self.replies.held_tokens() <= self.budget_tokens {
                    true => self.admit(reference),
                    false => self.refuse(reference),
                }
            }
            Stage::Store if self.replies.has_write_quorum() && !self.is_away => {
                self.is_away = true;
                self.stage = Stage::Begin;
                Some(self.restart(&self.view.clone()))
            }
            Stage::Store if self.replies.has_write_quorum() => {
                self.stored_at = self.replies.stored_at().map(str::to_owned).collect();
                self.stage = Stage::Recheck;
                Some(self.restart(&self.view.clone()))
            }
            Stage::Recheck => match self.replies.decision(self.budget_tokens) {
                BudgetDecision::Pending => None,
                BudgetDecision::Exceeded => self.refuse(reference),
                BudgetDecision::Within => self.admit(reference),
            },
            Stage::Finish if self.replies.has_write_quorum() && self.kind != TurnKind::Kept => {
                self.stage = Stage::Done;
                None
            }
            Stage::Finish if self.replies.has_write_quorum() => {
                reference.confirmed.insert(self.request.clone(), (self.previous.clone(), self.said()));
                self.stage = Stage::Done;
                None
            }
            Stage::Store | Stage::Finish | Stage::Done => None,
        }
    }

    fn decide(&mut self, reference: &mut Reference) -> Option<LedgerRequest> {
        let decision = self.replies.decision(self.budget_tokens);
        match (decision, self.replies.history()) {
            (_, History::Missing) => {
                let previous = self.previous.as_ref().expect("a history was requested");
                assert!(
                    !reference.confirmed.contains_key(previous),
                    "confirmed turn {previous} is reported as absent"
                );
                self.refuse(reference)
            }
            (_, History::Damaged(turn)) => {
                assert!(!reference.confirmed.contains_key(&turn), "confirmed turn {turn} is lost");
                self.refuse(reference)
            }
            (BudgetDecision::Exceeded, _) => self.refuse(reference),
            (BudgetDecision::Within, History::Found(history)) => {
                let previous = self.previous.as_ref().expect("a history was requested");
                assert_eq!(
                    String::from_utf8_lossy(&history),
                    reference.history(previous),
                    "history up to {previous} differs from the reference"
                );
                self.stage = Stage::Store;
                // The reservation may already be stored: confirmations can arrive before accounts.
                self.advance(reference)
            }
            (BudgetDecision::Within, History::None) => {
                self.stage = Stage::Store;
                // The reservation may already be stored: confirmations can arrive before accounts.
                self.advance(reference)
            }
            (_, History::Gap(turn)) => {
                let is_new = self.requested_turns.insert(turn.clone());
                is_new.then_some(LedgerRequest::History(LedgerHistory { turn }))
            }
            (BudgetDecision::Pending, History::None | History::Found(_)) => None,
        }
    }

    fn admit(&mut self, reference: &mut Reference) -> Option<LedgerRequest> {
        self.is_admitted = true;
        if self.kind == TurnKind::Reservation {
            self.stage = Stage::Done;
            return None;
        }
        reference.admit(self.program, self.tokens, self.budget_tokens);
        reference.said.insert(self.request.clone(), (self.previous.clone(), self.said()));
        self.stage = Stage::Finish;
        Some(self.restart(&self.view.clone()))
    }

    fn refuse(&mut self, reference: &mut Reference) -> Option<LedgerRequest> {
        self.stage = Stage::Done;
        reference.refused_count += 1;
        None
    }
}
