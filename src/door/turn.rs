use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::anyhow;
use bytes::Bytes;
use hyper::Response;
use hyper::header::HeaderValue;
use slog::info;

use crate::door::BufferShare;
use crate::door::SseSplitter;
use crate::door::answer::DoorBody;
use crate::door::call::Attempts;
use crate::door::call::read_full_answer;
use crate::door::door::Door;
use crate::door::pass_on::pass_on;
use crate::door::refusal::Refusal;
use crate::door::request::DoorRequest;
use crate::door::sse_splitter::SseEvent;
use crate::door::stream::relay;
use crate::door::stream::stream_without_program;
use crate::door::stream_origin::find_origin;
use crate::door::stream_origin::origin;
use crate::door::stream_origin::record_origin;
use crate::door::stream_origin::stream_record;
use crate::door::turn_tokens::TurnRole;
use crate::door::turn_tokens::TurnTokens;
use crate::ledger_client::BeginResult;
use crate::ledger_client::Reservation;
use crate::ledger_client::TurnStart;
use crate::reach::RUN_AT_HEADER;
use crate::routing::RequestKind;
use crate::routing::Route;
use crate::routing::Software;
use crate::schema::LedgerFinish;
use crate::schema::LedgerTurn;
use crate::schema::StreamVersion;

/// how long the end of a complete stream may wait until the ledger has stored the turn.
const FINISH_TIMEOUT: Duration = Duration::from_secs(4);
/// time after losing the ledger during which the failure may affect this door alone, so that callers should
/// retry at another door: by its end the directory no longer lists a door that is cut off.
const RECENT_LOSS_MS: u64 = 1_500;
/// how long a door tries to return reserved tokens that were not generated.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);

/// tokens and output of a turn so far; if dropped before `finish`, it settles the tokens that were spent.
pub(super) struct TurnAccount {
    door: Arc<Door>,
    program: String,
    request: String,
    line: Option<String>,
    /// the replica that runs the turn.
    replica: Option<String>,
    tokens: TurnTokens,
    retained: Option<RetainedTurn>,
}

/// a turn that the ledger will retain as history for later turns.
struct RetainedTurn {
    previous: Option<String>,
    said: Vec<u8>,
    /// memory of what was said.
    share: BufferShare,
    keep_ms: u64,
}

impl TurnAccount {
    /// an account without any event.
    fn new(door: &Arc<Door>, request: &DoorRequest, route: &Route, start: &TurnStart) -> Self {
        Self {
            door: Arc::clone(door),
            program: start.program.clone(),
            request: start.request.clone(),
            line: start.line.clone(),
            replica: None,
            tokens: TurnTokens::new(request.role(), door.tokens_per_event(route), start.most_tokens),
            retained: None,
        }
    }

    /// the account of a turn for which this door has reserved nothing, as it passes it on to other doors; `None` if
    /// the request is no turn of a program.
    pub fn of_passed(door: &Arc<Door>, request: &DoorRequest, route: &Route) -> Option<Self> {
        if route.kind != RequestKind::Streaming {
            return None;
        }
        let mut account = Self::new(door, request, route, &turn_start(request)?);
        account.tokens.close();
        Some(account)
    }

    /// records that another door may reserve the turn's tokens, for this one to settle.
    pub fn expect_helper(&mut self) {
        self.tokens.reopen();
    }

    /// records the events in bytes that another door sends for the caller.
    pub fn record_passed(&mut self, splitter: &mut SseSplitter, bytes: &[u8]) {
        if !splitter.push(bytes) {
            // No event that a door relays is as large, so what this one stands for is not known.
            self.tokens.use_all();
            return;
        }
        while let Some(event) = splitter.next_event() {
            if event.data().is_some() {
                // The other door ends a stream that exceeds the reservation.
                let _ = self.tokens.record_event();
            }
        }
    }

    /// leaves the reservation to other doors if one of them may still serve the turn.
    fn leave_to_others(&mut self, refusal: Refusal) {
        if refusal.may_be_served_elsewhere() {
            self.tokens.leave_to_others();
        }
    }

    /// records an event for the caller; `false` if it exceeds the reserved tokens, or the memory for what is retained.
    pub fn record_event(&mut self, event: &SseEvent) -> bool {
        let Some(data) = event.data() else {
            return true;
        };
        if !self.tokens.record_event() {
            return false;
        }
        let Some(retained) = &mut self.retained else {
            return true;
        };
        retained.said.extend_from_slice(data.as_bytes());
        retained.said.push(b'\n');
        retained.share.grow(data.len())
    }

