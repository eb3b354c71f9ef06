use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::Member;
use crate::membership::wire;
use crate::schema::MemberHealth;
use crate::schema::MemberRecord;

/// what is known of one other instance.
#[derive(Debug)]
pub(super) struct Peer {
    pub member: Member,
    /// grows each time the member refutes a suspicion.
    pub refutation: u32,
    /// smoothed round trip of direct probes.
    pub round_trip_ms: u64,
    /// when the member was found to be gone.
    pub gone_ms: u64,
}

impl Peer {
    pub fn record(&self) -> MemberRecord {
        wire::record(&self.member, self.refutation)
    }

    /// hash of what all instances should agree on.
    pub fn version_hash(&self) -> u64 {
        version_hash(&self.member, self.refutation)
    }
}

/// what a record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Merged {
    /// nothing: the record says what was known.
    Same,
    /// nothing: the record is older than what is known.
    Stale,
    /// nothing: the record cannot be used.
    Ignored,
    /// only the configuration in force.
    Version,
    /// a suspicion.
    Suspected,
    /// a new member or a new start of one.
    Joined,
    /// anything else: a refutation, a death, a departure.
    Changed,
}

/// the other instances by name; merging records in any order gives the same result.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    peers: BTreeMap<String, Peer>,
    digest: u64,
}

impl PeerTable {
    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// members that are not gone.
    pub fn running(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| !peer.member.is_gone())
    }

    /// digest of the running members.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// merges what another instance says of a member.
    pub fn merge(&mut self, record: &MemberRecord, now_ms: u64) -> Merged {
        let Some(known) = self.peers.get_mut(&record.name) else {
            return self.insert_new(record, now_ms);
        };
        let known_incarnation = known.member.incarnation.as_str();
        if record.incarnation.as_str() < known_incarnation {
            return Merged::Stale;
        }
        if record.incarnation.as_str() > known_incarnation {
            return self.replace(record, now_ms);
        }
        let before = known.version_hash();
        let was_suspect = known.member.health == MemberHealth::Suspect;
        let merged = join(known, record);
        if merged == Merged::Changed && known.member.is_gone() {
            known.gone_ms = now_ms;
        }
        let became_suspect = known.member.health == MemberHealth::Suspect && !was_suspect;
        let is_gone = known.member.is_gone();
        let after = known.version_hash();
        self.rehash(&record.name, before, after, is_gone);
        if merged == Merged::Changed && became_suspect { Merged::Suspected } else { merged }
    }

    /// merges what a sender says of itself; `None` when its record is needed first.
    pub fn merge_sender(
        &mut self,
        name: &str,
        incarnation: &str,
        refutation: u32,
        release_version: u64,
        now_ms: u64,
    ) -> Option<Merged> {
        let known = self.peers.get(name)?;
        if incarnation > known.member.incarnation.as_str() {
            return None;
        }
        let mut record = known.record();
        record.incarnation = incarnation.to_owned();
        record.refutation = refutation;
        record.health = MemberHealth::Alive;
        record.release_version = release_version;
        Some(self.merge(&record, now_ms))
    }

    /// changes the health of a known member, on this instance's own judgement.
    pub fn judge(&mut self, name: &str, health: MemberHealth, now_ms: u64) -> Merged {
        let Some(known) = self.peers.get(name) else {
            return Merged::Ignored;
        };
        let mut record = known.record();
        record.health = health;
        self.merge(&record, now_ms)
    }

    /// takes note of a round trip.
    pub fn observe_round_trip(&mut self, name: &str, round_trip_ms: u64) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.round_trip_ms = (peer.round_trip_ms * 7 + round_trip_ms).div_ceil(8);
    }

    /// drops members that have been gone for long; tells whether there were any.
    pub fn forget_gone(&mut self, now_ms: u64, keep_ms: u64) -> bool {
        let before = self.peers.len();
        self.peers.retain(|_, peer| !peer.member.is_gone() || now_ms.saturating_sub(peer.gone_ms) < keep_ms);
        self.peers.len() != before
    }

    fn insert_new(&mut self, record: &MemberRecord, now_ms: u64) -> Merged {
        if matches!(record.health, MemberHealth::Dead | MemberHealth::Left) {
            return Merged::Ignored;
        }
        self.replace(record, now_ms)
    }

    fn replace(&mut self, record: &MemberRecord, now_ms: u64) -> Merged {
        let Ok(member) = Member::try_from(record) else {
            return Merged::Ignored;
        };
        let peer = Peer { member, refutation: record.refutation, round_trip_ms: 0, gone_ms: now_ms };
        let after = entry_hash(&record.name, peer.version_hash(), peer.member.is_gone());
        let old = self.peers.insert(record.name.clone(), peer);
        if let Some(old) = old {
            self.digest ^= entry_hash(&record.name, old.version_hash(), old.member.is_gone());
        }
        self.digest ^= after;
        Merged::Joined
    }

    fn rehash(&mut self, name: &str, before: u64, after: u64, is_gone: bool) {
        // A gone member has a hash that no running one has, so `before` tells which it was.
        let was_gone = before & 1 == 1;
        self.digest ^= entry_hash(name, before, was_gone);
        self.digest ^= entry_hash(name, after, is_gone);
    }
}

/// hash of a member's name, as it stands in messages.
pub(super) fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// hash of the parts that all instances should agree on; its lowest bit tells whether the member is gone.
pub(super) fn version_hash(member: &Member, refutation: u32) -> u64 {
    let class = match member.health {
        MemberHealth::Alive | MemberHealth::Suspect => 0,
        MemberHealth::Dead => 1,
        MemberHealth::Left => 2,
    };
    let refutation = if class == 2 { 0 } else { refutation };
    let seed = u64::from(refutation) << 8 | class << 1 | u64::from(member.leaving);
    let hash = xxh3_64_with_seed(member.incarnation.as_str().as_bytes(), seed);
    hash & !1 | u64::from(class != 0)
}

/// what one member adds to the digest of all; nothing once it is gone.
pub(super) fn entry_hash(name: &str, version_hash: u64, is_gone: bool) -> u64 {
    if is_gone { 0 } else { xxh3_64_with_seed(name.as_bytes(), version_hash) }
}

/// joins a record of the same incarnation into what is known.
fn join(known: &mut Peer, record: &MemberRecord) -> Merged {
    let old = (known.refutation, rank(known.member.health));
    let new = (record.refutation, rank(record.health));
    let was_left = known.member.health == MemberHealth::Left;
    let is_left = record.health == MemberHealth::Left;
    let newer_health = !was_left && (is_left || new > old);
    let newer_leaving = record.leaving && !known.member.leaving;
    let newer_version = record.release_version > known.member.release_version;
    if newer_health {
        known.refutation = known.refutation.max(record.refutation);
        known.member.health = record.health;
    }
    known.member.leaving |= record.leaving;
    known.member.release_version = known.member.release_version.max(record.release_version);
    if newer_health || newer_leaving {
        return Merged::Changed;
    }
    if newer_version {
        return Merged::Version;
    }
    if new == old || (was_left && is_left) { Merged::Same } else { Merged::Stale }
}

fn rank(health: MemberHealth) -> u8 {
    match health {
        MemberHealth::Alive => 0,
        MemberHealth::Suspect => 1,
        MemberHealth::Dead => 2,
        MemberHealth::Left => 3,
    }
}
