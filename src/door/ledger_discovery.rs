use crate::platform::Backoff;

/// delay before a door without a ledger queries the platform: running nodes from its settings or its last
/// view answer sooner. Calls to the platform are charged, and all doors may start at once.
const PLATFORM_QUERY_DELAY_MS: u64 = 500;
/// longest interval between these queries: recovery of the platform is detected well within a caller's
/// deadline.
const MAX_QUERY_INTERVAL_MS: u64 = 2_000;

/// decides when a door that cannot reach the ledger queries the platform for the ledger's membership view.
///
/// The backoff restarts each time the ledger is lost, as all members of the view may have been replaced
/// meanwhile.
#[derive(Debug)]
pub struct LedgerDiscovery {
    backoff: Backoff,
    /// time of the next query; `None` while the ledger is reachable.
    next_query_ms: Option<u64>,
}

impl LedgerDiscovery {
    /// the state of a door with a reachable ledger; the seed adds jitter for doors that start together.
    pub fn new(seed: u64) -> Self {
        Self {
            backoff: Backoff::new(PLATFORM_QUERY_DELAY_MS, MAX_QUERY_INTERVAL_MS, seed),
            next_query_ms: None,
        }
    }

    /// resets the backoff: the ledger is reachable.
    pub fn mark_reachable(&mut self) {
        self.backoff.reset();
        self.next_query_ms = None;
    }

    /// called while the ledger is unreachable; `true` if the platform should be queried now.
    pub fn is_due(&mut self, now_ms: u64) -> bool {
        let next_query_ms = match self.next_query_ms {
            Some(next_query_ms) => next_query_ms,
            None => now_ms + PLATFORM_QUERY_DELAY_MS,
        };
        let is_due = now_ms >= next_query_ms;
        self.next_query_ms = Some(if is_due { now_ms + self.backoff.next_ms() } else { next_query_ms });
        is_due
    }
}
