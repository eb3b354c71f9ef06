use std::collections::BTreeMap;
use std::collections::HashMap;

use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::dispatch::Boundary;
use crate::dispatch::CacheIndex;
use crate::dispatch::Choice;
use crate::dispatch::Demand;
use crate::dispatch::GENERATED_TOKEN_COST;
use crate::dispatch::Home;
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

/// most candidates that are taken from the beliefs about caches.
const MAX_AFFINE: usize = 16;

/// share of a pool that may be ejected at once, in percent.
const MAX_EJECTED_PERCENT: usize = 40;

/// a replica this many times slower than the median of its pool is ejected.
const SLOW_FACTOR: u64 = 3;

/// age at which a belief is dropped when events of the replica's cache were lost since.
pub const UNCONFIRMED_ENTRY_TTL_MS: u64 = 300_000;

/// price of leaving a prefix behind: what recomputing it costs everyone, not the turn alone.
const MOVE_MS_PER_TOKEN: f64 = 10.0;

/// price of adding to the live prefixes of a replica, whose memory is limited.
const RESIDENT_MS_PER_TOKEN: f64 = 0.03;

/// price for a heavy workspace of starting a program on a replica that is kept quiet.
const QUIET_MS: f64 = 5_000.0;

/// cost of crossing to another zone and back.
const FAR_ZONE_MS: f64 = 3.0;

/// programs that start with the same prefix before it counts as shared.
const MIN_SHARING_PROGRAMS: u32 = 16;

/// time after which a program that was not heard of is forgotten.
const MAX_PROGRAM_IDLE_MS: u64 = 3_600_000;

/// time between two searches for such programs.
const SWEEP_MS: u64 = 60_000;

/// a replica that could run a turn.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: ReplicaKey,
    cached_tokens: u64,
    expected_ms: f64,
}

/// chooses a replica for each turn of the programs that this instance owns.
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
    choices: u64,
    next_sweep_ms: u64,
}

