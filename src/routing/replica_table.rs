use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use slotmap::SlotMap;
use slotmap::new_key_type;
use xxhash_rust::xxh3::xxh3_64;

use crate::routing::PickCriteria;
use crate::routing::leaving::LeavingStarts;
use crate::routing::pick;
use crate::schema::LeavingReplica;
use crate::schema::ReplicaUse;

/// how long an entry that vanished while the platform was away is still used after its return.
///
/// Entries lapse during an outage although their replicas live; those that do are back within this time.
const LAPSED_GRACE_MS: u64 = 2_000;
/// first time that a replica is left alone after it broke a connection; doubles with each further one.
const FIRST_REST_MS: u64 = 250;
/// longest time that a replica is left alone; an entry of a crashed replica lapses after a few seconds.
const LONGEST_REST_MS: u64 = 4_000;
/// time that a replica is left alone after it said that it is full: about as long as a turn takes, after which its queue
/// is shorter by as many requests as it has slots.
const FULL_REST_MS: u64 = 250;

new_key_type! {
    /// names a replica in the table of this process.
    pub struct ReplicaId;
}

/// what a replica says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// id, new at most starts.
    pub id: String,
    /// service.
    pub service: String,
    /// address.
    pub address: SocketAddr,
    /// availability zone.
    pub zone: String,
    /// requests that it runs at once.
    pub slots: u32,
    /// whether it is leaving.
    pub leaving: bool,
    /// start of its process in Unix milliseconds; tells two starts under one id apart.
    pub started_unix_ms: u64,
}

/// how a request to a replica went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// it answered.
    Answered,
    /// it said that it is full.
    Full,
    /// the connection could not be opened, or broke.
    ConnectionFailed,
}

/// a replica that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaPick {
    /// the replica.
    pub key: ReplicaId,
    /// its id.
    pub id: String,
    /// its address.
    pub address: SocketAddr,
    /// start of its process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// requests that it had under way as far as is known.
    pub running: u32,
}

#[derive(Debug)]
pub(super) struct Replica {
    pub entry: ReplicaEntry,
    /// requests of this door under way.
    own_running: u32,
    /// requests of other doors under way, as reported last.
    others_running: u32,
    rest_until_ms: u64,
    broken_count: u32,
    /// when the entry stops to be used, after it vanished around an outage.
    drop_at_ms: Option<u64>,
}

impl Replica {
    /// requests of this door under way, as a share of the slots.
    pub fn own_share(&self) -> f64 {
        f64::from(self.own_running) / f64::from(self.entry.slots.max(1))
    }

    /// requests of other doors under way when they reported last, as a share of the slots.
    pub fn others_share(&self) -> f64 {
        f64::from(self.others_running) / f64::from(self.entry.slots.max(1))
    }

    /// requests of all doors under way as far as is known, as a share of the slots.
    pub fn share(&self) -> f64 {
        self.own_share() + self.others_share()
    }

    fn is_usable(&self, now_ms: u64, leaving: &LeavingStarts) -> bool {
        let says_leaving = leaving.contains(&self.entry.id, self.entry.started_unix_ms);
        !self.entry.leaving && !says_leaving && self.drop_at_ms.is_none_or(|drop_at_ms| now_ms < drop_at_ms)
    }
}

/// the replicas of all services as this door knows them.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    replicas: SlotMap<ReplicaId, Replica>,
    by_id: HashMap<String, ReplicaId>,
    leaving: LeavingStarts,
    /// changes with each choice, to decide between equal replicas.
    draw: u64,
}

impl ReplicaTable {
    /// an empty table; doors with different seeds decide differently between equal replicas.
    pub fn new(seed: u64) -> Self {
        Self { draw: seed, ..Self::default() }
    }

    /// takes all entries; after an outage, those that are missing are dropped a little later.
    pub fn replace(&mut self, now_ms: u64, entries: Vec<ReplicaEntry>, after_outage: bool) {
        let mut gone: Vec<String> = self.by_id.keys().cloned().collect();
        gone.retain(|id| !entries.iter().any(|entry| entry.id == *id));
        for entry in entries {
            self.upsert(entry);
        }
        for id in gone {
            self.remove(now_ms, &id, after_outage);
        }
    }

    /// takes an entry that is new or has changed.
    pub fn upsert(&mut self, entry: ReplicaEntry) {
        self.leaving.listed(&entry.id, entry.started_unix_ms);
        if let Some(replica) = self.by_id.get(&entry.id).and_then(|key| self.replicas.get_mut(*key)) {
            if entry.started_unix_ms != replica.entry.started_unix_ms {
                replica.rest_until_ms = 0;
                replica.broken_count = 0;
            }
            replica.drop_at_ms = None;
            replica.entry = entry;
            return;
        }
        let id = entry.id.clone();
        let replica = Replica {
            entry,
            own_running: 0,
            others_running: 0,
            rest_until_ms: 0,
            broken_count: 0,
            drop_at_ms: None,
        };
        let key = self.replicas.insert(replica);
        self.by_id.insert(id, key);
    }

