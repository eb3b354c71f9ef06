use crate::ids::Incarnation;
use crate::member::Member;
use crate::membership::peer_table::member_hash;
use crate::membership::peer_table::version_hash;
use crate::membership::wire;
use crate::schema::DatagramSender;
use crate::schema::MemberHealth;
use crate::schema::MemberRecord;

/// window over which deaths of this instance are counted for flap damping.
const FLAP_WINDOW_MS: u64 = 600_000;
/// delay of the refutation of the second death within the window; doubles with each further death.
const FLAP_DELAY_MS: u64 = 2_000;
/// maximum delay of a refutation.
const MAX_FLAP_DELAY_MS: u64 = 120_000;

/// effect of a record of this instance that came from another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AccusationOutcome {
    /// no change: no accusation, an outdated or a collected one, or one that a deferred refutation covers.
    Ignored,
    /// refuted a suspicion.
    Refuted,
    /// refuted a death at once.
    Rejoined,
    /// a death is refuted later, to damp flapping.
    Deferred,
    /// a later start of the same instance name is running.
    Superseded,
}

/// record of this instance and its answers to accusations: records that call it suspect or dead.
#[derive(Debug)]
pub(super) struct OwnState {
    pub member: Member,
    refutation: u32,
    /// when this instance learned of its deaths within the window, oldest first.
    deaths_ms: Vec<u64>,
    /// when a deferred refutation is due.
    deferred_until_ms: Option<u64>,
    /// until when accusations are only collected, after a pause.
    collecting_until_ms: Option<u64>,
    /// highest refutation number and gravest health among the collected accusations.
    collected: Option<(u32, MemberHealth)>,
    superseded: bool,
}

impl OwnState {
    pub fn new(member: Member) -> Self {
        Self {
            member,
            refutation: 0,
            deaths_ms: Vec::new(),
            deferred_until_ms: None,
            collecting_until_ms: None,
            collected: None,
            superseded: false,
        }
    }

    /// continues as a new incarnation; accusations of the old one no longer apply.
    pub fn restart(&mut self, incarnation: Incarnation) {
        self.member.incarnation = incarnation;
        self.member.health = MemberHealth::Alive;
        self.refutation = 0;
        self.deferred_until_ms = None;
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

    pub fn member_hash(&self) -> u64 {
        member_hash(&self.member.name, self.version_hash(), self.member.is_gone())
    }

    pub fn version_hash(&self) -> u64 {
        version_hash(&self.member, self.refutation)
    }

    /// handles a record of this instance that came from another one.
    pub fn receive_accusation(&mut self, record: &MemberRecord, now_ms: u64) -> AccusationOutcome {
        let own = self.member.incarnation.as_str();
        if record.incarnation.as_str() > own {
            self.superseded = true;
            return AccusationOutcome::Superseded;
        }
        if record.incarnation.as_str() < own || self.has_left() || record.refutation < self.refutation {
            return AccusationOutcome::Ignored;
        }
        let is_accusation = matches!(record.health, MemberHealth::Suspect | MemberHealth::Dead);
        if is_accusation && self.collecting_until_ms.is_some() {
            self.collect(record.refutation, record.health);
            return AccusationOutcome::Ignored;
        }
        self.respond(record.refutation, record.health, now_ms)
    }

    /// collects accusations until `until_ms`: old suspicions may arrive before a later death.
    pub fn collect_until(&mut self, until_ms: u64) {
        self.collecting_until_ms = Some(until_ms);
    }

    /// responds to the gravest collected accusation once the time to collect is over.
    pub fn finish_collecting(&mut self, now_ms: u64) -> AccusationOutcome {
        if self.collecting_until_ms.is_none_or(|until_ms| now_ms < until_ms) {
            return AccusationOutcome::Ignored;
        }
        self.collecting_until_ms = None;
        match self.collected.take() {
            Some((refutation, health)) => self.respond(refutation, health, now_ms),
            None => AccusationOutcome::Ignored,
        }
    }

    /// makes the deferred refutation of a death when it is due; tells whether it did.
    pub fn refute_deferred(&mut self, now_ms: u64) -> bool {
        if self.deferred_until_ms.is_none_or(|until_ms| now_ms < until_ms) {
            return false;
        }
        self.deferred_until_ms = None;
        self.refutation += 1;
        self.member.health = MemberHealth::Alive;
        true
    }

    fn collect(&mut self, refutation: u32, health: MemberHealth) {
        let (highest, gravest) = self.collected.unwrap_or((refutation, health));
        let gravest = if health == MemberHealth::Dead { health } else { gravest };
        self.collected = Some((highest.max(refutation), gravest));
    }

    fn respond(&mut self, refutation: u32, health: MemberHealth, now_ms: u64) -> AccusationOutcome {
        match health {
            MemberHealth::Suspect => {
                // The deferred refutation of the death also refutes this suspicion.
                if self.deferred_until_ms.is_some() {
                    return AccusationOutcome::Ignored;
                }
                self.refutation = refutation + 1;
                AccusationOutcome::Refuted
            }
            MemberHealth::Dead => self.on_death(refutation, now_ms),
            MemberHealth::Alive | MemberHealth::Left => AccusationOutcome::Ignored,
        }
    }

    fn on_death(&mut self, refutation: u32, now_ms: u64) -> AccusationOutcome {
        self.refutation = refutation;
        if self.deferred_until_ms.is_some() {
            return AccusationOutcome::Ignored;
        }
        self.deaths_ms.retain(|death_ms| now_ms.saturating_sub(*death_ms) < FLAP_WINDOW_MS);
        let earlier_deaths = self.deaths_ms.len() as u32;
        self.deaths_ms.push(now_ms);
        if earlier_deaths == 0 {
            self.refutation += 1;
            return AccusationOutcome::Rejoined;
        }
        let delay_ms = FLAP_DELAY_MS << (earlier_deaths - 1).min(16);
        self.deferred_until_ms = Some(now_ms + delay_ms.min(MAX_FLAP_DELAY_MS));
        // Its own view then matches that of the others, and it is not preferred for any key.
        self.member.health = MemberHealth::Dead;
        AccusationOutcome::Deferred
    }
}
