use std::collections::BTreeMap;
use std::sync::Arc;

use flamingostand::clock::Now;
use flamingostand::config::Configuration;
use flamingostand::ids::Incarnation;
use flamingostand::journal;
use flamingostand::member::Member;
use flamingostand::member::MemberView;
use flamingostand::owner::Action;
use flamingostand::owner::Input;
use flamingostand::owner::LookUpOutcome;
use flamingostand::owner::Owner;
use flamingostand::owner::OwnerSettings;
use flamingostand::owner::ServiceOutcome;
use flamingostand::owner::ServiceRequest;
use flamingostand::platform::PlatformError;
use flamingostand::platform::PlatformReply;
use flamingostand::platform::PlatformRequest;
use flamingostand::platform::PlatformResult;
use flamingostand::schema::AgentProgramEntry;
use flamingostand::schema::CallState;
use flamingostand::schema::EntryBody;
use flamingostand::schema::JobEvent;
use flamingostand::schema::JobFault;
use flamingostand::schema::JournalEntry;
use flamingostand::schema::LimitSettings;
use flamingostand::schema::MemberHealth;
use flamingostand::schema::OwnerEvent;
use flamingostand::schema::Record;
use flamingostand::schema::ServiceEntry;
use flamingostand::schema::StateSettings;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::caller::Caller;
use super::caller::Next;
use super::caller::Step;
use super::caller::WORKSPACE;
use super::platform::PlatformFake;
use super::upstreams::Upstreams;
use super::upstreams::failed;

/// wall time at the start of virtual time.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// time between two ticks.
const TICK_MS: u64 = 20;

/// virtual time after which every caller must be done.
const LIMIT_MS: u64 = 240_000;

/// how often, and which, faults happen.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// share of platform calls whose reply is lost; half of them take effect, some of these late.
    pub lost_reply: f64,
    /// share of platform calls that are refused.
    pub refused: f64,
    /// share of jobs that fail.
    pub job: f64,
    /// share of service calls that fail.
    pub service: f64,
    /// share of requests that are sent twice.
    pub duplicate: f64,
    /// number of kills, pauses, outages, suspicions and leaves during the run.
    pub kills: u32,
    pub pauses: u32,
    pub outages: u32,
    pub suspicions: u32,
    pub leaves: u32,
    /// longest outage.
    pub outage_ms: u64,
    /// during which faults are started.
    pub active_ms: u64,
}

impl Faults {
    /// so many times the kills, pauses, outages, suspicions and leaves, and over a longer time.
    pub fn multiply(&mut self, times: u32) {
        self.kills *= times;
        self.pauses *= times;
        self.outages *= times;
        self.suspicions *= times;
        self.leaves *= times;
        self.active_ms *= u64::from(times);
    }
}

/// one run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub instances: usize,
    pub programs: usize,
    pub turns: usize,
    pub budget_tokens: u64,
    pub faults: Faults,
    /// journal settings.
    pub state: StateSettings,
}

/// what a run showed.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub turns: u64,
    pub calls_run: u64,
    pub platform_calls: BTreeMap<&'static str, u64>,
    pub ended_ms: u64,
    pub deposed: u32,
    pub stopped: BTreeMap<String, u32>,
}

enum Event {
    Tick { at: usize, start: u64 },
    Deliver { at: usize, start: u64, input: Box<Input> },
    Perform { at: usize, start: u64, action: Box<Action> },
    PlatformApply { at: usize, start: u64, call: u64, request: PlatformRequest, reply: bool },
    JobEnds { at: usize, start: u64, job: u64, event: JobEvent },
    ServiceArrives { at: usize, start: u64, service: u64, request: ServiceRequest, reply: bool },
    Send { caller: usize },
    Answer { ticket: u64, event: OwnerEvent, last: bool },
    GiveUp { caller: usize, ticket: u64 },
    Restart { at: usize },
    View { at: usize, start: u64 },
    Fault,
}

struct Instance {
    name: String,
    incarnation: Incarnation,
    owner: Option<Owner>,
    /// number of this start.
    start: u64,
    paused_until: u64,
    leaving: bool,
    /// when others believe it dead, per observer.
    suspected_until: Vec<u64>,
    down_since: Option<u64>,
}

