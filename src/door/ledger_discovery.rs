use crate::platform::Backoff;

/// time before a door that looks for the ledger asks the platform: until then the nodes that its settings name, or that
/// it knew before, have answered if one of them runs. Calls to the platform are charged, and all doors may start at once.
const ASK_PLATFORM_AFTER_MS: u64 = 500;
/// longest pause between two such calls: an outage of the platform is noticed to be over well within a caller's patience.
const LONGEST_PAUSE_MS: u64 = 2_000;

/// when a door that does not reach the ledger asks the platform for the view.
///
/// It starts anew each time the ledger is lost, as the whole view may have been replaced meanwhile.
#[derive(Debug)]
pub struct LedgerDiscovery {
    backoff: Backoff,
    /// when the platform is asked next; `None` while the ledger is in reach.
    ask_at_ms: Option<u64>,
}

impl LedgerDiscovery {
    /// a search that has not begun; the seed spreads the calls of doors that start together.
    pub fn new(seed: u64) -> Self {
        Self { backoff: Backoff::new(ASK_PLATFORM_AFTER_MS, LONGEST_PAUSE_MS, seed), ask_at_ms: None }
    }

    /// the ledger is in reach.
    pub fn mark_reachable(&mut self) {
        self.backoff.reset();
        self.ask_at_ms = None;
    }

    /// the ledger is out of reach; `true` if the platform should be asked for the view now.
    pub fn is_due(&mut self, now_ms: u64) -> bool {
        let ask_at_ms = match self.ask_at_ms {
            Some(ask_at_ms) => ask_at_ms,
            None => now_ms + ASK_PLATFORM_AFTER_MS,
        };
        let is_due = now_ms >= ask_at_ms;
        self.ask_at_ms = Some(if is_due { now_ms + self.backoff.next_ms() } else { ask_at_ms });
        is_due
    }
}
