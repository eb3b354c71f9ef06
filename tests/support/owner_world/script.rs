use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use datadriven::TestCase;
use flamingostand::clock::Now;
use flamingostand::ids::Digest;
use flamingostand::ids::Incarnation;
use flamingostand::member::Member;
use flamingostand::member::MemberView;
use flamingostand::owner::LookupOutcome;
use flamingostand::owner::Owner;
use flamingostand::owner::OwnerAction;
use flamingostand::owner::OwnerInput;
use flamingostand::owner::OwnerSettings;
use flamingostand::owner::ServiceOutcome;
use flamingostand::platform::PlatformError;
use flamingostand::platform::PlatformReply;
use flamingostand::platform::PlatformRequest;
use flamingostand::schema::*;

use super::caller::WORKSPACE;
use super::caller::text_message;
use super::plan::configuration;
use super::platform::FakePlatform;
use super::upstreams::failed;

/// wall-clock time at the start.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// how the platform treats calls.
#[derive(Clone, Copy, PartialEq)]
enum PlatformMode {
    Up,
    Down,
    /// calls take effect, but their replies are lost.
    LoseReplies,
}

/// one owner under test, with the work that waits for the script.
struct ScriptedOwner {
    owner: Owner,
    frozen: bool,
    inbox: VecDeque<OwnerInput>,
    jobs: VecDeque<u64>,
    services: VecDeque<u64>,
    incarnation: String,
}

/// owners and a fake platform, driven by the directives of a scenario file.
pub struct OwnerScript {
    owners: BTreeMap<String, ScriptedOwner>,
    platform: FakePlatform,
    watches: Vec<(String, u64, PlatformRequest)>,
    mode: PlatformMode,
    now_ms: u64,
    ticket: u64,
    lines: Vec<String>,
    digests: BTreeMap<String, String>,
    budget: u64,
}

impl OwnerScript {
    pub fn new() -> Self {
        Self {
            owners: BTreeMap::new(),
            platform: FakePlatform::default(),
            watches: Vec::new(),
            mode: PlatformMode::Up,
            now_ms: 1000,
            ticket: 0,
            lines: Vec::new(),
            digests: BTreeMap::new(),
            budget: 1000,
        }
    }

    pub fn run(&mut self, case: &TestCase) -> String {
        let args = case.args.clone();
        let arg = |name: &str| args.get(name).and_then(|values| values.first()).cloned();
        let at = arg("at").unwrap_or_else(|| "i0".to_owned());
        let number =
            |name: &str, default: u64| arg(name).map_or(default, |text| text.parse().expect("a number"));
        match case.directive.as_str() {
            "budget" => self.budget = number("tokens", 1000),
            "release" => {
                let mut released = configuration(number("tokens", self.budget));
                let name = (WORKSPACE.to_owned(), "reader".to_owned());
                let mut entry = AgentProgramEntry::clone(&released.agent_programs[&name]);
                entry.max_turns = number("turns", 430) as u32;
                entry.deadline_ms = number("deadline_ms", 86_400_000);
                released.agent_programs.insert(name, Arc::new(entry));
                self.deliver(&at, OwnerInput::Configuration(Arc::new(released)));
            }
            "start" => self.start(&at, &arg("incarnation").expect("incarnation=")),
            "members" => self.members(&args),
            "advance" => self.advance(number("ms", 10)),
            "freeze" => self.owner(&at).frozen = true,
            "thaw" => self.thaw(&at),
            "kill" => drop(self.owners.remove(&at)),
            "leave" => self.deliver(&at, OwnerInput::Leave),
            "platform" => self.mode = parse_mode(&arg("is").expect("is=")),
            "open" | "turn" | "call" | "end" | "state" => {
                let program = arg("program").unwrap_or_else(|| "p".to_owned());
                let request = self.request(&case.directive, &program, &arg);
                self.ticket += 1;
                self.lines.push(format!("ticket {}", self.ticket));
                let ticket = self.ticket;
                self.deliver(&at, OwnerInput::Request { ticket, request });
            }
            "cancel" => self.deliver(&at, OwnerInput::Cancel { ticket: number("ticket", 0) }),
            "token" | "done" | "fail" => {
                let event = job_event(&case.directive, &arg, number("spent", 0), number("tokens", 5));
                let last = case.directive != "token";
                let scripted = self.owner(&at);
                let job = if last { scripted.jobs.pop_front() } else { scripted.jobs.front().copied() };
                match job {
                    Some(job) => self.deliver(&at, OwnerInput::Job { job, event }),
                    None => self.lines.push("no job is in flight".to_owned()),
                }
            }
            "serve" | "found" => match self.owner(&at).services.pop_front() {
                Some(service) => {
                    let outcome = arg("outcome").expect("outcome=");
                    self.deliver(&at, service_input(&case.directive, service, &outcome));
                }
                None => self.lines.push("no service call is in flight".to_owned()),
            },
            "lift" => {
                let digest = self.digests.get("poison").cloned().unwrap_or_default();
                let changed_unix_ms = self.now().unix_ms;
                let held = PoisonHeld { digest, deaths: 2, lifted: true, changed_unix_ms };
                self.deliver(&at, OwnerInput::Poison(held));
            }
            "slots" => self.show_slots(),
            other => panic!("unknown directive {other}"),
        }
        // Lets the owner write the commits that it has batched.
        self.advance(20);
        let mut text = String::new();
        for line in self.lines.drain(..) {
            text.push_str(&line);
            text.push('\n');
        }
        text
    }

