use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::dispatch::FairQueue;
use crate::dispatch::LoadReading;
use crate::dispatch::QueuedTurn;
use crate::dispatch::ServiceRate;
use crate::dispatch::Window;
use crate::schema::DispatchSettings;
use crate::schema::JobFault;
use crate::schema::ReplicaLoad;
use crate::schema::TurnJob;
use crate::schema::Usage;

/// cost of one generated token, in uncached prompt tokens.
pub const GENERATED_TOKEN_COST: u64 = 8;

/// expected answer length for a workspace without completed turns.
const INITIAL_COMPLETION_TOKENS: u64 = 256;

/// head start in the order inside a workspace for each token that the program was served so far.
const HEAD_START_MS_PER_TOKEN: u64 = 5;

/// offset of the ranks, so that the head start never takes one below zero.
const RANK_ORIGIN_MS: u64 = 1 << 62;

/// consecutive failures after which a replica's queue is returned to the owners.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// interval between two sweeps for idle workspaces.
const SWEEP_MS: u64 = 5_000;

/// how long a replica runs at most one turn at a time after consecutive failures.
const PROBATION_MS: u64 = 2_000;

/// a queued turn.
#[derive(Debug)]
struct Waiting {
    job: Box<TurnJob>,
    arrived_ms: u64,
    expires_ms: u64,
    cost_tokens: u64,
}

/// a turn in flight at the engine.
#[derive(Debug)]
struct Running {
    workspace: String,
    started_ms: u64,
    last_token_ms: Option<u64>,
    uncached_tokens: u64,
    prefill_tokens_at_start: u64,
    cost_tokens: u64,
    generated_tokens: u64,
}

/// refusal of a turn that cannot be served in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// fault to report to the owner.
    pub fault: JobFault,
    /// time after which a retry may succeed, at least 1 ms.
    pub retry_after_ms: u64,
}

/// queue, concurrency window and measured rate of one replica.
#[derive(Debug)]
pub struct ReplicaQueue {
    queue: FairQueue,
    window: Window,
    rate: ServiceRate,
    waiting: HashMap<u64, Waiting>,
    expiries: BTreeSet<(u64, u64)>,
    running: BTreeMap<u64, Running>,
    completion_averages: HashMap<String, f64>,
    queued_uncached_tokens: u64,
    prefill_tokens: u64,
    max_queue_ms: u64,
    consecutive_failures: u32,
    probation_until_ms: u64,
    next_sweep_ms: u64,
    /// whether the replica is draining and takes no new work.
    pub leaving: bool,
    /// whether another instance serves the replica now.
    pub withdrawn: bool,
}

impl ReplicaQueue {
    /// an empty queue with the initial window.
    pub fn new(settings: &DispatchSettings) -> Self {
        Self {
            queue: FairQueue::default(),
            window: Window::new(settings),
            rate: ServiceRate::default(),
            waiting: HashMap::new(),
            expiries: BTreeSet::new(),
            running: BTreeMap::new(),
            completion_averages: HashMap::new(),
            queued_uncached_tokens: 0,
            prefill_tokens: 0,
            max_queue_ms: settings.max_queue_ms,
            consecutive_failures: 0,
            probation_until_ms: 0,
            next_sweep_ms: 0,
            leaving: false,
            withdrawn: false,
        }
    }

    /// queues a turn, or rejects it at once if it cannot be served in time.
    pub fn push(
        &mut self,
        now_ms: u64,
        ticket: u64,
        job: Box<TurnJob>,
        weight: u32,
    ) -> Result<(), Rejection> {
        let expected_tokens = self.expected_completion_tokens(&job);
        let uncached_tokens = uncached_tokens(&job);
        let cost_tokens = uncached_tokens + expected_tokens * GENERATED_TOKEN_COST;
        let min_run_ms = self.rate.min_run_ms(uncached_tokens, expected_tokens);
        let max_wait_ms =
            self.max_queue_ms.saturating_sub(job.waited_ms).min(job.deadline_ms.saturating_sub(min_run_ms));
        let wait_ms = self.expected_wait_ms(&job.workspace);
        if max_wait_ms == 0 {
            return Err(Rejection { fault: JobFault::TooLate, retry_after_ms: wait_ms.max(1) });
        }
        if wait_ms > max_wait_ms {
            let retry_after_ms = (wait_ms - max_wait_ms).max(1);
            return Err(Rejection { fault: JobFault::Overloaded, retry_after_ms });
        }
        self.queue.push(QueuedTurn {
            ticket,
            workspace: &job.workspace,
            weight,
            cost_tokens,
            rank: rank(now_ms, &job),
        });
        let expires_ms = now_ms.saturating_add(max_wait_ms);
        self.expiries.insert((expires_ms, ticket));
        self.queued_uncached_tokens += uncached_tokens;
        self.waiting.insert(ticket, Waiting { job, arrived_ms: now_ms, expires_ms, cost_tokens });
        Ok(())
    }

