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

/// the longest wait for what the ledger knows before a turn is refused.
///
/// Many round trips between availability zones; a caller that is refused then can still come back in time.
const BEGIN_LIMIT: Duration = Duration::from_millis(700);
/// least time between two looks whether a round is late: a round trip between availability zones.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// pause before too few members are asked again: a connection that broke is open again after a few round trips.
const LOST_PAUSE: Duration = Duration::from_millis(50);

/// why a turn is refused while nodes are gone.
const TOO_FEW_NODES: &str = "too few ledger nodes can be reached";

/// what a turn asks of the ledger.
#[derive(Clone, Debug)]
pub struct TurnStart {
    /// program.
    pub program: String,
    /// id of the turn.
    pub request: String,
    /// line of turns of the program that it belongs to.
    pub line: Option<String>,
    /// tokens that all turns of the program may generate.
    pub budget_tokens: u64,
    /// the most that this turn generates.
    pub most_tokens: u64,
    /// turn that this one goes on from.
    pub previous: Option<String>,
}

/// what the ledger says to a turn.
#[derive(Debug)]
pub enum BeginResult {
    /// it may run; its first event waits for the confirmation.
    Granted {
        /// everything that was said before.
        history: Vec<u8>,
        /// replica that ran the turn before it.
        home: Option<String>,
        /// its tokens.
        reservation: Box<Reservation>,
    },
    /// the budget does not hold it.
    OverBudget {
        /// tokens that the program holds, those of this turn included.
        held_tokens: u64,
    },
    /// the turn that it goes on from does not exist.
    NoSuchTurn,
    /// the ledger cannot be asked now, for this reason.
    Unavailable(&'static str),
    /// the ledger has more to do than it can; nothing was asked.
    Busy {
        /// when the caller should come back.
        retry_after_ms: u64,
    },
}

/// why a reservation does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum NotConfirmed {
    /// it is not on enough disks.
    NotStored,
    /// turns that began at the same time took the rest of the budget.
    OverBudget,
}

/// tokens that a turn holds.
#[derive(Debug)]
pub struct Reservation {
    start: TurnStart,
    round: Round,
}

/// what the first answers say.
enum Look {
    /// the turn may run after this history.
    Go(Vec<u8>),
    /// the turn does not run.
    Stop(BeginResult),
    /// the round starts again, for this reason.
    Again(Again),
}

/// why a round starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Again {
    /// another view is in force.
    NewView,
    /// one of the first members is lost, or a turn was reserved elsewhere.
    Lost,
    /// one of the members is later than the others.
    Late,
    /// too few members can be reached.
    Hopeless,
}