/// a watch that waits.
struct Watcher {
    at: usize,
    start: u64,
    call: u64,
    request: PlatformRequest,
    until: u64,
}

/// the world.
pub struct World {
    plan: Plan,
    rng: StdRng,
    now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Event>,
    pub platform: PlatformFake,
    pub upstreams: Upstreams,
    instances: Vec<Instance>,
    pub callers: Vec<Caller>,
    tickets: BTreeMap<u64, (usize, usize)>,
    current: Vec<Option<u64>>,
    next_ticket: u64,
    starts: u64,
    outage_until: u64,
    watchers: Vec<Watcher>,
    running_jobs: BTreeMap<(u64, u64), ()>,
    /// committed turns by program and number: digest of the answer.
    committed: BTreeMap<(String, u32), String>,
    /// entries by key: a late repeat of a write may bring a deleted one back, with the same content.
    entries: BTreeMap<String, Vec<u8>>,
    /// committed attempt of each call.
    attempts: BTreeMap<String, u32>,
    /// keys of attempts that were committed as `not_run`.
    not_run: Vec<String>,
    pub report: Report,
    configuration: Arc<Configuration>,
    good: usize,
    /// whether events are printed.
    pub trace: bool,
}

impl World {
    pub fn new(plan: Plan) -> Self {
        let configuration = Arc::new(configuration(plan.budget_tokens));
        let mut world = Self {
            rng: StdRng::seed_from_u64(plan.seed),
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            platform: PlatformFake::default(),
            upstreams: Upstreams::default(),
            instances: Vec::new(),
            callers: Vec::new(),
            tickets: BTreeMap::new(),
            current: Vec::new(),
            next_ticket: 0,
            starts: 0,
            outage_until: 0,
            watchers: Vec::new(),
            running_jobs: BTreeMap::new(),
            committed: BTreeMap::new(),
            entries: BTreeMap::new(),
            attempts: BTreeMap::new(),
            not_run: Vec::new(),
            report: Report::default(),
            configuration,
            good: 0,
            trace: false,
            plan,
        };
        for index in 0..world.plan.instances {
            world.instances.push(Instance {
                name: format!("i{index}"),
                incarnation: Incarnation::from(""),
                owner: None,
                start: 0,
                paused_until: 0,
                leaving: false,
                suspected_until: vec![0; world.plan.instances],
                down_since: Some(0),
            });
        }
        for index in 0..world.plan.instances {
            world.start(index);
        }
        world.add_callers();
        world.plan_faults();
        world
    }

    /// runs until every caller is done, and checks everything.
    pub fn run(mut self) -> Result<Report, String> {
        self.run_callers()?;
        self.check_end()?;
        Ok(self.report)
    }

    /// runs until every caller is done.
    pub fn run_callers(&mut self) -> Result<(), String> {
        while self.callers.iter().any(|caller| !caller.is_done()) {
            if self.now > LIMIT_MS + self.plan.faults.outage_ms {
                return Err(self.stuck());
            }
            self.step()?;
        }
        // Recorded calls are retried until they are done.
        let until = self.now + 30_000;
        while self.now < until && self.open_alarm().is_some() {
            self.step()?;
        }
        Ok(())
    }

    fn stuck(&self) -> String {
        let callers = self.callers.iter().filter(|caller| !caller.is_done());
        let list: Vec<String> = callers
            .map(|caller| format!("{} at {:?}", caller.program, caller.steps.get(caller.at)))
            .collect();
        format!("callers are stuck: {}", list.join(", "))
    }

    fn add_callers(&mut self) {
        for index in 0..self.plan.programs {
            let program = format!("p{index}-{}", self.plan.seed);
            let caller = self.script(program.clone(), None);
            self.add_caller(caller, 400);
            if self.rng.random_bool(0.4) {
                let child = self.script(format!("{program}.chapter"), Some(program));
                self.add_caller(child, 900);
            }
        }
    }

    /// adds a caller that starts within `spread_ms`.
    pub fn add_caller(&mut self, caller: Caller, spread_ms: u64) {
        self.callers.push(caller);
        self.current.push(None);
        let at = self.now + self.rng.random_range(0..=spread_ms);
        self.push(at, Event::Send { caller: self.callers.len() - 1 });
    }

