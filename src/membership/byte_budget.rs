/// share of a second's bytes that may be saved up.
const BURST_DIVISOR: u64 = 2;

/// a token bucket over the bytes that membership sends.
#[derive(Debug)]
pub(super) struct ByteBudget {
    bytes_per_second: u64,
    /// thousandths of a byte that may still be sent; negative after an answer sent on credit.
    balance_millibytes: i64,
    refilled_ms: Option<u64>,
}

impl ByteBudget {
    /// a full bucket.
    pub fn new(bytes_per_second: u64) -> Self {
        let mut budget = Self { bytes_per_second, balance_millibytes: 0, refilled_ms: None };
        budget.balance_millibytes = budget.burst_millibytes();
        budget
    }

    /// adds what the time since the last call allows.
    pub fn refill(&mut self, now_ms: u64) {
        let last_ms = self.refilled_ms.replace(now_ms).unwrap_or(now_ms);
        let gained = now_ms.saturating_sub(last_ms).saturating_mul(self.bytes_per_second);
        let gained = i64::try_from(gained).unwrap_or(i64::MAX);
        self.balance_millibytes = self.balance_millibytes.saturating_add(gained).min(self.burst_millibytes());
    }

    /// bytes that may be sent now.
    pub fn available_bytes(&self) -> usize {
        (self.balance_millibytes.max(0) / 1000) as usize
    }

    /// bytes that an answer may take, credit included.
    pub fn answer_bytes(&self) -> usize {
        ((self.balance_millibytes + self.burst_millibytes()).max(0) / 1000) as usize
    }

    /// takes note of bytes sent.
    pub fn spend(&mut self, bytes: usize) {
        self.balance_millibytes -= bytes as i64 * 1000;
    }

    fn burst_millibytes(&self) -> i64 {
        i64::try_from(self.bytes_per_second * 1000 / BURST_DIVISOR).unwrap_or(i64::MAX)
    }
}
