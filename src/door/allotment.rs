use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use flamingo_edge::timeout;
use hyper::Response;

use crate::allotment::Admission;
use crate::allotment::AllotmentTerms;
use crate::allotment::ProgramStanding;
use crate::allotment::Question;
use crate::allotment::Token;
use crate::door::answer::DoorBody;
use crate::door::door::Door;
use crate::door::refusal::Refusal;
use crate::door::request::DoorRequest;
use crate::ledger_client::AskOutcome;
use crate::schema::AllotmentGrant;
use crate::schema::LedgerReply;
use crate::schema::LedgerRequest;
use crate::schema::LedgerView;
use crate::workspace::Principal;

/// time in which a ledger node answers a question for tokens, which waits for no disk; then the next one is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// longest time that a request waits for tokens: that of two nodes without an answer.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// a request that its workspace's allotment has room for.
#[derive(Debug)]
pub(super) struct Admitted {
    workspace: String,
    terms: AllotmentTerms,
    /// `None` if the workspace is not limited.
    token: Option<Token>,
}

impl Admitted {
    /// gives the token back if the request was sent to no replica, and never will be.
    pub fn settle(self, door: &Door, request: &DoorRequest, answer: &Result<Response<DoorBody>, Refusal>) {
        let is_unused = answer.as_ref().is_err_and(|refusal| !refusal.may_have_run()) && !request.was_sent();
        if is_unused
            && let Some(token) = self.token
            && let Some(mut allotments) = door.allotments()
        {
            allotments.give_back(door.now_ms(), &self.workspace, self.terms, token);
        }
    }
}

/// the workspace whose allotment a request counts towards, and the allotment in force; `None` if nothing is counted.
pub(super) fn allotment_of(door: &Door, principal: &Principal) -> Option<(String, AllotmentTerms)> {
    if !door.has_allotments() {
        return None;
    }
    let name = &principal.workspace()?.name;
    let table = door.table.load();
    let table = table.as_ref()?;
    let allotment = table.workspaces.by_name(name)?.allotment?;
    let terms =
        AllotmentTerms { version: table.version, rate_per_s: allotment.rate_per_s, burst: allotment.burst };
    Some((name.clone(), terms))
}

/// lets a request through if its workspace's allotment has room, and asks ledger nodes for that.
pub(super) async fn admit(
    door: &Arc<Door>,
    workspace: &str,
    terms: AllotmentTerms,
    request: &DoorRequest,
) -> Result<Admitted, Refusal> {
    let program = request.caller.program.as_deref();
    let previous = request.caller.previous_turn.as_deref();
    let standing = door.recent_programs().standing(door.now_ms(), program, previous);
    let token = fetch_token(door, workspace, terms, standing, request).await?;
    if let Some(program) = program.filter(|_| token.is_some()) {
        door.recent_programs().add(door.now_ms(), program);
    }
    Ok(Admitted { workspace: workspace.to_owned(), terms, token })
}

async fn fetch_token(
    door: &Arc<Door>,
    workspace: &str,
    terms: AllotmentTerms,
    standing: ProgramStanding,
    request: &DoorRequest,
) -> Result<Option<Token>, Refusal> {
    let started = Instant::now();
    let mut tried = Vec::new();
    let mut has_reloaded = false;
    loop {
        let wait = MAX_WAIT.saturating_sub(started.elapsed()).min(request.remaining());
        if request.remaining().is_zero() {
            return Err(Refusal::TooLate);
        }
        let view = door.ledger.view();
        let members: Vec<String> = view.members.iter().map(|member| member.name.clone()).collect();
        let now_ms = door.now_ms();
        // A separate statement, as it holds the lock until its end.
        let admission = door
            .allotments()
            .map(|mut allotments| allotments.admit(now_ms, workspace, terms, standing, &members, &tried));
        let question = match admission {
            None => return Ok(None),
            Some(Admission::Granted(token)) => return Ok(token),
            Some(Admission::Refused { retry_after_ms }) => {
                metrics::counter!("door_over_allotment_total").increment(1);
                return Err(Refusal::OverAllotment { retry_after_ms });
            }
            Some(Admission::Unanswered) => return Err(Refusal::AllotmentUnsure),
            Some(Admission::Ask(question)) => question,
        };
        let answer = match wait.is_zero() {
            true => Answer::Stale,
            false => ask(door, &view, &question, wait.min(ANSWER_TIMEOUT)).await,
        };
        let is_stale = matches!(answer, Answer::Stale);
        if let Some(token) = handle_answer(door, &question, answer) {
            return Ok(Some(token));
        }
        if wait.is_zero() {
            return Err(Refusal::AllotmentUnsure);
        }
        // The view has been adopted; the node that has it is asked once more.
        if is_stale && !has_reloaded {
            has_reloaded = true;
            continue;
        }
        tried.push(question.member);
    }
}

/// what a ledger node says to a question for tokens.
enum Answer {
    Granted(AllotmentGrant),
    /// it has not looked at the question, as it or the door follows an older view.
    Stale,
    /// it has not answered in time, or cannot be reached.
    Silent,
}

fn handle_answer(door: &Door, question: &Question, answer: Answer) -> Option<Token> {
    let mut allotments = door.allotments()?;
    match answer {
        Answer::Granted(grant) => allotments.answered(door.now_ms(), question, &grant),
        Answer::Stale => {
            allotments.not_taken(door.now_ms(), question);
            None
        }
        Answer::Silent => {
            allotments.unanswered(door.now_ms(), question);
            None
        }
    }
}

async fn ask(door: &Door, view: &LedgerView, question: &Question, wait: Duration) -> Answer {
    let Some(member) = view.member(&question.member) else {
        return Answer::Stale;
    };
    let (sender, replies) = async_channel::unbounded();
    let request = LedgerRequest::Allotment(question.ask.clone());
    let Some(id) = door.ledger.start_ask(member, view.epoch, request, None, &sender) else {
        return Answer::Silent;
    };
    let Some(Ok(update)) = timeout(wait, replies.recv()).await else {
        door.ledger.forget(id);
        return Answer::Silent;
    };
    match update.event {
        AskOutcome::Reply(LedgerReply::Granted(grant)) => Answer::Granted(grant),
        AskOutcome::Reply(LedgerReply::Stale(stale)) => {
            door.ledger.adopt(&stale.view);
            Answer::Stale
        }
        AskOutcome::Reply(_) | AskOutcome::ConnectionLost => Answer::Silent,
    }
}

/// sends tokens back to the ledger nodes that granted them and that no request will use.
pub(super) fn give_back_tokens(door: &Door) {
    let now_ms = door.now_ms();
    let returns = door.allotments().map(|mut allotments| allotments.take_returns(now_ms));
    let view = door.ledger.view();
    // Nobody waits for the answers: a return that is lost counts as used.
    let (unused, _) = async_channel::bounded(1);
    for (member, ask) in returns.unwrap_or_default() {
        if let Some(member) = view.member(&member) {
            door.ledger.ask(member, view.epoch, LedgerRequest::Allotment(ask), None, &unused);
        }
    }
}