    fn script(&mut self, program: String, parent: Option<String>) -> Caller {
        let mut steps = vec![Step::Open];
        for _ in 0..self.plan.turns {
            let whole_list = self.rng.random_bool(0.3);
            let stream = self.rng.random_bool(0.5);
            steps.push(Step::Turn { whole_list, stream });
            if self.rng.random_bool(0.4) {
                let service = ["mail", "pay"][self.rng.random_range(0..2)];
                steps.push(Step::Call { service, idempotent: false, wait: self.rng.random_bool(0.8) });
            }
            if self.rng.random_bool(0.2) {
                steps.push(Step::Look);
            }
            if self.rng.random_bool(0.15) {
                steps.push(Step::Call {
                    service: "alarm",
                    idempotent: true,
                    wait: self.rng.random_bool(0.3),
                });
            }
        }
        if parent.is_none() {
            steps.push(Step::End);
        }
        Caller::new(program, parent, steps, self.rng.random_bool(0.5))
    }

    fn plan_faults(&mut self) {
        let faults = self.plan.faults.clone();
        let count = faults.kills + faults.pauses + faults.outages + faults.suspicions + faults.leaves;
        for _ in 0..count {
            let at = self.rng.random_range(500..500 + faults.active_ms.max(1));
            self.push(at, Event::Fault);
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    fn push_in(&mut self, after_ms: u64, event: Event) {
        self.push(self.now + after_ms, event);
    }

    fn step(&mut self) -> Result<(), String> {
        let Some(((at, _), event)) = self.queue.pop_first() else {
            return Err("nothing happens any more".to_owned());
        };
        self.now = at;
        if self.trace
            && let Event::Deliver { at, input, .. } = &event
            && matches!(**input, Input::Request { .. } | Input::Leave | Input::Cancel { .. })
        {
            println!("{} {}: < {}", self.now, self.instances[*at].incarnation, brief(input));
        }
        match event {
            Event::Tick { at, start } => {
                if self.instances[at].start == start && self.instances[at].owner.is_some() {
                    self.push_in(TICK_MS, Event::Tick { at, start });
                    self.deliver(at, start, Input::Tick)?;
                }
            }
            Event::Deliver { at, start, input } => self.deliver(at, start, *input)?,
            Event::Perform { at, start, action } => self.perform(at, start, *action)?,
            Event::PlatformApply { at, start, call, request, reply } => {
                self.apply(at, start, call, request, reply)?;
            }
            Event::JobEnds { at, start, job, event } => {
                if self.running_jobs.contains_key(&(start, job)) {
                    if !matches!(event, JobEvent::Token(_)) {
                        self.running_jobs.remove(&(start, job));
                    }
                    self.deliver(at, start, Input::Job { job, event })?;
                }
            }
            Event::ServiceArrives { at, start, service, request, reply } => {
                let outcome = self.upstreams.run(&request);
                if reply {
                    let input = Box::new(Input::Service { service, outcome });
                    self.push_in(2, Event::Deliver { at, start, input });
                }
            }
            Event::Send { caller } => self.send(caller)?,
            Event::Answer { ticket, event, last } => self.answer(ticket, &event, last)?,
            Event::GiveUp { caller, ticket } => {
                if self.current[caller] == Some(ticket) {
                    self.good += 1;
                    self.push_in(1, Event::Send { caller });
                }
            }
            Event::Restart { at } => self.start(at),
            Event::View { at, start } => {
                if self.instances[at].start == start && self.instances[at].owner.is_some() {
                    let view = self.view(at);
                    self.deliver(at, start, Input::Members(Arc::new(view)))?;
                }
            }
            Event::Fault => self.fault()?,
        }
        self.wake_watchers();
        Ok(())
    }

    fn now(&self) -> Now {
        Now { ms: self.now, unix_ms: START_UNIX_MS + self.now }
    }

    fn start(&mut self, at: usize) {
        self.starts += 1;
        let incarnation =
            Incarnation::from(format!("{:06}-{}", self.starts, self.instances[at].name).as_str());
        let settings = OwnerSettings {
            state: self.plan.state.clone(),
            limits: LimitSettings::default(),
            slot_count: 8,
            me: incarnation.clone(),
            name: self.instances[at].name.clone(),
        };
        let now = self.now();
        let instance = &mut self.instances[at];
        instance.owner = Some(Owner::new(settings, now));
        instance.incarnation = incarnation;
        instance.start = self.starts;
        instance.leaving = false;
        instance.paused_until = 0;
        instance.down_since = None;
        let start = self.starts;
        let configuration = Box::new(Input::Configuration(self.configuration.clone()));
        self.push_in(0, Event::Deliver { at, start, input: configuration });
        self.push_in(1, Event::Tick { at, start });
        self.spread_views(10, 200);
    }

    /// every instance gets its own view, some time within the bounds.
    fn spread_views(&mut self, from_ms: u64, to_ms: u64) {
        for at in 0..self.instances.len() {
            let after = self.rng.random_range(from_ms..=to_ms);
            let start = self.instances[at].start;
            self.push_in(after, Event::View { at, start });
        }
    }

    fn view(&self, observer: usize) -> MemberView {
        let mut members = Vec::new();
        for (index, instance) in self.instances.iter().enumerate() {
            if instance.start == 0 {
                continue;
            }
            let suspected = index != observer && instance.suspected_until[observer] > self.now;
            let down = instance.down_since.is_some_and(|since| self.now >= since + 300);
            let health = if suspected || down { MemberHealth::Dead } else { MemberHealth::Alive };
            let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7000 + index as u16));
            members.push(Member {
                name: instance.name.clone(),
                incarnation: instance.incarnation.clone(),
                health,
                leaving: instance.leaving,
                region: "r".to_owned(),
                zone: "z".to_owned(),
                mesh: address,
                callers: address,
                release_version: 1,
            });
        }
        MemberView { me: self.instances[observer].incarnation.clone(), members, changed_ms: self.now }
    }

