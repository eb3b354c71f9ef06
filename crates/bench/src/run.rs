//! one run of a workload under one policy, in virtual time.

use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use flamingostand::dispatch::Boundary;
use flamingostand::dispatch::DispatchAction;
use flamingostand::dispatch::DispatchInput;
use flamingostand::dispatch::LoadReading;
use flamingostand::dispatch::RetryPlan;
use flamingostand::dispatch::RouterInput;
use flamingostand::dispatch::SplitMix;
use flamingostand::schema::JobDone;
use flamingostand::schema::JobEvent;
use flamingostand::schema::JobFailed;
use flamingostand::schema::JobFault;
use flamingostand::schema::Token;
use flamingostand::schema::TurnJob;
use flamingostand::schema::Usage;

use crate::control::Control;
use crate::control::MODEL;
use crate::control::replica_name;
use crate::engine::Engine;
use crate::engine::EngineEvent;
use crate::engine::EngineRequest;
use crate::event::Event;
use crate::event::Timed;
use crate::fault::CACHE_EVENTS_STOP_US;
use crate::fault::FAULT_AT_US;
use crate::fault::FAULT_US;
use crate::fault::Fault;
use crate::fault::LIST_LAG_US;
use crate::fault::TAKEOVER_US;
use crate::outcome::Outcome;
use crate::outcome::ProgramOutcome;
use crate::outcome::TurnOutcome;
use crate::policy::Policy;
use crate::prefix_cache::CacheChange;
use crate::workload::ProgramShape;
use crate::workload::ThreadShape;
use crate::workload::Workload;

/// one way between owner, dispatcher and engine.
const HOP_US: u64 = 1_500;

/// time between two ticks of a dispatcher.
const TICK_US: u64 = 20_000;

/// time between two publications of load and cache events.
const PUBLISH_US: u64 = 500_000;

/// one in this many cache events is lost.
const LOST_EVENT: usize = 50;

/// time between two samples of what waits.
const SAMPLE_US: u64 = 1_000_000;

/// how long a caller comes back with a refused turn.
const PATIENCE_US: u64 = 180_000_000;

/// longest pause of a caller between two tries.
const MAX_RETRY_PAUSE_US: u64 = 30_000_000;

/// one run's inputs.
#[derive(Clone, Copy, Debug)]
pub struct RunPlan {
    /// policy.
    pub policy: Policy,
    /// seed of the arrivals.
    pub seed: u64,
    /// programs a second over all customers.
    pub rate: f64,
    /// when arrivals stop.
    pub arrivals_end_us: u64,
    /// when the run is cut off.
    pub end_us: u64,
    /// whether only small customers run.
    pub only_small: bool,
    /// fault.
    pub fault: Option<Fault>,
}

/// a chain of turns under way.
#[derive(Debug)]
struct Thread {
    shape: Arc<ThreadShape>,
    program: usize,
    parent: Option<usize>,
    name: String,
    next_turn: usize,
    open_children: usize,
    own_pause_us: u64,
    chain: Vec<Boundary>,
}

/// a program under way.
#[derive(Debug)]
struct Program {
    workspace: usize,
    arrived_us: u64,
    service_tokens: u64,
    root: u64,
    gave_up: bool,
}

/// a turn under way.
#[derive(Debug)]
struct Turn {
    thread: usize,
    submitted_us: u64,
    first_token_us: Option<u64>,
    attempt: u32,
    replica: Option<usize>,
    instance: usize,
    excluded: Vec<String>,
    reusable_tokens: u64,
    believed_tokens: u64,
}

/// the state of a run.
pub struct Run<'a> {
    workload: &'a Workload,
    plan: RunPlan,
    shapes: Vec<ProgramShape>,
    control: Control,
    engines: Vec<Engine>,
    inside: Vec<u32>,
    programs: HashMap<usize, Program>,
    threads: HashMap<usize, Thread>,
    turns: HashMap<u64, Turn>,
    computed: HashSet<u64>,
    queue: BinaryHeap<Timed>,
    outcome: Outcome,
    random: SplitMix,
    now_us: u64,
    next_number: u64,
    next_thread: usize,
    next_ticket: u64,
    events_lost_until_us: u64,
}

