use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::Member;
use crate::membership::wire;
use crate::schema::MemberHealth;
use crate::schema::MemberRecord;

/// what is known of one other instance, beyond the published member.
#[derive(Debug)]
pub(super) struct Peer {
    pub member: Member,
    /// refutation number; the member raises it with each suspicion or death that it refutes.
    pub refutation: u32,
    /// moving average of the round-trip time of direct probes, with weight 1/8 for the latest.
    pub round_trip_ms: u64,
    /// when the member was found to be dead or to have left.
    pub gone_ms: u64,
}

impl Peer {
    pub fn record(&self) -> MemberRecord {
        wire::record(&self.member, self.refutation)
    }

    /// hash of the state that all instances converge on.
    pub fn version_hash(&self) -> u64 {
        version_hash(&self.member, self.refutation)
    }
}

/// effect of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MergeOutcome {
    /// none: the record is what was known.
    Unchanged,
    /// none: the record is older than what is known.
    Stale,
    /// none: the record is invalid, or that of an unknown member that is gone.
    Ignored,
    /// only the release version changed.
    VersionOnly,
    /// the member became suspect.
    Suspected,
    /// a new member, or a new incarnation of a known one.
    Joined,
    /// any other change: a refutation, a death or a departure.
    Changed,
}

/// other instances by name; the order in which records are merged does not matter, except that members
/// that are already gone are not added.
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

    /// digest of the members that are not gone.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// merges a record that another instance sent.
    pub fn merge(&mut self, record: &MemberRecord, now_ms: u64) -> MergeOutcome {
        let Some(known) = self.peers.get_mut(&record.name) else {
            return self.insert_new(record, now_ms);
        };
        let known_incarnation = known.member.incarnation.as_str();
        if record.incarnation.as_str() < known_incarnation {
            return MergeOutcome::Stale;
        }
        if record.incarnation.as_str() > known_incarnation {
            return self.replace(record, now_ms);
        }
        let before = known.version_hash();
        let was_suspect = known.member.health == MemberHealth::Suspect;
        let merged = merge_known(known, record);
        if merged == MergeOutcome::Changed && known.member.is_gone() {
            known.gone_ms = now_ms;
        }
        let became_suspect = known.member.health == MemberHealth::Suspect && !was_suspect;
        let is_gone = known.member.is_gone();
        let after = known.version_hash();
        self.update_digest(&record.name, before, after, is_gone);
        if merged == MergeOutcome::Changed && became_suspect { MergeOutcome::Suspected } else { merged }
    }

    /// merges the sender's own fields of a datagram; `None` when its whole record is needed first.
    pub fn merge_sender(
        &mut self,
        name: &str,
        incarnation: &str,
        refutation: u32,
        release_version: u64,
        now_ms: u64,
    ) -> Option<MergeOutcome> {
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

    /// sets the health of a known member as this instance detected it.
    pub fn set_health(&mut self, name: &str, health: MemberHealth, now_ms: u64) -> MergeOutcome {
        let Some(known) = self.peers.get(name) else {
            return MergeOutcome::Ignored;
        };
        let mut record = known.record();
        record.health = health;
        self.merge(&record, now_ms)
    }

    /// updates the average round-trip time of a member.
    pub fn observe_round_trip(&mut self, name: &str, round_trip_ms: u64) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.round_trip_ms = (peer.round_trip_ms * 7 + round_trip_ms).div_ceil(8);
    }

    /// removes members that have been gone for `keep_ms`; tells whether there were any.
    pub fn remove_gone(&mut self, now_ms: u64, keep_ms: u64) -> bool {
        let before = self.peers.len();
        self.peers.retain(|_, peer| !peer.member.is_gone() || now_ms.saturating_sub(peer.gone_ms) < keep_ms);
        self.peers.len() != before
    }

    fn insert_new(&mut self, record: &MemberRecord, now_ms: u64) -> MergeOutcome {
        if matches!(record.health, MemberHealth::Dead | MemberHealth::Left) {
            return MergeOutcome::Ignored;
        }
        self.replace(record, now_ms)
    }

    fn replace(&mut self, record: &MemberRecord, now_ms: u64) -> MergeOutcome {
        let Ok(member) = Member::try_from(record) else {
            return MergeOutcome::Ignored;
        };
        let peer = Peer { member, refutation: record.refutation, round_trip_ms: 0, gone_ms: now_ms };
        let after = member_hash(&record.name, peer.version_hash(), peer.member.is_gone());
        let old = self.peers.insert(record.name.clone(), peer);
        if let Some(old) = old {
            self.digest ^= member_hash(&record.name, old.version_hash(), old.member.is_gone());
        }
        self.digest ^= after;
        MergeOutcome::Joined
    }

    fn update_digest(&mut self, name: &str, before: u64, after: u64, is_gone: bool) {
        // The lowest bit of a version hash is set for gone members only.
        let was_gone = before & 1 == 1;
        self.digest ^= member_hash(name, before, was_gone);
        self.digest ^= member_hash(name, after, is_gone);
    }
}

/// hash of a member's name, as sent in messages.
pub(super) fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// hash of the state that all instances converge on; its lowest bit is set if the member is gone.
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

/// contribution of a member to the digest, which is the XOR over all; 0 once it is gone.
pub(super) fn member_hash(name: &str, version_hash: u64, is_gone: bool) -> u64 {
    if is_gone { 0 } else { xxh3_64_with_seed(name.as_bytes(), version_hash) }
}

/// merges a record of the known incarnation; a departure is final, else the higher refutation number wins and
/// then the graver health.
fn merge_known(known: &mut Peer, record: &MemberRecord) -> MergeOutcome {
    let old = (known.refutation, severity(known.member.health));
    let new = (record.refutation, severity(record.health));
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
        return MergeOutcome::Changed;
    }
    if newer_version {
        return MergeOutcome::VersionOnly;
    }
    if new == old || (was_left && is_left) { MergeOutcome::Unchanged } else { MergeOutcome::Stale }
}

fn severity(health: MemberHealth) -> u8 {
    match health {
        MemberHealth::Alive => 0,
        MemberHealth::Suspect => 1,
        MemberHealth::Dead => 2,
        MemberHealth::Left => 3,
    }
}