    fn deliver(&mut self, at: usize, start: u64, input: Input) -> Result<(), String> {
        let now = self.now();
        let instance = &mut self.instances[at];
        if instance.start != start {
            return Ok(());
        }
        if instance.paused_until > self.now {
            // A paused process finds everything that arrived, later.
            if !matches!(input, Input::Tick) {
                let until = instance.paused_until;
                self.push(until, Event::Deliver { at, start, input: Box::new(input) });
            }
            return Ok(());
        }
        let Some(owner) = &mut instance.owner else { return Ok(()) };
        for action in owner.handle(now, input) {
            let after = self.rng.random_range(0..=1);
            self.push_in(after, Event::Perform { at, start, action: Box::new(action) });
        }
        Ok(())
    }

    fn perform(&mut self, at: usize, start: u64, action: Action) -> Result<(), String> {
        let instance = &self.instances[at];
        if instance.start != start {
            return Ok(());
        }
        if instance.paused_until > self.now {
            let until = instance.paused_until;
            self.push(until, Event::Perform { at, start, action: Box::new(action) });
            return Ok(());
        }
        if self.trace && !matches!(&action, Action::Platform { .. } | Action::Slots(_)) {
            println!("{} {}: {}", self.now, self.instances[at].incarnation, brief(&action));
        }
        match action {
            Action::Platform { call, request } => self.platform_call(at, start, call, request),
            Action::Reply { ticket, event, last } => self.push_in(1, Event::Answer { ticket, event, last }),
            Action::Job { job, turn } => {
                self.running_jobs.insert((start, job), ());
                let fault = if self.now < self.plan.faults.active_ms { self.plan.faults.job } else { 0.0 };
                for (after, event) in self.upstreams.generate(&turn, fault, &mut self.rng) {
                    self.push_in(after, Event::JobEnds { at, start, job, event });
                }
            }
            Action::CancelJob { job } => {
                let event = failed(JobFault::Cancelled, 0);
                self.push_in(80, Event::JobEnds { at, start, job, event });
            }
            Action::Service { service, request } => self.service_call(at, start, service, request),
            Action::LookUp { service, request } => {
                let lost = self.rng.random_bool(self.plan.faults.service / 2.0);
                let outcome =
                    if lost { LookUpOutcome::Unavailable } else { self.upstreams.look_up(&request.call) };
                let input = Box::new(Input::LookUp { service, outcome });
                self.push_in(3, Event::Deliver { at, start, input });
            }
            Action::Poison(held) => {
                for other in 0..self.instances.len() {
                    let start = self.instances[other].start;
                    if other != at {
                        let input = Box::new(Input::Poison(held.clone()));
                        self.push_in(5, Event::Deliver { at: other, start, input });
                    }
                }
            }
            Action::Deposed => {
                self.report.deposed += 1;
                self.kill(at, 50);
            }
            Action::Left => self.kill(at, 400),
            Action::Slots(_) | Action::Event { .. } | Action::Release { .. } => {}
        }
        Ok(())
    }