impl<'a> Run<'a> {
    /// runs a plan to its end.
    pub fn run(workload: &'a Workload, plan: RunPlan) -> Outcome {
        let shapes = workload.draw(plan.seed, plan.rate, plan.arrivals_end_us, plan.only_small);
        let mut run = Self {
            workload,
            plan,
            shapes,
            control: Control::new(workload, plan.policy),
            engines: (0..workload.replica_count).map(|_| Engine::new(workload.engine)).collect(),
            inside: vec![0; workload.replica_count],
            programs: HashMap::new(),
            threads: HashMap::new(),
            turns: HashMap::new(),
            computed: HashSet::new(),
            queue: BinaryHeap::new(),
            outcome: Outcome::default(),
            random: SplitMix::new(plan.seed),
            now_us: 0,
            next_number: 0,
            next_thread: 0,
            next_ticket: 0,
            events_lost_until_us: 0,
        };
        run.begin();
        run.play();
        run.outcome.unfinished = run.programs.len() as u64;
        run.outcome
    }

    fn begin(&mut self) {
        for index in 0..self.shapes.len() {
            self.at(self.shapes[index].arrival_us, Event::Arrive(index));
        }
        self.at(TICK_US, Event::Tick);
        self.at(PUBLISH_US, Event::Publish);
        self.at(SAMPLE_US, Event::Sample);
        if self.plan.fault.is_some() {
            self.at(FAULT_AT_US, Event::FaultBegins);
        }
    }

    fn play(&mut self) {
        while let Some(timed) = self.queue.pop() {
            let over = self.programs.is_empty() && timed.at_us > self.plan.arrivals_end_us;
            if timed.at_us > self.plan.end_us || over {
                return;
            }
            self.now_us = timed.at_us;
            self.handle(timed.event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::NextTurn(thread) => self.next_turn(thread),
            Event::Resubmit(ticket) => self.submit(ticket),
            Event::Submit { instance, ticket, job } => self.reach_dispatcher(instance, ticket, job),
            Event::Request { replica, request } => self.reach_engine(replica, request),
            Event::Step { replica, start_number } => self.end_step(replica, start_number),
            Event::Progress { ticket, event } => self.progress(ticket, event),
            Event::Owner { ticket, event } => self.owner(ticket, event),
            Event::Loads(loads) => {
                let now_ms = self.now_ms();
                for router in &mut self.control.routers {
                    router.handle(now_ms, RouterInput::Loads(loads.clone()));
                }
            }
            Event::Reading { replica, running, waiting } => {
                let reading = LoadReading { running, waiting, age_ms: PUBLISH_US / 1_000 };
                let input = DispatchInput::Load { replica: replica_name(replica), reading };
                self.dispatch(self.control.serves[replica], input);
            }
            Event::Tick => self.tick(),
            Event::Publish => self.publish(),
            Event::FaultBegins => self.fault_begins(),
            Event::FaultEnds => self.fault_ends(),
            Event::List => self.list(),
            Event::Takeover => self.takeover(),
            Event::Sample => self.sample(),
        }
    }

    fn arrive(&mut self, index: usize) {
        let shape = &self.shapes[index];
        let program = Program {
            workspace: shape.workspace,
            arrived_us: self.now_us,
            service_tokens: 0,
            root: mix(self.plan.seed, index as u64),
            gave_up: false,
        };
        self.programs.insert(index, program);
        let root = Arc::clone(&self.shapes[index].root);
        self.begin_thread(index, None, root, Vec::new());
    }

    fn begin_thread(
        &mut self,
        program: usize,
        parent: Option<usize>,
        shape: Arc<ThreadShape>,
        mut chain: Vec<Boundary>,
    ) {
        let number = self.next_thread;
        self.next_thread += 1;
        if !shape.inherits {
            chain.push(Boundary { digest: shape.system_digest, tokens: shape.system_tokens });
        }
        let name = format!("t{number}");
        let instance = self.instance(program);
        for boundary in &chain {
            self.control.note_boundary(self.now_us / 1_000, instance, &name, *boundary);
        }
        let thread =
            Thread { shape, program, parent, name, next_turn: 0, open_children: 0, own_pause_us: 0, chain };
        self.threads.insert(number, thread);
        self.next_turn(number);
    }

    fn next_turn(&mut self, number: usize) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let Some(thread) = self.threads.get_mut(&number) else { return };
        let last = thread.chain.last().copied().unwrap_or_default();
        let tokens = last.tokens + thread.shape.turns[thread.next_turn].new_tokens;
        let boundary = Boundary { digest: mix(last.digest, number as u64), tokens };
        thread.chain.push(boundary);
        let known = thread.chain.iter().rev().find(|boundary| self.computed.contains(&boundary.digest));
        let reusable_tokens = known.map_or(0, |boundary| boundary.tokens);
        let program = thread.program;
        let name = thread.name.clone();
        let instance = self.instance(program);
        self.control.note_boundary(self.now_us / 1_000, instance, &name, boundary);
        let turn = Turn {
            thread: number,
            submitted_us: self.now_us,
            first_token_us: None,
            attempt: 1,
            replica: None,
            instance,
            excluded: Vec::new(),
            reusable_tokens,
            believed_tokens: 0,
        };
        self.turns.insert(ticket, turn);
        self.submit(ticket);
    }

