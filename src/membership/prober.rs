use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// maximum number of relayed probes that are remembered.
const MAX_INDIRECT: usize = 64;

/// a probe that has not been acked yet.
#[derive(Clone, Debug)]
pub(super) struct PendingProbe {
    /// name of the target; `None` if no member is known at the address.
    pub target: Option<String>,
    pub to: SocketAddr,
    pub sent_ms: u64,
    /// when other members are asked for indirect probes.
    pub indirect_ms: u64,
    /// when the probe counts as failed.
    pub fail_ms: u64,
    pub indirect_requested: bool,
    /// whether a failure raises a suspicion of the target.
    pub can_suspect: bool,
}

/// an indirect probe, made on behalf of `requester`; `sequence` is the one of its request.
#[derive(Clone, Copy, Debug)]
pub(super) struct IndirectProbe {
    pub requester: SocketAddr,
    pub sequence: u64,
}

/// probes in flight, and the order in which members are probed.
#[derive(Debug, Default)]
pub(super) struct Prober {
    next_sequence: u64,
    pending: BTreeMap<u64, PendingProbe>,
    indirect: BTreeMap<u64, IndirectProbe>,
    order: Vec<String>,
}

impl Prober {
    /// numbers probes from a random `start`, so that acks for an earlier incarnation match none of them.
    pub fn new(start: u32) -> Self {
        Self { next_sequence: u64::from(start), ..Self::default() }
    }

    /// sequence number for the next probe.
    pub fn next_sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    /// adds a probe that was sent.
    pub fn add_pending(&mut self, sequence: u64, probe: PendingProbe) {
        self.pending.insert(sequence, probe);
    }

    /// adds an indirect probe; evicts the oldest one if there are too many.
    pub fn add_indirect(&mut self, sequence: u64, indirect: IndirectProbe) {
        if self.indirect.len() >= MAX_INDIRECT {
            self.indirect.pop_first();
        }
        self.indirect.insert(sequence, indirect);
    }

    /// takes the probe that an ack belongs to.
    pub fn take_pending(&mut self, sequence: u64) -> Option<PendingProbe> {
        self.pending.remove(&sequence)
    }

    /// takes all probes of a member but the one with the sequence number `except`.
    pub fn take_others_to(&mut self, name: &str, except: u64) -> Vec<PendingProbe> {
        let is_other = |sequence: &u64, probe: &mut PendingProbe| {
            *sequence != except && probe.target.as_deref() == Some(name)
        };
        self.pending.extract_if(.., is_other).map(|(_, probe)| probe).collect()
    }

    /// takes the indirect probe that an ack belongs to.
    pub fn take_indirect(&mut self, sequence: u64) -> Option<IndirectProbe> {
        self.indirect.remove(&sequence)
    }

    /// probes for which indirect probes are due now; each is returned once.
    pub fn take_due_indirect(&mut self, now_ms: u64) -> Vec<(u64, PendingProbe)> {
        let mut due = Vec::new();
        for (sequence, probe) in &mut self.pending {
            if probe.indirect_requested || !probe.can_suspect || now_ms < probe.indirect_ms {
                continue;
            }
            probe.indirect_requested = true;
            due.push((*sequence, probe.clone()));
        }
        due
    }

    /// takes the probes that had no ack in time.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<PendingProbe> {
        let failed = self.pending.extract_if(.., |_, probe| now_ms >= probe.fail_ms);
        failed.map(|(_, probe)| probe).collect()
    }

    /// drops all probes in flight.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.indirect.clear();
    }

    /// next member to probe; `refill` returns the members for a new round, which are probed in random order.
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
