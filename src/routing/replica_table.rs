use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;
use strum::IntoStaticStr;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::routing::PickCriteria;
use crate::routing::Software;
use crate::routing::SpillChange;
use crate::routing::ZoneLoad;
use crate::routing::ZoneSpill;
use crate::routing::leaving::LeavingReplicas;
use crate::routing::pick;
use crate::routing::rate_limits::LimitChange;
use crate::routing::rate_limits::RateLimits;
use crate::routing::rate_limits::RateNotice;
use crate::routing::zone_plan::ZonePlan;
use crate::schema::LeavingReplica;
use crate::schema::LimitShare;
use crate::schema::LimitUse;
use crate::schema::ReplicaUse;

/// how long an entry that disappeared around a platform outage is still used.
///
/// Entries lapse during an outage although their replicas run; those replicas are listed again within this
/// time.
const LAPSED_GRACE_MS: u64 = 2_000;
/// backoff after the first connection failure of a replica; doubles with each further one.
const FIRST_BACKOFF_MS: u64 = 250;
/// longest backoff; the entry of a crashed replica lapses after a few seconds anyway.
const MAX_BACKOFF_MS: u64 = 4_000;
/// backoff after a replica reported that it is full: about as long as a turn takes, after which its queue is
/// shorter by as many requests as it has slots.
const FULL_BACKOFF_MS: u64 = 250;

new_key_type! {
    /// key of a replica in the table of this process.
    pub struct ReplicaId;
}

/// a replica as it is registered on the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// id; most starts have a new one.
    pub id: String,
    /// name of its service.
    pub service: String,
    /// where it accepts requests.
    pub address: SocketAddr,
    /// availability zone it runs in.
    pub zone: String,
    /// version of its software.
    pub version: String,
    /// requests that it runs concurrently.
    pub slots: u32,
    /// whether it is draining and takes no new requests.
    pub leaving: bool,
    /// start of its process in Unix milliseconds; distinguishes restarts under the same id.
    pub started_unix_ms: u64,
}

/// result of a request, as far as it says something about the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// it responded.
    Answered,
    /// it rejected the request because it is full.
    Full,
    /// the connection could not be opened or was lost.
    ConnectionFailed,
}

/// a replica chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaPick {
    /// its key in the table.
    pub key: ReplicaId,
    /// its id.
    pub id: String,
    /// where it accepts requests.
    pub address: SocketAddr,
    /// start of its process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// what it runs, by its entry.
    pub software: Software,
    /// requests in flight at it through all doors, this one included; those of other doors are the last
    /// reported.
    pub running: u32,
    /// why the request leaves the availability zone of the door; `None` if it does not, or zones have no price.
    pub crossing: Option<Crossing>,
}

/// why a request leaves the availability zone of its door.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Crossing {
    /// the replicas of the zone are too busy.
    Spill,
    /// the program's prompt is cached elsewhere.
    Home,
    /// the affinity key belongs elsewhere.
    Key,
    /// no replica of the zone can be chosen.
    NoReplica,
    /// the replicas of the zone take no more requests of this door now.
    Limited,
}

/// why no replica can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPick {
    /// no usable replica is known that was not tried.
    NoReplica,
    /// the replicas take no more requests of this door now.
    Limited {
        /// time until one of them does.
        retry_after: Duration,
    },
}

impl NoPick {
    /// the same, if a replica of the service may also take a request after a backoff.
    pub(super) fn or_after(self, backoff: Option<Duration>) -> Self {
        match self {
            Self::NoReplica => Self::NoReplica,
            Self::Limited { retry_after } => {
                Self::Limited { retry_after: backoff.map_or(retry_after, |backoff| backoff.min(retry_after)) }
            }
        }
    }
}

#[derive(Debug)]
pub(super) struct Replica {
    pub entry: ReplicaEntry,
    /// requests of this door in flight.
    local_running: u32,
    /// requests of other doors in flight, as last reported.
    remote_running: u32,
    retry_at_ms: u64,
    failure_count: u32,
    /// when an entry that disappeared around an outage is dropped.
    drop_at_ms: Option<u64>,
}

