use std::collections::HashMap;

use crate::allotment::ProgramStanding;

/// time after which a program that sends nothing is forgotten: several times the pause between two turns.
const KEEP_MS: u64 = 60_000;
/// most programs that a door remembers: those of a minute at a busy door, in some megabytes.
const MAX_PROGRAMS: usize = 16_384;

/// programs of which a door has let requests through.
#[derive(Debug, Default)]
pub struct RecentPrograms {
    /// when each was last seen.
    seen: HashMap<String, u64>,
}

impl RecentPrograms {
    /// place of a request in its program; `previous` is the turn that it goes on from.
    pub fn standing(&self, now_ms: u64, program: Option<&str>, previous: Option<&str>) -> ProgramStanding {
        let seen_ms = program.and_then(|program| self.seen.get(program));
        let is_known = seen_ms.is_some_and(|seen_ms| now_ms < seen_ms + KEEP_MS);
        match previous.is_some() || is_known {
            true => ProgramStanding::UnderWay,
            false => ProgramStanding::New,
        }
    }

    /// remembers a program.
    pub fn add(&mut self, now_ms: u64, program: &str) {
        if self.seen.len() >= MAX_PROGRAMS {
            self.seen.retain(|_, seen_ms| now_ms < *seen_ms + KEEP_MS);
        }
        if self.seen.len() < MAX_PROGRAMS || self.seen.contains_key(program) {
            self.seen.insert(program.to_owned(), now_ms);
        }
    }
}
