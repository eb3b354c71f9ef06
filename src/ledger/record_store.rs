use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::ledger::homes::Homes;
use crate::ledger::kept_turns::KeptTurns;
use crate::ledger::missing_turns::ExtensionPage;
use crate::ledger::stream_versions::Merged;
use crate::ledger::stream_versions::StreamVersions;
use crate::poison::HOLD_THRESHOLD;
use crate::poison::ReplicaRun;
use crate::poison::RunMerge;
use crate::poison::Strikes;
use crate::poison::UnresolvedRuns;
use crate::schema::KeptTurn;
use crate::schema::LedgerFinish;
use crate::schema::LedgerRecord;
use crate::schema::LedgerSpend;
use crate::schema::PoisonStrike;
use crate::schema::ReservedTokens;
use crate::schema::StreamVersion;
use crate::schema::SuspectedRun;
use crate::schema::TurnExtension;

/// retention of a program's spending after its last reservation or finished turn; longer while a turn of it is kept.
pub const SPEND_RETENTION_MS: u64 = 600_000;
/// page size after which no further record is added.
pub const PAGE_BYTES: usize = 256 * 1024;
/// page bytes charged for a record in addition to the content of its turn.
const RECORD_OVERHEAD_BYTES: usize = 128;
/// strikes and unanswered runs in one answer to a door; doors report several times a second, so the rest follows soon.
const POISON_PER_ANSWER: usize = 100;
/// the live records of one node. Merging is idempotent and commutative.
#[derive(Debug, Default)]
pub struct RecordStore {
    programs: HashMap<String, ProgramRow>,
    turns: KeptTurns,
    streams: StreamVersions,
    strikes: Strikes,
    runs: UnresolvedRuns,
    /// contents whose runs doors are told of: they reach the threshold, if all replicas of the runs have ended.
    suspected: BTreeSet<String>,
    /// subject of each live record by its change number; a record that changes gets a new number.
    subjects: BTreeMap<u64, Subject>,
    /// change numbers of what doors are told of contents.
    poison_numbers: BTreeSet<u64>,
    last_number: u64,
}

/// what a door is told of contents that end replicas.
#[derive(Clone, Debug, Default)]
pub struct PoisonNews {
    /// strikes.
    pub strikes: Vec<PoisonStrike>,
    /// unanswered runs.
    pub runs: Vec<SuspectedRun>,
    /// change number up to which the door knows all.
    pub last_number: u64,
}

/// subject of a live record.
#[derive(Clone, Debug)]
enum Subject {
    Turn {
        program: String,
        request: String,
    },
    Strike(PoisonStrike),
    /// an unanswered run.
    Run {
        content: String,
        victim: String,
    },
    /// the stream of the attempt with this id.
    Stream(String),
}

#[derive(Debug, Default)]
struct ProgramRow {
    spends: BTreeMap<String, SpendRow>,
    homes: Homes,
    last_used_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct SpendRow {
    tokens: u64,
    settled: bool,
    /// whether it was reserved at members other than the preferred ones of the program.
    away: bool,
    number: u64,
}

impl RecordStore {
    /// merges a record; `true` if it changed anything.
    pub fn merge(&mut self, now_ms: u64, record: &LedgerRecord) -> bool {
        match record {
            LedgerRecord::Reserved(reserved) => self.reserve(now_ms, reserved),
            LedgerRecord::Finished(finish) => self.finish(now_ms, finish),
            LedgerRecord::Struck(strike) => self.strike(now_ms, strike),
            LedgerRecord::Suspected(run) => self.suspect(now_ms, run),
            LedgerRecord::StreamBegan(began) => self.begin_stream(now_ms, began),
            LedgerRecord::Joined(_) | LedgerRecord::Observed(_) => false,
        }
    }

    fn reserve(&mut self, now_ms: u64, reserved: &ReservedTokens) -> bool {
        let program = self.programs.entry(reserved.program.clone()).or_default();
        program.last_used_ms = now_ms;
        let known = program.spends.get(&reserved.request).copied();
        if known.is_some_and(|row| row.settled || row.away || !reserved.away) {
            return false;
        }
        if let Some(row) = known {
            self.subjects.remove(&row.number);
        }
        self.last_number += 1;
        let row = SpendRow {
            tokens: reserved.tokens,
            settled: false,
            away: reserved.away,
            number: self.last_number,
        };
        program.spends.insert(reserved.request.clone(), row);
        let subject = Subject::Turn { program: reserved.program.clone(), request: reserved.request.clone() };
        self.subjects.insert(self.last_number, subject);
        true
    }

    fn begin_stream(&mut self, now_ms: u64, began: &StreamVersion) -> bool {
        let number = self.last_number + 1;
        match self.streams.merge(now_ms, began, number) {
            Merged::Unchanged => return false,
            Merged::Added => {}
            Merged::Changed(previous) => {
                self.subjects.remove(&previous);
            }
        }
        self.last_number = number;
        self.subjects.insert(number, Subject::Stream(began.request.clone()));
        true
    }

