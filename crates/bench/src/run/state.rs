use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use flamingostand::dispatch::Boundary;
use flamingostand::dispatch::DispatchInput;
use flamingostand::dispatch::LoadReading;
use flamingostand::dispatch::RouterInput;
use flamingostand::dispatch::SplitMix;

use crate::control::Control;
use crate::control::replica_name;
use crate::engine::Engine;
use crate::event::Event;
use crate::event::Timed;
use crate::fault::FAULT_AT_US;
use crate::fault::Fault;
use crate::outcome::Outcome;
use crate::policy::Policy;
use crate::workload::ProgramShape;
use crate::workload::ThreadShape;
use crate::workload::Workload;

/// one way between owner, dispatcher and engine.
pub(super) const HOP_US: u64 = 1_500;

/// time between two ticks of a dispatcher.
pub(super) const TICK_US: u64 = 20_000;

/// time between two publications of load and cache events.
pub(super) const PUBLISH_US: u64 = 500_000;

/// time between two samples of what waits.
pub(super) const SAMPLE_US: u64 = 1_000_000;

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
pub(super) struct Thread {
    pub(super) shape: Arc<ThreadShape>,
    pub(super) program: usize,
    pub(super) parent: Option<usize>,
    pub(super) name: String,
    pub(super) next_turn: usize,
    pub(super) open_children: usize,
    pub(super) own_pause_us: u64,
    pub(super) chain: Vec<Boundary>,
}

/// a program under way.
#[derive(Debug)]
pub(super) struct Program {
    pub(super) workspace: usize,
    pub(super) arrived_us: u64,
    pub(super) service_tokens: u64,
    pub(super) root: u64,
    pub(super) gave_up: bool,
}

/// a turn under way.
#[derive(Debug)]
pub(super) struct Turn {
    pub(super) thread: usize,
    pub(super) submitted_us: u64,
    pub(super) first_token_us: Option<u64>,
    pub(super) attempt: u32,
    pub(super) replica: Option<usize>,
    pub(super) instance: usize,
    pub(super) excluded: Vec<String>,
    pub(super) reusable_tokens: u64,
    pub(super) believed_tokens: u64,
}

/// the state of a run.
pub struct Run<'a> {
    pub(super) workload: &'a Workload,
    pub(super) plan: RunPlan,
    pub(super) shapes: Vec<ProgramShape>,
    pub(super) control: Control,
    pub(super) engines: Vec<Engine>,
    pub(super) inside: Vec<u32>,
    pub(super) programs: HashMap<usize, Program>,
    pub(super) threads: HashMap<usize, Thread>,
    pub(super) turns: HashMap<u64, Turn>,
    pub(super) computed: HashSet<u64>,
    pub(super) queue: BinaryHeap<Timed>,
    pub(super) outcome: Outcome,
    pub(super) random: SplitMix,
    pub(super) now_us: u64,
    pub(super) next_number: u64,
    pub(super) next_thread: usize,
    pub(super) next_ticket: u64,
    pub(super) events_lost_until_us: u64,
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
                let input = DispatchInput::EngineLoad { replica: replica_name(replica), reading };
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

    pub(super) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    pub(super) fn after(&mut self, delay_us: u64, event: Event) {
        self.at(self.now_us + delay_us, event);
    }

    pub(super) fn at(&mut self, at_us: u64, event: Event) {
        let number = self.next_number;
        self.next_number += 1;
        self.queue.push(Timed { at_us, number, event });
    }
}