impl Replica {
    /// requests of this door in flight, as a share of the slots.
    pub fn local_load(&self) -> f64 {
        f64::from(self.local_running) / f64::from(self.entry.slots.max(1))
    }

    /// requests of other doors in flight at their last reports, as a share of the slots.
    pub fn remote_load(&self) -> f64 {
        f64::from(self.remote_running) / f64::from(self.entry.slots.max(1))
    }

    /// sum of the local and the remote load.
    pub fn load(&self) -> f64 {
        self.local_load() + self.remote_load()
    }

    fn is_usable(&self, now_ms: u64, leaving: &LeavingReplicas) -> bool {
        let is_announced = leaving.contains(&self.entry.id, self.entry.started_unix_ms);
        !self.entry.leaving && !is_announced && self.drop_at_ms.is_none_or(|drop_at_ms| now_ms < drop_at_ms)
    }
}

/// the replicas of all services known to this door, and their load.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    replicas: SlotMap<ReplicaId, Replica>,
    by_id: HashMap<String, ReplicaId>,
    leaving: LeavingReplicas,
    limits: RateLimits,
    /// state of the pseudorandom numbers that break ties between replicas.
    random: u64,
    /// how much leaves the availability zone; `None` if zones have no price.
    zone_spill: Option<ZoneSpill>,
}

impl ReplicaTable {
    /// an empty table; doors with different seeds break ties differently.
    pub fn new(seed: u64) -> Self {
        Self { random: seed, ..Self::default() }
    }

    /// lets requests leave the availability zone only where that saves more wait than it costs.
    pub fn set_leave_cost(&mut self, leave_cost_ms: f64) {
        self.zone_spill = Some(ZoneSpill::new(leave_cost_ms));
    }

    /// share of each service's new work that leaves the zone; none if zones have no price.
    pub fn spill_shares(&self) -> Vec<(&str, f64)> {
        self.zone_spill.as_ref().map(ZoneSpill::shares).unwrap_or_default()
    }

    /// spill shares that started or ended since the last call.
    pub fn take_spill_changes(&mut self) -> Vec<SpillChange> {
        self.zone_spill.as_mut().map(ZoneSpill::take_changes).unwrap_or_default()
    }

    /// replaces all entries; after an outage, missing ones are kept for a grace period.
    pub fn replace(&mut self, now_ms: u64, entries: Vec<ReplicaEntry>, after_outage: bool) {
        let mut removed: Vec<String> = self.by_id.keys().cloned().collect();
        removed.retain(|id| !entries.iter().any(|entry| entry.id == *id));
        for entry in entries {
            self.upsert(entry);
        }
        for id in removed {
            self.remove(now_ms, &id, after_outage);
        }
    }

    /// other replicas that are listed at the address of one that is new there: they have ended.
    pub fn replaced_by(&self, entry: &ReplicaEntry) -> Vec<String> {
        if self.entry(&entry.id).is_some_and(|known| known.address == entry.address) {
            return Vec::new();
        }
        let entries = self.replicas.values().map(|replica| &replica.entry);
        let others = entries.filter(|other| other.address == entry.address && other.id != entry.id);
        others.map(|other| other.id.clone()).collect()
    }

    /// adds or updates an entry; a new start of the replica clears its backoff.
    pub fn upsert(&mut self, entry: ReplicaEntry) {
        self.leaving.observe_start(&entry.id, entry.started_unix_ms);
        if let Some(replica) = self.by_id.get(&entry.id).and_then(|key| self.replicas.get_mut(*key)) {
            if entry.started_unix_ms != replica.entry.started_unix_ms {
                replica.retry_at_ms = 0;
                replica.failure_count = 0;
            }
            replica.drop_at_ms = None;
            replica.entry = entry;
            return;
        }
        let id = entry.id.clone();
        let replica = Replica {
            entry,
            local_running: 0,
            remote_running: 0,
            retry_at_ms: 0,
            failure_count: 0,
            drop_at_ms: None,
        };
        let key = self.replicas.insert(replica);
        self.by_id.insert(id, key);
    }

