use crate::allotment::AllotmentTerms;
use crate::schema::AllotmentSettings;

/// longest time that a token is good for: a door has needed it by then, or its demand has changed.
const MAX_LEASE_MS: u64 = 500;
/// shortest time that a token is good for: an answer has to arrive in it.
const MIN_LEASE_MS: u64 = 200;

/// how far the requests of a workspace may exceed its allotment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllotmentBounds {
    /// span in which requests are counted.
    pub window_ms: u64,
    /// part by which they may exceed the allotment.
    pub overshoot: f64,
    /// requests by which they may exceed it besides.
    pub slack: u64,
}

impl From<&AllotmentSettings> for AllotmentBounds {
    fn from(settings: &AllotmentSettings) -> Self {
        Self {
            window_ms: (settings.window_s * 1_000.0) as u64,
            overshoot: settings.overshoot,
            slack: settings.slack,
        }
    }
}

impl AllotmentBounds {
    /// time that a token is good for, from the question on that it was granted for.
    pub fn lease_ms(&self) -> u64 {
        // With a lease of this part of the window, the overshoot makes up for the longer span of grants.
        let lease_ms = (self.overshoot * self.window_ms as f64) as u64;
        lease_ms.clamp(MIN_LEASE_MS, MAX_LEASE_MS)
    }

    /// span in which grants count: those before it are used or lapsed when a window begins.
    pub fn span_ms(&self) -> u64 {
        self.window_ms + self.lease_ms()
    }

    /// requests of a window that nodes aim at.
    pub fn target(&self, terms: AllotmentTerms) -> f64 {
        let window_s = self.window_ms as f64 / 1_000.0;
        (terms.rate_per_s * window_s + terms.burst) * (1.0 + self.overshoot)
    }

    /// requests of a window that are never exceeded.
    pub fn most(&self, terms: AllotmentTerms) -> f64 {
        self.target(terms) + self.slack as f64
    }
}
