use std::collections::BTreeMap;
use std::sync::Arc;

use flamingostand::clock::Now;
use flamingostand::config::Configuration;
use flamingostand::ids::Incarnation;
use flamingostand::member::Member;
use flamingostand::member::MemberView;
use flamingostand::owner::LookupOutcome;
use flamingostand::owner::Owner;
use flamingostand::owner::OwnerAction;
use flamingostand::owner::OwnerInput;
use flamingostand::owner::OwnerSettings;
use flamingostand::owner::ServiceRequest;
use flamingostand::platform::PlatformRequest;
use flamingostand::schema::JobEvent;
use flamingostand::schema::JobFault;
use flamingostand::schema::LimitSettings;
use flamingostand::schema::MemberHealth;
use flamingostand::schema::OwnerEvent;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::caller::Caller;
use super::caller::Next;
use super::caller::Step;
use super::plan::Plan;
use super::plan::Report;
use super::plan::configuration;
use super::platform::FakePlatform;
use super::trace::brief;
use super::upstreams::Upstreams;
use super::upstreams::failed;

/// wall-clock time at the start of virtual time.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// time between two ticks of an owner.
const TICK_MS: u64 = 20;

/// virtual time, extended by the longest outage, by which every caller must be done.
const MAX_RUN_MS: u64 = 240_000;

pub(super) enum Event {
    Tick { at: usize, start: u64 },
    Deliver { at: usize, start: u64, input: Box<OwnerInput> },
    Perform { at: usize, start: u64, action: Box<OwnerAction> },
    PlatformApply { at: usize, start: u64, call: u64, request: PlatformRequest, reply: bool },
    JobEnds { at: usize, start: u64, job: u64, event: JobEvent },
    ServiceArrives { at: usize, start: u64, service: u64, request: ServiceRequest, reply: bool },
    Send { caller: usize },
    Answer { ticket: u64, event: OwnerEvent, last: bool },
    CallerTimeout { caller: usize, ticket: u64 },
    Restart { at: usize },
    View { at: usize, start: u64 },
    Fault,
}

pub(super) struct Instance {
    pub(super) name: String,
    pub(super) incarnation: Incarnation,
    pub(super) owner: Option<Owner>,
    /// number of this start; events for an earlier start are dropped.
    pub(super) start: u64,
    pub(super) paused_until: u64,
    pub(super) leaving: bool,
    /// until when each observer believes that it is dead.
    pub(super) suspected_until: Vec<u64>,
    pub(super) down_since: Option<u64>,
}

/// a pending watch of the platform.
pub(super) struct Watcher {
    pub(super) at: usize,
    pub(super) start: u64,
    pub(super) call: u64,
    pub(super) request: PlatformRequest,
    pub(super) until: u64,
}

/// state of a simulation.
pub struct Simulation {
    pub(super) plan: Plan,
    pub(super) rng: StdRng,
    pub(super) now: u64,
    pub(super) sequence: u64,
    pub(super) queue: BTreeMap<(u64, u64), Event>,
    pub platform: FakePlatform,
    pub upstreams: Upstreams,
    pub(super) instances: Vec<Instance>,
    pub callers: Vec<Caller>,
    pub(super) tickets: BTreeMap<u64, (usize, usize)>,
    pub(super) current_tickets: Vec<Option<u64>>,
    pub(super) next_ticket: u64,
    pub(super) starts: u64,
    pub(super) outage_until: u64,
    pub(super) watchers: Vec<Watcher>,
    pub(super) running_jobs: BTreeMap<(u64, u64), ()>,
    /// JSON of the answer of each committed turn, by program and number.
    pub(super) committed: BTreeMap<(String, u32), String>,
    /// journal entries by key; a delayed write may restore a deleted entry, with the same content.
    pub(super) entries: BTreeMap<String, Vec<u8>>,
    /// number of the last committed attempt of each call.
    pub(super) attempts: BTreeMap<String, u32>,
    /// idempotency keys of attempts that were committed as `not_run`.
    pub(super) not_run: Vec<String>,
    pub report: Report,
    pub(super) configuration: Arc<Configuration>,
    /// instance that callers send to, modulo the number of instances.
    pub(super) preferred: usize,
    /// whether to print events.
    pub trace: bool,
}

