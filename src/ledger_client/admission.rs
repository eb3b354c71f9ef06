use std::collections::VecDeque;

use slotmap::SlotMap;
use slotmap::new_key_type;

/// answer time below which the ledger never counts as overloaded: many round trips between availability
/// zones, and a delay that the latency targets of turns still allow.
const MIN_OVERLOAD_MS: f64 = 100.0;
/// multiple of the baseline answer time from which the ledger counts as overloaded, because asks queue for
/// its processors.
const OVERLOAD_FACTOR: f64 = 2.0;
/// answer time from which the ledger counts as overloaded whatever the baseline; not much later, turns time
/// out.
const MAX_OVERLOAD_MS: f64 = 500.0;
/// growth of the baseline with each answer, so that a ledger that has become slower for good is noticed
/// within some minutes.
const BASELINE_DRIFT: f64 = 1.001;
/// the longest wait for a permit. A turn that would wait longer is refused at once, so that its caller can
/// retry.
pub(super) const MAX_WAIT_MS: u64 = 300;
/// concurrency limit before the first answer.
const INITIAL_LIMIT: f64 = 64.0;
const MIN_LIMIT: f64 = 1.0;
const MAX_LIMIT: f64 = 256.0;
/// factor applied to the limit after a late answer (multiplicative decrease, Chiu and Jain 1989).
const DECREASE: f64 = 0.8;
/// weight of the newest answer time in the moving average.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;

new_key_type! {
    /// identifies a queued turn.
    pub struct WaitKey;
}

/// result of asking for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireResult {
    /// the turn has a permit.
    Admitted,
    /// the turn is queued for a permit.
    Queued(WaitKey),
    /// the turn would wait longer than `MAX_WAIT_MS`.
    Refused {
        /// estimated wait for a permit.
        wait_ms: u64,
    },
}

/// adaptive limit on the turns of one door that ask the ledger concurrently, driven by the answer times of
/// the ledger.
///
/// The limit grows by one for each full round of answers in time and is cut by a factor after a late one.
/// With additive increase and multiplicative decrease, many doors share the capacity of the ledger without
/// coordination.
#[derive(Debug)]
pub struct Admission {
    limit: f64,
    in_flight: usize,
    waiting: SlotMap<WaitKey, ()>,
    queue: VecDeque<WaitKey>,
    /// moving average of the answer times.
    mean_ms: f64,
    /// recent minimum of the answer times: the time of an answer without queueing.
    baseline_ms: f64,
    last_decrease_ms: u64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            in_flight: 0,
            waiting: SlotMap::default(),
            queue: VecDeque::new(),
            mean_ms: 0.0,
            baseline_ms: f64::INFINITY,
            last_decrease_ms: 0,
        }
    }
}

impl Admission {
    /// turns that may ask the ledger concurrently.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// turns that hold a permit.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// requests a permit for a turn.
    pub fn acquire(&mut self) -> AcquireResult {
        if self.in_flight < self.limit() && self.waiting.is_empty() {
            self.in_flight += 1;
            return AcquireResult::Admitted;
        }
        let wait_ms = (self.waiting.len() + 1) as f64 * self.mean_ms / self.limit;
        if wait_ms > MAX_WAIT_MS as f64 {
            return AcquireResult::Refused { wait_ms: wait_ms as u64 };
        }
        let key = self.waiting.insert(());
        self.queue.push_back(key);
        AcquireResult::Queued(key)
    }

    /// removes a turn from the queue because its caller left or its wait timed out. If it was granted a
    /// permit meanwhile, the permit is returned.
    pub fn cancel(&mut self, key: WaitKey) {
        if self.waiting.remove(key).is_none() {
            self.in_flight -= 1;
        }
    }

    /// returns a permit `took_ms` after it was granted, when the ledger has answered the turn or the turn has
    /// given up.
    pub fn release(&mut self, now_ms: u64, took_ms: u64) {
        let used = self.in_flight as f64;
        self.in_flight -= 1;
        let answer_ms = took_ms as f64;
        self.mean_ms += MEAN_WEIGHT * (answer_ms - self.mean_ms);
        self.baseline_ms = answer_ms.min(self.baseline_ms * BASELINE_DRIFT);
        let overload_ms = (OVERLOAD_FACTOR * self.baseline_ms).clamp(MIN_OVERLOAD_MS, MAX_OVERLOAD_MS);
        if answer_ms < overload_ms {
            // A limit that is not reached says nothing about capacity.
            if used >= self.limit / 2.0 {
                self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
            }
        } else if now_ms.saturating_sub(took_ms) >= self.last_decrease_ms {
            // Asks sent before the last decrease were slowed by the overload that the decrease already
            // answered.
            self.last_decrease_ms = now_ms;
            self.limit = (self.limit.min(used) * DECREASE).max(MIN_LIMIT);
        }
    }

    /// grants a free permit to the turn queued longest.
    pub fn grant_next(&mut self) -> Option<WaitKey> {
        if self.in_flight >= self.limit() {
            return None;
        }
        while let Some(key) = self.queue.pop_front() {
            if self.waiting.remove(key).is_some() {
                self.in_flight += 1;
                return Some(key);
            }
        }
        None
    }
}
