use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::schema::KeptTurn;
use crate::schema::LedgerFinish;
use crate::schema::LedgerRecord;
use crate::schema::LedgerSpend;
use crate::schema::LedgerTurn;
use crate::schema::Octets;
use crate::schema::ReservedTokens;

/// how long the spending of a program is remembered after its last turn.
///
/// Longer than any retention that an operator sets for turns, so that a program that comes back finds its budget.
pub const SPEND_KEEP_MS: u64 = 600_000;
/// bytes of what was said in one page of records.
pub const PAGE_BYTES: usize = 256 * 1024;
/// bytes that a record counts for beside what was said.
const RECORD_BYTES: usize = 128;
/// turns of one history; more can only be a loop of damaged records.
const MAX_HISTORY_TURNS: usize = 10_000;

/// the live records of one node. Merging a record twice, or two records in any order, gives the same book.
#[derive(Debug, Default)]
pub struct Book {
    programs: HashMap<String, ProgramRow>,
    turns: HashMap<String, TurnRow>,
    /// the request of each record, by the number of its last change.
    order: BTreeMap<u64, (String, String)>,
    last_number: u64,
}

#[derive(Debug, Default)]
struct ProgramRow {
    spends: BTreeMap<String, SpendRow>,
    touched_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct SpendRow {
    tokens: u64,
    settled: bool,
    /// whether other members than the first ones of the program were asked.
    away: bool,
    number: u64,
}

#[derive(Clone, Debug)]
struct TurnRow {
    previous: Option<String>,
    said: Octets,
    keep_ms: u64,
    expires_ms: u64,
}

impl Book {
    /// merges a record and tells whether it changed anything.
    pub fn merge(&mut self, now_ms: u64, record: &LedgerRecord) -> bool {
        match record {
            LedgerRecord::Reserved(reserved) => self.reserve(now_ms, reserved),
            LedgerRecord::Finished(finish) => self.finish(now_ms, finish),
            LedgerRecord::Joined(_) | LedgerRecord::Observed(_) => false,
        }
    }

    fn reserve(&mut self, now_ms: u64, reserved: &ReservedTokens) -> bool {
        let program = self.programs.entry(reserved.program.clone()).or_default();
        program.touched_ms = now_ms;
        let known = program.spends.get(&reserved.request).copied();
        if known.is_some_and(|row| row.settled || row.away || !reserved.away) {
            return false;
        }
        if let Some(row) = known {
            self.order.remove(&row.number);
        }
        self.last_number += 1;
        let row = SpendRow {
            tokens: reserved.tokens,
            settled: false,
            away: reserved.away,
            number: self.last_number,
        };
        program.spends.insert(reserved.request.clone(), row);
        self.order.insert(self.last_number, (reserved.program.clone(), reserved.request.clone()));
        true
    }

    fn finish(&mut self, now_ms: u64, finish: &LedgerFinish) -> bool {
        let program = self.programs.entry(finish.program.clone()).or_default();
        program.touched_ms = now_ms;
        let known = program.spends.get(&finish.request).copied();
        let new_turn = finish.turn.is_some() && !self.turns.contains_key(&finish.request);
        if known.is_some_and(|row| row.settled) && !new_turn {
            return false;
        }
        if let Some(row) = known {
            self.order.remove(&row.number);
        }
        self.last_number += 1;
        let away = known.is_some_and(|row| row.away);
        let row = SpendRow { tokens: finish.used_tokens, settled: true, away, number: self.last_number };
        program.spends.insert(finish.request.clone(), row);
        self.order.insert(self.last_number, (finish.program.clone(), finish.request.clone()));
        if let Some(turn) = &finish.turn {
            self.keep_turn(now_ms, &finish.request, turn);
        }
        true
    }

    /// keeps a turn, and with it all that it goes on from.
    fn keep_turn(&mut self, now_ms: u64, request: &str, turn: &LedgerTurn) {
        let expires_ms = now_ms + turn.keep_ms;
        let row = TurnRow {
            previous: turn.previous.clone(),
            said: turn.said.clone(),
            keep_ms: turn.keep_ms,
            expires_ms,
        };
        self.turns.insert(request.to_owned(), row);
        let mut next = turn.previous.clone();
        for _ in 0..MAX_HISTORY_TURNS {
            let Some(row) = next.as_ref().and_then(|name| self.turns.get_mut(name)) else {
                return;
            };
            row.expires_ms = row.expires_ms.max(expires_ms);
            next = row.previous.clone();
        }
    }

