use std::collections::HashMap;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use slog::info;
use slog::warn;

use crate::dispatch::DispatchInput;
use crate::dispatch::RetryBudget;
use crate::dispatch::RetryPlan;
use crate::dispatch::RouterInput;
use crate::ids::Incarnation;
use crate::instance::Shared;
use crate::instance::queries::OwnerCounts;
use crate::instance::queries::OwnerQuery;
use crate::instance::service_calls::run_look_up;
use crate::instance::service_calls::run_service_call;
use crate::instance::shared::Asker;
use crate::instance::shared::JobRoute;
use crate::instance::shared::TurnOrigin;
use crate::instance::ticker::Ticker;
use crate::instance::ticker::Wake;
use crate::owner::Owner;
use crate::owner::OwnerAction;
use crate::owner::OwnerInput;
use crate::owner::OwnerSettings;
use crate::platform::PlatformRequest;
use crate::schema::CancelJob;
use crate::schema::Dispatch;
use crate::schema::ForwardEvent;
use crate::schema::JobEvent;
use crate::schema::JobFailed;
use crate::schema::JobFault;
use crate::schema::MeshMessage;
use crate::schema::OwnerEvent;
use crate::schema::TurnJob;

/// when to come back after no replica of the model was found.
const NO_REPLICA_RETRY_AFTER_MS: u64 = 1_000;

/// drives the owner of one incarnation: feeds it inputs and carries out its actions.
pub(crate) struct OwnerDriver {
    shared: Arc<Shared>,
    owner: Owner,
    inbox: Ticker<OwnerInput>,
    queries: Receiver<OwnerQuery>,
    sender: Sender<OwnerInput>,
    /// the route of each job of the owner.
    routes: HashMap<u64, OwnRoute>,
    /// failed attempts of the turn under way, by program.
    tried: HashMap<String, Tried>,
    retries: RetryBudget,
}

/// what the driver remembers of a job under way.
struct OwnRoute {
    number: u64,
    program: String,
    replica: String,
}

/// failed attempts of one turn.
struct Tried {
    replicas: Vec<String>,
    last: JobFailed,
}

/// why a driver ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DriverEnd {
    /// the journal was sealed by another instance.
    Deposed,
    /// all slots are given away.
    Left,
    /// the instance stops.
    Closed,
}

impl OwnerDriver {
    pub(crate) fn new(shared: &Arc<Shared>, me: Incarnation, queries: Receiver<OwnerQuery>) -> Self {
        let (sender, inbox) = async_channel::unbounded();
        let settings = OwnerSettings {
            state: shared.settings.state.clone(),
            limits: shared.settings.limits.clone(),
            slot_count: shared.slot_count,
            me,
            name: shared.settings.instance.name.clone(),
        };
        let owner = Owner::new(settings, shared.now());
        let retries = RetryBudget::new(shared.settings.dispatch.retry_share_percent);
        shared.owner_inbox.store(Arc::new(sender.clone()));
        let shared = Arc::clone(shared);
        Self {
            shared,
            owner,
            inbox: Ticker::for_requests(inbox),
            queries,
            sender,
            routes: HashMap::new(),
            tried: HashMap::new(),
            retries,
        }
    }

    /// runs until this incarnation is over.
    pub(crate) async fn run(mut self) -> DriverEnd {
        loop {
            self.answer_queries();
            let input = match self.inbox.wake().await {
                Wake::Input(input) => input,
                Wake::Tick => {
                    self.publish_counts();
                    OwnerInput::Tick
                }
                Wake::Closed => return DriverEnd::Closed,
            };
            if let Some(end) = self.step(input) {
                return end;
            }
        }
    }

    fn answer_queries(&self) {
        while let Ok(query) = self.queries.try_recv() {
            match query {
                OwnerQuery::Programs { workspace, limit, reply } => {
                    let _ = reply.try_send(self.owner.program_states(workspace.as_deref(), limit));
                }
                OwnerQuery::Poison { reply } => {
                    let _ = reply.try_send(self.owner.poison_entries());
                }
            }
        }
    }

    fn publish_counts(&self) {
        let counts = OwnerCounts {
            programs: self.owner.program_count() as u32,
            journal_entries: self.owner.journal_entries(),
            platform_calls: self.owner.platform_calls(),
        };
        self.shared.owner_counts.store(Arc::new(counts));
    }