    fn now(&self) -> Now {
        Now { ms: self.now_ms, unix_ms: START_UNIX_MS + self.now_ms }
    }

    fn owner(&mut self, at: &str) -> &mut ScriptedOwner {
        self.owners.get_mut(at).expect("the owner was started")
    }

    fn start(&mut self, at: &str, incarnation: &str) {
        let settings = OwnerSettings {
            state: StateSettings::default(),
            limits: LimitSettings::default(),
            slot_count: 1,
            me: Incarnation::from(incarnation),
            name: at.to_owned(),
        };
        let owner = Owner::new(settings, self.now());
        let incarnation = incarnation.to_owned();
        let scripted = ScriptedOwner {
            owner,
            frozen: false,
            inbox: VecDeque::new(),
            jobs: VecDeque::new(),
            services: VecDeque::new(),
            incarnation,
        };
        self.owners.insert(at.to_owned(), scripted);
        let configuration = Arc::new(configuration(self.budget));
        self.deliver(at, OwnerInput::Configuration(configuration));
    }

    /// sends all owners a member view, such as `i0=dead i1=leaving`; others are alive.
    fn members(&mut self, args: &std::collections::HashMap<String, Vec<String>>) {
        let names: Vec<String> = self.owners.keys().cloned().collect();
        let mut members = Vec::new();
        for (name, scripted) in &self.owners {
            let state = args.get(name).and_then(|values| values.first()).map_or("alive", String::as_str);
            let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7000));
            members.push(Member {
                name: name.clone(),
                incarnation: Incarnation::from(scripted.incarnation.as_str()),
                health: if state == "dead" { MemberHealth::Dead } else { MemberHealth::Alive },
                leaving: state == "leaving",
                region: "r".to_owned(),
                zone: "z".to_owned(),
                mesh: address,
                callers: address,
                release_version: 1,
            });
        }
        for name in names {
            let own_incarnation = Incarnation::from(self.owners[&name].incarnation.as_str());
            let view = MemberView { own_incarnation, members: members.clone(), changed_ms: self.now_ms };
            self.deliver(&name, OwnerInput::Members(Arc::new(view)));
        }
    }

    fn advance(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += 10;
            let names: Vec<String> = self.owners.keys().cloned().collect();
            for name in names {
                if !self.owners[&name].frozen {
                    self.deliver(&name, OwnerInput::Tick);
                }
            }
        }
    }

    fn thaw(&mut self, at: &str) {
        self.owner(at).frozen = false;
        while let Some(input) = self.owner(at).inbox.pop_front() {
            self.deliver(at, input);
        }
    }

    fn deliver(&mut self, at: &str, input: OwnerInput) {
        let now = self.now();
        let Some(scripted) = self.owners.get_mut(at) else { return };
        if scripted.frozen {
            scripted.inbox.push_back(input);
            return;
        }
        for action in scripted.owner.handle(now, input) {
            self.perform(at, action);
        }
        self.notify_watches();
    }

    fn perform(&mut self, at: &str, action: OwnerAction) {
        let line = match action {
            OwnerAction::Platform { call, request } => {
                self.platform_call(at, call, request);
                return;
            }
            OwnerAction::Reply { ticket, event, .. } => {
                format!("reply {ticket} {}", self.describe_event(&event))
            }
            OwnerAction::Job { job, turn } => {
                self.owner(at).jobs.push_back(job);
                format!(
                    "job {} turn={} attempt={} messages={} prompt={} max={}",
                    turn.program,
                    turn.turn,
                    turn.attempt,
                    turn.messages.len(),
                    turn.prompt_tokens,
                    turn.max_tokens
                )
            }
            OwnerAction::CancelJob { .. } => "cancel job".to_owned(),
            OwnerAction::Service { service, request } => {
                self.owner(at).services.push_back(service);
                format!("service {} key={}", request.service, request.call)
            }
            OwnerAction::Lookup { service, request } => {
                self.owner(at).services.push_back(service);
                format!("look up {} key={}", request.service, request.call)
            }
            OwnerAction::ReleaseProgram { program } => format!("release {program}"),
            OwnerAction::Poison(held) => {
                self.digests.insert("poison".to_owned(), held.digest.clone());
                format!("poison deaths={}", held.deaths)
            }
            OwnerAction::Deposed => "deposed".to_owned(),
            OwnerAction::Left => "left".to_owned(),
            OwnerAction::Slots(_) | OwnerAction::Event { .. } => return,
        };
        self.lines.push(format!("{at} {line}"));
    }

    fn platform_call(&mut self, at: &str, call: u64, request: PlatformRequest) {
        if matches!(request, PlatformRequest::Watch { .. }) && self.mode != PlatformMode::Down {
            self.watches.push((at.to_owned(), call, request));
            return;
        }
        let result = match self.mode {
            PlatformMode::Up => self.platform.call(&request),
            PlatformMode::Down => Err(PlatformError::Unavailable),
            PlatformMode::LoseReplies => {
                let _ = self.platform.call(&request);
                Err(PlatformError::Unknown)
            }
        };
        self.deliver(at, OwnerInput::Platform { call, result });
    }

    fn notify_watches(&mut self) {
        for (at, call, request) in std::mem::take(&mut self.watches) {
            match self.platform.call(&request) {
                Ok(PlatformReply::Changes { changes, revision }) if !changes.is_empty() => {
                    let result = Ok(PlatformReply::Changes { changes, revision });
                    self.deliver(&at, OwnerInput::Platform { call, result });
                }
                _ => self.watches.push((at, call, request)),
            }
        }
    }

    fn request(&self, kind: &str, program: &str, arg: &dyn Fn(&str) -> Option<String>) -> OwnerRequest {
        let workspace = arg("workspace").unwrap_or_else(|| WORKSPACE.to_owned());
        let flag = |name: &str, default: bool| arg(name).map_or(default, |text| text == "yes");
        let digest = self.digests.get(program).cloned().unwrap_or_else(|| Digest::EMPTY.to_string());
        let program = program.to_owned();
        match kind {
            "open" => OwnerRequest::Open(ForwardedOpen {
                program,
                workspace,
                body: OpenBody {
                    agent_program: "reader".to_owned(),
                    program: None,
                    budget_tokens: arg("budget").map(|text| text.parse().expect("a number")),
                    parent: arg("parent"),
                },
            }),
            "turn" => OwnerRequest::Turn(ForwardedTurn {
                program,
                workspace,
                body: TurnBody {
                    extends: Some(if arg("extends").as_deref() == Some("nothing") {
                        Digest::EMPTY.to_string()
                    } else {
                        digest
                    }),
                    max_tokens: arg("max").map(|text| text.parse().expect("a number")),
                    messages: vec![text_message(Role::User, &message_text(arg))],
                    stream: flag("stream", false),
                    temperature: None,
                    turn: None,
                },
            }),
            "call" => OwnerRequest::Call(ForwardedCall {
                program,
                workspace,
                body: CallBody {
                    call: Some(arg("id").expect("id=")),
                    service: arg("service").unwrap_or_else(|| "mail".to_owned()),
                    path: "/act".to_owned(),
                    body: serde_json::json!(arg("body")),
                    idempotent: flag("idempotent", false),
                    wait: flag("wait", true),
                    deadline_ms: arg("deadline_ms").map(|text| text.parse().expect("a number")),
                },
            }),
            "end" => OwnerRequest::End(ForwardedEnd { program, workspace, reason: "finished".to_owned() }),
            _ => OwnerRequest::State(ForwardedState { program, workspace }),
        }
    }

    fn describe_event(&mut self, event: &OwnerEvent) -> String {
        match event {
            OwnerEvent::Token(token) => format!("token {}", token.text),
            OwnerEvent::Opened(opened) => format!("opened {}/{}", opened.spent_tokens, opened.budget_tokens),
            OwnerEvent::Turned(answer) => {
                self.digests.insert(answer.program.clone(), answer.history.digest.clone());
                format!(
                    "turned {} {} spent={}{}",
                    answer.turn,
                    answer.message.content.as_ref().map(|text| text.to_string()).unwrap_or_default(),
                    answer.spent_tokens,
                    if answer.replayed { " replayed" } else { "" }
                )
            }
            OwnerEvent::Called(answer) => {
                format!("called {}{}", answer.state, if answer.replayed { " replayed" } else { "" })
            }
            OwnerEvent::Ended(state) => {
                format!("ended {}", state.ended_reason.clone().unwrap_or_default())
            }
            OwnerEvent::State(state) => format!(
                "state {} turn={} spent={} reserved={}",
                state.phase, state.history.turn, state.spent_tokens, state.reserved_tokens
            ),
            OwnerEvent::Problem(problem) => {
                let known = problem.known.as_ref().map(|known| format!(" known={}", known.turn));
                let retry = problem.retry_after_ms.map(|ms| format!(" retry={ms}"));
                format!(
                    "problem {} {} {}{}{}",
                    problem.status,
                    problem.code,
                    problem.ran,
                    known.unwrap_or_default(),
                    retry.unwrap_or_default()
                )
            }
        }
    }

    fn show_slots(&mut self) {
        for (key, (_, value)) in &self.platform.objects {
            let Some(slot) = key.strip_prefix("slot/") else { continue };
            let object: SlotObject = flamingostand::journal::decode(value).expect("a slot object");
            let sources: Vec<String> = object
                .sources
                .iter()
                .map(|source| match source.through {
                    Some(through) => format!("{}<={through}", source.incarnation),
                    None => source.incarnation.clone(),
                })
                .collect();
            let owner = object.owner.unwrap_or_default();
            self.lines.push(format!("{slot} owner={owner} epoch={} sources={sources:?}", object.epoch));
        }
    }
}

