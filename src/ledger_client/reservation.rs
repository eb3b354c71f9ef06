use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use flamingo_edge::timeout;

use crate::ledger::Decision;
use crate::ledger::Gather;
use crate::ledger::History;
use crate::ledger_client::Heard;
use crate::ledger_client::HeardEvent;
use crate::ledger_client::LedgerClient;
use crate::schema::LedgerBegin;
use crate::schema::LedgerHistory;
use crate::schema::LedgerMember;
use crate::schema::LedgerReply;
use crate::schema::LedgerRequest;
use crate::schema::LedgerSpent;
use crate::schema::LedgerView;

/// the longest wait for what the ledger knows before a turn is refused.
///
/// Many round trips between availability zones; a caller that is refused then can still come back in time.
const BEGIN_LIMIT: Duration = Duration::from_millis(700);
/// wait for a history before other nodes are asked for it too: several round trips between zones.
const HISTORY_HEDGE: Duration = Duration::from_millis(30);
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

/// one round of questions to the members of a view.
#[derive(Debug)]
struct Round {
    view: Arc<LedgerView>,
    gather: Gather,
    sender: Sender<Heard>,
    receiver: Receiver<Heard>,
    /// members whose connection is gone, or that could not be asked.
    lost: BTreeSet<String>,
    /// members that have said what they know.
    answered: BTreeSet<String>,
}

/// what became of a round after something was heard.
enum Progress {
    Goes,
    /// another view is in force; ask its members.
    NewView,
    /// too few members are left.
    Hopeless,
}

impl Round {
    fn new(view: Arc<LedgerView>, previous: Option<&str>) -> Self {
        let (sender, receiver) = async_channel::unbounded();
        let gather = Gather::new(&view, previous);
        Self { view, gather, sender, receiver, lost: BTreeSet::new(), answered: BTreeSet::new() }
    }

    fn ask(&mut self, client: &LedgerClient, member: &LedgerMember, request: LedgerRequest, turn: Option<&str>) {
        if !client.ask(member, self.view.epoch, request, turn, &self.sender) {
            self.lost.insert(member.name.clone());
        }
    }

    fn ask_all(&mut self, client: &LedgerClient, turn: Option<&str>, request: impl Fn(&str) -> LedgerRequest) {
        let view = Arc::clone(&self.view);
        for member in &view.members {
            self.ask(client, member, request(&member.name), turn);
        }
    }

    fn hear(&mut self, client: &LedgerClient, heard: Heard, begin: Option<&LedgerBegin>) -> Progress {
        let turn = heard.turn.as_deref();
        match heard.event {
            HeardEvent::Reply(LedgerReply::Account(account)) => {
                if turn.is_some() && !self.answered.insert(heard.member.clone()) {
                    self.gather.kept(&heard.member, turn, account);
                } else {
                    self.answered.insert(heard.member.clone());
                    self.gather.account(&heard.member, turn, account);
                }
            }
            HeardEvent::Reply(LedgerReply::Stored(_)) => self.gather.stored(&heard.member),
            HeardEvent::Reply(LedgerReply::Stale(stale)) if stale.view.epoch > self.view.epoch => {
                client.adopt(&stale.view);
                return Progress::NewView;
            }
            HeardEvent::Reply(LedgerReply::Stale(stale)) if stale.view.epoch < self.view.epoch => {
                self.teach(client, &heard.member, begin);
            }
            // A node that is no member any more, under its own view, cannot help.
            HeardEvent::Reply(LedgerReply::Stale(_)) | HeardEvent::Lost => {
                self.lost.insert(heard.member);
            }
            HeardEvent::Reply(LedgerReply::Records(_) | LedgerReply::News(_)) => {}
        }
        let left = self.view.members.len() - self.lost.len();
        let quorum = self.view.quorum();
        if left < quorum.read().max(quorum.write()) { Progress::Hopeless } else { Progress::Goes }
    }

    /// tells a member that lags behind of the view, and asks it again.
    fn teach(&mut self, client: &LedgerClient, name: &str, begin: Option<&LedgerBegin>) {
        let view = Arc::clone(&self.view);
        let Some(member) = view.member(name) else {
            return;
        };
        let (ignored, _) = async_channel::unbounded();
        client.teach(member, &view, &ignored);
        if let Some(begin) = begin {
            let previous = begin.previous.as_deref();
            self.ask(client, member, LedgerRequest::Begin(begin.clone()), previous);
        }
    }
}

impl LedgerClient {
    /// reserves the tokens of a turn and fetches what was said before.
    pub async fn begin(&self, start: TurnStart) -> Begun {
        let deadline = Instant::now() + BEGIN_LIMIT;
        loop {
            let mut round = self.start_round(&start);
            if round.view.members.len() < round.view.quorum().write() {
                return Begun::Unsure("the ledger has too few nodes");
            }
            match self.first_look(&mut round, &start, deadline).await {
                Some(Begun::Go { history, .. }) => {
                    return Begun::Go { history, reservation: Reservation { start, round } };
                }
                Some(begun) => return begun,
                None => {}
            }
        }
    }

