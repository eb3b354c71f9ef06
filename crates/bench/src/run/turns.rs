use std::sync::Arc;

use flamingostand::dispatch::Boundary;
use flamingostand::dispatch::RetryPlan;
use flamingostand::dispatch::RouterInput;
use flamingostand::schema::JobEvent;
use flamingostand::schema::JobFailed;
use flamingostand::schema::JobFault;
use flamingostand::schema::TurnJob;
use flamingostand::schema::Usage;

use crate::control::MODEL;
use crate::control::replica_name;
use crate::event::Event;
use crate::outcome::ProgramOutcome;
use crate::outcome::TurnOutcome;
use crate::policy::Policy;
use crate::run::Run;
use crate::run::state::HOP_US;
use crate::run::state::Program;
use crate::run::state::Thread;
use crate::run::state::Turn;
use crate::workload::ThreadShape;
use crate::workload::Workload;

/// how long a caller comes back with a refused turn.
const PATIENCE_US: u64 = 180_000_000;

/// longest pause of a caller between two tries.
const MAX_RETRY_PAUSE_US: u64 = 30_000_000;

impl Run<'_> {
    pub(super) fn arrive(&mut self, index: usize) {
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

    pub(super) fn begin_thread(
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

    pub(super) fn next_turn(&mut self, number: usize) {
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

    pub(super) fn submit(&mut self, ticket: u64) {
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

    pub(super) fn owner(&mut self, ticket: u64, event: JobEvent) {
        match event {
            JobEvent::Token(_) => {}
            JobEvent::Done(done) => self.done(ticket, &done.usage),
            JobEvent::Failed(failed) => self.failed(ticket, &failed),
        }
    }

    pub(super) fn fail(&mut self, ticket: u64, fault: JobFault, detail: &str, retry_after_ms: u64) {
        let event = JobEvent::Failed(refusal(fault, detail, retry_after_ms));
        self.after(HOP_US, Event::Owner { ticket, event });
    }

    pub(super) fn failed(&mut self, ticket: u64, failed: &JobFailed) {
        let now_ms = self.now_ms();
        let Some(turn) = self.turns.get_mut(&ticket) else { return };
        let instance = turn.instance;
        if let Some(replica) = turn.replica {
            let input = RouterInput::AttemptFailed { replica: replica_name(replica), fault: failed.fault };
            self.control.routers[instance].handle(now_ms, input);
            turn.excluded.push(replica_name(replica));
        }
        if failed.fault == JobFault::Refused {
            turn.excluded.clear();
        }
        if self.control.budgets[instance].plan(failed, turn.attempt) == RetryPlan::Retry {
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
        let spread = 0.5 + self.random.next_f64();
        let pause_us = (told_us.clamp(200_000, MAX_RETRY_PAUSE_US) as f64 * spread) as u64;
        self.after(pause_us, Event::Resubmit(ticket));
    }

    pub(super) fn give_up(&mut self, number: usize) {
        let Some(thread) = self.threads.get(&number) else { return };
        let index = thread.program;
        if let Some(program) = self.programs.get_mut(&index) {
            program.gave_up = true;
        }
        self.end_thread(number);
    }

    pub(super) fn done(&mut self, ticket: u64, usage: &Usage) {
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
        let finished = RouterInput::TurnFinished {
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

    pub(super) fn record_turn(&mut self, turn: &Turn, usage: &Usage) {
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
    pub(super) fn continue_thread(&mut self, number: usize) {
        let Some(thread) = self.threads.get(&number) else { return };
        let gave_up = self.programs.get(&thread.program).is_some_and(|program| program.gave_up);
        if gave_up || thread.next_turn == thread.shape.turns.len() {
            self.end_thread(number);
            return;
        }
        let pause_us = thread.shape.turns[thread.next_turn - 1].pause_us;
        self.after(pause_us, Event::NextTurn(number));
    }

    pub(super) fn end_thread(&mut self, number: usize) {
        let Some(thread) = self.threads.remove(&number) else { return };
        let instance = self.instance(thread.program);
        let now_ms = self.now_ms();
        self.control.routers[instance]
            .handle(now_ms, RouterInput::ProgramEnded { program: thread.name.clone() });
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
    pub(super) fn release(&mut self, thread: &Thread) {
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

    pub(super) fn instance(&self, program: usize) -> usize {
        program % self.workload.instance_count
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

pub(super) fn refusal(fault: JobFault, detail: &str, retry_after_ms: u64) -> JobFailed {
    let retry_after_ms = (retry_after_ms > 0).then_some(retry_after_ms);
    JobFailed { fault, detail: detail.to_string(), spent_tokens: 0, retry_after_ms }
}

pub(super) fn turn_number(thread: &Thread) -> u64 {
    thread.next_turn as u64
}

pub(super) fn mix(left: u64, right: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&right.to_le_bytes(), left)
}
