//! the control plane of a run: our routers and dispatchers, or one of the simple policies.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use flamingostand::dispatch::Boundary;
use flamingostand::dispatch::Choice;
use flamingostand::dispatch::DispatchAction;
use flamingostand::dispatch::DispatchInput;
use flamingostand::dispatch::Dispatcher;
use flamingostand::dispatch::Replica;
use flamingostand::dispatch::RetryBudget;
use flamingostand::dispatch::Router;
use flamingostand::dispatch::RouterInput;
use flamingostand::dispatch::WorkspaceWeight;
use flamingostand::schema::DispatchSettings;
use flamingostand::schema::TurnJob;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::policy::Policy;
use crate::workload::Workload;

/// the model that all replicas serve.
pub const MODEL: &str = "model";

/// decides where turns run.
#[derive(Debug)]
pub struct Control {
    /// policy in force.
    pub policy: Policy,
    /// routers, one an instance.
    pub routers: Vec<Router>,
    /// dispatchers, one an instance; nothing while the instance is dead.
    pub dispatchers: Vec<Option<Dispatcher>>,
    /// retry budgets, one an instance.
    pub budgets: Vec<RetryBudget>,
    /// instance that serves each replica.
    pub serves: Vec<usize>,
    names: BTreeMap<String, usize>,
    zones: Vec<String>,
    listed: Vec<bool>,
    settings: DispatchSettings,
    shares: Vec<WorkspaceWeight>,
    next_replica: usize,
}

impl Control {
    /// builds the control plane of a workload.
    pub fn new(workload: &Workload, policy: Policy) -> Self {
        let settings = DispatchSettings::default();
        let replica_count = workload.replica_count;
        let instance_count = workload.instance_count;
        let zone = |index: usize| workload.zones[index % workload.zones.len()].clone();
        let shares = workload
            .workspaces
            .iter()
            .map(|workspace| WorkspaceWeight { workspace: workspace.name.clone(), weight: 100 })
            .collect();
        let mut control = Self {
            policy,
            routers: (0..instance_count).map(|index| Router::new(&settings, &zone(index))).collect(),
            dispatchers: (0..instance_count).map(|_| None).collect(),
            budgets: vec![RetryBudget::new(settings.retry_share_percent); instance_count],
            serves: (0..replica_count).map(|index| index % instance_count).collect(),
            names: (0..replica_count).map(|index| (replica_name(index), index)).collect(),
            zones: (0..replica_count).map(zone).collect(),
            listed: vec![true; replica_count],
            settings,
            shares,
            next_replica: 0,
        };
        for instance in 0..instance_count {
            control.restart(instance);
        }
        control.list(0);
        control
    }

    /// number of a replica by its name.
    pub fn replica(&self, name: &str) -> usize {
        self.names[name]
    }

    /// zone of a replica.
    pub fn zone(&self, replica: usize) -> &str {
        &self.zones[replica]
    }

    /// starts an instance's dispatcher anew.
    pub fn restart(&mut self, instance: usize) {
        let mut dispatcher = Dispatcher::new(&self.settings);
        dispatcher.handle(0, DispatchInput::Weights(self.shares.clone()));
        self.dispatchers[instance] = Some(dispatcher);
    }

    /// changes what the platform's list shows of a replica.
    pub fn set_listed(&mut self, replica: usize, listed: bool) {
        self.listed[replica] = listed;
    }

    /// tells all routers and dispatchers the list; returns what the dispatchers want done.
    pub fn list(&mut self, now_ms: u64) -> Vec<(usize, Vec<DispatchAction>)> {
        if self.policy != Policy::Ours {
            return Vec::new();
        }
        let listed: Vec<usize> = (0..self.listed.len()).filter(|replica| self.listed[*replica]).collect();
        let replicas: Vec<Replica> = listed.iter().map(|replica| self.entry(*replica)).collect();
        for router in &mut self.routers {
            router.handle(now_ms, RouterInput::Replicas(replicas.clone()));
        }
        let mut results = Vec::new();
        for instance in 0..self.dispatchers.len() {
            let served: Vec<Replica> = listed
                .iter()
                .filter(|replica| self.serves[**replica] == instance)
                .map(|replica| self.entry(*replica))
                .collect();
            let Some(dispatcher) = &mut self.dispatchers[instance] else { continue };
            results.push((instance, dispatcher.handle(now_ms, DispatchInput::Replicas(served))));
        }
        results
    }

    /// tells a router of a message that was added to a program's prompt.
    pub fn note_boundary(&mut self, now_ms: u64, instance: usize, program: &str, boundary: Boundary) {
        if self.policy == Policy::Ours {
            self.routers[instance].add_boundary(now_ms, program, boundary);
        }
    }

    /// chooses a replica.
    pub fn choose(
        &mut self,
        now_ms: u64,
        instance: usize,
        job: &TurnJob,
        root: u64,
        excluded: &[String],
        inside: &[u32],
    ) -> Option<Choice> {
        let replica = match self.policy {
            Policy::Ours => return self.routers[instance].choose(now_ms, job, excluded),
            Policy::RoundRobin => self.in_turn(excluded)?,
            Policy::LeastLoaded => {
                let open = self.open(excluded);
                open.min_by_key(|replica| (inside[*replica], (replica + root as usize) % inside.len()))?
            }
            Policy::PrefixAffinity => {
                let open = self.open(excluded);
                open.max_by_key(|replica| xxh3_64_with_seed(&root.to_le_bytes(), *replica as u64))?
            }
        };
        Some(Choice { replica: replica_name(replica), cached_tokens: 0 })
    }

    fn in_turn(&mut self, excluded: &[String]) -> Option<usize> {
        let count = self.listed.len();
        let first = self.next_replica;
        let found = (first..first + count)
            .map(|number| number % count)
            .find(|replica| self.is_open(*replica, excluded))?;
        self.next_replica = found + 1;
        Some(found)
    }

    fn open<'a>(&'a self, excluded: &'a [String]) -> impl Iterator<Item = usize> + 'a {
        (0..self.listed.len()).filter(|replica| self.is_open(*replica, excluded))
    }

    fn is_open(&self, replica: usize, excluded: &[String]) -> bool {
        self.listed[replica] && !excluded.contains(&replica_name(replica))
    }

    fn entry(&self, replica: usize) -> Replica {
        Replica {
            name: replica_name(replica),
            model: MODEL.to_string(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: self.zones[replica].clone(),
            leaving: false,
        }
    }
}

/// name of a replica by its number.
pub fn replica_name(replica: usize) -> String {
    format!("r{replica}")
}