    fn platform_call(&mut self, at: usize, start: u64, call: u64, request: PlatformRequest) {
        let faults = self.plan.faults.clone();
        let active = self.now < faults.active_ms;
        if self.now < self.outage_until {
            let error =
                if self.rng.random_bool(0.5) { PlatformError::Unavailable } else { PlatformError::Unknown };
            let input = Box::new(Input::Platform { call, result: Err(error) });
            let after = self.rng.random_range(1..300);
            self.push_in(after, Event::Deliver { at, start, input });
            return;
        }
        if active && self.rng.random_bool(faults.refused) {
            let error = PlatformError::RateLimited { retry_after_ms: 30 };
            let input = Box::new(Input::Platform { call, result: Err(error) });
            self.push_in(2, Event::Deliver { at, start, input });
            return;
        }
        if active && self.rng.random_bool(faults.lost_reply) {
            let input = Box::new(Input::Platform { call, result: Err(PlatformError::Unknown) });
            let after = self.rng.random_range(5..400);
            self.push_in(after, Event::Deliver { at, start, input });
            if self.rng.random_bool(0.7) {
                let late = if self.rng.random_bool(0.3) { 4000 } else { 10 };
                let after = self.rng.random_range(1..late);
                self.push_in(after, Event::PlatformApply { at, start, call, request, reply: false });
            }
            return;
        }
        let after = self.rng.random_range(1..4);
        self.push_in(after, Event::PlatformApply { at, start, call, request, reply: true });
    }

    fn apply(
        &mut self,
        at: usize,
        start: u64,
        call: u64,
        request: PlatformRequest,
        reply: bool,
    ) -> Result<(), String> {
        if let PlatformRequest::Watch { wait_ms, .. } = &request {
            let until = self.now + wait_ms;
            *self.platform.calls.entry("watch").or_default() += 1;
            self.watchers.push(Watcher { at, start, call, request, until });
            return Ok(());
        }
        let result = self.platform.call(&request);
        if self.trace && !matches!(&request, PlatformRequest::List { .. }) {
            println!(
                "{} {}: apply {} {:?}",
                self.now,
                self.instances[at].incarnation,
                request.kind(),
                describe(&request)
            );
        }
        if let (PlatformRequest::Create { key, value }, Ok(PlatformReply::Written { .. })) =
            (&request, &result)
        {
            self.note_commit(key, value)?;
        }
        if reply {
            self.reply(at, start, call, result);
        }
        Ok(())
    }

    fn reply(&mut self, at: usize, start: u64, call: u64, result: PlatformResult) {
        let after = self.rng.random_range(1..3);
        let input = Box::new(Input::Platform { call, result });
        self.push_in(after, Event::Deliver { at, start, input });
    }