    /// removes an entry; after an outage only when the grace period has passed.
    pub fn remove(&mut self, now_ms: u64, id: &str, after_outage: bool) {
        let Some(key) = self.by_id.get(id).copied() else {
            return;
        };
        if let Some(replica) = self.replicas.get_mut(key).filter(|_| after_outage) {
            replica.drop_at_ms.get_or_insert(now_ms + LAPSED_GRACE_MS);
            return;
        }
        self.by_id.remove(id);
        self.replicas.remove(key);
    }

    /// drops entries whose grace period after an outage has passed, and old announcements of leaving.
    pub fn expire(&mut self, now_ms: u64) {
        self.leaving.expire(now_ms);
        self.limits.expire(now_ms);
        let replicas = &mut self.replicas;
        self.by_id.retain(|_, key| {
            let keeps = replicas
                .get(*key)
                .is_some_and(|replica| replica.drop_at_ms.is_none_or(|drop_at_ms| now_ms < drop_at_ms));
            if !keeps {
                replicas.remove(*key);
            }
            keeps
        });
    }

    /// chooses a replica and counts a request in flight to it; `avoid` are replicas that were tried already.
    pub fn pick(
        &mut self,
        now_ms: u64,
        criteria: &PickCriteria<'_>,
        avoid: &[ReplicaId],
    ) -> Result<ReplicaPick, NoPick> {
        self.step_zone_spill(now_ms, criteria);
        let usable = self.replicas.iter().filter(|(key, replica)| {
            replica.entry.service == criteria.service
                && criteria.version.is_none_or(|version| replica.entry.version == version)
                && replica.is_usable(now_ms, &self.leaving)
                && !avoid.contains(key)
        });
        let usable: Vec<&Replica> = usable.map(|(_, replica)| replica).collect();
        let ready: Vec<&Replica> =
            usable.iter().copied().filter(|replica| now_ms >= replica.retry_at_ms).collect();
        let in_backoff = usable.iter().filter(|replica| now_ms < replica.retry_at_ms);
        let backoff = in_backoff.map(|replica| Duration::from_millis(replica.retry_at_ms - now_ms)).min();
        // A replica in backoff is better than none: it may be the only one, and have recovered already.
        let candidates = if ready.is_empty() { usable } else { ready };
        self.random = next_random(self.random);
        let plan = ZonePlan::new(self.zone_spill.as_ref(), criteria, self.random, candidates);
        let reason = plan.reason;
        let (id, is_first_choice) = plan
            .choose(|candidates| {
                best_within_limits(now_ms, criteria, self.random, candidates, &mut self.limits)
            })
            .map_err(|no_pick| no_pick.or_after(backoff))?;
        let key = *self.by_id.get(&id).ok_or(NoPick::NoReplica)?;
        let replica = self.replicas.get_mut(key).ok_or(NoPick::NoReplica)?;
        replica.local_running += 1;
        let running = replica.local_running + replica.remote_running;
        let reason = if is_first_choice { reason } else { Some(Crossing::Limited) };
        let crossing = reason.filter(|_| replica.entry.zone != criteria.zone);
        if let Some(spill) = &mut self.zone_spill {
            spill.record_begin(criteria.service);
        }
        let ReplicaEntry { address, started_unix_ms, ref service, ref version, .. } = replica.entry;
        let software = Software { service: service.clone(), version: version.clone() };
        Ok(ReplicaPick { key, id, address, started_unix_ms, software, running, crossing })
    }

    /// lets the spill share of a service follow the loads if its next step is due.
    fn step_zone_spill(&mut self, now_ms: u64, criteria: &PickCriteria<'_>) {
        let Some(spill) = self.zone_spill.as_mut().filter(|spill| spill.is_due(now_ms, criteria.service))
        else {
            return;
        };
        let mut local_running = 0;
        let mut loads: BTreeMap<&str, ZoneLoad<'_>> = BTreeMap::new();
        for replica in self.replicas.values() {
            if replica.entry.service != criteria.service || !replica.is_usable(now_ms, &self.leaving) {
                continue;
            }
            let zone = replica.entry.zone.as_str();
            let load = loads.entry(zone).or_insert(ZoneLoad { zone, slots: 0, running: 0 });
            load.slots += replica.entry.slots;
            load.running += replica.local_running + replica.remote_running;
            local_running += replica.local_running;
        }
        let loads: Vec<ZoneLoad<'_>> = loads.into_values().collect();
        spill.step(now_ms, criteria.service, criteria.zone, &loads, local_running);
    }