    /// takes the next turn from the queue if the window admits it.
    pub fn start_next(&mut self, now_ms: u64) -> Option<(u64, Box<TurnJob>)> {
        let ticket = self.queue.peek()?;
        if now_ms < self.probation_until_ms && !self.running.is_empty() {
            return None;
        }
        let uncached_tokens = uncached_tokens(&self.waiting[&ticket].job);
        if !self.window.admits(self.running.len() as u32, self.prefill_tokens, uncached_tokens) {
            return None;
        }
        self.queue.pop();
        let waiting = self.take_waiting(ticket)?;
        let mut job = waiting.job;
        job.waited_ms += now_ms.saturating_sub(waiting.arrived_ms);
        self.prefill_tokens += uncached_tokens;
        let running = Running {
            workspace: job.workspace.clone(),
            started_ms: now_ms,
            last_token_ms: None,
            uncached_tokens,
            prefill_tokens_at_start: self.prefill_tokens,
            cost_tokens: waiting.cost_tokens,
            generated_tokens: 0,
        };
        self.running.insert(ticket, running);
        Some((ticket, job))
    }

    /// removes a queued turn; false if it is not queued.
    pub fn remove_waiting(&mut self, ticket: u64) -> bool {
        self.queue.remove(ticket) && self.take_waiting(ticket).is_some()
    }

    /// removes the turns that can no longer be served in time.
    pub fn expire(&mut self, now_ms: u64) -> Vec<u64> {
        let mut expired = Vec::new();
        while let Some((expires_ms, ticket)) = self.expiries.first().copied() {
            if expires_ms > now_ms {
                break;
            }
            self.remove_waiting(ticket);
            expired.push(ticket);
        }
        expired
    }

    /// removes all queued turns.
    pub fn drain(&mut self) -> Vec<u64> {
        let tickets = self.queue.tickets();
        for ticket in &tickets {
            self.remove_waiting(*ticket);
        }
        tickets
    }

    /// records a token of a running turn, with its latency.
    pub fn record_token(&mut self, now_ms: u64, ticket: u64) {
        let Some(running) = self.running.get_mut(&ticket) else { return };
        running.generated_tokens += 1;
        self.rate.record_work(GENERATED_TOKEN_COST);
        match running.last_token_ms.replace(now_ms) {
            Some(last_ms) => self.window.record_gap(now_ms.saturating_sub(last_ms)),
            None => {
                let first_token_ms = now_ms.saturating_sub(running.started_ms);
                self.rate.record_work(running.uncached_tokens);
                self.rate.record_first_token(running.prefill_tokens_at_start, first_token_ms);
                self.prefill_tokens -= running.uncached_tokens;
                self.window.record_first_token(first_token_ms);
            }
        }
    }

    /// settles the cost of a completed turn.
    pub fn complete(&mut self, ticket: u64, usage: &Usage) {
        let Some(running) = self.take_running(ticket) else { return };
        self.consecutive_failures = 0;
        self.probation_until_ms = 0;
        let uncached_tokens = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        let actual_tokens = uncached_tokens + usage.completion_tokens * GENERATED_TOKEN_COST;
        self.queue.settle(&running.workspace, running.cost_tokens, actual_tokens);
        let average =
            self.completion_averages.entry(running.workspace).or_insert(usage.completion_tokens as f64);
        *average += 0.2 * (usage.completion_tokens as f64 - *average);
    }

