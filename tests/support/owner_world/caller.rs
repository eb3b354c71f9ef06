use flamingostand::ids::Digest;
use flamingostand::schema::CallBody;
use flamingostand::schema::CallState;
use flamingostand::schema::ChatMessage;
use flamingostand::schema::ForwardedCall;
use flamingostand::schema::ForwardedEnd;
use flamingostand::schema::ForwardedOpen;
use flamingostand::schema::ForwardedState;
use flamingostand::schema::ForwardedTurn;
use flamingostand::schema::OpenBody;
use flamingostand::schema::OwnerEvent;
use flamingostand::schema::OwnerRequest;
use flamingostand::schema::Problem;
use flamingostand::schema::Role;
use flamingostand::schema::TurnBody;

/// workspace of all callers.
pub const WORKSPACE: &str = "rokopis";

/// one step of a caller's script.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Open,
    Turn { whole_list: bool, stream: bool },
    Call { service: &'static str, idempotent: bool, wait: bool },
    ReadState,
    End,
}

/// what a caller does next after an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// goes on with the next step.
    Advance,
    /// sends the same request again.
    Retry,
    /// ends its script early.
    Stop,
}

/// one caller, with a reference copy of its program's history.
#[derive(Clone, Debug)]
pub struct Caller {
    pub program: String,
    pub parent: Option<String>,
    pub steps: Vec<Step>,
    pub step_index: usize,
    pub history: Vec<ChatMessage>,
    pub turn: u32,
    pub stopped: Option<String>,
    pub upstream_failures: u32,
    /// calls answered as recorded or done, which must have run by the end.
    pub recorded: Vec<String>,
    /// whether it goes on after `not_run` instead of repeating the call.
    pub accepts_not_run: bool,
}

impl Caller {
    pub fn new(program: String, parent: Option<String>, steps: Vec<Step>, accepts_not_run: bool) -> Self {
        Self {
            program,
            parent,
            steps,
            step_index: 0,
            history: Vec::new(),
            turn: 0,
            stopped: None,
            upstream_failures: 0,
            recorded: Vec::new(),
            accepts_not_run,
        }
    }

    pub fn is_done(&self) -> bool {
        self.stopped.is_some() || self.step_index >= self.steps.len()
    }

    pub fn digest(&self) -> Digest {
        Digest::EMPTY.extend_all(&self.history)
    }

    fn user_message(&self) -> ChatMessage {
        text_message(Role::User, &format!("{} asks {}", self.program, self.turn + 1))
    }

    fn call_id(&self) -> String {
        format!("{}-c{}", self.program.replace('.', "_"), self.step_index)
    }

    /// request of the current step; a repeat is identical.
    pub fn request(&self) -> OwnerRequest {
        let program = self.program.clone();
        let workspace = WORKSPACE.to_owned();
        match &self.steps[self.step_index] {
            Step::Open => {
                let parent = self.parent.clone();
                let body = OpenBody {
                    agent_program: "reader".to_owned(),
                    program: None,
                    budget_tokens: None,
                    parent,
                };
                OwnerRequest::Open(ForwardedOpen { program, workspace, body })
            }
            Step::Turn { whole_list, stream } => {
                let mut messages = if *whole_list { self.history.clone() } else { Vec::new() };
                messages.push(self.user_message());
                let body = TurnBody {
                    extends: (!whole_list).then(|| self.digest().to_string()),
                    max_tokens: Some(20),
                    messages,
                    stream: *stream,
                    temperature: None,
                    turn: Some(self.turn + 1),
                };
                OwnerRequest::Turn(ForwardedTurn { program, workspace, body })
            }
            Step::Call { service, idempotent, wait } => {
                let body = CallBody {
                    call: Some(self.call_id()),
                    service: (*service).to_owned(),
                    path: "/act".to_owned(),
                    body: serde_json::json!({ "of": self.call_id() }),
                    idempotent: *idempotent,
                    wait: *wait,
                    deadline_ms: None,
                };
                OwnerRequest::Call(ForwardedCall { program, workspace, body })
            }
            Step::ReadState => OwnerRequest::State(ForwardedState { program, workspace }),
            Step::End => {
                OwnerRequest::End(ForwardedEnd { program, workspace, reason: "finished".to_owned() })
            }
        }
    }