    /// the reference: a turn is committed once, by one owner.
    fn note_commit(&mut self, key: &str, value: &[u8]) -> Result<(), String> {
        if journal::parse_journal_key(key).is_none() {
            return Ok(());
        }
        let entry: JournalEntry = journal::decode(value).map_err(|error| error.to_string())?;
        if let Some(known) = self.entries.get(key) {
            // A paused reader may seal a journal that was deleted meanwhile, and a late write may come again.
            let harmless = known == value || matches!(entry.body, EntryBody::Seal(_));
            return if harmless { Ok(()) } else { Err(format!("{key} was written with two contents")) };
        }
        self.entries.insert(key.to_owned(), value.to_vec());
        let EntryBody::Batch(batch) = entry.body else { return Ok(()) };
        for record in batch.records {
            match &record {
                Record::Intended(intended) => {
                    self.attempts.insert(intended.call.clone(), intended.attempt);
                }
                Record::Resolved(resolved) if resolved.state == CallState::NotRun => {
                    let attempt = self.attempts.get(&resolved.call).copied().unwrap_or(1);
                    let suffix = if attempt > 1 { format!("#{attempt}") } else { String::new() };
                    self.not_run.push(format!("{}:{}{suffix}", resolved.program, resolved.call));
                }
                _ => {}
            }
            let Record::Turned(turned) = record else { continue };
            let answer = serde_json::to_string(&turned.answer).unwrap_or_default();
            if self.committed.insert((turned.program.clone(), turned.turn), answer).is_some() {
                return Err(format!("turn {} of {} was committed twice", turned.turn, turned.program));
            }
            self.report.turns += 1;
        }
        Ok(())
    }

    fn wake_watchers(&mut self) {
        let mut waiting = std::mem::take(&mut self.watchers);
        waiting.retain(|watcher| self.instances[watcher.at].start == watcher.start);
        for watcher in waiting {
            let PlatformRequest::Watch { prefix, after_revision, .. } = &watcher.request else { continue };
            let news = self.platform.revision > *after_revision
                && self
                    .platform
                    .log
                    .iter()
                    .rev()
                    .any(|change| change.version > *after_revision && change.key.starts_with(prefix));
            if !news && self.now < watcher.until {
                self.watchers.push(watcher);
                continue;
            }
            let result = self.platform.call(&watcher.request);
            self.reply(watcher.at, watcher.start, watcher.call, result);
        }
    }

    fn service_call(&mut self, at: usize, start: u64, service: u64, request: ServiceRequest) {
        let fault = if self.now < self.plan.faults.active_ms { self.plan.faults.service } else { 0.0 };
        let after = self.rng.random_range(1..30);
        if !self.rng.random_bool(fault) {
            self.push_in(after, Event::ServiceArrives { at, start, service, request, reply: true });
            return;
        }
        let (outcome, arrives) = match self.rng.random_range(0..4) {
            0 => (ServiceOutcome::NotSent { detail: String::new() }, None),
            1 => (
                ServiceOutcome::Answered { status: 503, body: serde_json::json!({ "ran": "not_run" }) },
                None,
            ),
            2 => (ServiceOutcome::Broken { detail: String::new() }, None),
            _ => (ServiceOutcome::Broken { detail: String::new() }, Some(self.rng.random_range(1..3000))),
        };
        if let Some(late) = arrives {
            self.push_in(late, Event::ServiceArrives { at, start, service, request, reply: false });
        }
        let input = Box::new(Input::Service { service, outcome });
        self.push_in(after, Event::Deliver { at, start, input });
    }

    fn kill(&mut self, at: usize, restart_ms: u64) {
        let instance = &mut self.instances[at];
        instance.owner = None;
        instance.start += 1_000_000;
        instance.down_since = Some(self.now);
        self.push_in(restart_ms, Event::Restart { at });
        self.spread_views(400, 1300);
    }

    fn fault(&mut self) -> Result<(), String> {
        let at = self.rng.random_range(0..self.instances.len());
        let faults = self.plan.faults.clone();
        let kinds = [faults.kills, faults.pauses, faults.outages, faults.suspicions, faults.leaves];
        let mut pick = self.rng.random_range(0..kinds.iter().sum::<u32>());
        let mut kind = 0;
        while pick >= kinds[kind] {
            pick -= kinds[kind];
            kind += 1;
        }
        if self.instances[at].owner.is_none() {
            return Ok(());
        }
        match kind {
            0 => {
                let restart = if self.rng.random_bool(0.5) { 50 } else { self.rng.random_range(500..4000) };
                self.kill(at, restart);
            }
            1 => {
                let length = self.rng.random_range(100..5000);
                self.instances[at].paused_until = self.now + length;
                self.suspect(at, 1000, length);
            }
            2 => self.outage_until = self.now + self.rng.random_range(200..=self.plan.faults.outage_ms),
            3 => self.suspect(at, 0, 3000),
            _ => {
                self.instances[at].leaving = true;
                let start = self.instances[at].start;
                self.push_in(0, Event::Deliver { at, start, input: Box::new(Input::Leave) });
                self.spread_views(5, 300);
            }
        }
        Ok(())
    }