    fn strike(&mut self, now_ms: u64, strike: &PoisonStrike) -> bool {
        if self.strikes.add(now_ms, strike).is_none() {
            return false;
        }
        self.last_number += 1;
        self.subjects.insert(self.last_number, Subject::Strike(strike.clone()));
        self.poison_numbers.insert(self.last_number);
        self.update_suspected(&strike.content);
        true
    }

    fn suspect(&mut self, now_ms: u64, run: &SuspectedRun) -> bool {
        let number = self.last_number + 1;
        match self.runs.merge(now_ms, run, number) {
            RunMerge::Unchanged => return false,
            RunMerge::Added => {}
            RunMerge::Changed(previous) => {
                self.subjects.remove(&previous);
                // Doors that know the run have to learn how it stands now.
                if self.poison_numbers.remove(&previous) {
                    self.poison_numbers.insert(number);
                }
            }
        }
        self.last_number = number;
        let victim = ReplicaRun::from(run).victim();
        self.subjects.insert(number, Subject::Run { content: run.content.clone(), victim });
        if self.suspected.contains(&run.content) {
            self.poison_numbers.insert(number);
        }
        self.update_suspected(&run.content);
        true
    }

    /// tells doors of the runs of a content once it reaches the threshold with them.
    fn update_suspected(&mut self, content: &str) {
        let strikes = self.strikes.victim_count(content);
        let weighing = self.runs.weighing(content);
        let unstruck = weighing.filter(|victim| !self.strikes.has_victim(content, victim)).count();
        let reaches = strikes < HOLD_THRESHOLD && strikes + unstruck >= HOLD_THRESHOLD;
        if !reaches {
            self.suspected.remove(content);
            return;
        }
        if !self.suspected.insert(content.to_owned()) {
            return;
        }
        // New numbers are after the marks of all doors.
        for (previous, number, victim) in self.runs.renumber(content, &mut self.last_number) {
            self.subjects.remove(&previous);
            self.subjects.insert(number, Subject::Run { content: content.to_owned(), victim });
            self.poison_numbers.remove(&previous);
            self.poison_numbers.insert(number);
        }
    }

    fn finish(&mut self, now_ms: u64, finish: &LedgerFinish) -> bool {
        let program = self.programs.entry(finish.program.clone()).or_default();
        program.last_used_ms = now_ms;
        let known = program.spends.get(&finish.request).copied();
        let new_turn = finish.turn.is_some() && !self.turns.contains(&finish.request);
        let settled_tokens = known.filter(|row| row.settled).map(|row| row.tokens);
        if settled_tokens.is_some_and(|tokens| finish.used_tokens <= tokens) && !new_turn {
            return false;
        }
        if let Some(row) = known {
            self.subjects.remove(&row.number);
        }
        self.last_number += 1;
        let away = known.is_some_and(|row| row.away);
        // Several doors may report the end of a turn that was passed on; the largest figure counts, whatever the order.
        let tokens = finish.used_tokens.max(settled_tokens.unwrap_or(0));
        let row = SpendRow { tokens, settled: true, away, number: self.last_number };
        program.spends.insert(finish.request.clone(), row);
        program.homes.add(finish);
        let subject = Subject::Turn { program: finish.program.clone(), request: finish.request.clone() };
        self.subjects.insert(self.last_number, subject);
        if let Some(turn) = &finish.turn {
            self.turns.keep(now_ms, &finish.request, turn);
        }
        true
    }

    /// keeps turns longer, with the turns before them, that another member needs but lacks; returns how many of
    /// them are here.
    pub fn extend(&mut self, now_ms: u64, extensions: &[TurnExtension]) -> usize {
        self.turns.extend(now_ms, extensions)
    }

    /// what other members are to be told of turns that this node needs but lacks, above a change number.
    pub(super) fn extensions_after(&self, now_ms: u64, after: u64) -> ExtensionPage {
        self.turns.missing_after(now_ms, after)
    }

    /// tokens held by each turn of a program whose change number is above `after`.
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

    /// the replica that probably has most of the turn's prompt cached.
    pub fn home(&self, program: &str, line: Option<&str>) -> Option<&str> {
        self.programs.get(program)?.homes.home(line)
    }

    /// the software that began the stream of an attempt.
    pub fn stream(&self, request: &str) -> Option<&StreamVersion> {
        self.streams.get(request)
    }

    /// streams that callers may still take up.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// whether a turn is kept.
    pub fn knows_turn(&self, request: &str) -> bool {
        self.turns.contains(request)
    }

    /// a turn and its predecessors, newest first, up to the first one that is missing here.
    ///
    /// A node that was down misses the turns of that time; other nodes have them.
    pub fn history(&self, request: &str) -> Vec<KeptTurn> {
        self.turns.history(request)
    }