    /// address of a replica if this start of it is listed.
    pub fn address(&self, id: &str, started_unix_ms: u64) -> Option<SocketAddr> {
        let entry = self.entry(id)?;
        (entry.started_unix_ms == started_unix_ms).then_some(entry.address)
    }

    /// up to `count` usable replicas, chosen at random, as many of each service as possible: all replicas of one
    /// service may be down.
    pub fn sample(&mut self, now_ms: u64, count: usize) -> Vec<ReplicaEntry> {
        self.random = next_random(self.random);
        let random = self.random;
        let usable = self.replicas.values().filter(|replica| replica.is_usable(now_ms, &self.leaving));
        let mut entries: Vec<&ReplicaEntry> = usable.map(|replica| &replica.entry).collect();
        entries.sort_by_cached_key(|entry| xxh3_64_with_seed(entry.id.as_bytes(), random));
        let mut of_service: HashMap<&str, usize> = HashMap::new();
        let ranked = entries.into_iter().map(|entry| {
            let rank = of_service.entry(&entry.service).or_default();
            *rank += 1;
            (*rank, entry)
        });
        let mut ranked: Vec<(usize, &ReplicaEntry)> = ranked.collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().take(count).map(|(_, entry)| entry.clone()).collect()
    }

    /// service of a listed replica.
    pub fn service(&self, id: &str) -> Option<&str> {
        self.entry(id).map(|entry| entry.service.as_str())
    }

    fn entry(&self, id: &str) -> Option<&ReplicaEntry> {
        let key = self.by_id.get(id)?;
        self.replicas.get(*key).map(|replica| &replica.entry)
    }

