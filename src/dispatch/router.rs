use std::collections::BTreeMap;
use std::collections::HashMap;

use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::dispatch::Boundary;
use crate::dispatch::CacheIndex;
use crate::dispatch::Choice;
use crate::dispatch::Demand;
use crate::dispatch::GENERATED_TOKEN_COST;
use crate::dispatch::Placement;
use crate::dispatch::Pool;
use crate::dispatch::ProgramState;
use crate::dispatch::Replica;
use crate::dispatch::ReplicaKey;
use crate::dispatch::ReplicaState;
use crate::dispatch::RouterInput;
use crate::dispatch::SplitMix;
use crate::schema::DispatchSettings;
use crate::schema::JobFault;
use crate::schema::ReplicaLoad;
use crate::schema::TurnJob;

/// most candidates taken from the cache index for one turn.
const MAX_PREFIX_CANDIDATES: usize = 16;

/// largest share of a pool that may be ejected at once, in percent.
const MAX_EJECTED_PERCENT: usize = 40;

/// a replica whose token gap exceeds the median of its pool by this factor is ejected.
const SLOW_FACTOR: u64 = 3;

/// age at which a cache entry is ignored if cache events of its replica were lost after it was seen.
pub const UNCONFIRMED_ENTRY_TTL_MS: u64 = 300_000;

/// cost of recomputing one prompt token that is cached elsewhere: it delays every turn on the replica, not
/// only this one.
const RECOMPUTE_MS_PER_TOKEN: f64 = 10.0;

/// cost per prompt token already resident on a replica, because its cache memory is limited.
const RESIDENT_MS_PER_TOKEN: f64 = 0.03;

/// cost for a heavy workspace of starting a program on a replica reserved for light ones.
const RESERVED_MS: f64 = 5_000.0;

/// round trip to another zone.
const CROSS_ZONE_MS: f64 = 3.0;

/// number of programs with the same prefix from which it counts as shared.
const MIN_SHARING_PROGRAMS: u32 = 16;

/// idle time after which a program's state is dropped.
const MAX_PROGRAM_IDLE_MS: u64 = 3_600_000;

/// interval between two sweeps for idle programs.
const SWEEP_MS: u64 = 60_000;

/// a replica that could run a turn, with its expected cost; the lowest cost wins.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: ReplicaKey,
    cached_tokens: u64,
    expected_ms: f64,
}

/// chooses a replica for each turn of the programs that this instance owns.
///
/// Weighs cached prefixes, load, resident tokens and zones; unhealthy replicas get only probes while others
/// are left.
#[derive(Debug)]
pub struct Router {
    own_zone: String,
    gap_target_ms: u64,
    replicas: SlotMap<ReplicaKey, ReplicaState>,
    names: BTreeMap<String, ReplicaKey>,
    pools: HashMap<String, Pool>,
    cache: CacheIndex,
    demand: Demand,
    programs: HashMap<String, ProgramState>,
    choice_count: u64,
    next_sweep_ms: u64,
}

impl Router {
    /// a router without replicas.
    pub fn new(settings: &DispatchSettings, own_zone: &str) -> Self {
        Self {
            own_zone: own_zone.to_string(),
            gap_target_ms: settings.token_gap_target_ms,
            replicas: SlotMap::with_key(),
            names: BTreeMap::new(),
            pools: HashMap::new(),
            cache: CacheIndex::default(),
            demand: Demand::default(),
            programs: HashMap::new(),
            choice_count: 0,
            next_sweep_ms: SWEEP_MS,
        }
    }