    /// some other instances believe that one is dead, for a while.
    fn suspect(&mut self, at: usize, after_ms: u64, length_ms: u64) {
        for observer in 0..self.instances.len() {
            if observer != at && self.rng.random_bool(0.6) {
                self.instances[at].suspected_until[observer] = self.now + length_ms;
                let start = self.instances[observer].start;
                let after = after_ms + self.rng.random_range(0..300);
                self.push_in(after, Event::View { at: observer, start });
                self.push_in(length_ms + 200, Event::View { at: observer, start });
            }
        }
    }

    fn send(&mut self, index: usize) -> Result<(), String> {
        if self.callers[index].is_done() {
            return Ok(());
        }
        let request = self.callers[index].request();
        let copies = if self.rng.random_bool(self.plan.faults.duplicate) { 2 } else { 1 };
        for copy in 0..copies {
            self.next_ticket += 1;
            let ticket = self.next_ticket;
            self.tickets.insert(ticket, (index, self.callers[index].at));
            if copy == 0 {
                self.current[index] = Some(ticket);
            }
            let at = (self.good + copy) % self.instances.len();
            let start = self.instances[at].start;
            let input = Box::new(Input::Request { ticket, request: request.clone() });
            self.push_in(1, Event::Deliver { at, start, input });
            if self.rng.random_bool(self.plan.faults.duplicate / 2.0) {
                let after = self.rng.random_range(1..60);
                let input = Box::new(Input::Cancel { ticket });
                self.push_in(after, Event::Deliver { at, start, input });
            }
        }
        if let Some(ticket) = self.current[index] {
            let patience = self.rng.random_range(200..1500);
            self.push_in(patience, Event::GiveUp { caller: index, ticket });
        }
        Ok(())
    }

    fn answer(&mut self, ticket: u64, event: &OwnerEvent, last: bool) -> Result<(), String> {
        self.check_answer(event)?;
        let Some((index, step)) = self.tickets.get(&ticket).copied() else { return Ok(()) };
        if !last {
            return Ok(());
        }
        self.tickets.remove(&ticket);
        // A late answer to an earlier request is not taken for one to a later.
        if self.callers[index].at != step || self.callers[index].is_done() {
            return Ok(());
        }
        let duplicate = self.current[index] != Some(ticket);
        if duplicate && matches!(event, OwnerEvent::Problem(_)) {
            return Ok(());
        }
        match self.callers[index].answer(event)? {
            Next::Go => {
                self.callers[index].at += 1;
                self.current[index] = None;
                let pause = self.rng.random_range(1..50);
                self.push_in(pause, Event::Send { caller: index });
            }
            Next::Again => {
                if matches!(event, OwnerEvent::Problem(problem) if problem.status == 421) {
                    self.good += 1;
                }
                self.current[index] = None;
                let pause = self.rng.random_range(10..60);
                self.push_in(pause, Event::Send { caller: index });
            }
            Next::Stop => {
                let code = self.callers[index].stopped.clone().unwrap_or_default();
                *self.report.stopped.entry(code).or_default() += 1;
            }
        }
        Ok(())
    }

    /// no answer goes out before it is committed, and each names what was committed.
    fn check_answer(&self, event: &OwnerEvent) -> Result<(), String> {
        let OwnerEvent::Turned(answer) = event else { return Ok(()) };
        let committed = self.committed.get(&(answer.program.clone(), answer.turn));
        let released = serde_json::to_string(&answer.message).unwrap_or_default();
        if committed == Some(&released) {
            return Ok(());
        }
        Err(format!("turn {} of {} was answered but not committed so", answer.turn, answer.program))
    }

    fn open_alarm(&self) -> Option<&str> {
        let recorded = self.callers.iter().flat_map(|caller| &caller.recorded);
        recorded.map(String::as_str).find(|call| !self.upstreams.runs.contains_key(*call))
    }

