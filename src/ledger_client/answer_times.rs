use std::collections::HashMap;

/// weights of the newest sample in the moving averages, those of the TCP retransmission timer (RFC 6298).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// deviations above the mean within which an answer is expected (RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// multiple of the median expected time after which further members are asked as well.
const HEDGE_FACTOR: f64 = 2.0;
/// multiple of the median expected time from which a member counts as lagging, so that others are asked in
/// its place from the start.
const LAGGING_FACTOR: f64 = 4.0;
/// time below which no member counts as lagging: many round trips between availability zones.
const LAGGING_MS: f64 = 150.0;

/// the step of a ledger node that an ask waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwaitedStep {
    /// a reply from memory.
    Answer,
    /// a sync of the node's disk.
    Sync,
}

impl AwaitedStep {
    /// the shortest wait before further members are asked.
    fn min_hedge_delay_ms(self) -> f64 {
        match self {
            // Several round trips between availability zones.
            Self::Answer => 30.0,
            // Several syncs of a slow disk.
            Self::Sync => 60.0,
        }
    }
}

/// smoothed time and deviation of one step at one member.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean_ms: f64,
    deviation_ms: f64,
    is_known: bool,
}

impl Estimate {
    fn update(&mut self, took_ms: f64) {
        if !self.is_known {
            *self = Self { mean_ms: took_ms, deviation_ms: took_ms / 2.0, is_known: true };
            return;
        }
        self.deviation_ms += DEVIATION_WEIGHT * ((took_ms - self.mean_ms).abs() - self.deviation_ms);
        self.mean_ms += MEAN_WEIGHT * (took_ms - self.mean_ms);
    }

    fn expected_ms(&self) -> f64 {
        self.mean_ms + DEVIATIONS * self.deviation_ms
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct MemberTimes {
    answer: Estimate,
    sync: Estimate,
}

/// answer times of the ledger members, each compared with its peers.
///
/// A member that is slower than its peers may be gone, and asking others helps. If all are slow, asking more
/// of them slows them further, so the hedge delay grows with the median.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    members: HashMap<String, MemberTimes>,
}

impl AnswerTimes {
    /// records that a step of a member took `took_ms`.
    pub fn record(&mut self, member: &str, step: AwaitedStep, took_ms: u64) {
        let times = self.members.entry(member.to_owned()).or_default();
        let estimate = match step {
            AwaitedStep::Answer => &mut times.answer,
            AwaitedStep::Sync => &mut times.sync,
        };
        estimate.update(took_ms as f64);
    }

    /// time to wait for some members before further ones are asked. `oldest_ms` is the age of the oldest
    /// pending ask to each member, in the order of `members`.
    pub fn hedge_delay_ms(&self, members: &[&str], step: AwaitedStep, oldest_ms: &[u64]) -> u64 {
        let median_ms = self.median_ms(members, step, oldest_ms);
        (HEDGE_FACTOR * median_ms).max(step.min_hedge_delay_ms()) as u64
    }

    /// whether each member answers so much later than its peers that others should be asked in its place.
    pub fn lagging(&self, members: &[&str], oldest_ms: &[u64]) -> Vec<bool> {
        let median_ms = self.median_ms(members, AwaitedStep::Answer, oldest_ms);
        let bound_ms = (LAGGING_FACTOR * median_ms).max(LAGGING_MS);
        let late = |(member, oldest_ms)| self.expected_ms(member, AwaitedStep::Answer, oldest_ms) >= bound_ms;
        members.iter().copied().zip(oldest_ms.iter().copied()).map(late).collect()
    }

    /// the median over the members of the expected time of a step; an ask still pending counts with its age
    /// if that is longer.
    fn median_ms(&self, members: &[&str], step: AwaitedStep, oldest_ms: &[u64]) -> f64 {
        let pairs = members.iter().zip(oldest_ms);
        let mut times_ms: Vec<f64> =
            pairs.map(|(member, oldest_ms)| self.expected_ms(member, step, *oldest_ms)).collect();
        times_ms.sort_by(f64::total_cmp);
        times_ms.get(times_ms.len() / 2).copied().unwrap_or(0.0)
    }

    fn expected_ms(&self, member: &str, step: AwaitedStep, oldest_ms: u64) -> f64 {
        let times = self.members.get(member).copied().unwrap_or_default();
        let estimate = match step {
            AwaitedStep::Answer => times.answer,
            AwaitedStep::Sync => times.sync,
        };
        estimate.expected_ms().max(oldest_ms as f64)
    }
}
