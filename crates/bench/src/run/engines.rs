use std::sync::Arc;

use flamingostand::dispatch::Boundary;
use flamingostand::dispatch::DispatchAction;
use flamingostand::dispatch::DispatchInput;
use flamingostand::dispatch::RouterInput;
use flamingostand::schema::JobDone;
use flamingostand::schema::JobEvent;
use flamingostand::schema::JobFault;
use flamingostand::schema::Token;
use flamingostand::schema::TurnJob;
use flamingostand::schema::Usage;

use crate::control::replica_name;
use crate::engine::EngineEvent;
use crate::engine::EngineRequest;
use crate::event::Event;
use crate::policy::Policy;
use crate::prefix_cache::CacheChange;
use crate::run::Run;
use crate::run::state::HOP_US;
use crate::run::state::PUBLISH_US;
use crate::run::state::SAMPLE_US;
use crate::run::state::TICK_US;
use crate::run::turns::mix;
use crate::run::turns::refusal;
use crate::run::turns::turn_number;

/// one in this many cache events is lost.
const LOST_EVENT: usize = 50;

impl Run<'_> {
    pub(super) fn reach_dispatcher(&mut self, instance: usize, ticket: u64, job: Box<TurnJob>) {
        if self.control.dispatchers[instance].is_none() {
            self.fail(ticket, JobFault::Refused, "the instance is gone", 0);
            return;
        }
        self.dispatch(instance, DispatchInput::Submit { ticket, job });
    }

    pub(super) fn dispatch(&mut self, instance: usize, input: DispatchInput) {
        let now_ms = self.now_ms();
        let Some(dispatcher) = &mut self.control.dispatchers[instance] else { return };
        let actions = dispatcher.handle(now_ms, input);
        self.act(actions);
    }

    pub(super) fn act(&mut self, actions: Vec<DispatchAction>) {
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

    pub(super) fn send(&mut self, ticket: u64) {
        let Some(turn) = self.turns.get(&ticket) else { return };
        let thread = &self.threads[&turn.thread];
        let last = thread.chain.last().copied().unwrap_or_default();
        let tokens = last.tokens + thread.shape.turns[thread.next_turn].completion_tokens;
        let answer = Boundary { digest: mix(last.digest, !turn_number(thread)), tokens };
        let request = EngineRequest { ticket, chain: Arc::new(thread.chain.clone()), answer };
        let replica = turn.replica.unwrap_or_default();
        self.after(HOP_US, Event::Request { replica, request });
    }

    pub(super) fn reach_engine(&mut self, replica: usize, request: EngineRequest) {
        if self.engines[replica].dead {
            self.engine_failed(request.ticket, JobFault::NotSent);
            return;
        }
        self.engines[replica].push(request);
        self.begin_step(replica);
    }

    pub(super) fn begin_step(&mut self, replica: usize) {
        let engine = &mut self.engines[replica];
        if engine.stepping || engine.dead {
            return;
        }
        let Some(step_ms) = engine.begin_step() else { return };
        let start_number = engine.start_number;
        self.after((step_ms * 1_000.0) as u64, Event::Step { replica, start_number });
    }

    pub(super) fn end_step(&mut self, replica: usize, start_number: u64) {
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

    pub(super) fn engine_done(&mut self, ticket: u64, cached_tokens: u64) {
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

    pub(super) fn engine_failed(&mut self, ticket: u64, fault: JobFault) {
        self.progress(ticket, JobEvent::Failed(refusal(fault, "the replica failed", 0)));
    }

    /// progress as the dispatcher of the replica sees it, or the owner when there is none.
    pub(super) fn progress(&mut self, ticket: u64, event: JobEvent) {
        if self.control.policy == Policy::Ours {
            let Some(turn) = self.turns.get(&ticket) else { return };
            let Some(replica) = turn.replica else { return };
            self.dispatch(self.control.serves[replica], DispatchInput::EngineEvent { ticket, event });
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

    pub(super) fn first_token(&mut self, ticket: u64) {
        let now_us = self.now_us;
        let Some(turn) = self.turns.get_mut(&ticket) else { return };
        turn.first_token_us.get_or_insert(now_us);
    }

    pub(super) fn tick(&mut self) {
        self.after(TICK_US, Event::Tick);
        if self.control.policy != Policy::Ours {
            return;
        }
        for instance in 0..self.control.dispatchers.len() {
            self.dispatch(instance, DispatchInput::Tick);
        }
    }

    pub(super) fn publish(&mut self) {
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
                if self.random.next_below(LOST_EVENT) == 0 {
                    lost = true;
                    continue;
                }
                self.tell_routers(now_ms, &cache_input(replica, change));
            }
            if lost && self.random.next_below(LOST_EVENT) == 0 {
                self.tell_routers(now_ms, &RouterInput::CacheEventsLost { replica: replica_name(replica) });
            }
        }
    }

    pub(super) fn tell_routers(&mut self, now_ms: u64, input: &RouterInput) {
        for router in &mut self.control.routers {
            router.handle(now_ms, input.clone());
        }
    }

    pub(super) fn sample(&mut self) {
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
}

fn cache_input(replica: usize, change: CacheChange) -> RouterInput {
    let replica = replica_name(replica);
    match change {
        CacheChange::Held(boundary) => {
            RouterInput::PrefixCached { replica, prefix: boundary.digest, tokens: boundary.tokens }
        }
        CacheChange::Dropped(prefix) => RouterInput::PrefixEvicted { replica, prefix },
    }
}
