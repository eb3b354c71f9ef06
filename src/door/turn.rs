use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::anyhow;
use bytes::Bytes;
use hyper::Response;
use slog::info;

use crate::door::answer::DoorBody;
use crate::door::call::Tries;
use crate::door::call::read_whole;
use crate::door::door::Door;
use crate::door::event_cutter::CutEvent;
use crate::door::refusal::Refusal;
use crate::door::request::DoorRequest;
use crate::door::stream::relay;
use crate::door::stream::stream_only;
use crate::ledger_client::BeginResult;
use crate::ledger_client::TurnStart;
use crate::routing::Route;
use crate::schema::LedgerFinish;
use crate::schema::LedgerTurn;

/// how much longer than promised a turn is kept, for callers whose clock or way is slow.
const KEEP_MARGIN_MS: u64 = 30_000;
/// how long the end of a whole stream may wait for the ledger.
const FINISH_LIMIT: Duration = Duration::from_secs(4);
/// how long a ledger that is out of reach may still be the trouble of this door alone, and callers do best at others:
/// the time in which a door that is cut off is no longer named to them.
const LOST_JUST_NOW_MS: u64 = 1_500;
/// how long a door tries to give back tokens that were not generated.
const SETTLE_LIMIT: Duration = Duration::from_secs(3);

/// what a turn has spent and said so far; given up without a finish, it settles what was spent.
pub(super) struct TurnAccount {
    door: Arc<Door>,
    program: String,
    request: String,
    line: Option<String>,
    /// replica that runs the turn.
    replica: Option<String>,
    tokens_per_event: u64,
    /// tokens that were reserved for the turn.
    most_tokens: u64,
    event_count: u64,
    kept: Option<Kept>,
    is_settled: bool,
}

/// a turn that will be kept.
struct Kept {
    previous: Option<String>,
    said: Vec<u8>,
    keep_ms: u64,
}

impl TurnAccount {
    /// takes an event that goes to the caller; `false` if the turn has no tokens for it.
    pub fn count(&mut self, event: &CutEvent) -> bool {
        let Some(data) = event.data() else {
            return true;
        };
        // The last event may stand for fewer tokens than the others.
        if self.event_count >= self.most_tokens.div_ceil(self.tokens_per_event.max(1)) {
            return false;
        }
        self.event_count += 1;
        if let Some(kept) = &mut self.kept {
            kept.said.extend_from_slice(data.as_bytes());
            kept.said.push(b'\n');
        }
        true
    }

    /// takes note of the replica that runs the turn from here on.
    pub fn runs_at(&mut self, replica: &str) {
        self.replica = Some(replica.to_owned());
    }

    /// stores the whole turn; the caller learns of its end only afterwards.
    pub async fn finish(&mut self) -> anyhow::Result<()> {
        let Some(kept) = self.kept.take() else {
            // Nothing is owed to the caller: until it is settled, the turn holds no less than it has spent.
            return Ok(());
        };
        let turn = LedgerTurn { previous: kept.previous, said: kept.said.into(), keep_ms: kept.keep_ms };
        let finish = self.message(Some(turn));
        self.is_settled = true;
        let stored = self.door.ledger.finish(finish, Instant::now() + FINISH_LIMIT).await;
        stored.map_err(|_| {
            info!(self.door.log, "a turn could not be stored"; "request" => &self.request, "program" => &self.program);
            anyhow!("the ledger does not store the turn")
        })
    }

    fn message(&self, turn: Option<LedgerTurn>) -> LedgerFinish {
        LedgerFinish {
            program: self.program.clone(),
            request: self.request.clone(),
            line: self.line.clone(),
            replica: self.replica.clone(),
            used_tokens: self.event_count * self.tokens_per_event,
            turn,
        }
    }
}

impl Drop for TurnAccount {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        let finish = self.message(None);
        let door = Arc::clone(&self.door);
        self.door.spawner.detach(async move {
            // Without an answer the tokens stay held, which errs on the side of the budget.
            let _ = door.ledger.finish(finish, Instant::now() + SETTLE_LIMIT).await;
        });
    }
}