    fn submit(&mut self, ticket: u64) {
        let now_ms = self.now_ms();
        let Some(turn) = self.turns.get_mut(&ticket) else { return };
        let thread = &self.threads[&turn.thread];
        let program = &self.programs[&thread.program];
        let mut job = job(self.workload, thread, program, turn);
        let instance = turn.instance;
        if turn.attempt == 1 {
            self.outcome.first_attempts += 1;
            self.control.budgets[instance].first_attempt();
        } else {
            self.outcome.retries += 1;
        }
        let choice = self.control.choose(now_ms, instance, &job, program.root, &turn.excluded, &self.inside);
        let Some(choice) = choice else {
            self.fail(ticket, JobFault::NotSent, "no replica", 0);
            return;
        };
        let replica = self.control.replica(&choice.replica);
        turn.replica = Some(replica);
        turn.first_token_us = None;
        turn.believed_tokens = choice.cached_tokens;
        job.replica = choice.replica;
        job.cached_tokens = choice.cached_tokens;
        if self.control.policy == Policy::Ours {
            let instance = self.control.serves[replica];
            self.after(HOP_US, Event::Submit { instance, ticket, job: Box::new(job) });
            return;
        }
        self.inside[replica] += 1;
        self.send(ticket);
    }

    fn reach_dispatcher(&mut self, instance: usize, ticket: u64, job: Box<TurnJob>) {
        if self.control.dispatchers[instance].is_none() {
            self.fail(ticket, JobFault::Refused, "the instance is gone", 0);
            return;
        }
        self.dispatch(instance, DispatchInput::Submit { ticket, job });
    }

