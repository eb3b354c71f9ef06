use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
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

/// pause before too few members are asked again: a connection that broke is open again after a few round trips.
const LOST_PAUSE: Duration = Duration::from_millis(50);

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
pub enum Begun {
    /// it may run; its first event waits for the confirmation.
    Go {
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
    /// the round starts again, for this reason.
    Again(Again),
}

/// why a round starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Again {
    /// another view is in force.
    NewView,
    /// one of the first members is lost or slow.
    Away,
}

impl LedgerClient {
    /// reserves the tokens of a turn and fetches what was said before.
    pub async fn begin(&self, start: TurnStart) -> Begun {
        self.count_turn();
        let deadline = Instant::now() + BEGIN_LIMIT;
        let mut is_away = false;
        loop {
            let mut round = Round::new(self, &start.program, start.previous.as_deref(), is_away);
            if !round.has_quorum() {
                return Begun::Unsure("the ledger has too few nodes");
            }
            match self.first_look(&mut round, &start, deadline).await {
                Look::Go(history) => {
                    let home = round.gather.home().map(str::to_owned);
                    let reservation = Box::new(Reservation { start, round });
                    return Begun::Go { history, home, reservation };
                }
                Look::Stop(begun) => return begun,
                Look::Again(why) => is_away |= why == Again::Away,
            }
        }
    }

    fn ask_begin(&self, round: &mut Round, start: &TurnStart) {
        let first = round.first().map(str::to_owned);
        let is_away = round.is_away;
        round.ask(self, round.begin_count(), start.previous.as_deref(), |member| {
            LedgerRequest::Begin(start.message(first.as_deref() == Some(member), is_away))
        });
    }

    /// gathers answers until the turn may start or not.
    async fn first_look(&self, round: &mut Round, start: &TurnStart, deadline: Instant) -> Look {
        let patience_ends = Instant::now() + ASK_OTHERS_AFTER;
        let mut searched: BTreeSet<String> = BTreeSet::new();
        self.ask_begin(round, start);
        loop {
            if let Some(look) = decide(round, start) {
                return look;
            }
            let now = Instant::now();
            if now >= deadline {
                return Look::Stop(Begun::Unsure("the ledger does not answer in time"));
            }
            let is_late = now >= patience_ends;
            if !round.is_away && (is_late || round.has_lost()) {
                return Look::Again(Again::Away);
            }
            if let History::Gap(turn) = round.gather.history() {
                // The member asked first was asked for the whole history; the others only if it cannot help.
                let may_still_come = start.previous.as_ref() == Some(&turn) && !round.has_heard_first();
                if (is_late || !may_still_come) && searched.insert(turn.clone()) {
                    let history = LedgerRequest::History(LedgerHistory { turn: turn.clone() });
                    round.ask_more(self, Some(&turn), &history);
                }
            }
            let wake = if is_late { deadline } else { patience_ends.min(deadline) };
            let Some(Ok(heard)) = timeout(wake.saturating_duration_since(now), round.receiver.recv()).await
            else {
                continue;
            };
            let again = LedgerRequest::Begin(start.message(true, round.is_away));
            match round.hear(self, heard, &again) {
                Progress::Goes => {}
                Progress::NewView => return Look::Again(Again::NewView),
                Progress::Hopeless => {
                    return Look::Stop(Begun::Unsure("too few ledger nodes can be reached"));
                }
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
        let fits = async {
            let mut round = round;
            loop {
                let Some(why) = self.wait_stored(&mut round, &start).await else {
                    // The replica has begun: a node that only starts again is worth waiting for.
                    Timer::after(LOST_PAUSE).await;
                    round = Round::new(self, &start.program, None, true);
                    self.ask_begin(&mut round, &start);
                    continue;
                };
                if why.is_none() && round.is_settled() {
                    return Some(round.gather.held_tokens() <= start.budget_tokens);
                }
                // A turn that saw one reserved elsewhere has to be seen as such by others before it looks again.
                if why.is_none()
                    && round.is_away
                    && let Some(fits) = self.look_again(&start, &round).await
                {
                    return Some(fits);
                }
                let is_away = round.is_away || why != Some(Again::NewView);
                round = Round::new(self, &start.program, None, is_away);
                self.ask_begin(&mut round, &start);
            }
        };
        match timeout(deadline.saturating_duration_since(Instant::now()), fits).await.flatten() {
            Some(true) => Ok(()),
            Some(false) => Err(NotConfirmed::OverBudget),
            None => Err(NotConfirmed::NotStored),
        }
    }

    /// waits until enough members have the reservation on disk, or says why the round starts again; the outer
    /// `None` means that too few members are left to ask in this round.
    async fn wait_stored(&self, round: &mut Round, start: &TurnStart) -> Option<Option<Again>> {
        let patience_ends = Instant::now() + STORE_ELSEWHERE_AFTER;
        while !round.gather.is_stored() {
            let now = Instant::now();
            if !round.is_away && (now >= patience_ends || round.has_lost()) {
                return Some(Some(Again::Away));
            }
            // All members have been asked once one is late; then there is nothing to do but wait.
            let next = round.receiver.recv();
            let heard =
                if round.is_away { Some(next.await) } else { timeout(patience_ends - now, next).await };
            let Some(heard) = heard else {
                continue;
            };
            let again = LedgerRequest::Begin(start.message(false, round.is_away));
            match round.hear(self, heard.ok()?, &again) {
                Progress::Goes => {}
                Progress::NewView => return Some(Some(Again::NewView)),
                Progress::Hopeless => return None,
            }
        }
        Some(None)
    }

    /// whether the tokens held by all turns fit into the budget, by members that store this one; `None` if those
    /// are lost or slow.
    async fn look_again(&self, start: &TurnStart, stored: &Round) -> Option<bool> {
        let spent = LedgerRequest::Spent(LedgerSpent { program: start.program.clone() });
        let patience_ends = Instant::now() + STORE_ELSEWHERE_AFTER;
        let mut round = Round::new(self, &start.program, None, true);
        round.keep_only(|name| stored.gather.stored_at().any(|stored_at| stored_at == name));
        round.ask(self, round.view.members.len(), None, |_| spent.clone());
        loop {
            match round.gather.decision(start.budget_tokens) {
                Decision::Within => return Some(true),
                Decision::Spent => return Some(false),
                Decision::Open => {}
            }
            let wait = patience_ends.saturating_duration_since(Instant::now());
            let heard = timeout(wait, round.receiver.recv()).await?.ok()?;
            if round.hear(self, heard, &spent) != Progress::Goes {
                return None;
            }
        }
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
