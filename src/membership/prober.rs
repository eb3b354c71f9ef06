use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// probes made for others that are remembered.
const MAX_RELAYS: usize = 64;

/// one probe that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct PendingProbe {
    /// name of the target; `None` for an address that has not answered yet.
    pub target: Option<String>,
    pub to: SocketAddr,
    pub sent_ms: u64,
    /// when others are asked to probe the target.
    pub relay_ms: u64,
    /// when the probe has failed.
    pub fail_ms: u64,
    pub relayed: bool,
    /// whether the outcome is a judgement of the target.
    pub judges: bool,
}

/// a probe made for another instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relay {
    pub requester: SocketAddr,
    pub sequence: u64,
}

/// probes under way, and the order in which members are probed.
#[derive(Debug, Default)]
pub(super) struct Prober {
    next_sequence: u64,
    pending: BTreeMap<u64, PendingProbe>,
    relays: BTreeMap<u64, Relay>,
    order: Vec<String>,
}

impl Prober {
    /// numbers probes from `start`, so that answers to an earlier start of the instance match none of them.
    pub fn new(start: u32) -> Self {
        Self { next_sequence: u64::from(start), ..Self::default() }
    }

    /// numbers the next probe.
    pub fn sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    /// remembers a probe that was sent.
    pub fn sent(&mut self, sequence: u64, probe: PendingProbe) {
        self.pending.insert(sequence, probe);
    }

    /// remembers a probe that was made for another instance.
    pub fn relayed_for(&mut self, sequence: u64, relay: Relay) {
        if self.relays.len() >= MAX_RELAYS {
            self.relays.pop_first();
        }
        self.relays.insert(sequence, relay);
    }

    /// takes the probe that an answer belongs to.
    pub fn answered(&mut self, sequence: u64) -> Option<PendingProbe> {
        self.pending.remove(&sequence)
    }

    /// takes the probes to a member other than the one with this sequence.
    pub fn take_all_to(&mut self, name: &str, except: u64) -> Vec<PendingProbe> {
        let is_other = |sequence: &u64, probe: &mut PendingProbe| {
            *sequence != except && probe.target.as_deref() == Some(name)
        };
        self.pending.extract_if(.., is_other).map(|(_, probe)| probe).collect()
    }

    /// takes the relay that an answer belongs to.
    pub fn relay_answered(&mut self, sequence: u64) -> Option<Relay> {
        self.relays.remove(&sequence)
    }

    /// probes whose targets others should be asked to probe now.
    pub fn due_relays(&mut self, now_ms: u64) -> Vec<(u64, PendingProbe)> {
        let mut due = Vec::new();
        for (sequence, probe) in &mut self.pending {
            if probe.relayed || !probe.judges || now_ms < probe.relay_ms {
                continue;
            }
            probe.relayed = true;
            due.push((*sequence, probe.clone()));
        }
        due
    }

    /// takes the probes that have failed.
    pub fn take_failed(&mut self, now_ms: u64) -> Vec<PendingProbe> {
        let failed = self.pending.extract_if(.., |_, probe| now_ms >= probe.fail_ms);
        failed.map(|(_, probe)| probe).collect()
    }

    /// forgets all probes under way.
    pub fn forget(&mut self) {
        self.pending.clear();
        self.relays.clear();
    }

    /// the next member to probe; `refill` gives the members of a new round.
    pub fn next_target(
        &mut self,
        random: &mut StdRng,
        refill: impl FnOnce() -> Vec<String>,
    ) -> Option<String> {
        if self.order.is_empty() {
            self.order = refill();
            self.order.shuffle(random);
        }
        self.order.pop()
    }
}