impl Simulation {
    pub fn new(plan: Plan) -> Self {
        let configuration = Arc::new(configuration(plan.budget_tokens));
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(plan.seed),
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            platform: FakePlatform::default(),
            upstreams: Upstreams::default(),
            instances: Vec::new(),
            callers: Vec::new(),
            tickets: BTreeMap::new(),
            current_tickets: Vec::new(),
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
            preferred: 0,
            trace: false,
            plan,
        };
        for index in 0..simulation.plan.instances {
            simulation.instances.push(Instance {
                name: format!("i{index}"),
                incarnation: Incarnation::from(""),
                owner: None,
                start: 0,
                paused_until: 0,
                leaving: false,
                suspected_until: vec![0; simulation.plan.instances],
                down_since: Some(0),
            });
        }
        for index in 0..simulation.plan.instances {
            simulation.start(index);
        }
        simulation.add_callers();
        simulation.schedule_faults();
        simulation
    }

    /// runs until every caller is done, and checks the result.
    pub fn run(mut self) -> Result<Report, String> {
        self.run_callers()?;
        self.check_end()?;
        Ok(self.report)
    }

    /// runs until every caller is done.
    pub fn run_callers(&mut self) -> Result<(), String> {
        while self.callers.iter().any(|caller| !caller.is_done()) {
            if self.now > MAX_RUN_MS + self.plan.faults.outage_ms {
                return Err(self.stuck());
            }
            self.step()?;
        }
        // Owners retry recorded calls after their callers are done.
        let until = self.now + 30_000;
        while self.now < until && self.missing_call().is_some() {
            self.step()?;
        }
        Ok(())
    }

    fn stuck(&self) -> String {
        let callers = self.callers.iter().filter(|caller| !caller.is_done());
        let list: Vec<String> = callers
            .map(|caller| format!("{} at {:?}", caller.program, caller.steps.get(caller.step_index)))
            .collect();
        format!("callers are stuck: {}", list.join(", "))
    }

    fn add_callers(&mut self) {
        for index in 0..self.plan.programs {
            let program = format!("p{index}-{}", self.plan.seed);
            let caller = self.caller_script(program.clone(), None);
            self.add_caller(caller, 400);
            if self.rng.random_bool(0.4) {
                let child = self.caller_script(format!("{program}.chapter"), Some(program));
                self.add_caller(child, 900);
            }
        }
    }

    /// adds a caller that starts within `spread_ms`.
    pub fn add_caller(&mut self, caller: Caller, spread_ms: u64) {
        self.callers.push(caller);
        self.current_tickets.push(None);
        let at = self.now + self.rng.random_range(0..=spread_ms);
        self.push(at, Event::Send { caller: self.callers.len() - 1 });
    }

    fn caller_script(&mut self, program: String, parent: Option<String>) -> Caller {
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
                steps.push(Step::ReadState);
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

    fn schedule_faults(&mut self) {
        let faults = self.plan.faults.clone();
        let count = faults.kills + faults.pauses + faults.outages + faults.suspicions + faults.leaves;
        for _ in 0..count {
            let at = self.rng.random_range(500..500 + faults.active_ms.max(1));
            self.push(at, Event::Fault);
        }
    }

    pub(super) fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    pub(super) fn push_in(&mut self, after_ms: u64, event: Event) {
        self.push(self.now + after_ms, event);
    }

    fn step(&mut self) -> Result<(), String> {
        let Some(((at, _), event)) = self.queue.pop_first() else {
            return Err("no event is left although callers wait".to_owned());
        };
        self.now = at;
        if self.trace
            && let Event::Deliver { at, input, .. } = &event
            && matches!(**input, OwnerInput::Request { .. } | OwnerInput::Leave | OwnerInput::Cancel { .. })
        {
            println!("{} {}: < {}", self.now, self.instances[*at].incarnation, brief(input));
        }
        match event {
            Event::Tick { at, start } => {
                if self.instances[at].start == start && self.instances[at].owner.is_some() {
                    self.push_in(TICK_MS, Event::Tick { at, start });
                    self.deliver(at, start, OwnerInput::Tick)?;
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
                    self.deliver(at, start, OwnerInput::Job { job, event })?;
                }
            }
            Event::ServiceArrives { at, start, service, request, reply } => {
                let outcome = self.upstreams.run(&request);
                if reply {
                    let input = Box::new(OwnerInput::Service { service, outcome });
                    self.push_in(2, Event::Deliver { at, start, input });
                }
            }
            Event::Send { caller } => self.send(caller)?,
            Event::Answer { ticket, event, last } => self.answer(ticket, &event, last)?,
            Event::CallerTimeout { caller, ticket } => {
                if self.current_tickets[caller] == Some(ticket) {
                    self.preferred += 1;
                    self.push_in(1, Event::Send { caller });
                }
            }
            Event::Restart { at } => self.start(at),
            Event::View { at, start } => {
                if self.instances[at].start == start && self.instances[at].owner.is_some() {
                    let view = self.view(at);
                    self.deliver(at, start, OwnerInput::Members(Arc::new(view)))?;
                }
            }
            Event::Fault => self.fault()?,
        }
        self.wake_watchers();
        Ok(())
    }

    pub(super) fn now(&self) -> Now {
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
        let configuration = Box::new(OwnerInput::Configuration(self.configuration.clone()));
        self.push_in(0, Event::Deliver { at, start, input: configuration });
        self.push_in(1, Event::Tick { at, start });
        self.schedule_views(10, 200);
    }

    /// delivers a member view to every instance, each after a random delay within the bounds.
    fn schedule_views(&mut self, from_ms: u64, to_ms: u64) {
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
        MemberView {
            own_incarnation: self.instances[observer].incarnation.clone(),
            members,
            changed_ms: self.now,
        }
    }

    fn deliver(&mut self, at: usize, start: u64, input: OwnerInput) -> Result<(), String> {
        let now = self.now();
        let instance = &mut self.instances[at];
        if instance.start != start {
            return Ok(());
        }
        if instance.paused_until > self.now {
            // A paused process handles everything that arrived, once it resumes.
            if !matches!(input, OwnerInput::Tick) {
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

    fn perform(&mut self, at: usize, start: u64, action: OwnerAction) -> Result<(), String> {
        let instance = &self.instances[at];
        if instance.start != start {
            return Ok(());
        }
        if instance.paused_until > self.now {
            let until = instance.paused_until;
            self.push(until, Event::Perform { at, start, action: Box::new(action) });
            return Ok(());
        }
        if self.trace && !matches!(&action, OwnerAction::Platform { .. } | OwnerAction::Slots(_)) {
            println!("{} {}: {}", self.now, self.instances[at].incarnation, brief(&action));
        }
        match action {
            OwnerAction::Platform { call, request } => self.platform_call(at, start, call, request),
            OwnerAction::Reply { ticket, event, last } => {
                self.push_in(1, Event::Answer { ticket, event, last })
            }
            OwnerAction::Job { job, turn } => {
                self.running_jobs.insert((start, job), ());
                let fault = if self.now < self.plan.faults.active_ms { self.plan.faults.job } else { 0.0 };
                for (after, event) in self.upstreams.generate(&turn, fault, &mut self.rng) {
                    self.push_in(after, Event::JobEnds { at, start, job, event });
                }
            }
            OwnerAction::CancelJob { job } => {
                let event = failed(JobFault::Cancelled, 0);
                self.push_in(80, Event::JobEnds { at, start, job, event });
            }
            OwnerAction::Service { service, request } => self.service_call(at, start, service, request),
            OwnerAction::Lookup { service, request } => {
                let lost = self.rng.random_bool(self.plan.faults.service / 2.0);
                let outcome =
                    if lost { LookupOutcome::Unavailable } else { self.upstreams.look_up(&request.call) };
                let input = Box::new(OwnerInput::Lookup { service, outcome });
                self.push_in(3, Event::Deliver { at, start, input });
            }
            OwnerAction::Poison(held) => {
                for other in 0..self.instances.len() {
                    let start = self.instances[other].start;
                    if other != at {
                        let input = Box::new(OwnerInput::Poison(held.clone()));
                        self.push_in(5, Event::Deliver { at: other, start, input });
                    }
                }
            }
            OwnerAction::Deposed => {
                self.report.deposed += 1;
                self.kill(at, 50);
            }
            OwnerAction::Left => self.kill(at, 400),
            OwnerAction::Slots(_) | OwnerAction::Event { .. } | OwnerAction::ReleaseProgram { .. } => {}
        }
        Ok(())
    }

    fn kill(&mut self, at: usize, restart_ms: u64) {
        let instance = &mut self.instances[at];
        instance.owner = None;
        instance.start += 1_000_000;
        instance.down_since = Some(self.now);
        self.push_in(restart_ms, Event::Restart { at });
        self.schedule_views(400, 1300);
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
                self.push_in(0, Event::Deliver { at, start, input: Box::new(OwnerInput::Leave) });
                self.schedule_views(5, 300);
            }
        }
        Ok(())
    }

    /// makes some other instances believe for a while that one is dead.
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
            self.tickets.insert(ticket, (index, self.callers[index].step_index));
            if copy == 0 {
                self.current_tickets[index] = Some(ticket);
            }
            let at = (self.preferred + copy) % self.instances.len();
            let start = self.instances[at].start;
            let input = Box::new(OwnerInput::Request { ticket, request: request.clone() });
            self.push_in(1, Event::Deliver { at, start, input });
            if self.rng.random_bool(self.plan.faults.duplicate / 2.0) {
                let after = self.rng.random_range(1..60);
                let input = Box::new(OwnerInput::Cancel { ticket });
                self.push_in(after, Event::Deliver { at, start, input });
            }
        }
        if let Some(ticket) = self.current_tickets[index] {
            let timeout_ms = self.rng.random_range(200..1500);
            self.push_in(timeout_ms, Event::CallerTimeout { caller: index, ticket });
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
        // A late answer to an earlier step is ignored.
        if self.callers[index].step_index != step || self.callers[index].is_done() {
            return Ok(());
        }
        let duplicate = self.current_tickets[index] != Some(ticket);
        if duplicate && matches!(event, OwnerEvent::Problem(_)) {
            return Ok(());
        }
        match self.callers[index].answer(event)? {
            Next::Advance => {
                self.callers[index].step_index += 1;
                self.current_tickets[index] = None;
                let pause = self.rng.random_range(1..50);
                self.push_in(pause, Event::Send { caller: index });
            }
            Next::Retry => {
                if matches!(event, OwnerEvent::Problem(problem) if problem.status == 421) {
                    self.preferred += 1;
                }
                self.current_tickets[index] = None;
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
}
