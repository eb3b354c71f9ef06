use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::prefix_cache::CacheChange;
use crate::Seeded;

/// most events kept for readers.
const MAX_EVENTS: usize = 8_192;

/// what happened to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// the cache holds it.
    Held,
    /// the cache dropped it.
    Dropped,
}

/// one published change of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// number of the event; lost events leave gaps.
    pub seq: u64,
    /// what happened.
    pub kind: CacheEventKind,
    /// name of the prefix, 16 hexadecimal digits.
    pub prefix: String,
    /// tokens of the whole prefix.
    pub tokens: u64,
}

/// published changes of the cache, late and with gaps.
#[derive(Clone, Debug)]
pub(super) struct CacheEvents {
    lag_us: u64,
    loss: f64,
    lost: Seeded,
    next_seq: u64,
    oldest_seq: u64,
    events: VecDeque<(u64, CacheEvent)>,
}

impl CacheEvents {
    pub(super) fn new(lag_us: u64) -> Self {
        Self {
            lag_us,
            loss: 0.0,
            lost: Seeded::default(),
            next_seq: 1,
            oldest_seq: 1,
            events: VecDeque::new(),
        }
    }

    pub(super) fn set_loss(&mut self, probability: f64, seed: u64) {
        self.loss = probability;
        self.lost = Seeded::new(seed);
    }

    pub(super) fn record(&mut self, now_us: u64, changes: Vec<CacheChange>) {
        for (kind, prefix, tokens) in changes {
            let seq = self.next_seq;
            self.next_seq += 1;
            if self.loss > 0.0 && self.lost.chance(self.loss) {
                continue;
            }
            let event = CacheEvent { seq, kind, prefix: format!("{prefix:016x}"), tokens };
            self.events.push_back((now_us + self.lag_us, event));
        }
        while self.events.len() > MAX_EVENTS {
            if let Some((_, event)) = self.events.pop_front() {
                self.oldest_seq = event.seq + 1;
            }
        }
    }

    /// the events after `after` that are visible by now, and the number to ask from next.
    pub(super) fn after(&self, now_us: u64, after: u64) -> (Vec<CacheEvent>, u64) {
        let mut seen = Vec::new();
        for (visible_at_us, event) in &self.events {
            if *visible_at_us > now_us {
                break;
            }
            if event.seq > after {
                seen.push(event.clone());
            }
        }
        let next = seen.last().map_or(after, |event| event.seq);
        (seen, next)
    }

    pub(super) fn oldest_seq(&self) -> u64 {
        self.oldest_seq
    }
}