impl LedgerClient {
    /// reserves the tokens of a turn and fetches what was said before.
    pub async fn begin(&self, start: TurnStart) -> BeginResult {
        let _place = match self.gate.enter().await {
            Ok(place) => place,
            Err(busy) => return BeginResult::Busy { retry_after_ms: busy.retry_after_ms },
        };
        self.count_turn();
        self.count_first();
        let deadline = Instant::now() + BEGIN_LIMIT;
        let (mut is_away, mut is_wide) = (false, false);
        loop {
            let mut round = Round::new(self, &start.program, start.previous.as_deref(), is_away);
            round.is_wide = is_wide;
            if !round.has_quorum() {
                return BeginResult::Unavailable("the ledger has too few nodes");
            }
            match self.first_look(&mut round, &start, deadline).await {
                Look::Go(history) => {
                    let home = round.gather.home().map(str::to_owned);
                    let reservation = Box::new(Reservation { start, round });
                    return BeginResult::Granted { history, home, reservation };
                }
                Look::Stop(begun) => return begun,
                Look::Again(why) => {
                    is_away |= why != Again::NewView;
                    is_wide |= why == Again::Late;
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

    /// has a round ask all members once it is later than usual, as far as the budget of copies allows; returns when to
    /// look again.
    pub(super) fn widen_when_late(&self, round: &mut Round, step: AwaitedStep, began: Instant) -> Instant {
        let now = Instant::now();
        let patience_ends = began + self.patience(&round.view, step);
        if !round.is_wide && now >= patience_ends {
            round.is_wide = self.try_copy();
        }
        // Patience grows while all members are late, so it is looked at again.
        patience_ends.max(now + if round.is_wide { BEGIN_LIMIT } else { LOOK_EVERY })
    }

    /// gathers answers until the turn may start or not.
    async fn first_look(&self, round: &mut Round, start: &TurnStart, deadline: Instant) -> Look {
        let began = Instant::now();
        let mut searched: BTreeSet<String> = BTreeSet::new();
        self.ask_begin(round, start);
        loop {
            if let Some(look) = decide(round, start) {
                return look;
            }
            let now = Instant::now();
            if now >= deadline {
                return Look::Stop(BeginResult::Unavailable("the ledger does not answer in time"));
            }
            if !round.is_away && round.has_lost() {
                return Look::Again(Again::Lost);
            }
            let wake = self.widen_when_late(round, AwaitedStep::Answer, began).min(deadline);
            if round.is_wide && !round.is_away {
                return Look::Again(Again::Late);
            }
            self.ask_begin(round, start);
            if round.is_hopeless() {
                return Look::Stop(BeginResult::Unavailable(TOO_FEW_NODES));
            }
            if let History::Gap(turn) = round.gather.history() {
                // The member asked first was asked for the whole history; the others only if it cannot help.
                let may_still_come = start.previous.as_ref() == Some(&turn) && !round.has_heard_first();
                if (round.is_wide || !may_still_come) && searched.insert(turn.clone()) {
                    let history = LedgerRequest::History(LedgerHistory { turn: turn.clone() });
                    round.ask_more(self, Some(&turn), &history);
                }
            }
            let wait = wake.saturating_duration_since(now);
            let Some(Ok(heard)) = timeout(wait, round.receiver.recv()).await else {
                continue;
            };
            let again = LedgerRequest::Begin(start.message(true, round.is_away));
            match round.hear(self, heard, &again) {
                Progress::Goes => {}
                Progress::NewView => return Look::Again(Again::NewView),
                Progress::Hopeless => return Look::Stop(BeginResult::Unavailable(TOO_FEW_NODES)),
            }
        }
    }

    /// waits until the reservation is on enough disks, and for the last word on the budget, for as long as the caller
    /// waits: its replica has begun, and an answer that comes late is still wanted.
    ///
    /// Turns that are stored at the first members of the program see each other there. Others look again at members
    /// that store them: of turns that begin at the same time, the one stored last sees all others.
    pub async fn confirm(&self, reservation: Reservation, deadline: Instant) -> Result<(), NotConfirmed> {
        let Reservation { start, round } = reservation;
        match timeout(deadline.saturating_duration_since(Instant::now()), self.fits(&start, round)).await {
            Some(true) => Ok(()),
            Some(false) => Err(NotConfirmed::OverBudget),
            None => Err(NotConfirmed::NotStored),
        }
    }

    /// whether the turn fits into the budget, once it is stored.
    async fn fits(&self, start: &TurnStart, mut round: Round) -> bool {
        loop {
            let why = match self.wait_stored(&mut round, start).await {
                Ok(()) if round.is_settled() => return round.gather.held_tokens() <= start.budget_tokens,
                // A turn that saw one reserved elsewhere has to be seen as such by others before it looks again.
                Ok(()) if !round.is_away => Again::Lost,
                Ok(()) => match self.look_again(start, &mut round).await {
                    Ok(fits) => return fits,
                    Err(why) => why,
                },
                Err(why) => why,
            };
            if why == Again::Hopeless {
                // The replica has begun: a node that only starts again is worth waiting for.
                Timer::after(LOST_PAUSE).await;
            }
            let is_away = round.is_away || why != Again::NewView;
            let is_wide = round.is_wide || why == Again::Late;
            round = Round::new(self, &start.program, None, is_away);
            round.is_wide = is_wide;
            self.ask_begin(&mut round, start);
        }
    }

    /// waits until enough members have the reservation on disk; the error says why the round starts again.
    async fn wait_stored(&self, round: &mut Round, start: &TurnStart) -> Result<(), Again> {
        let began = Instant::now();
        while !round.gather.has_write_quorum() {
            if !round.is_away && round.has_lost() {
                return Err(Again::Lost);
            }
            let wake = self.widen_when_late(round, AwaitedStep::Sync, began);
            if round.is_wide && !round.is_away {
                return Err(Again::Late);
            }
            self.ask_begin(round, start);
            if round.is_hopeless() {
                return Err(Again::Hopeless);
            }
            let wait = wake.saturating_duration_since(Instant::now());
            let Some(Ok(heard)) = timeout(wait, round.receiver.recv()).await else {
                continue;
            };
            let again = LedgerRequest::Begin(start.message(false, round.is_away));
            hear(self, round, heard, &again)?;
        }
        Ok(())
    }

    /// whether the tokens held by all turns of the program fit into the budget, by members that store this one; the
    /// error says why the round starts again.
    async fn look_again(&self, start: &TurnStart, stored: &mut Round) -> Result<bool, Again> {
        let mut wait = self.patience(&stored.view, AwaitedStep::Answer);
        loop {
            if let Some(fits) = self.look_once(start, stored, wait).await? {
                return Ok(fits);
            }
            // A member that stores the turn is late: more that store it are worth asking, and each look waits longer.
            wait *= 2;
            stored.is_wide = stored.is_wide || self.try_copy();
            self.ask_begin(stored, start);
            let again = LedgerRequest::Begin(start.message(false, true));
            match stored.hear_arrived(self, &again) {
                Progress::Goes => {}
                Progress::NewView => return Err(Again::NewView),
                Progress::Hopeless => return Err(Again::Hopeless),
            }
        }
    }

    /// asks the members that store the turn; `None` if they are late.
    async fn look_once(
        &self,
        start: &TurnStart,
        stored: &mut Round,
        wait: Duration,
    ) -> Result<Option<bool>, Again> {
        let spent = LedgerRequest::Spent(LedgerSpent { program: start.program.clone() });
        let ends = Instant::now() + wait;
        let mut round = Round::new(self, &start.program, None, true);
        round.keep_only(|name| stored.gather.stored_at().any(|stored_at| stored_at == name));
        round.ask(self, round.view.members.len(), None, |_| spent.clone());
        loop {
            match round.gather.decision(start.budget_tokens) {
                BudgetDecision::Within => return Ok(Some(true)),
                BudgetDecision::Exceeded => return Ok(Some(false)),
                BudgetDecision::Pending => {}
            }
            let wait = ends.saturating_duration_since(Instant::now());
            let Some(Ok(heard)) = timeout(wait, round.receiver.recv()).await else {
                stored.take_lost(&round);
                return Ok(None);
            };
            hear(self, &mut round, heard, &spent)?;
        }
    }
}

/// takes what was heard; the error says why a round starts again.
fn hear(
    client: &LedgerClient,
    round: &mut Round,
    heard: AskUpdate,
    again: &LedgerRequest,
) -> Result<(), Again> {
    match round.hear(client, heard, again) {
        Progress::Goes => Ok(()),
        Progress::NewView => Err(Again::NewView),
        Progress::Hopeless => Err(Again::Hopeless),
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
        }
    }
}

fn decide(round: &Round, start: &TurnStart) -> Option<Look> {
    let decision = round.gather.decision(start.budget_tokens);
    match (decision, round.gather.history()) {
        (BudgetDecision::Pending, _) | (BudgetDecision::Within, History::Gap(_)) => None,
        (_, History::Missing) => Some(Look::Stop(BeginResult::NoSuchTurn)),
        (BudgetDecision::Exceeded, _) => {
            Some(Look::Stop(BeginResult::OverBudget { held_tokens: round.gather.held_tokens() }))
        }
        (BudgetDecision::Within, History::Damaged(_)) => Some(Look::Stop(BeginResult::Unavailable(
            "a turn of the history is on no ledger node that answers",
        ))),
        (BudgetDecision::Within, History::None) => Some(Look::Go(Vec::new())),
        (BudgetDecision::Within, History::Found(history)) => Some(Look::Go(history)),
    }
}