    /// records the replica that runs the turn from now on.
    pub fn set_replica(&mut self, replica: &str) {
        self.replica = Some(replica.to_owned());
    }

    /// stores a retained turn; the caller must see the end of the stream only afterwards.
    pub async fn finish(&mut self) -> anyhow::Result<()> {
        let Some(retained) = self.retained.take() else {
            // Dropping the account settles the turn; until then it reserves at least the tokens that it has
            // spent.
            return Ok(());
        };
        let turn =
            LedgerTurn { previous: retained.previous, said: retained.said.into(), keep_ms: retained.keep_ms };
        let finish = self.finish_message(self.tokens.used(), Some(turn));
        self.tokens.close();
        let stored = self.door.ledger.finish(finish, Instant::now() + FINISH_TIMEOUT).await;
        stored.map_err(|_| {
            info!(self.door.log, "ledger did not store the turn; the stream ends incomplete";
                "request" => &self.request, "program" => &self.program);
            anyhow!("ledger did not store the turn")
        })
    }

    fn finish_message(&self, used_tokens: u64, turn: Option<LedgerTurn>) -> LedgerFinish {
        LedgerFinish {
            program: self.program.clone(),
            request: self.request.clone(),
            line: self.line.clone(),
            replica: self.replica.clone(),
            used_tokens,
            turn,
        }
    }
}

impl Drop for TurnAccount {
    fn drop(&mut self) {
        let Some(used_tokens) = self.tokens.at_end() else {
            return;
        };
        let finish = self.finish_message(used_tokens, None);
        let door = Arc::clone(&self.door);
        self.door.spawner.detach(async move {
            // Without an answer the tokens stay reserved, so that the budget is never exceeded.
            let _ = door.ledger.finish(finish, Instant::now() + SETTLE_TIMEOUT).await;
        });
    }
}

/// runs a request on a streaming route: a turn of a program, or a stream without a program.
pub(super) async fn run_turn(
    door: &Arc<Door>,
    request: &DoorRequest,
    route: &Arc<Route>,
) -> Result<Response<DoorBody>, Refusal> {
    let resumes = taken_up_attempt(request, route)?;
    match turn_start(request) {
        Some(mut start) => {
            // With several versions it depends on the program's last replica, which the ledger tells, where the
            // stream begins.
            let begins_at =
                (route.resumable && resumes.is_none()).then(|| door.sole_software(route)).flatten();
            start.stream = begins_at.as_ref().map(|software| stream_record(request, route, software));
            start.resumes = resumes.map(|attempt| request.principal.scoped(attempt));
            run_turn_of_program(door, request, route, start, begins_at).await
        }
        None if request.caller.previous_turn.is_some() => Err(Refusal::BadRequest),
        None => {
            let mut request = request.clone();
            if let Some(attempt) = resumes {
                request.software = Some(find_origin(door, &request, route, attempt).await?);
            }
            let head = Attempts::new(door, &request, route)?.run_until_head().await?;
            stream_without_program(door, &request, route, *head).await
        }
    }
}

/// the reservation that a turn asks for; `None` if the request is no turn of a program.
fn turn_start(request: &DoorRequest) -> Option<TurnStart> {
    let (caller, principal) = (&request.caller, &request.principal);
    let budget_tokens = caller.budget_tokens?;
    Some(TurnStart {
        program: principal.scoped(caller.program.as_deref()?),
        request: principal.scoped(caller.id.as_deref()?),
        line: caller.session.clone(),
        budget_tokens,
        most_tokens: caller.max_output_tokens.unwrap_or(budget_tokens),
        previous: caller.previous_turn.as_deref().map(|turn| principal.scoped(turn)),
        stream: None,
        resumes: None,
    })
}

