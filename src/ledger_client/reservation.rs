use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use flamingo_edge::timeout;

use crate::ledger::BudgetDecision;
use crate::ledger::History;
use crate::ledger_client::AskUpdate;
use crate::ledger_client::AwaitedStep;
use crate::ledger_client::LedgerClient;
use crate::ledger_client::round::Progress;
use crate::ledger_client::round::Round;
use crate::schema::LedgerBegin;
use crate::schema::LedgerHistory;
use crate::schema::LedgerRequest;
use crate::schema::LedgerSpent;
use crate::schema::StreamVersion;

/// the longest wait for the replies of the ledger before a turn is refused.
///
/// Many round trips between availability zones; a caller refused after it still has time to retry.
pub(super) const BEGIN_TIMEOUT: Duration = Duration::from_millis(700);
/// least interval between two checks whether a round is late: a round trip between availability zones.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// pause before members are asked again after the quorum was lost: a broken connection is open again after a
/// few round trips.
const QUORUM_LOST_PAUSE: Duration = Duration::from_millis(50);

/// reason given for a refusal while a quorum cannot be reached.
const TOO_FEW_NODES: &str = "too few ledger nodes can be reached";

/// the reservation that a turn asks for.
#[derive(Clone, Debug)]
pub struct TurnStart {
    /// id of the program.
    pub program: String,
    /// id of the turn.
    pub request: String,
    /// line of the program, a sequence of its turns, that the turn belongs to.
    pub line: Option<String>,
    /// tokens that all turns of the program together may generate.
    pub budget_tokens: u64,
    /// the most tokens that this turn may generate.
    pub most_tokens: u64,
    /// the turn whose history this one continues.
    pub previous: Option<String>,
    /// software that the stream will begin at, if the door can tell before.
    pub stream: Option<StreamVersion>,
    /// id of the attempt whose stream the turn goes on with.
    pub resumes: Option<String>,
}

/// the ledger's decision about a new turn.
#[derive(Debug)]
pub enum BeginResult {
    /// the turn may run; its first event is held until the reservation is confirmed.
    Granted {
        /// the conversation before this turn.
        history: Vec<u8>,
        /// replica that ran the previous turn.
        home: Option<String>,
        /// software that began the stream that the turn goes on with.
        resumed: Option<StreamVersion>,
        /// the tokens reserved for the turn, to be confirmed.
        reservation: Box<Reservation>,
    },
    /// the program's budget does not cover the turn.
    OverBudget {
        /// tokens held by the program, including those of this turn.
        held_tokens: u64,
    },
    /// the previous turn does not exist.
    NoSuchTurn,
    /// the ledger could not decide, for this reason.
    Unavailable(&'static str),
    /// the ledger is overloaded; no member was asked.
    Busy {
        /// delay after which the caller should retry.
        retry_after_ms: u64,
    },
}

/// why a reservation could not be confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum NotConfirmed {
    /// the reservation did not reach enough disks before the deadline.
    NotStored,
    /// turns that began concurrently used up the budget.
    OverBudget,
}

/// tokens reserved for a turn, until they are confirmed.
#[derive(Debug)]
pub struct Reservation {
    start: TurnStart,
    round: Round,
}

/// outcome of the first round of asks.
enum Outcome {
    /// the turn may run, after this history.
    Proceed(Vec<u8>),
    /// the turn does not run.
    Stop(BeginResult),
    /// the round has to be restarted.
    Restart(RestartReason),
}

/// why a round is restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestartReason {
    /// another view is in force.
    NewView,
    /// a preferred member was lost, or a concurrent turn was reserved away from the preferred members.
    Lost,
    /// a member is later than its peers.
    Late,
    /// too few members can be reached.
    QuorumLost,
}

impl LedgerClient {
    /// reserves the tokens of a turn and fetches its history.
    pub async fn begin(&self, start: TurnStart) -> BeginResult {
        let _permit = match self.limiter.acquire().await {
            Ok(permit) => permit,
            Err(busy) => return BeginResult::Busy { retry_after_ms: busy.retry_after_ms },
        };
        self.count_turn();
        self.count_first_attempt();
        let deadline = Instant::now() + BEGIN_TIMEOUT;
        let (mut is_away, mut asks_all) = (false, false);
        loop {
            let mut round = Round::new(self, &start.program, start.previous.as_deref(), is_away);
            round.asks_all = asks_all;
            if !round.has_quorum() {
                return BeginResult::Unavailable("the ledger has too few nodes");
            }
            match self.gather_answers(&mut round, &start, deadline).await {
                Outcome::Proceed(history) => {
                    let home = round.gather.home().map(str::to_owned);
                    let resumed = round.gather.stream().cloned();
                    let reservation = Box::new(Reservation { start, round });
                    return BeginResult::Granted { history, home, resumed, reservation };
                }
                Outcome::Stop(result) => return result,
                Outcome::Restart(reason) => {
                    is_away |= reason != RestartReason::NewView;
                    asks_all |= reason == RestartReason::Late;
                }
            }
        }
    }

