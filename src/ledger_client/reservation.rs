use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use flamingo_edge::timeout;

use crate::ledger::Decision;
use crate::ledger::History;
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
/// wait before the other members are asked as well: several round trips between availability zones.
const ASK_OTHERS_AFTER: Duration = Duration::from_millis(30);
/// wait for a member's disk before the other members are asked as well: several syncs of a slow disk.
const STORE_ELSEWHERE_AFTER: Duration = Duration::from_millis(60);
/// the longest wait for a reservation to be on enough disks; no event reaches the caller before.
const CONFIRM_LIMIT: Duration = Duration::from_millis(2_500);

/// what a turn asks of the ledger.
#[derive(Clone, Debug)]
pub struct TurnStart {
    /// program.
    pub program: String,
    /// id of the turn.
    pub request: String,
    /// tokens that all turns of the program may generate.
    pub budget_tokens: u64,
    /// the most that this turn generates.
    pub most_tokens: u64,
    /// turn that this one goes on from.
    pub previous: Option<String>,
}

/// what the ledger says to a turn.
#[derive(Debug)]
pub enum Begun {
    /// it may run; its first event waits for the confirmation.
    Go {
        /// everything that was said before.
        history: Vec<u8>,
        /// its tokens.
        reservation: Reservation,
    },
    /// the budget does not hold it.
    OverBudget {
        /// tokens that the program holds, those of this turn included.
        held_tokens: u64,
    },
    /// the turn that it goes on from does not exist.
    NoSuchTurn,
    /// the ledger cannot be asked now, for this reason.
    Unsure(&'static str),
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
    Stop(Begun),
    /// another view is in force.
    NewView,
}

impl LedgerClient {
    /// reserves the tokens of a turn and fetches what was said before.
    pub async fn begin(&self, start: TurnStart) -> Begun {
        let deadline = Instant::now() + BEGIN_LIMIT;
        loop {
            let mut round = Round::new(self, &start.program, start.previous.as_deref());
            if !round.has_quorum() {
                return Begun::Unsure("the ledger has too few nodes");
            }
            self.ask_begin(&mut round, &start, true);
            match self.first_look(&mut round, &start, deadline).await {
                Look::Go(history) => return Begun::Go { history, reservation: Reservation { start, round } },
                Look::Stop(begun) => return begun,
                Look::NewView => {}
            }
        }
    }

    /// asks as many members as a write needs, or all of them.
    fn ask_begin(&self, round: &mut Round, start: &TurnStart, few: bool) {
        let quorum = round.view.quorum();
        let count = if few { quorum.write().max(quorum.read()) } else { round.view.members.len() };
        let first = round.first().map(str::to_owned);
        round.ask(self, count, start.previous.as_deref(), |member| {
            LedgerRequest::Begin(start.message(first.as_deref() == Some(member)))
        });
    }

    /// gathers answers until the turn may start or not.
    async fn first_look(&self, round: &mut Round, start: &TurnStart, deadline: Instant) -> Look {
        let ask_others_at = Instant::now() + ASK_OTHERS_AFTER;
        let mut searched: BTreeSet<String> = BTreeSet::new();
        loop {
            if let Some(look) = decide(round, start) {
                return look;
            }
            let now = Instant::now();
            if now >= deadline {
                return Look::Stop(Begun::Unsure("the ledger does not answer in time"));
            }
            let is_late = now >= ask_others_at;
            if let History::Gap(turn) = round.gather.history() {
                // The member asked first was asked for the whole history; the others only if it cannot help.
                let may_still_come = start.previous.as_ref() == Some(&turn) && !round.has_heard_first();
                if (is_late || !may_still_come) && searched.insert(turn.clone()) {
                    let history = LedgerRequest::History(LedgerHistory { turn: turn.clone() });
                    round.ask_more(self, Some(&turn), &history);
                }
            }
            // Members that were lost are replaced at once, those that are slow after a while.
            self.ask_begin(round, start, !is_late);
            let wake = if is_late { deadline } else { ask_others_at.min(deadline) };
            let Some(Ok(heard)) = timeout(wake.saturating_duration_since(now), round.receiver.recv()).await
            else {
                continue;
            };
            match round.hear(self, heard, &LedgerRequest::Begin(start.message(true))) {
                Progress::Goes => {}
                Progress::NewView => return Look::NewView,
                Progress::Hopeless => {
                    return Look::Stop(Begun::Unsure("too few ledger nodes can be reached"));
                }
            }
        }
    }