    /// applies one input, and drops idle programs when a sweep is due.
    pub fn handle(&mut self, now_ms: u64, input: RouterInput) {
        self.sweep(now_ms);
        match input {
            RouterInput::Replicas(replicas) => self.set_replicas(now_ms, replicas),
            RouterInput::Loads(loads) => self.update_loads(now_ms, loads),
            RouterInput::PrefixCached { replica, prefix, .. } => {
                if let Some(key) = self.names.get(&replica) {
                    self.cache.insert(prefix, *key, now_ms);
                }
            }
            RouterInput::PrefixEvicted { replica, prefix } => {
                if let Some(key) = self.names.get(&replica) {
                    self.cache.remove(prefix, *key);
                }
            }
            RouterInput::CacheEventsLost { replica } => {
                if let Some(state) = self.state_mut(&replica) {
                    state.events_lost_ms = Some(now_ms);
                }
            }
            RouterInput::TurnFinished {
                replica,
                program,
                prompt_tokens,
                cached_tokens,
                completion_tokens,
                ..
            } => {
                let uncached_tokens = prompt_tokens.saturating_sub(cached_tokens);
                self.count_demand(
                    now_ms,
                    &program,
                    uncached_tokens + completion_tokens * GENERATED_TOKEN_COST,
                );
                self.record_finish(now_ms, &replica, &program, prompt_tokens, cached_tokens);
            }
            RouterInput::AttemptFailed { replica, fault } => self.record_failure(now_ms, &replica, fault),
            RouterInput::ProgramEnded { program } => {
                if let Some(placement) = self.programs.remove(&program).and_then(|program| program.placement)
                {
                    self.release(placement);
                }
            }
        }
    }

    /// chooses a replica for a turn, except those in `excluded`, which were tried before.
    pub fn choose(&mut self, now_ms: u64, job: &TurnJob, excluded: &[String]) -> Option<Choice> {
        let program = self.programs.entry(job.program.clone()).or_default();
        program.chain.extend(&job.messages);
        program.seen_ms = now_ms;
        if !program.counted {
            program.counted = true;
            program.workspace.clone_from(&job.workspace);
            for boundary in program.chain.boundaries() {
                self.cache.count_program(boundary.digest);
            }
        }
        self.choice_count += 1;
        let mut random = SplitMix::new(xxh3_64_with_seed(job.program.as_bytes(), self.choice_count));
        let excluded: Vec<ReplicaKey> =
            excluded.iter().filter_map(|name| self.names.get(name).copied()).collect();
        let candidate = self
            .best_sampled(now_ms, job, &excluded, &mut random)
            .or_else(|| self.best_fallback(now_ms, job, &excluded))?;
        self.record_choice(now_ms, job, candidate);
        let replica = self.replicas[candidate.key].replica.name.clone();
        Some(Choice { replica, cached_tokens: candidate.cached_tokens })
    }

    /// adds a boundary to a program's prompt, for a caller that computes the digests itself.
    pub fn add_boundary(&mut self, now_ms: u64, program: &str, boundary: Boundary) {
        let program = self.programs.entry(program.to_string()).or_default();
        program.chain.push_boundary(boundary);
        program.seen_ms = now_ms;
    }

    /// names of the replicas that are ejected or being probed.
    pub fn ejected(&self) -> Vec<&str> {
        let states = self.names.values().map(|key| &self.replicas[*key]);
        states.filter(|state| state.health.is_unhealthy()).map(|state| state.replica.name.as_str()).collect()
    }

    /// number of programs with state here.
    pub fn program_count(&self) -> usize {
        self.programs.len()
    }

