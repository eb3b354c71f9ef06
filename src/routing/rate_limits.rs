use std::collections::HashMap;
use std::time::Duration;

use flamingo_edge::TokenBucket;

use crate::schema::LimitShare;
use crate::schema::LimitUse;

/// time after an answer with a limit during which one without it may have left the replica before.
const REORDER_MS: u64 = 500;
/// time without an answer after which a limited replica is chosen like any other, to hear of its limit.
const CONFIRM_MS: u64 = 1_000;
/// how long a limit counts that no answer has confirmed: a replica that takes few requests answers few.
const KEEP_MS: u64 = 60_000;
/// how long the end of a limit is reported.
const REPORT_END_MS: u64 = 5_000;
/// age up to which a share by demand counts: several reports.
const SHARE_FRESH_MS: u64 = 1_500;
/// part of an equal share that a door without reports uses: small beside what the other doors use.
const UNREPORTED_SHARE: f64 = 0.5;
/// requests a second, of all doors, that a replica gets at least: its next answer tells whether the limit has
/// changed.
const MIN_LIMIT_PER_S: f64 = 0.5;
/// time for which a door may save its share up; one request can be saved always.
const BURST_S: f64 = 1.0;
/// the most that a share is raised by, while all doors together send less than the limit: the requests of a
/// door come at random, so that each leaves a part of its share unused.
const MAX_GAIN: f64 = 3.0;
/// factor by which the gain is raised at a report.
const GAIN_STEP: f64 = 1.04;
/// part of the limit from which on the gain is not raised.
const FULL_USE: f64 = 0.95;
/// demand below which a limit that other doors told is not reported.
const MIN_DEMAND_PER_S: f64 = 0.05;
/// time constant of the mean demand: longer than a report, and than the pause between two turns of a program.
const DEMAND_TIME_MS: f64 = 4_000.0;
/// time constant of the mean rate of sent requests: shorter than the span in which a limit is to hold.
const SENT_TIME_MS: f64 = 2_000.0;

/// what an answer says of the requests that its replica takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateNotice {
    /// requests a second, from all doors together.
    Limited(f64),
    /// it takes all.
    Unlimited,
    /// a limit that cannot be read; what was known before stays valid.
    Unreadable,
}

/// a change of what a door knows of a replica's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// a limit in requests a second, new or other than before.
    Set(f64),
    /// the limit is over.
    Lifted,
}

/// the rate limits of replicas, and this door's share of them.
///
/// A limit holds for all doors together. Doors report how many requests they would send, and each takes a part
/// of the limit in proportion; the parts add up to the limit without a message for each request.
#[derive(Debug, Default)]
pub(super) struct RateLimits {
    by_replica: HashMap<String, ReplicaLimit>,
    /// ready doors, this one included.
    door_count: usize,
}

#[derive(Debug)]
struct ReplicaLimit {
    /// start of the replica process in Unix milliseconds.
    started_unix_ms: u64,
    /// `None` once it is over.
    limit_per_s: Option<f64>,
    /// when an answer to some door last named the limit, or no longer did.
    heard_ms: u64,
    /// whether an answer to this door named the limit.
    is_local: bool,
    demand: MeanRate,
    sent: MeanRate,
    bucket: TokenBucket,
    /// share of the limit by the last reports of all doors.
    share: Option<Share>,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    /// part of the limit, 0 to 1.
    part: f64,
    gain: f64,
    received_ms: u64,
}

/// exponentially weighted mean rate of requests.
#[derive(Clone, Copy, Debug)]
struct MeanRate {
    time_ms: f64,
    per_s: f64,
    updated_ms: u64,
}

impl MeanRate {
    fn new(time_ms: f64) -> Self {
        Self { time_ms, per_s: 0.0, updated_ms: 0 }
    }

    fn at(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.per_s * (-elapsed_ms / self.time_ms).exp()
    }

    fn add(&mut self, now_ms: u64) {
        self.per_s = self.at(now_ms) + 1_000.0 / self.time_ms;
        self.updated_ms = self.updated_ms.max(now_ms);
    }
}