    /// waits until the reservation is on enough disks, and then looks whether it still fits: of turns that begin
    /// at the same time, the one stored last sees all others.
    pub async fn confirm(&self, reservation: Reservation) -> Result<(), NotConfirmed> {
        let Reservation { start, round } = reservation;
        let fits = async {
            let mut round = round;
            while !self.wait_stored(&mut round, &start).await? {
                round = Round::new(self, &start.program, None);
                self.ask_begin(&mut round, &start, true);
            }
            self.fits(&start).await
        };
        match timeout(CONFIRM_LIMIT, fits).await.flatten() {
            Some(true) => Ok(()),
            Some(false) => Err(NotConfirmed::OverBudget),
            None => Err(NotConfirmed::NotStored),
        }
    }

    /// waits until enough members have the reservation on disk; `false` if another view is in force, `None` if too
    /// few members are left.
    async fn wait_stored(&self, round: &mut Round, start: &TurnStart) -> Option<bool> {
        let elsewhere_at = Instant::now() + STORE_ELSEWHERE_AFTER;
        let again = LedgerRequest::Begin(start.message(false));
        while !round.gather.is_stored() {
            let now = Instant::now();
            self.ask_begin(round, start, now < elsewhere_at);
            let wait = if now < elsewhere_at { elsewhere_at - now } else { CONFIRM_LIMIT };
            let Some(heard) = timeout(wait, round.receiver.recv()).await else {
                continue;
            };
            match round.hear(self, heard.ok()?, &again) {
                Progress::Goes => {}
                Progress::NewView => return Some(false),
                Progress::Hopeless => return None,
            }
        }
        Some(true)
    }

    /// whether the tokens held by all turns fit into the budget; `None` if too few members are left.
    async fn fits(&self, start: &TurnStart) -> Option<bool> {
        let spent = LedgerRequest::Spent(LedgerSpent { program: start.program.clone() });
        let ask_others_at = Instant::now() + ASK_OTHERS_AFTER;
        let mut round = Round::new(self, &start.program, None);
        loop {
            match round.gather.decision(start.budget_tokens) {
                Decision::Within => return Some(true),
                Decision::Spent => return Some(false),
                Decision::Open => {}
            }
            let now = Instant::now();
            let few = now < ask_others_at;
            let count = if few { round.view.quorum().read() } else { round.view.members.len() };
            round.ask(self, count, None, |_| spent.clone());
            let wait = if few { ask_others_at - now } else { CONFIRM_LIMIT };
            let Some(heard) = timeout(wait, round.receiver.recv()).await else {
                continue;
            };
            match round.hear(self, heard.ok()?, &spent) {
                Progress::Goes => {}
                // The members of the new view have the reservation, or have copied it.
                Progress::NewView => round = Round::new(self, &start.program, None),
                Progress::Hopeless => return None,
            }
        }
    }
}

impl TurnStart {
    fn message(&self, wants_history: bool) -> LedgerBegin {
        LedgerBegin {
            program: self.program.clone(),
            request: self.request.clone(),
            most_tokens: self.most_tokens,
            previous: self.previous.clone(),
            wants_history,
        }
    }
}

fn decide(round: &Round, start: &TurnStart) -> Option<Look> {
    let decision = round.gather.decision(start.budget_tokens);
    match (decision, round.gather.history()) {
        (Decision::Open, _) | (Decision::Within, History::Gap(_)) => None,
        (_, History::Missing) => Some(Look::Stop(Begun::NoSuchTurn)),
        (Decision::Spent, _) => {
            Some(Look::Stop(Begun::OverBudget { held_tokens: round.gather.held_tokens() }))
        }
        (Decision::Within, History::Damaged(_)) => {
            Some(Look::Stop(Begun::Unsure("a turn of the history is on no ledger node that answers")))
        }
        (Decision::Within, History::None) => Some(Look::Go(Vec::new())),
        (Decision::Within, History::Found(history)) => Some(Look::Go(history)),
    }
}