    /// checks the answer to the current request against the reference copy, and applies it.
    pub fn answer(&mut self, event: &OwnerEvent) -> Result<Next, String> {
        match event {
            OwnerEvent::Token(_) => Ok(Next::Retry),
            OwnerEvent::State(state) => {
                self.check_history(&state.history.digest, state.history.turn)?;
                if state.spent_tokens + state.reserved_tokens > state.budget_tokens {
                    return Err(format!(
                        "{}: {} tokens spent and {} reserved exceed the budget",
                        self.program, state.spent_tokens, state.reserved_tokens
                    ));
                }
                Ok(Next::Advance)
            }
            OwnerEvent::Opened(opened) => {
                self.check_history(&opened.history.digest, opened.history.turn)?;
                Ok(Next::Advance)
            }
            OwnerEvent::Turned(answer) => {
                self.history.push(self.user_message());
                self.history.push(answer.message.clone());
                self.turn += 1;
                self.check_history(&answer.history.digest, answer.turn)?;
                if answer.spent_tokens > answer.budget_tokens {
                    return Err(format!(
                        "{}: {} tokens spent exceed the budget",
                        self.program, answer.spent_tokens
                    ));
                }
                Ok(Next::Advance)
            }
            OwnerEvent::Called(answer) => {
                if answer.state == CallState::Done && answer.body["echo"]["of"] != self.call_id().as_str() {
                    return Err(format!("{}: the answer has the outcome of another call", self.program));
                }
                match answer.state {
                    CallState::NotRun if self.accepts_not_run => {}
                    CallState::NotRun => return Ok(Next::Retry),
                    CallState::Done => self.recorded.push(self.call_id()),
                    CallState::Recorded => self.recorded.push(self.call_id()),
                    _ => {}
                }
                Ok(Next::Advance)
            }
            OwnerEvent::Ended(state) => {
                self.check_history(&state.history.digest, state.history.turn)?;
                Ok(Next::Advance)
            }
            OwnerEvent::Problem(problem) => self.handle_problem(problem),
        }
    }

    fn handle_problem(&mut self, problem: &Problem) -> Result<Next, String> {
        match problem.code.as_str() {
            // A sub-agent may be opened before its parent; it then tries again.
            "unknown_program" if self.step_index == 0 && self.parent.is_some() => Ok(Next::Retry),
            "program_ended" if self.parent.is_some() => Ok(self.stop(problem)),
            "not_owner"
            | "owner_moved"
            | "slot_moving"
            | "opening"
            | "turn_in_progress"
            | "platform_unavailable"
            | "commit_pending"
            | "overloaded"
            | "no_replica" => Ok(Next::Retry),
            "upstream_failed" => {
                self.upstream_failures += 1;
                Ok(if self.upstream_failures > 20 { self.stop(problem) } else { Next::Retry })
            }
            "budget_exhausted" | "turn_limit" | "poison_held" => Ok(self.stop(problem)),
            code => Err(format!("{} at step {}: {code}: {}", self.program, self.step_index, problem.detail)),
        }
    }

    fn stop(&mut self, problem: &Problem) -> Next {
        self.stopped = Some(problem.code.clone());
        Next::Stop
    }

    fn check_history(&self, digest: &str, turn: u32) -> Result<(), String> {
        if digest == self.digest().to_string() && turn == self.turn {
            return Ok(());
        }
        Err(format!(
            "{}: the owner's history at turn {turn} differs from the caller's at turn {}",
            self.program, self.turn
        ))
    }
}

/// a message of plain text.
pub fn text_message(role: Role, text: &str) -> ChatMessage {
    ChatMessage {
        role,
        content: Some(serde_json::Value::String(text.to_owned())),
        name: None,
        tool_call_id: None,
        tool_calls: Vec::new(),
    }
}