    fn ask_begin(&self, round: &mut Round, start: &TurnStart) {
        let first = round.first().map(str::to_owned);
        let is_away = round.is_away;
        round.ask(self, round.width(), start.previous.as_deref(), |member| {
            LedgerRequest::Begin(start.message(first.as_deref() == Some(member), is_away))
        });
    }

    /// widens a round to all members once it is later than the hedge delay, if the hedge budget allows;
    /// returns when to check again.
    pub(super) fn hedge_when_late(&self, round: &mut Round, step: AwaitedStep, began: Instant) -> Instant {
        let now = Instant::now();
        let hedge_at = began + self.hedge_delay(&round.view, step);
        if !round.asks_all && now >= hedge_at {
            round.asks_all = self.try_hedge();
        }
        // The hedge delay grows while all members are late, so it is computed again at each check.
        hedge_at.max(now + if round.asks_all { BEGIN_TIMEOUT } else { POLL_INTERVAL })
    }

    /// collects replies until it is decided whether the turn may run.
    async fn gather_answers(&self, round: &mut Round, start: &TurnStart, deadline: Instant) -> Outcome {
        let began = Instant::now();
        let mut requested: BTreeSet<String> = BTreeSet::new();
        self.ask_begin(round, start);
        loop {
            if let Some(outcome) = decide(round, start) {
                return outcome;
            }
            let now = Instant::now();
            if now >= deadline {
                return Outcome::Stop(BeginResult::Unavailable("the ledger does not answer in time"));
            }
            if !round.is_away && round.has_lost() {
                return Outcome::Restart(RestartReason::Lost);
            }
            let wake_at = self.hedge_when_late(round, AwaitedStep::Answer, began).min(deadline);
            if round.asks_all && !round.is_away {
                return Outcome::Restart(RestartReason::Late);
            }
            self.ask_begin(round, start);
            if round.has_lost_quorum() {
                return Outcome::Stop(BeginResult::Unavailable(TOO_FEW_NODES));
            }
            if let History::Gap(turn) = round.gather.history() {
                // Only the first member was asked for the whole history; the others are asked if it cannot
                // supply it.
                let may_still_arrive = start.previous.as_ref() == Some(&turn) && !round.is_first_done();
                if (round.asks_all || !may_still_arrive) && requested.insert(turn.clone()) {
                    let history = LedgerRequest::History(LedgerHistory { turn: turn.clone() });
                    round.ask_all(self, Some(&turn), &history);
                }
            }
            let wait = wake_at.saturating_duration_since(now);
            let Some(Ok(update)) = timeout(wait, round.receiver.recv()).await else {
                continue;
            };
            let retry = LedgerRequest::Begin(start.message(true, round.is_away));
            match round.apply_update(self, update, &retry) {
                Progress::Continue => {}
                Progress::NewView => return Outcome::Restart(RestartReason::NewView),
                Progress::QuorumLost => return Outcome::Stop(BeginResult::Unavailable(TOO_FEW_NODES)),
            }
        }
    }

    /// waits until the reservation is on enough disks and the budget is checked a last time, for as long as
    /// the caller waits: its replica has already started, so a late confirmation is still useful.
    ///
    /// Turns stored at the preferred members of the program see each other there. A turn reserved away from
    /// them rereads the budget from members that store it: among concurrent turns, the one stored last sees
    /// all others.
    pub async fn confirm(&self, reservation: Reservation, deadline: Instant) -> Result<(), NotConfirmed> {
        let Reservation { start, round } = reservation;
        match timeout(deadline.saturating_duration_since(Instant::now()), self.fits_budget(&start, round))
            .await
        {
            Some(true) => Ok(()),
            Some(false) => Err(NotConfirmed::OverBudget),
            None => Err(NotConfirmed::NotStored),
        }
    }

    /// whether the turn fits into the budget, once it is stored.
    async fn fits_budget(&self, start: &TurnStart, mut round: Round) -> bool {
        loop {
            let reason = match self.wait_stored(&mut round, start).await {
                Ok(()) if round.is_settled() => return round.gather.held_tokens() <= start.budget_tokens,
                // A turn that saw another one reserved away must itself be reserved as away, visibly to
                // others, before it checks the budget again.
                Ok(()) if !round.is_away => RestartReason::Lost,
                Ok(()) => match self.recheck_budget(start, &mut round).await {
                    Ok(fits_budget) => return fits_budget,
                    Err(reason) => reason,
                },
                Err(reason) => reason,
            };
            if reason == RestartReason::QuorumLost {
                // The replica has already started, so it is worth waiting for a node that only restarts.
                Timer::after(QUORUM_LOST_PAUSE).await;
            }
            let is_away = round.is_away || reason != RestartReason::NewView;
            let asks_all = round.asks_all || reason == RestartReason::Late;
            round = Round::new(self, &start.program, None, is_away);
            round.asks_all = asks_all;
            self.ask_begin(&mut round, start);
        }
    }

