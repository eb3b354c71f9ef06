use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::dispatch::DispatchAction;
use crate::dispatch::DispatchInput;
use crate::dispatch::Rejection;
use crate::dispatch::Replica;
use crate::dispatch::ReplicaQueue;
use crate::dispatch::WorkspaceWeight;
use crate::schema::DispatchSettings;
use crate::schema::JobEvent;
use crate::schema::JobFailed;
use crate::schema::JobFault;
use crate::schema::TurnJob;

/// weight of a workspace that the configuration does not list.
const DEFAULT_WEIGHT: u32 = 100;

/// interval between two load reports.
const REPORT_MS: u64 = 100;

/// admission control and queueing in front of the replicas that this instance serves.
///
/// Each replica has one queue and one window. All workspaces share that queue, so fairness needs no
/// coordination between instances.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    queues: BTreeMap<String, ReplicaQueue>,
    weights: HashMap<String, u32>,
    replica_by_ticket: HashMap<u64, String>,
    next_report_ms: u64,
}

impl Dispatcher {
    /// a dispatcher without replicas.
    pub fn new(settings: &DispatchSettings) -> Self {
        Self {
            settings: settings.clone(),
            queues: BTreeMap::new(),
            weights: HashMap::new(),
            replica_by_ticket: HashMap::new(),
            next_report_ms: 0,
        }
    }