/// runs a request on a streaming route: a turn of a program, or a plain stream.
pub(super) async fn turn(
    door: &Arc<Door>,
    request: &DoorRequest,
    route: &Arc<Route>,
) -> Result<Response<DoorBody>, Refusal> {
    let caller = &request.caller;
    let (Some(program), Some(id), Some(budget_tokens)) = (&caller.program, &caller.id, caller.budget_tokens)
    else {
        if caller.previous_turn.is_some() {
            return Err(Refusal::BadRequest);
        }
        let head = Tries::new(door, request, route)?.head().await?;
        return stream_only(door, request, route, *head).await;
    };
    let start = TurnStart {
        program: program.clone(),
        request: id.clone(),
        line: caller.session.clone(),
        budget_tokens,
        most_tokens: caller.max_output_tokens.unwrap_or(budget_tokens),
        previous: caller.previous_turn.clone(),
    };
    let mut account = TurnAccount {
        most_tokens: start.most_tokens,
        door: Arc::clone(door),
        program: program.clone(),
        request: id.clone(),
        line: caller.session.clone(),
        replica: None,
        tokens_per_event: door.tokens_per_event(route),
        event_count: 0,
        kept: None,
        is_settled: false,
    };
    if !door.ledger.is_reachable() {
        account.is_settled = true;
        let lost_just_now =
            door.ledger.unreachable_ms().is_some_and(|unreachable_ms| unreachable_ms < LOST_JUST_NOW_MS);
        return Err(if lost_just_now { Refusal::LedgerUnsure } else { Refusal::LedgerAway });
    }
    let asked = Instant::now();
    let begun = door.ledger.begin(start).await;
    door.note_ledger_wait(asked.elapsed().as_millis() as u64);
    let (history, home, reservation) = match begun {
        BeginResult::Granted { history, home, reservation } => (history, home, reservation),
        BeginResult::OverBudget { held_tokens } => {
            info!(door.log, "a budget is spent"; "request" => id, "program" => program,
                "budget_tokens" => budget_tokens, "held_tokens" => held_tokens);
            return Err(Refusal::OverBudget);
        }
        BeginResult::NoSuchTurn => return Err(Refusal::NoSuchTurn),
        BeginResult::Busy { retry_after_ms } => {
            account.is_settled = true;
            return Err(Refusal::LedgerBusy { retry_after_ms });
        }
        BeginResult::Unavailable(why) => {
            info!(door.log, "the ledger is unsure"; "request" => id, "program" => program, "why" => why);
            return Err(Refusal::LedgerUnsure);
        }
    };
    let confirming = {
        let door = Arc::clone(door);
        let deadline = Instant::now() + request.left();
        door.spawner.clone().spawn(async move { door.ledger.confirm(*reservation, deadline).await })
    };
    let mut whole = request.clone();
    whole.home = home;
    if !history.is_empty() {
        whole.body = Bytes::from([history.as_slice(), &request.body].concat());
    }
    let head = Tries::new(door, &whole, route)?.head().await?;
    account.runs_at(&head.lease.pick.id);
    if !head.response.status().is_success() {
        return read_whole(door, &whole, *head).await.map_err(|_| Refusal::AnswerLost);
    }
    if let Err(why) = confirming.await {
        let why: &'static str = why.into();
        info!(door.log, "a reservation does not hold"; "request" => id, "program" => program, "why" => why);
        // The replica has begun, so nothing may be promised.
        return Err(Refusal::AnswerLost);
    }
    if let Some(retention_ms) = route.retention_ms {
        account.kept = Some(Kept {
            previous: caller.previous_turn.clone(),
            said: request.body.to_vec(),
            keep_ms: retention_ms + KEEP_MARGIN_MS,
        });
    }
    Ok(relay(door, &whole, route, *head, Some(account)))
}