    fn step(&mut self, input: OwnerInput) -> Option<DriverEnd> {
        self.forget_ended_job(&input);
        let mut end = None;
        for action in self.owner.handle(self.shared.now(), input) {
            match action {
                OwnerAction::Platform { call, request } => self.call_platform(call, request),
                OwnerAction::Reply { ticket, event, last } => self.reply(ticket, event, last),
                OwnerAction::Job { job, turn } => self.start_job(job, *turn),
                OwnerAction::CancelJob { job } => self.cancel_job(job),
                OwnerAction::Service { service, request } => {
                    run_service_call(&self.shared, self.sender.clone(), service, request);
                }
                OwnerAction::Lookup { service, request } => {
                    run_look_up(&self.shared, self.sender.clone(), service, request);
                }
                OwnerAction::ReleaseProgram { program } => self.shared.release_program(&program),
                OwnerAction::Poison(held) => self.shared.tell_others(&MeshMessage::Poison(held)),
                OwnerAction::Slots(slots) => self.shared.slots.store(slots),
                OwnerAction::Event { what, program, subject, detail } => {
                    self.shared.timeline.record(what, program, subject, detail);
                }
                OwnerAction::Deposed => end = Some(DriverEnd::Deposed),
                OwnerAction::Left => end = Some(DriverEnd::Left),
            }
        }
        if end == Some(DriverEnd::Deposed) {
            warn!(self.shared.log, "journal sealed by another instance; starting a new incarnation");
        }
        if end == Some(DriverEnd::Left) {
            info!(self.shared.log, "all slots given away");
        }
        end
    }

    fn call_platform(&self, call: u64, request: PlatformRequest) {
        let platform = Arc::clone(&self.shared.platform);
        let sender = self.sender.clone();
        self.shared.spawner.detach(async move {
            let result = platform.call(request).await;
            let _ = sender.try_send(OwnerInput::Platform { call, result });
        });
    }

    fn reply(&self, ticket: u64, event: OwnerEvent, last: bool) {
        let asker = if last {
            self.shared.askers.remove(ticket)
        } else {
            self.shared.askers.with(ticket, Asker::clone)
        };
        match asker {
            Some(Asker::Door(sender)) => {
                let _ = sender.try_send(event);
            }
            Some(Asker::Peer { peer, id }) => {
                let message = MeshMessage::ForwardEvent(ForwardEvent { id, event });
                let _ = self.shared.mesh().reply(&peer, message);
            }
            None => {}
        }
    }

    fn start_job(&mut self, job: u64, mut turn: TurnJob) {
        if turn.attempt <= 1 {
            self.tried.remove(&turn.program);
            self.retries.first_attempt();
        }
        let tried = self.tried.get(&turn.program);
        if tried.is_some_and(|tried| self.retries.plan(&tried.last, turn.attempt - 1) == RetryPlan::GiveUp) {
            self.fail_job(job, JobFault::Overloaded, "the retry budget of this instance is spent");
            return;
        }
        let excluded = tried.map_or(&[][..], |tried| &tried.replicas);
        let now = self.shared.now();
        let mut router = self.shared.router();
        // A replica that failed once is better than none.
        let choice = router.choose(now.ms, &turn, excluded).or_else(|| router.choose(now.ms, &turn, &[]));
        drop(router);
        let Some(choice) = choice else {
            self.fail_job(job, JobFault::Overloaded, "no replica of the model takes work");
            return;
        };
        turn.replica = choice.replica;
        turn.cached_tokens = choice.cached_tokens;
        let view = self.shared.view.load();
        let Some(dispatcher) = view.preferred(&format!("replica/{}", turn.replica)) else {
            self.fail_job(job, JobFault::Overloaded, "no instance serves the replica");
            return;
        };
        let own = dispatcher.mesh == self.shared.settings.listen.mesh;
        let route = JobRoute {
            job,
            inbox: self.sender.clone(),
            peer: (!own).then_some(dispatcher.mesh),
            connection: None,
            replica: turn.replica.clone(),
            program: turn.program.clone(),
            prompt_tokens: turn.prompt_tokens,
            max_tokens: turn.max_tokens,
            sent_ms: now.ms,
            first_token_ms: None,
        };
        let detail = format!("turn {} to {} by {}", turn.turn, turn.replica, dispatcher.name);
        self.shared.timeline.record_program(crate::timeline::EventKind::ReplicaChosen, &turn.program, detail);
        let number = self.shared.jobs.insert(route);
        let own_route = OwnRoute { number, program: turn.program.clone(), replica: turn.replica.clone() };
        self.routes.insert(job, own_route);
        if own {
            let ticket = self.shared.turns.insert(TurnOrigin::Local { number });
            self.shared.tell_dispatcher(DispatchInput::Submit { ticket, job: Box::new(turn) });
            return;
        }
        let message = MeshMessage::Dispatch(Dispatch { id: number, job: turn });
        match self.shared.mesh().send(dispatcher.mesh, None, message) {
            Ok(connection) => {
                self.shared.jobs.update(number, |route| route.connection = Some(connection));
            }
            Err(error) => {
                self.shared.jobs.remove(number);
                self.fail_job(job, JobFault::NotSent, &error.to_string());
            }
        }
    }