    fn start_round(&self, start: &TurnStart) -> Round {
        let mut round = Round::new(self.view(), start.previous.as_deref());
        let view = Arc::clone(&round.view);
        let nearest = self.nearest(&view);
        round.ask_all(self, start.previous.as_deref(), |member| {
            LedgerRequest::Begin(start.message(nearest == Some(member)))
        });
        round
    }

    /// gathers answers until the turn may start or not; `None` asks for a round with another view.
    async fn first_look(&self, round: &mut Round, start: &TurnStart, deadline: Instant) -> Option<Begun> {
        let hedge_at = Instant::now() + HISTORY_HEDGE;
        let mut searched: BTreeSet<String> = BTreeSet::new();
        let nearest = self.nearest(&round.view).map(str::to_owned);
        loop {
            if let Some(begun) = decide(round, start) {
                return Some(begun);
            }
            let now = Instant::now();
            if let History::Gap(turn) = round.gather.history() {
                // The nearest node was asked for the whole history; the others only if it cannot help.
                let has_answered = nearest.as_ref().is_none_or(|name| {
                    round.answered.contains(name) || round.lost.contains(name)
                });
                let named = start.previous.as_deref() == Some(turn.as_str());
                if (!named || has_answered || now >= hedge_at) && searched.insert(turn.clone()) {
                    let history = LedgerRequest::History(LedgerHistory { turn: turn.clone() });
                    round.ask_all(self, Some(&turn), |_| history.clone());
                }
            }
            if now >= deadline {
                return Some(Begun::Unsure("the ledger does not answer in time"));
            }
            let wake = if now < hedge_at { hedge_at.min(deadline) } else { deadline };
            let Some(Ok(heard)) = timeout(wake - now, round.receiver.recv()).await else {
                continue;
            };
            match round.hear(self, heard, Some(&start.message(true))) {
                Progress::Goes => {}
                Progress::NewView => return None,
                Progress::Hopeless => return Some(Begun::Unsure("too few ledger nodes can be reached")),
            }
        }
    }

    /// waits until the reservation is on enough disks, and then looks whether it still fits: of turns that begin at
    /// the same time, the one stored last sees all others.
    pub async fn confirm(&self, mut reservation: Reservation) -> Result<(), NotConfirmed> {
        let start = reservation.start;
        let stored = async {
            loop {
                if reservation.round.gather.is_stored() {
                    return self.fits(&reservation.round.view, &start).await;
                }
                let Ok(heard) = reservation.round.receiver.recv().await else {
                    return None;
                };
                let begin = start.message(false);
                match reservation.round.hear(self, heard, Some(&begin)) {
                    Progress::Goes => {}
                    Progress::NewView => reservation.round = self.start_round(&start),
                    Progress::Hopeless => return None,
                }
            }
        };
        match timeout(CONFIRM_LIMIT, stored).await.flatten() {
            Some(true) => Ok(()),
            Some(false) => Err(NotConfirmed::OverBudget),
            None => Err(NotConfirmed::NotStored),
        }
    }

    /// whether the tokens held by all turns fit into the budget; `None` if too few nodes answer.
    async fn fits(&self, view: &Arc<LedgerView>, start: &TurnStart) -> Option<bool> {
        let mut round = Round::new(Arc::clone(view), None);
        let spent = LedgerRequest::Spent(LedgerSpent { program: start.program.clone() });
        round.ask_all(self, None, |_| spent.clone());
        loop {
            match round.gather.decision(start.budget_tokens) {
                Decision::Within => return Some(true),
                Decision::Spent => return Some(false),
                Decision::Open => {}
            }
            let heard = round.receiver.recv().await.ok()?;
            match round.hear(self, heard, None) {
                Progress::Goes => {}
                // The members of the new view have the reservation, or those that copied it.
                Progress::NewView => return Box::pin(self.fits(&self.view(), start)).await,
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

fn decide(round: &Round, start: &TurnStart) -> Option<Begun> {
    let decision = round.gather.decision(start.budget_tokens);
    match (decision, round.gather.history()) {
        (Decision::Open, _) | (Decision::Within, History::Gap(_)) => None,
        (_, History::Missing) => Some(Begun::NoSuchTurn),
        (Decision::Spent, _) => Some(Begun::OverBudget { held_tokens: round.gather.held_tokens() }),
        (Decision::Within, History::Damaged(_)) => {
            Some(Begun::Unsure("a turn of the history is on no ledger node that answers"))
        }
        (Decision::Within, History::None) => Some(go(round, start, Vec::new())),
        (Decision::Within, History::Found(history)) => Some(go(round, start, history)),
    }
}

/// the caller replaces the round with the one that goes on.
fn go(round: &Round, start: &TurnStart, history: Vec<u8>) -> Begun {
    let round = Round::new(Arc::clone(&round.view), None);
    Begun::Go { history, reservation: Reservation { start: start.clone(), round } }
}