/// text of a message: that of `text=`, or `bytes=` letters.
fn message_text(arg: &dyn Fn(&str) -> Option<String>) -> String {
    match arg("bytes") {
        Some(bytes) => "x".repeat(bytes.parse().expect("a number")),
        None => arg("text").unwrap_or_default(),
    }
}

fn parse_mode(text: &str) -> PlatformMode {
    match text {
        "up" => PlatformMode::Up,
        "down" => PlatformMode::Down,
        _ => PlatformMode::LoseReplies,
    }
}

fn job_event(kind: &str, arg: &dyn Fn(&str) -> Option<String>, spent: u64, tokens: u64) -> JobEvent {
    let content = arg("text").unwrap_or_default();
    match kind {
        "token" => JobEvent::Token(Token { text: content }),
        "done" => JobEvent::Done(JobDone {
            text: content,
            finish_reason: "stop".to_owned(),
            tool_calls: Vec::new(),
            usage: Usage { prompt_tokens: 10, cached_tokens: 0, completion_tokens: tokens },
        }),
        _ => failed(arg("fault").expect("fault=").parse().expect("a fault"), spent),
    }
}

fn service_input(kind: &str, service: u64, outcome: &str) -> OwnerInput {
    let body = serde_json::json!("done");
    if kind == "found" {
        let outcome = match outcome {
            "yes" => LookupOutcome::Found { status: 200, body },
            "no" => LookupOutcome::NotFound,
            _ => LookupOutcome::Unavailable,
        };
        return OwnerInput::Lookup { service, outcome };
    }
    let outcome = match outcome {
        "done" => ServiceOutcome::Answered { status: 200, body },
        "not_sent" => ServiceOutcome::NotSent { detail: String::new() },
        _ => ServiceOutcome::Unknown { detail: String::new() },
    };
    OwnerInput::Service { service, outcome }
}
