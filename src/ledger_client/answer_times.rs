use std::collections::HashMap;

/// weights of the newest time in the averages, as TCP takes them for its retransmission timer (RFC 6298).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// deviations above the mean within which an answer is expected, as in RFC 6298.
const DEVIATIONS: f64 = 4.0;
/// how much slower than its peers a member must be before a question is sent to others as well.
const SLOWER_THAN_PEERS: f64 = 2.0;
/// how much slower than its peers a member must be before others are asked in its place from the start.
const LAGGING_BEHIND_PEERS: f64 = 4.0;
/// time below which no member counts as lagging: many round trips between availability zones.
const LAGGING_MS: f64 = 150.0;

/// what a question waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwaitedStep {
    /// what a node knows, which it has in memory.
    Answer,
    /// its disk.
    Sync,
}

impl AwaitedStep {
    /// the least wait before other members are asked as well.
    fn least_patience_ms(self) -> f64 {
        match self {
            // Several round trips between availability zones.
            Self::Answer => 30.0,
            // Several syncs of a slow disk.
            Self::Sync => 60.0,
        }
    }
}

/// the time that one member takes for one step.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean_ms: f64,
    deviation_ms: f64,
    is_known: bool,
}

impl Estimate {
    fn take(&mut self, took_ms: f64) {
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

/// how long the members of the ledger take, each one beside its peers.
///
/// A member that is slower than its peers may be gone, and asking others helps. If all are slow, asking more of them
/// only makes them slower, so that patience grows with what the members take on the whole.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    members: HashMap<String, MemberTimes>,
}

impl AnswerTimes {
    /// takes the time of one step of one member.
    pub fn took(&mut self, member: &str, step: AwaitedStep, took_ms: u64) {
        let times = self.members.entry(member.to_owned()).or_default();
        let estimate = match step {
            AwaitedStep::Answer => &mut times.answer,
            AwaitedStep::Sync => &mut times.sync,
        };
        estimate.take(took_ms as f64);
    }

    /// how long to wait for some members before the others are asked as well; `oldest_ms` is how long each member's
    /// oldest question has waited, in the same order.
    pub fn patience_ms(&self, members: &[&str], step: AwaitedStep, oldest_ms: &[u64]) -> u64 {
        let usual_ms = self.usual_ms(members, step, oldest_ms);
        (SLOWER_THAN_PEERS * usual_ms).max(step.least_patience_ms()) as u64
    }

    /// whether each member answers so much later than its peers that others should be asked in its place.
    pub fn lagging(&self, members: &[&str], oldest_ms: &[u64]) -> Vec<bool> {
        let usual_ms = self.usual_ms(members, AwaitedStep::Answer, oldest_ms);
        let bound_ms = (LAGGING_BEHIND_PEERS * usual_ms).max(LAGGING_MS);
        let late = |(member, oldest_ms)| self.expected_ms(member, AwaitedStep::Answer, oldest_ms) >= bound_ms;
        members.iter().copied().zip(oldest_ms.iter().copied()).map(late).collect()
    }

    /// the time within which half of the members finish a step, those that were asked and have not yet included.
    fn usual_ms(&self, members: &[&str], step: AwaitedStep, oldest_ms: &[u64]) -> f64 {
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