    fn best_sampled(
        &self,
        now_ms: u64,
        job: &TurnJob,
        excluded: &[ReplicaKey],
        random: &mut SplitMix,
    ) -> Option<Candidate> {
        let holders = self.prefix_holders(now_ms, &job.program);
        let shared_tokens = self.shared_tokens(&job.program);
        let mut sampled = Vec::new();
        self.pools.get(&job.model)?.sample_candidates(random, &mut sampled);
        let mut best: Option<Candidate> = None;
        for (key, cached_tokens) in holders.iter().copied() {
            let Some(state) = self.replicas.get(key) else { continue };
            let fits = state.replica.model == job.model && state.health.admits(now_ms);
            if !fits || excluded.contains(&key) || state.is_leaving(now_ms) {
                continue;
            }
            keep_better(&mut best, self.candidate(now_ms, job, key, cached_tokens, shared_tokens));
        }
        for key in sampled {
            let state = &self.replicas[key];
            let is_holder = holders.iter().any(|(other, _)| *other == key);
            if is_holder
                || excluded.contains(&key)
                || state.is_leaving(now_ms)
                || !state.health.admits(now_ms)
            {
                continue;
            }
            if random.next_f64() >= state.warm_up_share(now_ms) {
                continue;
            }
            keep_better(&mut best, self.candidate(now_ms, job, key, 0, shared_tokens));
        }
        best
    }

