use std::time::Duration;

/// the longest wait that a bucket names.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// a token bucket over a clock that the caller reads.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    /// below zero while reserved tokens are still to come.
    tokens: f64,
    filled_at: Duration,
}

impl TokenBucket {
    /// builds a full bucket that gains `rate_per_s` tokens a second and holds at most `capacity`.
    pub fn new(rate_per_s: f64, capacity: f64) -> Self {
        Self { rate_per_s, capacity, tokens: capacity, filled_at: Duration::ZERO }
    }

    /// builds a bucket that lets at most `rate_per_s` through in any second, `burst` of them at once.
    pub fn strict(rate_per_s: f64, burst: f64) -> Self {
        let burst = burst.clamp(1.0, rate_per_s.max(1.0));
        Self::new((rate_per_s - burst).max(rate_per_s / 2.0), burst)
    }

    /// changes the rate and the capacity from `now` on; tokens that are there stay.
    pub fn set_rate(&mut self, now: Duration, rate_per_s: f64, capacity: f64) {
        self.fill(now);
        self.rate_per_s = rate_per_s;
        self.capacity = capacity;
    }

    /// takes all tokens that are there.
    pub fn drain(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }

    fn fill(&mut self, now: Duration) {
        let gained = now.saturating_sub(self.filled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + gained).min(self.capacity);
        self.filled_at = self.filled_at.max(now);
    }

    /// takes `amount` tokens at once, or returns how long to wait until they are there.
    pub fn take(&mut self, now: Duration, amount: f64) -> Result<(), Duration> {
        self.reserve(now, amount, Duration::ZERO).map(|_| ())
    }

    /// reserves `amount` tokens and returns when they are there; nothing is reserved when that is later than
    /// `max_wait`, and the wait is the error.
    pub fn reserve(&mut self, now: Duration, amount: f64, max_wait: Duration) -> Result<Duration, Duration> {
        self.fill(now);
        let missing = (amount - self.tokens).max(0.0);
        let wait_s = missing / self.rate_per_s.max(f64::MIN_POSITIVE);
        let wait = Duration::from_secs_f64(wait_s.min(MAX_WAIT.as_secs_f64()));
        if wait > max_wait {
            return Err(wait);
        }
        self.tokens -= amount;
        Ok(wait)
    }
}
