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
    Look,
    End,
}

/// what a caller does after an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// the next step.
    Go,
    /// the same request again.
    Again,
    /// nothing: the script is over.
    Stop,
}

/// one caller with its own naive record of the program.
#[derive(Clone, Debug)]
pub struct Caller {
    pub program: String,
    pub parent: Option<String>,
    pub steps: Vec<Step>,
    pub at: usize,
    pub history: Vec<ChatMessage>,
    pub turn: u32,
    pub stopped: Option<String>,
    pub tries: u32,
    /// calls that must have run in the end.
    pub recorded: Vec<String>,
    /// whether it goes on after `not_run`, or asks again.
    pub give_up: bool,
}

impl Caller {
    pub fn new(program: String, parent: Option<String>, steps: Vec<Step>, give_up: bool) -> Self {
        Self {
            program,
            parent,
            steps,
            at: 0,
            history: Vec::new(),
            turn: 0,
            stopped: None,
            tries: 0,
            recorded: Vec::new(),
            give_up,
        }
    }

    pub fn is_done(&self) -> bool {
        self.stopped.is_some() || self.at >= self.steps.len()
    }

    pub fn digest(&self) -> Digest {
        Digest::EMPTY.extend_all(&self.history)
    }

    fn question(&self) -> ChatMessage {
        text_message(Role::User, &format!("{} asks {}", self.program, self.turn + 1))
    }

    fn call_id(&self) -> String {
        format!("{}-c{}", self.program.replace('.', "_"), self.at)
    }

    /// the request of the current step; the same each time.
    pub fn request(&self) -> OwnerRequest {
        let program = self.program.clone();
        let workspace = WORKSPACE.to_owned();
        match &self.steps[self.at] {
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
                messages.push(self.question());
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
            Step::Look => OwnerRequest::State(ForwardedState { program, workspace }),
            Step::End => {
                OwnerRequest::End(ForwardedEnd { program, workspace, reason: "finished".to_owned() })
            }
        }
    }

    /// takes the answer to the current request and checks it against the own record.
    pub fn answer(&mut self, event: &OwnerEvent) -> Result<Next, String> {
        match event {
            OwnerEvent::Token(_) => Ok(Next::Again),
            OwnerEvent::State(state) => {
                self.check(&state.history.digest, state.history.turn)?;
                if state.spent_tokens + state.reserved_tokens > state.budget_tokens {
                    return Err(format!(
                        "{}: {} spent and {} reserved",
                        self.program, state.spent_tokens, state.reserved_tokens
                    ));
                }
                Ok(Next::Go)
            }
            OwnerEvent::Opened(opened) => {
                self.check(&opened.history.digest, opened.history.turn)?;
                Ok(Next::Go)
            }
            OwnerEvent::Turned(answer) => {
                self.history.push(self.question());
                self.history.push(answer.message.clone());
                self.turn += 1;
                self.check(&answer.history.digest, answer.turn)?;
                if answer.spent_tokens > answer.budget_tokens {
                    return Err(format!("{}: spent {}", self.program, answer.spent_tokens));
                }
                Ok(Next::Go)
            }
            OwnerEvent::Called(answer) => {
                if answer.state == CallState::Done && answer.body["echo"]["of"] != self.call_id().as_str() {
                    return Err(format!("{}: outcome of another call", self.program));
                }
                match answer.state {
                    CallState::NotRun if self.give_up => {}
                    CallState::NotRun => return Ok(Next::Again),
                    CallState::Done => self.recorded.push(self.call_id()),
                    CallState::Recorded => self.recorded.push(self.call_id()),
                    _ => {}
                }
                Ok(Next::Go)
            }
            OwnerEvent::Ended(state) => {
                self.check(&state.history.digest, state.history.turn)?;
                Ok(Next::Go)
            }
            OwnerEvent::Problem(problem) => self.refused(problem),
        }
    }

    fn refused(&mut self, problem: &Problem) -> Result<Next, String> {
        match problem.code.as_str() {
            // A sub-agent may come before its parent.
            "unknown_program" if self.at == 0 && self.parent.is_some() => Ok(Next::Again),
            "program_ended" if self.parent.is_some() => Ok(self.stop(problem)),
            "not_owner"
            | "owner_moved"
            | "slot_moving"
            | "opening"
            | "turn_in_progress"
            | "platform_unavailable"
            | "commit_pending"
            | "overloaded"
            | "no_replica" => Ok(Next::Again),
            "upstream_failed" => {
                self.tries += 1;
                Ok(if self.tries > 20 { self.stop(problem) } else { Next::Again })
            }
            "budget_exhausted" | "turn_limit" | "poison_held" => Ok(self.stop(problem)),
            code => Err(format!("{} at step {}: {code}: {}", self.program, self.at, problem.detail)),
        }
    }

    fn stop(&mut self, problem: &Problem) -> Next {
        self.stopped = Some(problem.code.clone());
        Next::Stop
    }

    fn check(&self, digest: &str, turn: u32) -> Result<(), String> {
        if digest == self.digest().to_string() && turn == self.turn {
            return Ok(());
        }
        Err(format!(
            "{}: the history of turn {turn} is not that of the caller at {}",
            self.program, self.turn
        ))
    }
}

/// a plain message.
pub fn text_message(role: Role, text: &str) -> ChatMessage {
    ChatMessage {
        role,
        content: Some(serde_json::Value::String(text.to_owned())),
        name: None,
        tool_call_id: None,
        tool_calls: Vec::new(),
    }
}