impl Router {
    /// a router that knows no replica yet.
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
            choices: 0,
            next_sweep_ms: SWEEP_MS,
        }
    }

    /// takes one input.
    pub fn handle(&mut self, now_ms: u64, input: RouterInput) {
        self.sweep(now_ms);
        match input {
            RouterInput::Replicas(replicas) => self.set_replicas(now_ms, replicas),
            RouterInput::Loads(loads) => self.take_loads(now_ms, loads),
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
                    state.gap_at_ms = Some(now_ms);
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
                self.finished(now_ms, &replica, &program, prompt_tokens, cached_tokens);
            }
            RouterInput::AttemptFailed { replica, fault } => self.failed(now_ms, &replica, fault),
            RouterInput::ProgramEnded { program } => {
                if let Some(home) = self.programs.remove(&program).and_then(|program| program.home) {
                    self.leave(home);
                }
            }
        }
    }

    /// chooses a replica for a turn, leaving out those that were tried before.
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
        self.choices += 1;
        let mut random = SplitMix::new(xxh3_64_with_seed(job.program.as_bytes(), self.choices));
        let excluded: Vec<ReplicaKey> =
            excluded.iter().filter_map(|name| self.names.get(name).copied()).collect();
        let candidate = self
            .best_affine_or_drawn(now_ms, job, &excluded, &mut random)
            .or_else(|| self.best_of_all(now_ms, job, &excluded))?;
        self.note_choice(now_ms, job, candidate);
        let replica = self.replicas[candidate.key].replica.name.clone();
        Some(Choice { replica, cached_tokens: candidate.cached_tokens })
    }

    /// adds a boundary to a program's prompt, for a caller that digests messages by itself.
    pub fn add_boundary(&mut self, now_ms: u64, program: &str, boundary: Boundary) {
        let program = self.programs.entry(program.to_string()).or_default();
        program.chain.push_boundary(boundary);
        program.seen_ms = now_ms;
    }

    /// names of the replicas that are ejected or on probation.
    pub fn ejected(&self) -> Vec<&str> {
        let states = self.names.values().map(|key| &self.replicas[*key]);
        states.filter(|state| state.health.is_out()).map(|state| state.replica.name.as_str()).collect()
    }

    /// number of programs that are remembered.
    pub fn program_count(&self) -> usize {
        self.programs.len()
    }

    fn best_affine_or_drawn(
        &self,
        now_ms: u64,
        job: &TurnJob,
        excluded: &[ReplicaKey],
        random: &mut SplitMix,
    ) -> Option<Candidate> {
        let affine = self.affine(now_ms, &job.program);
        let shared_tokens = self.shared_tokens(&job.program);
        let mut drawn = Vec::new();
        self.pools.get(&job.model)?.draw(random, &mut drawn);
        let mut best: Option<Candidate> = None;
        for (key, cached_tokens) in affine.iter().copied() {
            let Some(state) = self.replicas.get(key) else { continue };
            let fits = state.replica.model == job.model && state.health.admits(now_ms);
            if !fits || excluded.contains(&key) || state.is_leaving(now_ms) {
                continue;
            }
            keep_better(&mut best, self.candidate(now_ms, job, key, cached_tokens, shared_tokens));
        }
        for key in drawn {
            let state = &self.replicas[key];
            let known = affine.iter().any(|(other, _)| *other == key);
            if known || excluded.contains(&key) || state.is_leaving(now_ms) || !state.health.admits(now_ms) {
                continue;
            }
            if random.next_f64() >= state.warm_share(now_ms) {
                continue;
            }
            keep_better(&mut best, self.candidate(now_ms, job, key, 0, shared_tokens));
        }
        best
    }

    /// the last resort: every replica that is not leaving, healthy ones first.
    fn best_of_all(&self, now_ms: u64, job: &TurnJob, excluded: &[ReplicaKey]) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        let mut best_out: Option<Candidate> = None;
        for key in &self.pools.get(&job.model)?.all {
            let state = &self.replicas[*key];
            if excluded.contains(key) || state.is_leaving(now_ms) {
                continue;
            }
            let kept = if state.health.admits(now_ms) { &mut best } else { &mut best_out };
            keep_better(kept, self.candidate(now_ms, job, *key, 0, job.prompt_tokens));
        }
        best.or(best_out)
    }

    /// replicas believed to hold a part of the prompt, each with the longest part.
    fn affine(&self, now_ms: u64, program: &str) -> Vec<(ReplicaKey, u64)> {
        let mut found: Vec<(ReplicaKey, u64)> = Vec::new();
        let Some(program) = self.programs.get(program) else { return found };
        for boundary in program.chain.boundaries() {
            for holder in self.cache.holders(boundary.digest, now_ms) {
                if found.len() == MAX_AFFINE {
                    return found;
                }
                if found.iter().any(|(key, _)| *key == holder.replica) {
                    continue;
                }
                let Some(state) = self.replicas.get(holder.replica) else { continue };
                let doubtful = state.gap_at_ms.is_some_and(|gap_ms| gap_ms >= holder.seen_ms);
                if doubtful && now_ms.saturating_sub(holder.seen_ms) > UNCONFIRMED_ENTRY_TTL_MS {
                    continue;
                }
                found.push((holder.replica, boundary.tokens));
            }
        }
        found
    }

    /// length of the part of the prompt that many programs share.
    fn shared_tokens(&self, program: &str) -> u64 {
        let Some(program) = self.programs.get(program) else { return 0 };
        let shared = |boundary: &&Boundary| self.cache.program_count(boundary.digest) >= MIN_SHARING_PROGRAMS;
        program.chain.boundaries().find(shared).map_or(0, |boundary| boundary.tokens)
    }

    /// a replica with what the turn is expected to cost there.
    ///
    /// A prefix that many programs share is not counted: each replica reads it once and keeps it,
    /// so a hot prefix spreads over the pool.
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
        let zone_ms = if state.replica.zone == self.own_zone { 0.0 } else { FAR_ZONE_MS };
        let known_tokens = cached_tokens.max(shared_tokens.min(job.prompt_tokens));
        let unknown_tokens = job.prompt_tokens - known_tokens;
        let move_ms = unknown_tokens as f64 * MOVE_MS_PER_TOKEN;
        let resident_ms = state.resident_tokens as f64 * RESIDENT_MS_PER_TOKEN;
        let turn_ms = state.load.expected_ms(now_ms, unknown_tokens);
        let keeps_out = cached_tokens <= shared_tokens && self.is_kept_from(state, &job.workspace);
        let quiet_ms = if keeps_out { QUIET_MS } else { 0.0 };
        let expected_ms = turn_ms + zone_ms + move_ms + resident_ms + quiet_ms;
        Candidate { key, cached_tokens, expected_ms }
    }

    /// tells whether a replica is kept quiet for others than this workspace.
    fn is_kept_from(&self, state: &ReplicaState, workspace: &str) -> bool {
        let Some(pool) = self.pools.get(&state.replica.model) else { return false };
        let quiet_count = pool.all.len() as f64 * self.demand.quiet_share();
        (state.quiet_rank as f64) < quiet_count && self.demand.is_heavy(workspace)
    }

    fn count_demand(&mut self, now_ms: u64, program: &str, cost_tokens: u64) {
        if let Some(program) = self.programs.get(program) {
            self.demand.record(now_ms, &program.workspace, cost_tokens);
        }
    }

    fn note_choice(&mut self, now_ms: u64, job: &TurnJob, candidate: Candidate) {
        let state = &mut self.replicas[candidate.key];
        state.health.chosen(now_ms);
        state.load.chosen(now_ms, job.prompt_tokens - candidate.cached_tokens);
    }

    fn set_replicas(&mut self, now_ms: u64, replicas: Vec<Replica>) {
        let running = !self.names.is_empty();
        let mut names = BTreeMap::new();
        for replica in replicas {
            let name = replica.name.clone();
            let key = match self.names.remove(&name) {
                Some(key) => {
                    self.replicas[key].replica = replica;
                    key
                }
                None => self.replicas.insert(ReplicaState::new(replica, running.then_some(now_ms))),
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
            pool.out_count += usize::from(state.health.is_out());
            if state.replica.zone == self.own_zone {
                pool.near.push(*key);
            }
        }
        self.rank_quiet();
    }

    /// orders each pool by a hash of the names, so that all routers keep the same replicas quiet.
    fn rank_quiet(&mut self) {
        for pool in self.pools.values() {
            let hash = |key: &ReplicaKey| xxh3_64_with_seed(self.replicas[*key].replica.name.as_bytes(), 0);
            let mut order: Vec<(u64, ReplicaKey)> = pool.all.iter().map(|key| (hash(key), *key)).collect();
            order.sort_unstable();
            for (rank, (_, key)) in order.into_iter().enumerate() {
                self.replicas[key].quiet_rank = rank;
            }
        }
    }

    fn take_loads(&mut self, now_ms: u64, loads: Vec<ReplicaLoad>) {
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
        if gap_ms <= self.gap_target_ms || state.health.is_out() {
            return false;
        }
        let Some(pool) = self.pools.get(&state.replica.model) else { return false };
        let mut gaps: Vec<u64> = pool
            .sample()
            .map(|other| self.replicas[*other].load.gap_ms(now_ms))
            .filter(|gap| *gap > 0)
            .collect();
        if gaps.len() < 3 {
            return false;
        }
        gaps.sort_unstable();
        gap_ms > gaps[gaps.len() / 2] * SLOW_FACTOR
    }

    fn finished(
        &mut self,
        now_ms: u64,
        replica: &str,
        program: &str,
        prompt_tokens: u64,
        cached_tokens: u64,
    ) {
        let Some(key) = self.names.get(replica).copied() else { return };
        let state = &mut self.replicas[key];
        if state.health.succeeded() {
            state.warm_up(now_ms);
            if let Some(pool) = self.pools.get_mut(&state.replica.model) {
                pool.out_count = pool.out_count.saturating_sub(1);
            }
        }
        let Some(program) = self.programs.get_mut(program) else { return };
        program.seen_ms = now_ms;
        let home = Home { replica: key, tokens: prompt_tokens };
        let before = program.home.replace(home);
        self.replicas[key].resident_tokens += prompt_tokens;
        for boundary in program.chain.boundaries() {
            if boundary.tokens > cached_tokens && boundary.tokens < prompt_tokens {
                self.cache.remove(boundary.digest, key);
            }
        }
        self.cache.insert(program.chain.last().digest, key, now_ms);
        if let Some(before) = before {
            self.leave(before);
        }
    }

    fn leave(&mut self, home: Home) {
        if let Some(state) = self.replicas.get_mut(home.replica) {
            state.resident_tokens = state.resident_tokens.saturating_sub(home.tokens);
        }
    }

    fn failed(&mut self, now_ms: u64, replica: &str, fault: JobFault) {
        let Some(key) = self.names.get(replica).copied() else { return };
        let state = &mut self.replicas[key];
        match fault {
            JobFault::Leaving => state.said_leaving(now_ms),
            JobFault::NotSent | JobFault::Broken | JobFault::Died => {
                if state.health.failed() {
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

    /// ejects a replica unless too many of its pool are out.
    fn eject(&mut self, now_ms: u64, key: ReplicaKey) {
        let state = &mut self.replicas[key];
        let Some(pool) = self.pools.get_mut(&state.replica.model) else { return };
        if !state.health.is_out() {
            let most = (pool.all.len() * MAX_EJECTED_PERCENT / 100).max(1);
            if pool.out_count >= most || pool.all.len() < 2 {
                return;
            }
            pool.out_count += 1;
        }
        state.health.eject(now_ms);
    }

    fn sweep(&mut self, now_ms: u64) {
        if now_ms < self.next_sweep_ms {
            return;
        }
        self.next_sweep_ms = now_ms + SWEEP_MS;
        let mut left = Vec::new();
        self.programs.retain(|_, program| {
            let keep = now_ms.saturating_sub(program.seen_ms) <= MAX_PROGRAM_IDLE_MS;
            if !keep {
                left.extend(program.home);
            }
            keep
        });
        for home in left {
            self.leave(home);
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