    /// settles the cost of a failed turn; returns the queued turns if the replica leaves or seems to be down.
    pub fn fail(&mut self, now_ms: u64, ticket: u64, fault: JobFault, spent_tokens: u64) -> Vec<u64> {
        let Some(running) = self.take_running(ticket) else { return Vec::new() };
        let actual_tokens = spent_tokens.min(running.cost_tokens).max(running.generated_tokens);
        self.queue.settle(&running.workspace, running.cost_tokens, actual_tokens);
        match fault {
            JobFault::NotSent | JobFault::Died | JobFault::Broken => {}
            JobFault::Leaving => {
                self.leaving = true;
                return self.drain();
            }
            JobFault::Overloaded => {
                self.window.halve();
                return Vec::new();
            }
            JobFault::Refused | JobFault::Poison | JobFault::Cancelled | JobFault::TooLate => {
                return Vec::new();
            }
        }
        self.window.halve();
        self.consecutive_failures += 1;
        if self.consecutive_failures < MAX_CONSECUTIVE_FAILURES {
            return Vec::new();
        }
        self.probation_until_ms = now_ms + PROBATION_MS;
        self.drain()
    }

    /// records a load reading from the engine.
    pub fn record_load(&mut self, reading: &LoadReading) {
        self.window.record_engine_waiting(reading.waiting);
    }

    /// adapts the window, closes rate samples and drops idle workspaces.
    pub fn tick(&mut self, now_ms: u64) {
        self.window.adapt(now_ms);
        self.rate.tick(now_ms, !self.queue.is_empty());
        if now_ms < self.next_sweep_ms {
            return;
        }
        self.next_sweep_ms = now_ms + SWEEP_MS;
        self.queue.sweep();
    }

    /// whether no turn is queued or running.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// whether a turn is in flight at the engine.
    pub fn is_running(&self, ticket: u64) -> bool {
        self.running.contains_key(&ticket)
    }

    /// the load report for the routers.
    pub fn load(&self, replica: &str) -> ReplicaLoad {
        ReplicaLoad {
            replica: replica.to_string(),
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            queued_tokens: self.queued_uncached_tokens,
            window: self.window.limit(),
            age_ms: 0,
            wait_ms: self.rate.wait_ms(self.queue.queued_cost_tokens()),
            token_gap_ms: self.window.gap_ms() as u64,
            uncached_per_second: self.rate.uncached_per_second(),
        }
    }

    fn expected_wait_ms(&self, workspace: &str) -> u64 {
        self.rate.wait_ms(self.queue.cost_ahead_tokens(workspace))
    }

    fn expected_completion_tokens(&self, job: &TurnJob) -> u64 {
        let average = self.completion_averages.get(&job.workspace);
        let expected = average.map_or(INITIAL_COMPLETION_TOKENS, |average| average.ceil() as u64);
        expected.clamp(1, job.max_tokens.max(1))
    }

    fn take_waiting(&mut self, ticket: u64) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.expiries.remove(&(waiting.expires_ms, ticket));
        self.queued_uncached_tokens -= uncached_tokens(&waiting.job);
        Some(waiting)
    }

    fn take_running(&mut self, ticket: u64) -> Option<Running> {
        let running = self.running.remove(&ticket)?;
        if running.last_token_ms.is_none() {
            self.prefill_tokens -= running.uncached_tokens;
        }
        Some(running)
    }
}

/// prompt tokens that need prefill; at least one.
fn uncached_tokens(job: &TurnJob) -> u64 {
    job.prompt_tokens.saturating_sub(job.cached_tokens).max(1)
}

/// order inside the workspace, lowest first: programs with the most service so far go first, with ageing.
///
/// Finishing started programs first keeps few of them active, and few prefixes in the cache.
fn rank(now_ms: u64, job: &TurnJob) -> u64 {
    let arrived_ms = now_ms.saturating_sub(job.waited_ms);
    let head_start_ms = job.program_service_tokens.saturating_mul(HEAD_START_MS_PER_TOKEN);
    (RANK_ORIGIN_MS + arrived_ms).saturating_sub(head_start_ms)
}