    /// takes note that an entry is gone.
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

    /// drops entries that stayed away after an outage.
    pub fn expire(&mut self, now_ms: u64) {
        self.leaving.expire(now_ms);
        let replicas = &mut self.replicas;
        self.by_id.retain(|_, key| {
            let stays = replicas
                .get(*key)
                .is_some_and(|replica| replica.drop_at_ms.is_none_or(|drop_at_ms| now_ms < drop_at_ms));
            if !stays {
                replicas.remove(*key);
            }
            stays
        });
    }

    /// chooses a replica and counts a request to it; `avoid` are replicas that were tried already.
    pub fn pick(
        &mut self,
        now_ms: u64,
        wanted: &PickCriteria<'_>,
        avoid: &[ReplicaId],
    ) -> Option<ReplicaPick> {
        let usable = self.replicas.iter().filter(|(key, replica)| {
            replica.entry.service == wanted.service
                && replica.is_usable(now_ms, &self.leaving)
                && !avoid.contains(key)
        });
        let usable: Vec<&Replica> = usable.map(|(_, replica)| replica).collect();
        let rested: Vec<&Replica> =
            usable.iter().copied().filter(|replica| now_ms >= replica.rest_until_ms).collect();
        // A replica that broke is better than none: it may be the only one, and back already.
        let candidates = if rested.is_empty() { &usable } else { &rested };
        self.draw = mixed(self.draw);
        let id = pick::best(wanted, self.draw, candidates)?.entry.id.clone();
        let key = *self.by_id.get(&id)?;
        let replica = self.replicas.get_mut(key)?;
        replica.own_running += 1;
        let running = replica.own_running + replica.others_running;
        let ReplicaEntry { address, started_unix_ms, .. } = replica.entry;
        Some(ReplicaPick { key, id, address, started_unix_ms, running })
    }

    /// a request to a replica is over.
    pub fn release(&mut self, key: ReplicaId) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.own_running = replica.own_running.saturating_sub(1);
        }
    }

    /// learns how a request went.
    pub fn record_outcome(&mut self, now_ms: u64, key: ReplicaId, outcome: Outcome) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        match outcome {
            Outcome::Answered => replica.broken_count = 0,
            Outcome::Full => replica.rest_until_ms = replica.rest_until_ms.max(now_ms + FULL_REST_MS),
            Outcome::ConnectionFailed => {
                let rest_ms = FIRST_REST_MS << replica.broken_count.min(8);
                replica.rest_until_ms = now_ms + rest_ms.min(LONGEST_REST_MS);
                replica.broken_count += 1;
            }
        }
    }

    /// takes note that a replica leaves, as it said itself or as another door was told; `true` if it is news.
    ///
    /// It gets no further requests, whatever its entry says, until it shows a later start.
    pub fn mark_leaving(&mut self, now_ms: u64, leaving: &LeavingReplica, is_own: bool) -> bool {
        self.leaving.hear(now_ms, leaving, is_own)
    }

    /// whether a replica that was chosen has said since that it leaves.
    pub fn is_leaving(&self, pick: &ReplicaPick) -> bool {
        self.leaving.contains(&pick.id, pick.started_unix_ms)
    }

    /// replicas that said to this door that they leave, for the other doors.
    pub fn local_leaving(&self, now_ms: u64) -> Vec<LeavingReplica> {
        self.leaving.own(now_ms)
    }

    /// takes what other doors have under way.
    pub fn set_remote_loads(&mut self, loads: &[ReplicaUse]) {
        for replica in self.replicas.values_mut() {
            replica.others_running = 0;
        }
        for load in loads {
            let known = self.by_id.get(&load.replica).and_then(|key| self.replicas.get_mut(*key));
            if let Some(replica) = known {
                replica.others_running = load.running;
            }
        }
    }

    /// what this door has under way.
    pub fn local_loads(&self) -> Vec<ReplicaUse> {
        let busy = self.replicas.values().filter(|replica| replica.own_running > 0);
        busy.map(|replica| ReplicaUse { replica: replica.entry.id.clone(), running: replica.own_running })
            .collect()
    }

    /// usable replicas of each service.
    pub fn usable_counts(&self, now_ms: u64) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for replica in self.replicas.values().filter(|replica| replica.is_usable(now_ms, &self.leaving)) {
            *counts.entry(replica.entry.service.as_str()).or_default() += 1;
        }
        counts
    }
}

/// the next of a row of numbers without a pattern.
fn mixed(draw: u64) -> u64 {
    xxh3_64(&draw.to_le_bytes())
}