/// runs a turn of a program; `begins_at` is the software that its stream must begin at, any if `None`.
async fn run_turn_of_program(
    door: &Arc<Door>,
    request: &DoorRequest,
    route: &Arc<Route>,
    start: TurnStart,
    begins_at: Option<Software>,
) -> Result<Response<DoorBody>, Refusal> {
    let mut account = TurnAccount::new(door, request, route, &start);
    let takes_up = start.resumes.is_some();
    let previous = start.previous.clone();
    let granted = begin_turn(door, start, &mut account).await;
    let Granted { history, home, resumed, reservation } =
        granted.inspect_err(|refusal| account.leave_to_others(*refusal))?;
    let software = match takes_up {
        true => Some(origin(door, request, route, resumed.as_ref())?),
        false => begins_at,
    };
    let confirming = {
        let door = Arc::clone(door);
        let deadline = Instant::now() + request.remaining();
        door.spawner.clone().spawn(async move { door.ledger.confirm(*reservation, deadline).await })
    };
    let mut full_request = request.clone();
    full_request.home = home;
    full_request.software = software;
    if !history.is_empty() {
        full_request.body = Bytes::from([history.as_slice(), &request.body].concat());
    }
    let head = match Attempts::new(door, &full_request, route)?.run_until_head().await {
        Err(Refusal::CutOff) if !request.is_passed_on => {
            return pass_on(door, request, route, Some(account)).await;
        }
        head => head.inspect_err(|refusal| account.leave_to_others(*refusal))?,
    };
    account.set_replica(&head.lease.pick.id);
    if !head.response.status().is_success() {
        return read_full_answer(door, &full_request, *head).await.map_err(|_| Refusal::AnswerLost);
    }
    if let Err(why) = confirming.await {
        let why: &'static str = why.into();
        info!(door.log, "token reservation was not confirmed; answer discarded";
            "request" => &account.request, "program" => &account.program, "why" => why);
        // The replica has already started, so the caller must not be told that nothing ran.
        return Err(Refusal::AnswerLost);
    }
    if route.resumable && full_request.software.is_none() {
        record_origin(door, &full_request, route, &head.lease.pick.software).await;
    }
    if let Some(retention_ms) = route.retention_ms {
        account.retained = Some(RetainedTurn {
            previous,
            said: request.body.to_vec(),
            share: door.answers.share(),
            keep_ms: door.keep_ms(retention_ms),
        });
    }
    let run_at = HeaderValue::from_str(&head.lease.pick.id);
    let mut answer = relay(door, &full_request, route, *head, Some(account));
    if let (TurnRole::Helper, Ok(run_at)) = (request.role(), run_at) {
        answer.headers_mut().insert(RUN_AT_HEADER, run_at);
    }
    Ok(answer)
}

/// what the ledger grants to a turn that may run.
struct Granted {
    history: Vec<u8>,
    home: Option<String>,
    /// software that began the stream that the turn goes on with.
    resumed: Option<StreamVersion>,
    reservation: Box<Reservation>,
}

/// reserves the tokens of a turn; closes `account` if none were reserved.
async fn begin_turn(door: &Door, start: TurnStart, account: &mut TurnAccount) -> Result<Granted, Refusal> {
    if !door.ledger.is_reachable() {
        account.tokens.close();
        let is_recent_loss =
            door.ledger.unreachable_ms().is_some_and(|unreachable_ms| unreachable_ms < RECENT_LOSS_MS);
        return Err(if is_recent_loss { Refusal::LedgerUnsure } else { Refusal::LedgerAway });
    }
    let budget_tokens = start.budget_tokens;
    let asked = Instant::now();
    let admission = door.ledger.begin(start).await;
    door.record_ledger_wait(asked.elapsed().as_millis() as u64);
    match admission {
        BeginResult::Granted { history, home, resumed, reservation } => {
            Ok(Granted { history, home, resumed, reservation })
        }
        BeginResult::OverBudget { held_tokens } => {
            info!(door.log, "token budget of the program is exhausted; turn refused";
                "request" => &account.request, "program" => &account.program,
                "budget_tokens" => budget_tokens, "held_tokens" => held_tokens);
            Err(Refusal::OverBudget)
        }
        BeginResult::NoSuchTurn => Err(Refusal::NoSuchTurn),
        BeginResult::Busy { retry_after_ms } => {
            account.tokens.close();
            Err(Refusal::LedgerBusy { retry_after_ms })
        }
        BeginResult::Unavailable(why) => {
            info!(door.log, "ledger could not decide on the turn; turn refused";
                "request" => &account.request, "program" => &account.program, "why" => why);
            Err(Refusal::LedgerUnsure)
        }
    }
}

/// the attempt whose stream the caller takes up; an error if no replica may go on with it.
fn taken_up_attempt<'a>(request: &'a DoorRequest, route: &Route) -> Result<Option<&'a str>, Refusal> {
    let Some(take_up) = &request.caller.take_up else {
        return Ok(None);
    };
    // A kept turn would lack what the earlier attempts brought.
    let may_go_on = route.resumable && route.retention_ms.is_none();
    match take_up.attempt.as_deref().filter(|_| may_go_on) {
        Some(attempt) => Ok(Some(attempt)),
        None => Err(Refusal::UnknownStream),
    }
}
