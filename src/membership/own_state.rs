use crate::ids::Incarnation;
use crate::member::Member;
use crate::membership::peer_table::entry_hash;
use crate::membership::peer_table::version_hash;
use crate::membership::wire;
use crate::schema::DatagramSender;
use crate::schema::MemberHealth;
use crate::schema::MemberRecord;

/// how long a death counts against an instance that comes back.
const FLAP_WINDOW_MS: u64 = 600_000;
/// how long the second death within the window holds the return back; doubles with each further one.
const FLAP_HOLD_MS: u64 = 2_000;
/// longest time that a return is held back.
const MAX_FLAP_HOLD_MS: u64 = 120_000;

/// what a record of this instance, made by others, led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Accusation {
    /// nothing: it says nothing new.
    None,
    /// a suspicion was refuted.
    Refuted,
    /// a death was refuted.
    Returned,
    /// a death was noted and is refuted later.
    Held,
    /// a later start of the same name runs.
    Superseded,
}

/// what this instance says of itself.
#[derive(Debug)]
pub(super) struct OwnState {
    pub member: Member,
    refutation: u32,
    /// when the last deaths were learned of, oldest first.
    deaths_ms: Vec<u64>,
    held_until_ms: Option<u64>,
    /// until when accusations are only gathered, after a pause.
    learning_until_ms: Option<u64>,
    /// the gravest accusation gathered.
    gathered: Option<(u32, MemberHealth)>,
    superseded: bool,
}

impl OwnState {
    pub fn new(member: Member) -> Self {
        Self {
            member,
            refutation: 0,
            deaths_ms: Vec::new(),
            held_until_ms: None,
            learning_until_ms: None,
            gathered: None,
            superseded: false,
        }
    }

    /// goes on as a new start; what was said of the old one no longer counts.
    pub fn restart(&mut self, incarnation: Incarnation) {
        self.member.incarnation = incarnation;
        self.member.health = MemberHealth::Alive;
        self.refutation = 0;
        self.held_until_ms = None;
        self.superseded = false;
    }

    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    pub fn has_left(&self) -> bool {
        self.member.health == MemberHealth::Left
    }

    pub fn record(&self) -> MemberRecord {
        wire::record(&self.member, self.refutation)
    }

    pub fn sender(&self) -> DatagramSender {
        DatagramSender {
            name: self.member.name.clone(),
            incarnation: self.member.incarnation.as_str().to_owned(),
            refutation: self.refutation,
            release_version: self.member.release_version,
        }
    }

    pub fn entry_hash(&self) -> u64 {
        entry_hash(&self.member.name, self.version_hash(), self.member.is_gone())
    }

    pub fn version_hash(&self) -> u64 {
        version_hash(&self.member, self.refutation)
    }

    /// takes note of what others believe of this instance.
    pub fn accuse(&mut self, record: &MemberRecord, now_ms: u64) -> Accusation {
        let own = self.member.incarnation.as_str();
        if record.incarnation.as_str() > own {
            self.superseded = true;
            return Accusation::Superseded;
        }
        if record.incarnation.as_str() < own || self.has_left() || record.refutation < self.refutation {
            return Accusation::None;
        }
        let accuses = matches!(record.health, MemberHealth::Suspect | MemberHealth::Dead);
        if accuses && self.learning_until_ms.is_some() {
            self.gather(record.refutation, record.health);
            return Accusation::None;
        }
        self.answer(record.refutation, record.health, now_ms)
    }

    /// gathers accusations until a time, to answer the gravest: old suspicions may arrive before the later death.
    pub fn learn_until(&mut self, until_ms: u64) {
        self.learning_until_ms = Some(until_ms);
    }

    /// answers the gravest accusation gathered, once its time has come.
    pub fn end_learning(&mut self, now_ms: u64) -> Accusation {
        if self.learning_until_ms.is_none_or(|until_ms| now_ms < until_ms) {
            return Accusation::None;
        }
        self.learning_until_ms = None;
        match self.gathered.take() {
            Some((refutation, health)) => self.answer(refutation, health, now_ms),
            None => Accusation::None,
        }
    }

    /// refutes a death whose hold has run out.
    pub fn end_hold(&mut self, now_ms: u64) -> bool {
        if self.held_until_ms.is_none_or(|until_ms| now_ms < until_ms) {
            return false;
        }
        self.held_until_ms = None;
        self.refutation += 1;
        self.member.health = MemberHealth::Alive;
        true
    }

    fn gather(&mut self, refutation: u32, health: MemberHealth) {
        let (highest, gravest) = self.gathered.unwrap_or((refutation, health));
        let gravest = if health == MemberHealth::Dead { health } else { gravest };
        self.gathered = Some((highest.max(refutation), gravest));
    }

    fn answer(&mut self, refutation: u32, health: MemberHealth, now_ms: u64) -> Accusation {
        match health {
            MemberHealth::Suspect => {
                // The refutation of a death covers a suspicion that was raised before it.
                if self.held_until_ms.is_some() {
                    return Accusation::None;
                }
                self.refutation = refutation + 1;
                Accusation::Refuted
            }
            MemberHealth::Dead => self.note_death(refutation, now_ms),
            MemberHealth::Alive | MemberHealth::Left => Accusation::None,
        }
    }

    fn note_death(&mut self, refutation: u32, now_ms: u64) -> Accusation {
        self.refutation = refutation;
        if self.held_until_ms.is_some() {
            return Accusation::None;
        }
        self.deaths_ms.retain(|death_ms| now_ms.saturating_sub(*death_ms) < FLAP_WINDOW_MS);
        let earlier_count = self.deaths_ms.len() as u32;
        self.deaths_ms.push(now_ms);
        if earlier_count == 0 {
            self.refutation += 1;
            return Accusation::Returned;
        }
        let hold_ms = FLAP_HOLD_MS << (earlier_count - 1).min(16);
        self.held_until_ms = Some(now_ms + hold_ms.min(MAX_FLAP_HOLD_MS));
        // Its own view then agrees with that of the others: it proposes itself for nothing.
        self.member.health = MemberHealth::Dead;
        Accusation::Held
    }
}