    /// fallback: the whole pool but for leaving replicas; unhealthy ones only if no other is left.
    fn best_fallback(&self, now_ms: u64, job: &TurnJob, excluded: &[ReplicaKey]) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        let mut best_unhealthy: Option<Candidate> = None;
        for key in &self.pools.get(&job.model)?.all {
            let state = &self.replicas[*key];
            if excluded.contains(key) || state.is_leaving(now_ms) {
                continue;
            }
            let kept = if state.health.admits(now_ms) { &mut best } else { &mut best_unhealthy };
            keep_better(kept, self.candidate(now_ms, job, *key, 0, job.prompt_tokens));
        }
        best.or(best_unhealthy)
    }

    /// replicas that hold a prefix of the prompt by the cache index, each with its longest one in tokens.
    fn prefix_holders(&self, now_ms: u64, program: &str) -> Vec<(ReplicaKey, u64)> {
        let mut found: Vec<(ReplicaKey, u64)> = Vec::new();
        let Some(program) = self.programs.get(program) else { return found };
        for boundary in program.chain.boundaries() {
            for holder in self.cache.holders(boundary.digest, now_ms) {
                if found.len() == MAX_PREFIX_CANDIDATES {
                    return found;
                }
                if found.iter().any(|(key, _)| *key == holder.replica) {
                    continue;
                }
                let Some(state) = self.replicas.get(holder.replica) else { continue };
                let unconfirmed = state.events_lost_ms.is_some_and(|lost_ms| lost_ms >= holder.seen_ms);
                if unconfirmed && now_ms.saturating_sub(holder.seen_ms) > UNCONFIRMED_ENTRY_TTL_MS {
                    continue;
                }
                found.push((holder.replica, boundary.tokens));
            }
        }
        found
    }

    /// length in tokens of the longest prefix of the prompt that many programs share.
    fn shared_tokens(&self, program: &str) -> u64 {
        let Some(program) = self.programs.get(program) else { return 0 };
        let shared = |boundary: &&Boundary| self.cache.program_count(boundary.digest) >= MIN_SHARING_PROGRAMS;
        program.chain.boundaries().find(shared).map_or(0, |boundary| boundary.tokens)
    }

    /// scores a replica by the expected cost of the turn there.
    ///
    /// A prefix shared by many programs isn't counted: each replica computes it once and keeps it cached, so
    /// a hot prefix spreads over the pool.
    fn candidate(
        &self,
        now_ms: u64,
        job: &TurnJob,
        key: ReplicaKey,
        cached_tokens: u64,
        shared_tokens: u64,
    ) -> Candidate {
        let state = &self.replicas[key];
        let cached_tokens = cached_tokens.min(job.prompt_tokens);
        let zone_ms = if state.replica.zone == self.own_zone { 0.0 } else { CROSS_ZONE_MS };
        let reused_tokens = cached_tokens.max(shared_tokens.min(job.prompt_tokens));
        let uncached_tokens = job.prompt_tokens - reused_tokens;
        let recompute_ms = uncached_tokens as f64 * RECOMPUTE_MS_PER_TOKEN;
        let resident_ms = state.resident_tokens as f64 * RESIDENT_MS_PER_TOKEN;
        let turn_ms = state.load.expected_ms(now_ms, uncached_tokens);
        let is_penalized = cached_tokens <= shared_tokens && self.is_reserved_from(state, &job.workspace);
        let reserved_ms = if is_penalized { RESERVED_MS } else { 0.0 };
        let expected_ms = turn_ms + zone_ms + recompute_ms + resident_ms + reserved_ms;
        Candidate { key, cached_tokens, expected_ms }
    }

    /// whether a replica is reserved for light workspaces and this one is heavy.
    fn is_reserved_from(&self, state: &ReplicaState, workspace: &str) -> bool {
        let Some(pool) = self.pools.get(&state.replica.model) else { return false };
        let reserved_count = pool.all.len() as f64 * self.demand.reserved_share();
        (state.reserve_rank as f64) < reserved_count && self.demand.is_heavy(workspace)
    }

    fn count_demand(&mut self, now_ms: u64, program: &str, cost_tokens: u64) {
        if let Some(program) = self.programs.get(program) {
            self.demand.record(now_ms, &program.workspace, cost_tokens);
        }
    }

    fn record_choice(&mut self, now_ms: u64, job: &TurnJob, candidate: Candidate) {
        let state = &mut self.replicas[candidate.key];
        state.health.record_choice(now_ms);
        state.load.record_choice(now_ms, job.prompt_tokens - candidate.cached_tokens);
    }

    fn set_replicas(&mut self, now_ms: u64, replicas: Vec<Replica>) {
        let had_replicas = !self.names.is_empty();
        let mut names = BTreeMap::new();
        for replica in replicas {
            let name = replica.name.clone();
            let key = match self.names.remove(&name) {
                Some(key) => {
                    self.replicas[key].replica = replica;
                    key
                }
                None => self.replicas.insert(ReplicaState::new(replica, had_replicas.then_some(now_ms))),
            };
            names.insert(name, key);
        }
        for key in std::mem::replace(&mut self.names, names).into_values() {
            self.replicas.remove(key);
        }
        self.rebuild_pools();
    }

    fn rebuild_pools(&mut self) {
        self.pools.clear();
        for key in self.names.values() {
            let state = &self.replicas[*key];
            if state.replica.leaving {
                continue;
            }
            let pool = self.pools.entry(state.replica.model.clone()).or_default();
            pool.all.push(*key);
            pool.unhealthy_count += usize::from(state.health.is_unhealthy());
            if state.replica.zone == self.own_zone {
                pool.same_zone.push(*key);
            }
        }
        self.rank_reserved();
    }

    /// orders each pool by a hash of the names, so that all routers reserve the same replicas.
    fn rank_reserved(&mut self) {
        for pool in self.pools.values() {
            let hash = |key: &ReplicaKey| xxh3_64_with_seed(self.replicas[*key].replica.name.as_bytes(), 0);
            let mut order: Vec<(u64, ReplicaKey)> = pool.all.iter().map(|key| (hash(key), *key)).collect();
            order.sort_unstable();
            for (rank, (_, key)) in order.into_iter().enumerate() {
                self.replicas[key].reserve_rank = rank;
            }
        }
    }

    fn update_loads(&mut self, now_ms: u64, loads: Vec<ReplicaLoad>) {
        for load in loads {
            let Some(key) = self.names.get(&load.replica).copied() else { continue };
            self.replicas[key].load.record(now_ms, load);
            if self.is_slow(now_ms, key) {
                self.eject(now_ms, key);
            }
        }
    }

    fn is_slow(&self, now_ms: u64, key: ReplicaKey) -> bool {
        let state = &self.replicas[key];
        let gap_ms = state.load.gap_ms(now_ms);
        if gap_ms <= self.gap_target_ms || state.health.is_unhealthy() {
            return false;
        }
        let Some(pool) = self.pools.get(&state.replica.model) else { return false };
        let mut gaps: Vec<u64> = pool
            .evenly_spaced()
            .map(|other| self.replicas[*other].load.gap_ms(now_ms))
            .filter(|gap| *gap > 0)
            .collect();
        if gaps.len() < 3 {
            return false;
        }
        gaps.sort_unstable();
        gap_ms > gaps[gaps.len() / 2] * SLOW_FACTOR
    }

    fn record_finish(
        &mut self,
        now_ms: u64,
        replica: &str,
        program: &str,
        prompt_tokens: u64,
        cached_tokens: u64,
    ) {
        let Some(key) = self.names.get(replica).copied() else { return };
        let state = &mut self.replicas[key];
        if state.health.record_success() {
            state.warm_up(now_ms);
            if let Some(pool) = self.pools.get_mut(&state.replica.model) {
                pool.unhealthy_count = pool.unhealthy_count.saturating_sub(1);
            }
        }
        let Some(program) = self.programs.get_mut(program) else { return };
        program.seen_ms = now_ms;
        let placement = Placement { replica: key, tokens: prompt_tokens };
        let previous = program.placement.replace(placement);
        self.replicas[key].resident_tokens += prompt_tokens;
        for boundary in program.chain.boundaries() {
            if boundary.tokens > cached_tokens && boundary.tokens < prompt_tokens {
                self.cache.remove(boundary.digest, key);
            }
        }
        self.cache.insert(program.chain.last().digest, key, now_ms);
        if let Some(previous) = previous {
            self.release(previous);
        }
    }

    fn release(&mut self, placement: Placement) {
        if let Some(state) = self.replicas.get_mut(placement.replica) {
            state.resident_tokens = state.resident_tokens.saturating_sub(placement.tokens);
        }
    }

    fn record_failure(&mut self, now_ms: u64, replica: &str, fault: JobFault) {
        let Some(key) = self.names.get(replica).copied() else { return };
        let state = &mut self.replicas[key];
        match fault {
            JobFault::Leaving => state.report_leaving(now_ms),
            JobFault::NotSent | JobFault::Broken | JobFault::Died => {
                if state.health.record_failure() {
                    self.eject(now_ms, key);
                }
            }
            JobFault::Refused
            | JobFault::Poison
            | JobFault::Cancelled
            | JobFault::Overloaded
            | JobFault::TooLate => {}
        }
    }

    /// ejects a replica unless that would exceed the ejection limit of its pool.
    fn eject(&mut self, now_ms: u64, key: ReplicaKey) {
        let state = &mut self.replicas[key];
        let Some(pool) = self.pools.get_mut(&state.replica.model) else { return };
        if !state.health.is_unhealthy() {
            let most = (pool.all.len() * MAX_EJECTED_PERCENT / 100).max(1);
            if pool.unhealthy_count >= most || pool.all.len() < 2 {
                return;
            }
            pool.unhealthy_count += 1;
        }
        state.health.eject(now_ms);
    }

    fn sweep(&mut self, now_ms: u64) {
        if now_ms < self.next_sweep_ms {
            return;
        }
        self.next_sweep_ms = now_ms + SWEEP_MS;
        let mut dropped = Vec::new();
        self.programs.retain(|_, program| {
            let keep = now_ms.saturating_sub(program.seen_ms) <= MAX_PROGRAM_IDLE_MS;
            if !keep {
                dropped.extend(program.placement);
            }
            keep
        });
        for placement in dropped {
            self.release(placement);
        }
    }

    fn state_mut(&mut self, replica: &str) -> Option<&mut ReplicaState> {
        let key = self.names.get(replica)?;
        self.replicas.get_mut(*key)
    }
}

fn keep_better(best: &mut Option<Candidate>, candidate: Candidate) {
    if best.is_none_or(|kept| candidate.expected_ms < kept.expected_ms) {
        *best = Some(candidate);
    }
}