impl ReplicaLimit {
    fn new(now_ms: u64, started_unix_ms: u64, limit_per_s: f64) -> Self {
        let mut bucket = TokenBucket::new(0.0, 1.0);
        // What this door sent until now was not counted, so it starts without tokens.
        bucket.drain();
        Self {
            started_unix_ms,
            limit_per_s: Some(limit_per_s),
            heard_ms: now_ms,
            is_local: false,
            demand: MeanRate::new(DEMAND_TIME_MS),
            sent: MeanRate::new(SENT_TIME_MS),
            bucket,
            share: None,
        }
    }

    /// this door's part of the limit, and the gain on it.
    fn part_and_gain(&self, now_ms: u64, door_count: usize) -> (f64, f64) {
        let equal_part = 1.0 / door_count.max(1) as f64;
        match self.share {
            Some(share) if now_ms < share.received_ms + SHARE_FRESH_MS => (share.part, share.gain),
            // Without reports, other doors have taken over the share of this one.
            Some(share) => (share.part.min(UNREPORTED_SHARE * equal_part), 1.0),
            None => (equal_part, 1.0),
        }
    }

    /// takes the sums over all doors that a ledger node told.
    fn update_share(&mut self, now_ms: u64, told: &LimitShare) {
        let limit_per_s = self.limit_per_s.unwrap_or(f64::INFINITY);
        let gain = self.share.map_or(1.0, |share| share.gain);
        let gain = if told.all_sent_per_s > limit_per_s {
            gain * limit_per_s / told.all_sent_per_s
        } else if told.all_sent_per_s < FULL_USE * limit_per_s && told.all_demand_per_s > limit_per_s {
            gain * GAIN_STEP
        } else {
            gain
        };
        let part = (told.own_demand_per_s / told.all_demand_per_s).clamp(0.0, 1.0);
        self.share = Some(Share { part, gain: gain.clamp(1.0, MAX_GAIN), received_ms: now_ms });
    }

    fn update_rate(&mut self, now_ms: u64, door_count: usize) {
        let limit_per_s = self.limit_per_s.unwrap_or(f64::INFINITY).max(MIN_LIMIT_PER_S);
        let (part, gain) = self.part_and_gain(now_ms, door_count);
        let share_per_s = limit_per_s * part;
        // The gain does not add to what doors may send at once.
        let capacity = (BURST_S * share_per_s).max(1.0);
        self.bucket.set_rate(Duration::from_millis(now_ms), gain * share_per_s, capacity);
    }
}

impl RateLimits {
    /// handles what an answer of a replica says; returns what changes by it.
    pub fn observe(
        &mut self,
        now_ms: u64,
        replica: &str,
        started_unix_ms: u64,
        notice: RateNotice,
    ) -> Option<LimitChange> {
        match notice {
            RateNotice::Unreadable => None,
            RateNotice::Limited(limit_per_s) => {
                let change = self.set(now_ms, now_ms, replica, started_unix_ms, Some(limit_per_s));
                if let Some(known) = self.by_replica.get_mut(replica) {
                    known.is_local |= known.started_unix_ms == started_unix_ms;
                }
                change
            }
            RateNotice::Unlimited => {
                let known = self.by_replica.get(replica)?;
                let is_same = known.started_unix_ms == started_unix_ms && known.limit_per_s.is_some();
                let is_reordered = now_ms < known.heard_ms + REORDER_MS;
                if !is_same || is_reordered {
                    return None;
                }
                self.set(now_ms, now_ms, replica, started_unix_ms, None)
            }
        }
    }

    /// replaces the shares by what a ledger node adds up from the reports of all doors; returns the replicas
    /// whose limits change.
    pub fn apply_shares(&mut self, now_ms: u64, shares: &[LimitShare]) -> Vec<(String, LimitChange)> {
        let mut changes = Vec::new();
        for told in shares {
            let heard_ms = now_ms.saturating_sub(told.age_ms);
            let change = self.set(now_ms, heard_ms, &told.replica, told.started_unix_ms, told.limit_per_s);
            changes.extend(change.map(|change| (told.replica.clone(), change)));
            let known = self.by_replica.get_mut(&told.replica);
            let Some(known) = known.filter(|known| known.started_unix_ms == told.started_unix_ms) else {
                continue;
            };
            if told.all_demand_per_s > 0.0 {
                known.update_share(now_ms, told);
            }
        }
        changes
    }