    /// records with change numbers above `after`, the last number covered, and whether more follow.
    pub fn page(&self, after: u64) -> (Vec<LedgerRecord>, u64, bool) {
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut last = after;
        for (number, subject) in self.subjects.range(after + 1..) {
            if bytes >= PAGE_BYTES {
                return (records, last, true);
            }
            last = *number;
            let record = match subject {
                Subject::Turn { program, request } => self.turn_record(program, request),
                Subject::Strike(strike) => Some(LedgerRecord::Struck(strike.clone())),
                Subject::Run { content, victim } => {
                    self.runs.get(content, victim).cloned().map(LedgerRecord::Suspected)
                }
                Subject::Stream(request) => self.streams.get(request).cloned().map(LedgerRecord::StreamBegan),
            };
            let Some(record) = record else {
                continue;
            };
            bytes += record_bytes(&record);
            records.push(record);
        }
        (records, last, false)
    }

    fn turn_record(&self, program: &str, request: &str) -> Option<LedgerRecord> {
        let row = self.programs.get(program)?.spends.get(request)?;
        if !row.settled {
            return Some(LedgerRecord::Reserved(ReservedTokens {
                program: program.to_owned(),
                request: request.to_owned(),
                tokens: row.tokens,
                away: row.away,
            }));
        }
        let turn = self.turns.record(request);
        Some(LedgerRecord::Finished(LedgerFinish {
            program: program.to_owned(),
            request: request.to_owned(),
            line: None,
            replica: None,
            used_tokens: row.tokens,
            turn,
        }))
    }

    /// drops turns, programs, strikes and unanswered runs whose retention has ended.
    pub fn expire(&mut self, now_ms: u64) {
        self.turns.expire(now_ms);
        let (subjects, turns) = (&mut self.subjects, &self.turns);
        for number in self.streams.expire(now_ms) {
            subjects.remove(&number);
        }
        self.programs.retain(|_, program| {
            // A kept turn is compacted and copied together with what it spent.
            let keep = now_ms < program.last_used_ms + SPEND_RETENTION_MS
                || program.spends.keys().any(|request| turns.contains(request));
            if !keep {
                for row in program.spends.values() {
                    subjects.remove(&row.number);
                }
            }
            keep
        });
        let expired = self.strikes.expire(now_ms);
        self.poison_numbers.retain(|number| {
            let is_expired = matches!(subjects.get(number),
                Some(Subject::Strike(strike)) if expired.contains(&strike.content));
            if is_expired {
                subjects.remove(number);
            }
            !is_expired
        });
        for (content, number) in self.runs.expire(now_ms) {
            self.subjects.remove(&number);
            self.poison_numbers.remove(&number);
            self.update_suspected(&content);
        }
    }

    /// what doors are told of contents with change numbers above `after`, at most one answer's worth.
    pub fn poison_after(&self, after: u64) -> PoisonNews {
        let mut news = PoisonNews { strikes: Vec::new(), runs: Vec::new(), last_number: after };
        for number in self.poison_numbers.range(after + 1..).take(POISON_PER_ANSWER) {
            match self.subjects.get(number) {
                Some(Subject::Strike(strike)) => news.strikes.push(strike.clone()),
                Some(Subject::Run { content, victim }) => {
                    news.runs.extend(self.runs.get(content, victim).cloned());
                }
                Some(Subject::Turn { .. } | Subject::Stream(_)) | None => {}
            }
            news.last_number = *number;
        }
        news
    }

    /// replicas that ended while running a content.
    pub fn victim_count(&self, content: &str) -> usize {
        self.strikes.victim_count(content)
    }

    /// the strikes against each content.
    pub fn strikes(&self) -> &Strikes {
        &self.strikes
    }

    /// live strikes.
    pub fn strike_count(&self) -> usize {
        self.subjects.values().filter(|subject| matches!(subject, Subject::Strike(_))).count()
    }

    /// unanswered runs, those that no longer weigh included.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// contents that are held if all replicas of their unanswered runs have ended.
    pub fn suspected_count(&self) -> usize {
        self.suspected.len()
    }

    /// change number of the newest live record; 0 if there is none.
    pub fn last_number(&self) -> u64 {
        self.subjects.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// kept turns.
    pub fn turn_count(&self) -> usize {
        self.turns.len()
    }

    /// programs whose spending is retained.
    pub fn program_count(&self) -> usize {
        self.programs.len()
    }
}

fn record_bytes(record: &LedgerRecord) -> usize {
    let said = match record {
        LedgerRecord::Finished(finish) => finish.turn.as_ref().map_or(0, |turn| turn.said.as_slice().len()),
        LedgerRecord::Reserved(_)
        | LedgerRecord::Joined(_)
        | LedgerRecord::Observed(_)
        | LedgerRecord::Struck(_)
        | LedgerRecord::Suspected(_)
        | LedgerRecord::StreamBegan(_) => 0,
    };
    RECORD_OVERHEAD_BYTES + said
}