    fn cancel_job(&mut self, job: u64) {
        let Some(number) = self.routes.get(&job).map(|route| route.number) else {
            return;
        };
        let peer = self.shared.jobs.with(number, |route| route.peer);
        match peer {
            Some(Some(peer)) => {
                let _ = self.shared.mesh().send(peer, None, MeshMessage::CancelJob(CancelJob { id: number }));
            }
            Some(None) => self.shared.cancel_local_turn(number),
            None => {}
        }
    }

    fn fail_job(&self, job: u64, fault: JobFault, detail: &str) {
        let failed = JobFailed {
            fault,
            detail: detail.to_owned(),
            spent_tokens: 0,
            retry_after_ms: Some(NO_REPLICA_RETRY_AFTER_MS),
        };
        let _ = self.sender.try_send(OwnerInput::Job { job, event: JobEvent::Failed(failed) });
    }

    /// keeps the routes and the failed replicas of turns in step with their ends.
    fn forget_ended_job(&mut self, input: &OwnerInput) {
        let OwnerInput::Job { job, event } = input else {
            return;
        };
        if matches!(event, JobEvent::Token(_)) {
            return;
        }
        let Some(route) = self.routes.remove(job) else {
            return;
        };
        let JobEvent::Failed(failed) = event else {
            self.tried.remove(&route.program);
            return;
        };
        let none = || Tried { replicas: Vec::new(), last: failed.clone() };
        let tried = self.tried.entry(route.program).or_insert_with(none);
        tried.replicas.push(route.replica);
        tried.last = failed.clone();
    }
}

impl Shared {
    /// locks the router for one decision.
    pub(crate) fn router(&self) -> std::sync::MutexGuard<'_, crate::dispatch::Router> {
        self.router.lock().expect("router lock poisoned")
    }

    /// passes progress of a turn to the owner that asked for it.
    pub(crate) fn job_event(&self, number: u64, event: JobEvent) {
        let now_ms = self.now().ms;
        let last = !matches!(event, JobEvent::Token(_));
        let route = if last { self.jobs.remove(number) } else { self.note_token(number, now_ms) };
        // A route that is gone belongs to a turn that already ended: a late answer reaches nobody.
        let Some(route) = route else {
            return;
        };
        match &event {
            JobEvent::Token(_) => {}
            JobEvent::Done(done) => {
                let mut last = self.last_replicas.lock().expect("last replicas lock poisoned");
                last.insert(route.program.clone(), route.replica.clone());
                drop(last);
                let first_token_ms = route.first_token_ms.unwrap_or(now_ms).saturating_sub(route.sent_ms);
                self.router().handle(
                    now_ms,
                    RouterInput::TurnFinished {
                        replica: route.replica.clone(),
                        program: route.program.clone(),
                        prompt_tokens: done.usage.prompt_tokens,
                        cached_tokens: done.usage.cached_tokens,
                        completion_tokens: done.usage.completion_tokens,
                        first_token_ms,
                    },
                );
            }
            JobEvent::Failed(failed) => {
                self.router().handle(
                    now_ms,
                    RouterInput::AttemptFailed { replica: route.replica.clone(), fault: failed.fault },
                );
            }
        }
        let _ = route.inbox.try_send(OwnerInput::Job { job: route.job, event });
    }

    /// the dispatcher of these turns is gone; they may have spent all they were allowed.
    pub(crate) fn lose_jobs(&self, lost: impl Fn(&JobRoute) -> bool) {
        for (_, route) in self.jobs.remove_where(lost) {
            let failed = JobFailed {
                fault: JobFault::Broken,
                detail: "the connection to the dispatcher broke".to_owned(),
                spent_tokens: route.prompt_tokens + route.max_tokens,
                retry_after_ms: None,
            };
            let _ = route.inbox.try_send(OwnerInput::Job { job: route.job, event: JobEvent::Failed(failed) });
        }
    }

    fn note_token(&self, number: u64, now_ms: u64) -> Option<JobRoute> {
        self.jobs.update(number, |route| {
            route.first_token_ms.get_or_insert(now_ms);
            route.clone()
        })
    }
}