    fn check_end(&mut self) -> Result<(), String> {
        self.report.ended_ms = self.now;
        self.report.platform_calls = self.platform.calls.clone();
        for (program, spent) in &self.upstreams.spent {
            if *spent > self.plan.budget_tokens {
                return Err(format!("{program} spent {spent} of {}", self.plan.budget_tokens));
            }
        }
        for caller in &self.callers {
            for (at, step) in caller.steps.iter().enumerate() {
                let Step::Call { idempotent, .. } = step else { continue };
                let call = format!("{}-c{at}", caller.program.replace('.', "_"));
                let runs = self.upstreams.runs.get(&call).copied().unwrap_or(0);
                self.report.calls_run += u64::from(runs);
                if !idempotent && runs > 1 {
                    return Err(format!("{call} ran {runs} times"));
                }
            }
        }
        if let Some(key) = self.not_run.iter().find(|key| self.upstreams.keys_run.contains(*key)) {
            return Err(format!("{key} ran though it was said not to"));
        }
        Ok(())
    }
}

fn describe(request: &PlatformRequest) -> String {
    match request {
        PlatformRequest::Create { key, value } | PlatformRequest::Update { key, value, .. } => {
            if key.starts_with("slot/") {
                let object: Result<flamingostand::schema::SlotObject, _> = journal::decode(value);
                return format!("{key} {object:?}");
            }
            let entry: Result<JournalEntry, _> = journal::decode(value);
            format!("{key} {}", brief(&entry))
        }
        PlatformRequest::Get { key } | PlatformRequest::Delete { key } => key.clone(),
        _ => String::new(),
    }
}

fn brief(action: &impl std::fmt::Debug) -> String {
    let mut text = format!("{action:?}");
    let end = text.char_indices().nth(400).map_or(text.len(), |(index, _)| index);
    text.truncate(end);
    text
}

pub fn configuration(budget_tokens: u64) -> Configuration {
    let mut configuration = Configuration { version: 1, ..Configuration::default() };
    let entry = AgentProgramEntry {
        id: "reader".to_owned(),
        workspace: WORKSPACE.to_owned(),
        model: "m".to_owned(),
        budget_tokens,
        max_turns: 430,
        deadline_ms: 86_400_000,
        system_prompt: None,
    };
    configuration.agent_programs.insert((WORKSPACE.to_owned(), "reader".to_owned()), Arc::new(entry));
    for (id, finds_by_key) in [("mail", false), ("pay", true), ("alarm", false)] {
        let entry =
            ServiceEntry { id: id.to_owned(), checks_fencing: false, finds_by_key, timeout_ms: 30_000 };
        configuration.services.insert(id.to_owned(), Arc::new(entry));
    }
    configuration
}

impl Plan {
    /// a run whose size and faults follow from the seed.
    pub fn seeded(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
        let state = StateSettings {
            max_entry_bytes: [2048, 786_432][rng.random_range(0..2)],
            compact_entries: [20, 2000][rng.random_range(0..2)],
            sweep_ms: [400, 60_000][rng.random_range(0..2)],
            allowance_tokens: [0, 64, 4096][rng.random_range(0..3)],
            ..StateSettings::default()
        };
        Self {
            seed,
            instances: rng.random_range(2..=4),
            programs: rng.random_range(1..=4),
            turns: rng.random_range(2..=6),
            budget_tokens: [600, 3000, 1_000_000][rng.random_range(0..3)],
            faults: Faults {
                lost_reply: [0.0, 0.03, 0.15][rng.random_range(0..3)],
                refused: [0.0, 0.05][rng.random_range(0..2)],
                job: [0.0, 0.1, 0.4][rng.random_range(0..3)],
                service: [0.0, 0.2, 0.5][rng.random_range(0..3)],
                duplicate: [0.0, 0.2, 0.5][rng.random_range(0..3)],
                kills: rng.random_range(0..4),
                pauses: rng.random_range(0..4),
                outages: rng.random_range(0..2),
                suspicions: rng.random_range(0..3),
                leaves: rng.random_range(0..3),
                outage_ms: 8000,
                active_ms: 6000,
            },
            state,
        }
    }
}
