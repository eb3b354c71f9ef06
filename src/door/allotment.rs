use std::sync::Arc;
use std::time::Duration;

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

/// time in which a ledger node answers a question for tokens, which waits for no disk; then the next one is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// a request that its workspace's allotment has room for.
#[derive(Debug)]
pub(super) struct Admitted {
    workspace: String,
    /// `None` if the workspace is not limited.
    token: Option<Token>,
}

impl Admitted {
    /// gives the token back if no replica has run the request, and never will.
    #[expect(dead_code, reason = "the request path calls it once requests carry their workspace")]
    pub fn settle(self, door: &Door, answer: &Result<Response<DoorBody>, Refusal>) {
        let is_unused = answer.as_ref().is_err_and(|refusal| !refusal.may_have_run());
        if is_unused
            && let Some(token) = self.token
            && let Some(mut allotments) = door.allotments()
        {
            allotments.give_back(door.now_ms(), &self.workspace, token);
        }
    }
}

/// lets a request through if its workspace's allotment has room, and asks ledger nodes for that.
#[expect(dead_code, reason = "the request path calls it once requests carry their workspace")]
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
    Ok(Admitted { workspace: workspace.to_owned(), token })
}

async fn fetch_token(
    door: &Arc<Door>,
    workspace: &str,
    terms: AllotmentTerms,
    standing: ProgramStanding,
    request: &DoorRequest,
) -> Result<Option<Token>, Refusal> {
    let view = door.ledger.view();
    let members: Vec<String> = view.members.iter().map(|member| member.name.clone()).collect();
    let mut tried = Vec::new();
    loop {
        if request.remaining().is_zero() {
            return Err(Refusal::TooLate);
        }
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
        let grant = ask(door, &view, &question).await;
        if let Some(token) = handle_answer(door, &question, grant.as_ref()) {
            return Ok(Some(token));
        }
        tried.push(question.member);
    }
}

fn handle_answer(door: &Door, question: &Question, grant: Option<&AllotmentGrant>) -> Option<Token> {
    let mut allotments = door.allotments()?;
    match grant {
        Some(grant) => allotments.answered(door.now_ms(), question, grant),
        None => {
            allotments.unanswered(door.now_ms(), question);
            None
        }
    }
}

async fn ask(door: &Door, view: &LedgerView, question: &Question) -> Option<AllotmentGrant> {
    let member = view.member(&question.member)?;
    let (sender, replies) = async_channel::unbounded();
    let request = LedgerRequest::Allotment(question.ask.clone());
    if !door.ledger.ask(member, view.epoch, request, None, &sender) {
        return None;
    }
    match timeout(ANSWER_TIMEOUT, replies.recv()).await.and_then(Result::ok)?.event {
        AskOutcome::Reply(LedgerReply::Granted(grant)) => Some(grant),
        AskOutcome::Reply(LedgerReply::Stale(stale)) => {
            door.ledger.adopt(&stale.view);
            None
        }
        AskOutcome::Reply(_) | AskOutcome::ConnectionLost => None,
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