    /// applies one input and returns the actions to perform.
    pub fn handle(&mut self, now_ms: u64, input: DispatchInput) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        match input {
            DispatchInput::Replicas(replicas) => self.set_replicas(&replicas, &mut actions),
            DispatchInput::Weights(weights) => self.set_weights(weights),
            DispatchInput::Submit { ticket, job } => self.submit(now_ms, ticket, job, &mut actions),
            DispatchInput::Cancel { ticket } => self.cancel(now_ms, ticket, &mut actions),
            DispatchInput::EngineEvent { ticket, event } => {
                self.engine_event(now_ms, ticket, event, &mut actions)
            }
            DispatchInput::EngineLoad { replica, reading } => {
                if let Some(queue) = self.queues.get_mut(&replica) {
                    queue.record_load(&reading);
                }
            }
            DispatchInput::Tick => self.tick(now_ms, &mut actions),
        }
        actions
    }

    /// number of queued and running turns.
    pub fn turn_count(&self) -> usize {
        self.replica_by_ticket.len()
    }

    fn set_replicas(&mut self, replicas: &[Replica], actions: &mut Vec<DispatchAction>) {
        let served: BTreeSet<&str> = replicas.iter().map(|replica| replica.name.as_str()).collect();
        let names: Vec<String> = self.queues.keys().cloned().collect();
        for name in names {
            if served.contains(name.as_str()) {
                continue;
            }
            if let Some(queue) = self.queues.get_mut(&name) {
                queue.withdrawn = true;
                let tickets = queue.drain();
                self.fail_all(
                    &tickets,
                    JobFault::Refused,
                    "the replica is served by another instance",
                    actions,
                );
            }
            self.remove_if_drained(&name);
        }
        for replica in replicas {
            let queue =
                self.queues.entry(replica.name.clone()).or_insert_with(|| ReplicaQueue::new(&self.settings));
            queue.withdrawn = false;
            queue.leaving = replica.leaving;
            if !replica.leaving {
                continue;
            }
            let tickets = queue.drain();
            self.fail_all(&tickets, JobFault::Leaving, "the replica is leaving", actions);
        }
    }

    fn set_weights(&mut self, weights: Vec<WorkspaceWeight>) {
        self.weights = weights.into_iter().map(|entry| (entry.workspace, entry.weight)).collect();
    }

    fn submit(&mut self, now_ms: u64, ticket: u64, job: Box<TurnJob>, actions: &mut Vec<DispatchAction>) {
        let weight = self.weights.get(&job.workspace).copied().unwrap_or(DEFAULT_WEIGHT);
        let replica = job.replica.clone();
        let Some(queue) = self.queues.get_mut(&replica).filter(|queue| !queue.withdrawn) else {
            actions.push(failed_event(
                ticket,
                JobFault::Refused,
                "this instance does not serve the replica",
                None,
            ));
            return;
        };
        if queue.leaving {
            actions.push(failed_event(ticket, JobFault::Leaving, "the replica is leaving", None));
            return;
        }
        match queue.push(now_ms, ticket, job, weight) {
            Ok(()) => {
                self.replica_by_ticket.insert(ticket, replica.clone());
                self.start_ready(now_ms, &replica, actions);
            }
            Err(rejection) => actions.push(rejection_event(ticket, rejection)),
        }
    }

    fn cancel(&mut self, now_ms: u64, ticket: u64, actions: &mut Vec<DispatchAction>) {
        let Some(replica) = self.replica_by_ticket.get(&ticket).cloned() else { return };
        let Some(queue) = self.queues.get_mut(&replica) else { return };
        if queue.is_running(ticket) {
            actions.push(DispatchAction::Abort { ticket });
            return;
        }
        queue.remove_waiting(ticket);
        self.replica_by_ticket.remove(&ticket);
        actions.push(failed_event(ticket, JobFault::Cancelled, "the turn was cancelled before it ran", None));
        self.start_ready(now_ms, &replica, actions);
    }

    fn engine_event(&mut self, now_ms: u64, ticket: u64, event: JobEvent, actions: &mut Vec<DispatchAction>) {
        let Some(replica) = self.replica_by_ticket.get(&ticket).cloned() else { return };
        let Some(queue) = self.queues.get_mut(&replica) else { return };
        let mut drained = Vec::new();
        match &event {
            JobEvent::Token(_) => {
                queue.record_token(now_ms, ticket);
                actions.push(DispatchAction::Event { ticket, event });
                return;
            }
            JobEvent::Done(done) => queue.complete(ticket, &done.usage),
            JobEvent::Failed(failed) => {
                drained = queue.fail(now_ms, ticket, failed.fault, failed.spent_tokens);
            }
        }
        let fault = if queue.leaving { JobFault::Leaving } else { JobFault::NotSent };
        self.replica_by_ticket.remove(&ticket);
        actions.push(DispatchAction::Event { ticket, event });
        self.fail_all(&drained, fault, "the replica takes no turns", actions);
        self.start_ready(now_ms, &replica, actions);
        self.remove_if_drained(&replica);
    }

    fn tick(&mut self, now_ms: u64, actions: &mut Vec<DispatchAction>) {
        let names: Vec<String> = self.queues.keys().cloned().collect();
        for name in names {
            let Some(queue) = self.queues.get_mut(&name) else { continue };
            let expired = queue.expire(now_ms);
            queue.tick(now_ms);
            let retry_after_ms = if expired.is_empty() { 0 } else { queue.load(&name).wait_ms.max(1) };
            for ticket in expired {
                self.replica_by_ticket.remove(&ticket);
                let detail = "the turn could not start in time";
                actions.push(failed_event(ticket, JobFault::TooLate, detail, Some(retry_after_ms)));
            }
            self.start_ready(now_ms, &name, actions);
        }
        if now_ms < self.next_report_ms {
            return;
        }
        self.next_report_ms = now_ms + REPORT_MS;
        let served = self.queues.iter().filter(|(_, queue)| !queue.withdrawn);
        actions.push(DispatchAction::Loads(served.map(|(name, queue)| queue.load(name)).collect()));
    }

    fn start_ready(&mut self, now_ms: u64, replica: &str, actions: &mut Vec<DispatchAction>) {
        let Some(queue) = self.queues.get_mut(replica) else { return };
        while let Some((ticket, job)) = queue.start_next(now_ms) {
            actions.push(DispatchAction::Start { ticket, job });
        }
    }

    fn fail_all(
        &mut self,
        tickets: &[u64],
        fault: JobFault,
        detail: &str,
        actions: &mut Vec<DispatchAction>,
    ) {
        for ticket in tickets {
            self.replica_by_ticket.remove(ticket);
            actions.push(failed_event(*ticket, fault, detail, None));
        }
    }

    fn remove_if_drained(&mut self, replica: &str) {
        if self.queues.get(replica).is_some_and(|queue| queue.withdrawn && queue.is_idle()) {
            self.queues.remove(replica);
        }
    }
}

fn rejection_event(ticket: u64, rejection: Rejection) -> DispatchAction {
    let detail = match rejection.fault {
        JobFault::TooLate => "the turn has no time left to run",
        _ => "the turn could not be served in time",
    };
    failed_event(ticket, rejection.fault, detail, Some(rejection.retry_after_ms))
}

fn failed_event(ticket: u64, fault: JobFault, detail: &str, retry_after_ms: Option<u64>) -> DispatchAction {
    let failed = JobFailed { fault, detail: detail.to_string(), spent_tokens: 0, retry_after_ms };
    DispatchAction::Event { ticket, event: JobEvent::Failed(failed) }
}