    /// tokens held by each turn of a program that changed after the record `after`.
    pub fn spends(&self, program: &str, after: u64) -> Vec<LedgerSpend> {
        let Some(program) = self.programs.get(program) else {
            return Vec::new();
        };
        let changed = program.spends.iter().filter(|(_, row)| row.number > after);
        let spend = |(request, row): (&String, &SpendRow)| LedgerSpend {
            request: request.clone(),
            tokens: row.tokens,
            settled: row.settled,
            away: row.away,
        };
        changed.map(spend).collect()
    }

    /// tells whether a turn is kept.
    pub fn knows_turn(&self, request: &str) -> bool {
        self.turns.contains_key(request)
    }

    /// a turn and those before it, the newest first, up to the first one that this book lacks.
    ///
    /// A node that was away for a while lacks turns of that time; other nodes have them.
    pub fn history(&self, request: &str) -> Vec<KeptTurn> {
        let mut turns = Vec::new();
        let mut next = Some(request);
        while let Some(name) = next {
            let Some(row) = self.turns.get(name).filter(|_| turns.len() < MAX_HISTORY_TURNS) else {
                break;
            };
            turns.push(KeptTurn {
                turn: name.to_owned(),
                previous: row.previous.clone(),
                said: row.said.clone(),
            });
            next = row.previous.as_deref();
        }
        turns
    }

    /// a page of records that changed after the record `after`, and whether more follow.
    pub fn page(&self, after: u64) -> (Vec<LedgerRecord>, u64, bool) {
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut last = after;
        for (number, (program, request)) in self.order.range(after + 1..) {
            if bytes >= PAGE_BYTES {
                return (records, last, true);
            }
            last = *number;
            let Some(record) = self.record(program, request) else {
                continue;
            };
            bytes += record_bytes(&record);
            records.push(record);
        }
        (records, last, false)
    }

    fn record(&self, program: &str, request: &str) -> Option<LedgerRecord> {
        let row = self.programs.get(program)?.spends.get(request)?;
        if !row.settled {
            return Some(LedgerRecord::Reserved(ReservedTokens {
                program: program.to_owned(),
                request: request.to_owned(),
                tokens: row.tokens,
                away: row.away,
            }));
        }
        let turn = self.turns.get(request).map(|turn| LedgerTurn {
            previous: turn.previous.clone(),
            said: turn.said.clone(),
            keep_ms: turn.keep_ms,
        });
        Some(LedgerRecord::Finished(LedgerFinish {
            program: program.to_owned(),
            request: request.to_owned(),
            used_tokens: row.tokens,
            turn,
        }))
    }

    /// forgets turns and programs whose time is over.
    pub fn expire(&mut self, now_ms: u64) {
        self.turns.retain(|_, turn| now_ms < turn.expires_ms);
        let order = &mut self.order;
        self.programs.retain(|_, program| {
            let keep = now_ms < program.touched_ms + SPEND_KEEP_MS;
            if !keep {
                for row in program.spends.values() {
                    order.remove(&row.number);
                }
            }
            keep
        });
    }

    /// number of the last record that is live; 0 if there is none.
    pub fn last_number(&self) -> u64 {
        self.order.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// turns that are kept.
    pub fn turn_count(&self) -> usize {
        self.turns.len()
    }

    /// programs whose spending is remembered.
    pub fn program_count(&self) -> usize {
        self.programs.len()
    }
}

fn record_bytes(record: &LedgerRecord) -> usize {
    let said = match record {
        LedgerRecord::Finished(finish) => finish.turn.as_ref().map_or(0, |turn| turn.said.as_slice().len()),
        LedgerRecord::Reserved(_) | LedgerRecord::Joined(_) | LedgerRecord::Observed(_) => 0,
    };
    RECORD_BYTES + said
}
