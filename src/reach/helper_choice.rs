use std::collections::HashMap;

use crate::schema::DoorRow;

/// time for which a door that could not be reached is not chosen again: longer than its row lags.
const FAILED_PAUSE_MS: u64 = 1_000;

/// which other door takes the next request of a door that is cut off from the replicas.
#[derive(Debug, Default)]
pub struct HelperChoice {
    /// requests under way through each helper, by its address for callers.
    in_flight: HashMap<String, u32>,
    failed_until_ms: HashMap<String, u64>,
}

impl HelperChoice {
    /// the helper for a request: the less busy of two random ones, or the one in `zone` if they are equal.
    ///
    /// `tried` are helpers that the request has been to. As each door counts its own requests only, a helper that
    /// slows down gets fewer of them.
    pub fn choose<'a>(
        &self,
        now_ms: u64,
        zone: &str,
        helpers: &[&'a DoorRow],
        tried: &[String],
        random: u64,
    ) -> Option<&'a DoorRow> {
        let is_usable = |row: &&&DoorRow| {
            !tried.contains(&row.callers)
                && self.failed_until_ms.get(&row.callers).is_none_or(|until_ms| now_ms >= *until_ms)
        };
        let usable: Vec<&DoorRow> = helpers.iter().filter(is_usable).copied().collect();
        let first = *usable.get(random as usize % usable.len().max(1))?;
        let second = *usable.get((random >> 32) as usize % usable.len())?;
        let rank = |row: &DoorRow| (self.in_flight(&row.callers), row.zone != zone);
        Some(if rank(second) < rank(first) { second } else { first })
    }

    /// requests under way through a helper.
    pub fn in_flight(&self, callers: &str) -> u32 {
        self.in_flight.get(callers).copied().unwrap_or(0)
    }

    /// counts a request that is passed on.
    pub fn begin(&mut self, callers: &str) {
        *self.in_flight.entry(callers.to_owned()).or_default() += 1;
    }

    /// ends a request that was passed on.
    pub fn end(&mut self, callers: &str) {
        let Some(in_flight) = self.in_flight.get_mut(callers) else {
            return;
        };
        *in_flight = in_flight.saturating_sub(1);
        if *in_flight == 0 {
            self.in_flight.remove(callers);
        }
    }

    /// leaves a helper out for a moment that could not be reached.
    pub fn record_failure(&mut self, now_ms: u64, callers: &str) {
        self.failed_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.failed_until_ms.insert(callers.to_owned(), now_ms + FAILED_PAUSE_MS);
    }
}