    fn set(
        &mut self,
        now_ms: u64,
        heard_ms: u64,
        replica: &str,
        started_unix_ms: u64,
        limit_per_s: Option<f64>,
    ) -> Option<LimitChange> {
        let known = self.by_replica.get_mut(replica).filter(|known| known.started_unix_ms >= started_unix_ms);
        let Some(known) = known else {
            let limit_per_s = limit_per_s?;
            let limit = ReplicaLimit::new(now_ms, started_unix_ms, limit_per_s);
            self.by_replica.insert(replica.to_owned(), ReplicaLimit { heard_ms, ..limit });
            return Some(LimitChange::Set(limit_per_s));
        };
        if known.started_unix_ms > started_unix_ms || heard_ms < known.heard_ms {
            return None;
        }
        known.heard_ms = heard_ms;
        let previous = std::mem::replace(&mut known.limit_per_s, limit_per_s);
        match limit_per_s {
            _ if previous == limit_per_s => None,
            Some(limit_per_s) => Some(LimitChange::Set(limit_per_s)),
            None => Some(LimitChange::Lifted),
        }
    }

    /// sets the number of ready doors, this one included.
    pub fn set_door_count(&mut self, door_count: usize) {
        self.door_count = door_count;
    }

    /// whether a replica has named its limit recently; otherwise its next answer tells whether it is over.
    pub fn is_confirmed(&self, now_ms: u64, replica: &str, started_unix_ms: u64) -> bool {
        let known = self.by_replica.get(replica);
        let is_recent = known.is_some_and(|known| now_ms < known.heard_ms + CONFIRM_MS);
        is_recent && self.is_limited(replica, started_unix_ms)
    }

    /// whether a replica is limited now.
    fn is_limited(&self, replica: &str, started_unix_ms: u64) -> bool {
        self.limit(replica, started_unix_ms).is_some()
    }

    fn limit(&self, replica: &str, started_unix_ms: u64) -> Option<f64> {
        let known = self.by_replica.get(replica)?;
        known.limit_per_s.filter(|_| known.started_unix_ms == started_unix_ms)
    }

    /// counts a request for which a replica would be chosen, whether its limit leaves one or not.
    pub fn record_demand(&mut self, now_ms: u64, replica: &str, started_unix_ms: u64) {
        if !self.is_limited(replica, started_unix_ms) {
            return;
        }
        if let Some(known) = self.by_replica.get_mut(replica) {
            known.demand.add(now_ms);
        }
    }

    /// takes a request from the share of this door in a replica's limit, if there is a limit; the time until
    /// one is there is the error.
    pub fn take(&mut self, now_ms: u64, replica: &str, started_unix_ms: u64) -> Result<(), Duration> {
        if !self.is_limited(replica, started_unix_ms) {
            return Ok(());
        }
        let door_count = self.door_count;
        let Some(known) = self.by_replica.get_mut(replica) else {
            return Ok(());
        };
        known.update_rate(now_ms, door_count);
        known.bucket.take(Duration::from_millis(now_ms), 1.0)?;
        known.sent.add(now_ms);
        Ok(())
    }

    /// counts a request that is sent whatever the limit leaves.
    pub fn charge(&mut self, now_ms: u64, replica: &str, started_unix_ms: u64) {
        if self.take(now_ms, replica, started_unix_ms).is_err()
            && let Some(known) = self.by_replica.get_mut(replica)
        {
            // The reservation is granted after any wait.
            let _ = known.bucket.reserve(Duration::from_millis(now_ms), 1.0, Duration::MAX);
        }
    }

    /// limits that this door has heard of from the replicas or would use, for the other doors.
    pub fn uses(&self, now_ms: u64) -> Vec<LimitUse> {
        let known = self.by_replica.iter();
        known
            .filter(|(_, limit)| limit.is_local || limit.demand.at(now_ms) >= MIN_DEMAND_PER_S)
            .map(|(replica, limit)| LimitUse {
                replica: replica.clone(),
                started_unix_ms: limit.started_unix_ms,
                limit_per_s: limit.limit_per_s,
                age_ms: now_ms.saturating_sub(limit.heard_ms),
                demand_per_s: limit.demand.at(now_ms),
                sent_per_s: limit.sent.at(now_ms),
            })
            .collect()
    }

    /// drops limits that no answer has confirmed for long, and those that are over.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_replica.retain(|_, limit| {
            let keep_ms = if limit.limit_per_s.is_some() { KEEP_MS } else { REPORT_END_MS };
            now_ms < limit.heard_ms + keep_ms
        });
    }
}