    fn dispatch(&mut self, instance: usize, input: DispatchInput) {
        let now_ms = self.now_ms();
        let Some(dispatcher) = &mut self.control.dispatchers[instance] else { return };
        let actions = dispatcher.handle(now_ms, input);
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Start { ticket, .. } => self.send(ticket),
                DispatchAction::Abort { .. } => {}
                DispatchAction::Event { ticket, event: JobEvent::Token(_) } => self.first_token(ticket),
                DispatchAction::Event { ticket, event } => self.after(HOP_US, Event::Owner { ticket, event }),
                DispatchAction::Loads(loads) => self.after(HOP_US, Event::Loads(loads)),
            }
        }
    }

    fn send(&mut self, ticket: u64) {
        let Some(turn) = self.turns.get(&ticket) else { return };
        let thread = &self.threads[&turn.thread];
        let last = thread.chain.last().copied().unwrap_or_default();
        let tokens = last.tokens + thread.shape.turns[thread.next_turn].completion_tokens;
        let answer = Boundary { digest: mix(last.digest, !turn_number(thread)), tokens };
        let request = EngineRequest { ticket, chain: Arc::new(thread.chain.clone()), answer };
        let replica = turn.replica.unwrap_or_default();
        self.after(HOP_US, Event::Request { replica, request });
    }

    fn reach_engine(&mut self, replica: usize, request: EngineRequest) {
        if self.engines[replica].dead {
            self.engine_failed(request.ticket, JobFault::NotSent);
            return;
        }
        self.engines[replica].push(request);
        self.begin_step(replica);
    }

    fn begin_step(&mut self, replica: usize) {
        let engine = &mut self.engines[replica];
        if engine.stepping || engine.dead {
            return;
        }
        let Some(step_ms) = engine.begin_step() else { return };
        let start_number = engine.start_number;
        self.after((step_ms * 1_000.0) as u64, Event::Step { replica, start_number });
    }

    fn end_step(&mut self, replica: usize, start_number: u64) {
        if self.engines[replica].start_number != start_number {
            return;
        }
        let mut events = Vec::new();
        self.engines[replica].end_step(&mut events);
        for event in events {
            match event {
                EngineEvent::Token { ticket } => {
                    let event = JobEvent::Token(Token { text: String::new() });
                    self.progress(ticket, event);
                }
                EngineEvent::Done { ticket, cached_tokens } => self.engine_done(ticket, cached_tokens),
            }
        }
        self.begin_step(replica);
    }

    fn engine_done(&mut self, ticket: u64, cached_tokens: u64) {
        let Some(turn) = self.turns.get(&ticket) else { return };
        let thread = &self.threads[&turn.thread];
        let usage = Usage {
            prompt_tokens: thread.chain.last().map_or(0, |boundary| boundary.tokens),
            cached_tokens,
            completion_tokens: thread.shape.turns[thread.next_turn].completion_tokens,
        };
        let done =
            JobDone { finish_reason: String::new(), text: String::new(), tool_calls: Vec::new(), usage };
        self.progress(ticket, JobEvent::Done(done));
    }

    fn engine_failed(&mut self, ticket: u64, fault: JobFault) {
        self.progress(ticket, JobEvent::Failed(failed(fault, "the replica failed", 0)));
    }

    /// progress as the dispatcher of the replica sees it, or the owner when there is none.
    fn progress(&mut self, ticket: u64, event: JobEvent) {
        if self.control.policy == Policy::Ours {
            let Some(turn) = self.turns.get(&ticket) else { return };
            let Some(replica) = turn.replica else { return };
            self.dispatch(self.control.serves[replica], DispatchInput::Engine { ticket, event });
            return;
        }
        if let JobEvent::Token(_) = event {
            self.first_token(ticket);
            return;
        }
        if let Some(replica) = self.turns.get(&ticket).and_then(|turn| turn.replica) {
            self.inside[replica] -= 1;
        }
        self.after(HOP_US, Event::Owner { ticket, event });
    }

    fn first_token(&mut self, ticket: u64) {
        let now_us = self.now_us;
        let Some(turn) = self.turns.get_mut(&ticket) else { return };
        turn.first_token_us.get_or_insert(now_us);
    }

    fn owner(&mut self, ticket: u64, event: JobEvent) {
        match event {
            JobEvent::Token(_) => {}
            JobEvent::Done(done) => self.done(ticket, &done.usage),
            JobEvent::Failed(failed) => self.failed(ticket, &failed),
        }
    }

    fn fail(&mut self, ticket: u64, fault: JobFault, detail: &str, retry_after_ms: u64) {
        let event = JobEvent::Failed(failed(fault, detail, retry_after_ms));
        self.after(HOP_US, Event::Owner { ticket, event });
    }

    fn failed(&mut self, ticket: u64, failed: &JobFailed) {
        let now_ms = self.now_ms();
        let Some(turn) = self.turns.get_mut(&ticket) else { return };
        let instance = turn.instance;
        if let Some(replica) = turn.replica {
            let input = RouterInput::Failed { replica: replica_name(replica), fault: failed.fault };
            self.control.routers[instance].handle(now_ms, input);
            turn.excluded.push(replica_name(replica));
        }
        if failed.fault == JobFault::Refused {
            turn.excluded.clear();
        }
        if self.control.budgets[instance].plan(failed, turn.attempt) == RetryPlan::Again {
            turn.attempt += 1;
            let pause_us = if failed.fault == JobFault::Refused { 200_000 } else { 0 };
            self.after(pause_us, Event::Resubmit(ticket));
            return;
        }
        self.outcome.refusals += 1;
        turn.attempt = 1;
        turn.excluded.clear();
        let thread = turn.thread;
        if self.now_us - turn.submitted_us > PATIENCE_US {
            self.turns.remove(&ticket);
            self.give_up(thread);
            return;
        }
        let told_us = failed.retry_after_ms.unwrap_or(1_000) * 1_000;
        let spread = 0.5 + self.random.share();
        let pause_us = (told_us.clamp(200_000, MAX_RETRY_PAUSE_US) as f64 * spread) as u64;
        self.after(pause_us, Event::Resubmit(ticket));
    }

    fn give_up(&mut self, number: usize) {
        let Some(thread) = self.threads.get(&number) else { return };
        let index = thread.program;
        if let Some(program) = self.programs.get_mut(&index) {
            program.gave_up = true;
        }
        self.end_thread(number);
    }

    fn done(&mut self, ticket: u64, usage: &Usage) {
        let Some(turn) = self.turns.remove(&ticket) else { return };
        self.record_turn(&turn, usage);
        let Some(thread) = self.threads.get_mut(&turn.thread) else { return };
        let shape = Arc::clone(&thread.shape);
        let shape = &shape.turns[thread.next_turn];
        for boundary in &thread.chain {
            self.computed.insert(boundary.digest);
        }
        let last = thread.chain.last().copied().unwrap_or_default();
        let tokens = last.tokens + shape.completion_tokens;
        let answer = Boundary { digest: mix(last.digest, !turn_number(thread)), tokens };
        thread.chain.push(answer);
        self.computed.insert(answer.digest);
        thread.next_turn += 1;
        thread.own_pause_us += shape.pause_us;
        thread.open_children = shape.children.len();
        let name = thread.name.clone();
        let chain = thread.chain.clone();
        let index = thread.program;
        let now_ms = self.now_ms();
        let finished = RouterInput::Finished {
            replica: replica_name(turn.replica.unwrap_or_default()),
            program: name.clone(),
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.cached_tokens,
            completion_tokens: usage.completion_tokens,
            first_token_ms: turn.first_token_us.map_or(0, |at_us| (at_us - turn.submitted_us) / 1_000),
        };
        self.control.routers[turn.instance].handle(now_ms, finished);
        self.control.note_boundary(now_ms, turn.instance, &name, answer);
        if let Some(program) = self.programs.get_mut(&index) {
            program.service_tokens += usage.prompt_tokens - usage.cached_tokens + usage.completion_tokens;
        }
        if shape.children.is_empty() {
            self.continue_thread(turn.thread);
            return;
        }
        for child in shape.children.clone() {
            self.begin_thread(index, Some(turn.thread), child, chain.clone());
        }
    }

    fn record_turn(&mut self, turn: &Turn, usage: &Usage) {
        let thread = &self.threads[&turn.thread];
        let first_us = turn.first_token_us.unwrap_or(self.now_us);
        self.outcome.turns.push(TurnOutcome {
            workspace: self.programs[&thread.program].workspace,
            submitted_us: turn.submitted_us,
            first_token_us: first_us - turn.submitted_us,
            generate_us: self.now_us - first_us,
            completion_tokens: usage.completion_tokens,
            prompt_tokens: usage.prompt_tokens,
            reusable_tokens: turn.reusable_tokens,
            believed_tokens: turn.believed_tokens,
            cached_tokens: usage.cached_tokens,
        });
    }

    /// pauses, then runs the next turn, or ends.
    fn continue_thread(&mut self, number: usize) {
        let Some(thread) = self.threads.get(&number) else { return };
        let gave_up = self.programs.get(&thread.program).is_some_and(|program| program.gave_up);
        if gave_up || thread.next_turn == thread.shape.turns.len() {
            self.end_thread(number);
            return;
        }
        let pause_us = thread.shape.turns[thread.next_turn - 1].pause_us;
        self.after(pause_us, Event::NextTurn(number));
    }

    fn end_thread(&mut self, number: usize) {
        let Some(thread) = self.threads.remove(&number) else { return };
        let instance = self.instance(thread.program);
        let now_ms = self.now_ms();
        self.control.routers[instance].handle(now_ms, RouterInput::Ended { program: thread.name.clone() });
        self.release(&thread);
        if let Some(parent) = thread.parent {
            let Some(parent_thread) = self.threads.get_mut(&parent) else { return };
            parent_thread.open_children -= 1;
            if parent_thread.open_children == 0 {
                self.continue_thread(parent);
            }
            return;
        }
        let Some(program) = self.programs.remove(&thread.program) else { return };
        let last_pause_us = thread.shape.turns.last().map_or(0, |turn| turn.pause_us);
        let pauses_us =
            if program.gave_up { thread.own_pause_us } else { thread.own_pause_us - last_pause_us };
        self.outcome.programs.push(ProgramOutcome {
            workspace: program.workspace,
            arrived_us: program.arrived_us,
            ended_us: self.now_us,
            latency_us: (self.now_us - program.arrived_us).saturating_sub(pauses_us),
            completed: !program.gave_up,
        });
    }

    /// tells the engines that a program's own part of the cache is not needed again.
    fn release(&mut self, thread: &Thread) {
        if self.control.policy != Policy::Ours {
            return;
        }
        let kept = match thread.parent.and_then(|parent| self.threads.get(&parent)) {
            Some(parent) if thread.shape.inherits => parent.chain.len(),
            _ => 1,
        };
        for engine in &mut self.engines {
            engine.cache_mut().release(&thread.chain[kept..]);
        }
    }

    fn tick(&mut self) {
        self.after(TICK_US, Event::Tick);
        if self.control.policy != Policy::Ours {
            return;
        }
        for instance in 0..self.control.dispatchers.len() {
            self.dispatch(instance, DispatchInput::Tick);
        }
    }

    fn publish(&mut self) {
        self.after(PUBLISH_US, Event::Publish);
        let now_ms = self.now_ms();
        for replica in 0..self.engines.len() {
            let changes = std::mem::take(&mut self.engines[replica].cache_mut().changes);
            if self.control.policy != Policy::Ours {
                continue;
            }
            let (running, waiting) = self.engines[replica].load();
            self.after(PUBLISH_US, Event::Reading { replica, running, waiting });
            if self.now_us < self.events_lost_until_us {
                continue;
            }
            let mut lost = false;
            for change in changes {
                if self.random.below(LOST_EVENT) == 0 {
                    lost = true;
                    continue;
                }
                self.tell_routers(now_ms, &cache_input(replica, change));
            }
            if lost && self.random.below(LOST_EVENT) == 0 {
                self.tell_routers(now_ms, &RouterInput::CacheGap { replica: replica_name(replica) });
            }
        }
    }

    fn tell_routers(&mut self, now_ms: u64, input: &RouterInput) {
        for router in &mut self.control.routers {
            router.handle(now_ms, input.clone());
        }
    }

    fn sample(&mut self) {
        self.after(SAMPLE_US, Event::Sample);
        let inside: u32 = self.engines.iter().map(|engine| engine.load().1).sum();
        let started = self.engines.iter().map(|engine| engine.load().0).sum::<u32>();
        let all = self.turns.len() as u32;
        self.outcome.waiting.push(if self.control.policy == Policy::Ours {
            all - started.min(all)
        } else {
            inside
        });
    }

    fn fault_begins(&mut self) {
        self.after(FAULT_US, Event::FaultEnds);
        match self.plan.fault {
            None => {}
            Some(Fault::ReplicaDies) => self.kill(0),
            Some(Fault::ReplicaSlow) => self.engines[0].slowness = 10.0,
            Some(Fault::ZoneGoes) => {
                for replica in self.zone_members() {
                    self.kill(replica);
                }
            }
            Some(Fault::CacheEventsStop) => self.events_lost_until_us = self.now_us + CACHE_EVENTS_STOP_US,
            Some(Fault::DispatcherDies) => self.kill_instance(0),
        }
        self.after(LIST_LAG_US, Event::List);
    }

    fn fault_ends(&mut self) {
        for engine in &mut self.engines {
            engine.dead = false;
            engine.slowness = 1.0;
        }
        if self.plan.fault == Some(Fault::CacheEventsStop) {
            let now_ms = self.now_ms();
            for replica in 0..self.engines.len() {
                self.tell_routers(now_ms, &RouterInput::CacheGap { replica: replica_name(replica) });
            }
        }
        self.after(LIST_LAG_US, Event::List);
    }

    fn zone_members(&self) -> Vec<usize> {
        let zone = self.control.zone(0);
        (0..self.engines.len()).filter(|replica| self.control.zone(*replica) == zone).collect()
    }

    fn kill(&mut self, replica: usize) {
        for ticket in self.engines[replica].die() {
            self.engine_failed(ticket, JobFault::Died);
        }
    }

    fn kill_instance(&mut self, instance: usize) {
        self.control.dispatchers[instance] = None;
        let mut lost: Vec<u64> = Vec::new();
        for (ticket, turn) in &self.turns {
            if turn.replica.is_some_and(|replica| self.control.serves[replica] == instance) {
                lost.push(*ticket);
            }
        }
        lost.sort_unstable();
        for ticket in lost {
            self.fail(ticket, JobFault::Refused, "the instance died", 0);
        }
        self.after(TAKEOVER_US, Event::Takeover);
    }

    fn takeover(&mut self) {
        let count = self.control.dispatchers.len();
        for replica in 0..self.control.serves.len() {
            if self.control.dispatchers[self.control.serves[replica]].is_none() {
                self.control.serves[replica] = (self.control.serves[replica] + 1 + replica) % count;
            }
        }
        self.list();
    }

    fn list(&mut self) {
        for replica in 0..self.engines.len() {
            self.control.set_listed(replica, !self.engines[replica].dead);
        }
        let now_ms = self.now_ms();
        for (_, actions) in self.control.list(now_ms) {
            self.act(actions);
        }
    }

    fn instance(&self, program: usize) -> usize {
        program % self.workload.instance_count
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        self.at(self.now_us + delay_us, event);
    }

    fn at(&mut self, at_us: u64, event: Event) {
        let number = self.next_number;
        self.next_number += 1;
        self.queue.push(Timed { at_us, number, event });
    }
}