    /// waits until enough members have the reservation on disk; the error says why the round is restarted.
    async fn wait_stored(&self, round: &mut Round, start: &TurnStart) -> Result<(), RestartReason> {
        let began = Instant::now();
        while !round.gather.has_write_quorum() {
            if !round.is_away && round.has_lost() {
                return Err(RestartReason::Lost);
            }
            let wake_at = self.hedge_when_late(round, AwaitedStep::Sync, began);
            if round.asks_all && !round.is_away {
                return Err(RestartReason::Late);
            }
            self.ask_begin(round, start);
            if round.has_lost_quorum() {
                return Err(RestartReason::QuorumLost);
            }
            let wait = wake_at.saturating_duration_since(Instant::now());
            let Some(Ok(update)) = timeout(wait, round.receiver.recv()).await else {
                continue;
            };
            let retry = LedgerRequest::Begin(start.message(false, round.is_away));
            apply_update(self, round, update, &retry)?;
        }
        Ok(())
    }

    /// whether the tokens held by all turns of the program fit into the budget, according to members that
    /// store this turn; the error says why the round is restarted.
    async fn recheck_budget(&self, start: &TurnStart, stored: &mut Round) -> Result<bool, RestartReason> {
        let mut wait = self.hedge_delay(&stored.view, AwaitedStep::Answer);
        loop {
            if let Some(fits_budget) = self.check_budget(start, stored, wait).await? {
                return Ok(fits_budget);
            }
            // A member that stores the turn is late: store it at more members if the hedge budget allows, and
            // double the wait.
            wait *= 2;
            stored.asks_all = stored.asks_all || self.try_hedge();
            self.ask_begin(stored, start);
            let retry = LedgerRequest::Begin(start.message(false, true));
            match stored.drain_updates(self, &retry) {
                Progress::Continue => {}
                Progress::NewView => return Err(RestartReason::NewView),
                Progress::QuorumLost => return Err(RestartReason::QuorumLost),
            }
        }
    }

    /// asks the members that store the turn; `None` if they do not decide within `wait`.
    async fn check_budget(
        &self,
        start: &TurnStart,
        stored: &mut Round,
        wait: Duration,
    ) -> Result<Option<bool>, RestartReason> {
        let spent = LedgerRequest::Spent(LedgerSpent { program: start.program.clone() });
        let deadline = Instant::now() + wait;
        let mut round = Round::new(self, &start.program, None, true);
        round.retain(|name| stored.gather.stored_at().any(|stored_at| stored_at == name));
        round.ask(self, round.view.members.len(), None, |_| spent.clone());
        loop {
            match round.gather.decision(start.budget_tokens) {
                BudgetDecision::Within => return Ok(Some(true)),
                BudgetDecision::Exceeded => return Ok(Some(false)),
                BudgetDecision::Pending => {}
            }
            let wait = deadline.saturating_duration_since(Instant::now());
            let Some(Ok(update)) = timeout(wait, round.receiver.recv()).await else {
                stored.merge_lost(&round);
                return Ok(None);
            };
            apply_update(self, &mut round, update, &spent)?;
        }
    }
}

/// applies an update to a round; the error says why the round is restarted.
fn apply_update(
    client: &LedgerClient,
    round: &mut Round,
    update: AskUpdate,
    retry: &LedgerRequest,
) -> Result<(), RestartReason> {
    match round.apply_update(client, update, retry) {
        Progress::Continue => Ok(()),
        Progress::NewView => Err(RestartReason::NewView),
        Progress::QuorumLost => Err(RestartReason::QuorumLost),
    }
}

impl TurnStart {
    fn message(&self, wants_history: bool, away: bool) -> LedgerBegin {
        LedgerBegin {
            program: self.program.clone(),
            request: self.request.clone(),
            most_tokens: self.most_tokens,
            line: self.line.clone(),
            previous: self.previous.clone(),
            wants_history,
            away,
            stream: self.stream.clone(),
            resumes: self.resumes.clone(),
        }
    }
}

fn decide(round: &Round, start: &TurnStart) -> Option<Outcome> {
    let decision = round.gather.decision(start.budget_tokens);
    match (decision, round.gather.history()) {
        (BudgetDecision::Pending, _) | (BudgetDecision::Within, History::Gap(_)) => None,
        (_, History::Missing) => Some(Outcome::Stop(BeginResult::NoSuchTurn)),
        (BudgetDecision::Exceeded, _) => {
            Some(Outcome::Stop(BeginResult::OverBudget { held_tokens: round.gather.held_tokens() }))
        }
        (BudgetDecision::Within, History::Damaged(_)) => Some(Outcome::Stop(BeginResult::Unavailable(
            "a turn of the history is on no ledger node that answers",
        ))),
        (BudgetDecision::Within, History::None) => Some(Outcome::Proceed(Vec::new())),
        (BudgetDecision::Within, History::Found(history)) => Some(Outcome::Proceed(history)),
    }
}
