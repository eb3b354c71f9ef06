use strum::IntoStaticStr;

/// silence of all replicas after which a request that waits, or a connection that failed, raises doubt: far more
/// than a busy service is silent towards a door with several requests under way.
const DOUBT_AFTER_MS: u64 = 400;
/// pause between two checks of the way to the replicas.
const CHECK_INTERVAL_MS: u64 = 500;
/// replicas that a check asks. A crash of some replicas must not look like a cut, and a cut must
/// show although one of them has crashed as well.
pub const CHECKED_REPLICAS: usize = 4;

/// time limit of the questions of a check, connecting included: a busy replica answers within it, and a request that
/// waits meanwhile still has time for another door.
pub const CHECK_TIMEOUT_MS: u64 = 500;
/// how much longer than its questions a check may take before it says more of this process, which was suspended or
/// late, than of the replicas.
const MAX_LATE_MS: u64 = 200;

/// what a door believes of its way to the replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Belief {
    /// replicas can be reached, or nothing shows the contrary.
    #[default]
    Reaches,
    /// the door is cut off from the replicas.
    CutOff,
}

/// a door's belief in its way to the replicas, from what it hears of them.
///
/// A replica that is silent or ends says nothing about the way; that no replica at all can be reached does. So
/// doubt only leads to a check, which asks several replicas.
#[derive(Debug, Default)]
pub struct ReplicaReach {
    belief: Belief,
    /// when a replica last sent anything.
    heard_ms: u64,
    /// whether a connection has failed since.
    has_failed: bool,
    is_checking: bool,
    next_check_ms: u64,
}

impl ReplicaReach {
    /// the current belief.
    pub fn belief(&self) -> Belief {
        self.belief
    }

    /// when a replica last sent anything.
    pub fn heard_ms(&self) -> u64 {
        self.heard_ms
    }

    /// time since a replica last sent anything.
    pub fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.heard_ms)
    }

    /// whether a replica has sent anything since then.
    pub fn has_heard_since(&self, since_ms: u64) -> bool {
        self.heard_ms > since_ms
    }

    /// handles anything that a replica sent.
    pub fn record_sign(&mut self, now_ms: u64) {
        self.heard_ms = self.heard_ms.max(now_ms);
        self.has_failed = false;
    }

    /// handles a connection to a replica that failed.
    pub fn record_failure(&mut self) {
        self.has_failed = true;
    }

    /// whether the way to the replicas is to be checked now, which then counts as under way. `waited_ms` is how
    /// long the request that waits longest has heard nothing.
    pub fn begin_check(&mut self, now_ms: u64, waited_ms: u64) -> bool {
        if self.is_checking || now_ms < self.next_check_ms {
            return false;
        }
        let is_silent = self.silent_ms(now_ms) >= DOUBT_AFTER_MS;
        let is_due = match self.belief {
            Belief::Reaches => is_silent && (self.has_failed || waited_ms >= DOUBT_AFTER_MS),
            Belief::CutOff => true,
        };
        self.is_checking = is_due;
        is_due
    }

    /// handles the end of a check that began at `began_ms`; returns the belief if it changes.
    ///
    /// One answer shows a way to the replicas. To end a cut takes the answers of half of the replicas that were asked,
    /// so that a door that reaches a few replicas only does not go back and forth.
    pub fn end_check(
        &mut self,
        now_ms: u64,
        began_ms: u64,
        answered: usize,
        unanswered: usize,
    ) -> Option<Belief> {
        self.is_checking = false;
        self.next_check_ms = now_ms + CHECK_INTERVAL_MS;
        let before = self.belief;
        let is_late = now_ms > began_ms + CHECK_TIMEOUT_MS + MAX_LATE_MS;
        let is_silent = unanswered > 0 && self.heard_ms < began_ms;
        match self.belief {
            Belief::Reaches if answered > 0 => self.record_sign(now_ms),
            Belief::Reaches if is_silent && !is_late => self.belief = Belief::CutOff,
            Belief::CutOff if answered > 0 && answered >= unanswered => {
                self.record_sign(now_ms);
                self.belief = Belief::Reaches;
            }
            Belief::Reaches | Belief::CutOff => {}
        }
        (self.belief != before).then_some(self.belief)
    }
}