fn job(workload: &Workload, thread: &Thread, program: &Program, turn: &Turn) -> TurnJob {
    let shape = &thread.shape.turns[thread.next_turn];
    TurnJob {
        attempt: turn.attempt,
        cached_tokens: 0,
        content_digest: String::new(),
        deadline_ms: 600_000,
        max_tokens: shape.completion_tokens.next_power_of_two().max(512),
        messages: Vec::new(),
        model: MODEL.to_string(),
        program: thread.name.clone(),
        program_service_tokens: program.service_tokens,
        prompt_tokens: thread.chain.last().map_or(0, |boundary| boundary.tokens),
        replica: String::new(),
        turn: turn_number(thread) as u32,
        waited_ms: 0,
        workspace: workload.workspaces[program.workspace].name.clone(),
    }
}

fn failed(fault: JobFault, detail: &str, retry_after_ms: u64) -> JobFailed {
    let retry_after_ms = (retry_after_ms > 0).then_some(retry_after_ms);
    JobFailed { fault, detail: detail.to_string(), spent_tokens: 0, retry_after_ms }
}

fn cache_input(replica: usize, change: CacheChange) -> RouterInput {
    let replica = replica_name(replica);
    match change {
        CacheChange::Held(boundary) => {
            RouterInput::CacheHeld { replica, prefix: boundary.digest, tokens: boundary.tokens }
        }
        CacheChange::Dropped(prefix) => RouterInput::CacheDropped { replica, prefix },
    }
}

fn turn_number(thread: &Thread) -> u64 {
    thread.next_turn as u64
}

fn mix(left: u64, right: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&right.to_le_bytes(), left)
}