    /// ends a request in flight to a replica.
    pub fn release(&mut self, key: ReplicaId) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.local_running = replica.local_running.saturating_sub(1);
        }
    }

    /// adjusts the backoff of a replica to the outcome of a request.
    pub fn record_outcome(&mut self, now_ms: u64, key: ReplicaId, outcome: Outcome) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        match outcome {
            Outcome::Answered => replica.failure_count = 0,
            Outcome::Full => replica.retry_at_ms = replica.retry_at_ms.max(now_ms + FULL_BACKOFF_MS),
            Outcome::ConnectionFailed => {
                let backoff_ms = FIRST_BACKOFF_MS << replica.failure_count.min(8);
                replica.retry_at_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
                replica.failure_count += 1;
            }
        }
    }

    /// handles the rate limit that an answer of a replica names; returns what changes by it.
    pub fn observe_limit(
        &mut self,
        now_ms: u64,
        pick: &ReplicaPick,
        notice: RateNotice,
    ) -> Option<LimitChange> {
        self.limits.observe(now_ms, &pick.id, pick.started_unix_ms, notice)
    }

    /// replaces this door's shares of the limits of replicas; returns the replicas whose limits change.
    pub fn apply_limit_shares(&mut self, now_ms: u64, shares: &[LimitShare]) -> Vec<(String, LimitChange)> {
        self.limits.apply_shares(now_ms, shares)
    }

    /// sets the number of ready doors, this one included, among which limits are divided where reports are
    /// missing.
    pub fn set_door_count(&mut self, door_count: usize) {
        self.limits.set_door_count(door_count);
    }

    /// limits of replicas and this door's demand, to be reported to other doors.
    pub fn limit_uses(&self, now_ms: u64) -> Vec<LimitUse> {
        self.limits.uses(now_ms)
    }

    /// counts a request that is sent outside of `pick` against a replica's limit, such as a health check.
    pub fn charge_limit(&mut self, now_ms: u64, id: &str, started_unix_ms: u64) {
        self.limits.charge(now_ms, id, started_unix_ms);
    }

    /// records that a replica is leaving; `is_local` if it told this door, not another one. `true` if that
    /// was not known.
    ///
    /// It gets no further requests, whatever its entry says, until it is listed with a later start.
    pub fn mark_leaving(&mut self, now_ms: u64, leaving: &LeavingReplica, is_local: bool) -> bool {
        self.leaving.record(now_ms, leaving, is_local)
    }

    /// whether a chosen replica has announced by now that it is leaving.
    pub fn is_leaving(&self, pick: &ReplicaPick) -> bool {
        self.leaving.contains(&pick.id, pick.started_unix_ms)
    }

    /// leaving replicas that told this door, to be reported to other doors.
    pub fn local_leaving(&self, now_ms: u64) -> Vec<LeavingReplica> {
        self.leaving.local(now_ms)
    }

    /// replaces the requests that other doors have in flight; replicas not named have none.
    pub fn set_remote_loads(&mut self, loads: &[ReplicaUse]) {
        for replica in self.replicas.values_mut() {
            replica.remote_running = 0;
        }
        for load in loads {
            let known = self.by_id.get(&load.replica).and_then(|key| self.replicas.get_mut(*key));
            if let Some(replica) = known {
                replica.remote_running = load.running;
            }
        }
    }

    /// requests that this door has in flight, at replicas with any.
    pub fn local_loads(&self) -> Vec<ReplicaUse> {
        let busy = self.replicas.values().filter(|replica| replica.local_running > 0);
        busy.map(|replica| ReplicaUse { replica: replica.entry.id.clone(), running: replica.local_running })
            .collect()
    }

    /// version that all usable replicas of a service run; `None` if there are several, or no replica.
    pub fn sole_version(&self, now_ms: u64, service: &str) -> Option<&str> {
        let usable = self
            .replicas
            .values()
            .filter(|replica| replica.entry.service == service && replica.is_usable(now_ms, &self.leaving));
        let mut versions = usable.map(|replica| replica.entry.version.as_str());
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    /// number of usable replicas of each service; services without one are absent.
    pub fn usable_counts(&self, now_ms: u64) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for replica in self.replicas.values().filter(|replica| replica.is_usable(now_ms, &self.leaving)) {
            *counts.entry(replica.entry.service.as_str()).or_default() += 1;
        }
        counts
    }
}

/// the best candidate whose rate limit leaves this door a request, which is taken.
fn best_within_limits(
    now_ms: u64,
    criteria: &PickCriteria<'_>,
    random: u64,
    mut candidates: Vec<&Replica>,
    limits: &mut RateLimits,
) -> Result<String, NoPick> {
    let mut wait: Option<Duration> = None;
    loop {
        let spare = pick::without_limit(criteria, &candidates, |replica| {
            limits.is_confirmed(now_ms, &replica.entry.id, replica.entry.started_unix_ms)
        });
        let Some(best) = pick::best(criteria, random, spare.as_deref().unwrap_or(&candidates)) else {
            return Err(wait.map_or(NoPick::NoReplica, |retry_after| NoPick::Limited { retry_after }));
        };
        if let Some(retry_after) = wait.filter(|wait| *wait <= criteria.max_wait && pick::is_busy(best)) {
            return Err(NoPick::Limited { retry_after });
        }
        if !criteria.has_waited {
            limits.record_demand(now_ms, &best.entry.id, best.entry.started_unix_ms);
        }
        match limits.take(now_ms, &best.entry.id, best.entry.started_unix_ms) {
            Ok(()) => return Ok(best.entry.id.clone()),
            Err(longer) => wait = Some(wait.map_or(longer, |shortest| shortest.min(longer))),
        }
        let refused = &best.entry.id;
        candidates.retain(|replica| replica.entry.id != *refused);
    }
}

/// the next pseudorandom number after `random`.
fn next_random(random: u64) -> u64 {
    xxh3_64(&random.to_le_bytes())
}
