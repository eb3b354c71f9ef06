use std::collections::HashMap;

use crate::ledger::missing_turns::ExtensionPage;
use crate::ledger::missing_turns::MissingTurns;
use crate::schema::KeptTurn;
use crate::schema::LedgerTurn;
use crate::schema::Octets;
use crate::schema::TurnExtension;

/// limit of turns in one history; a longer one can only be a cycle caused by damaged records.
const MAX_HISTORY_TURNS: usize = 10_000;

/// the turns that one node keeps, each for as long as any turn that goes on from it.
///
/// How long a turn is kept does not depend on the order in which records arrive.
#[derive(Debug, Default)]
pub(super) struct KeptTurns {
    turns: HashMap<String, TurnRow>,
    missing: MissingTurns,
}

#[derive(Clone, Debug)]
struct TurnRow {
    previous: Option<String>,
    said: Octets,
    keep_ms: u64,
    expires_ms: u64,
}

impl KeptTurns {
    /// keeps a turn and extends the retention of the turns before it.
    pub fn keep(&mut self, now_ms: u64, request: &str, turn: &LedgerTurn) {
        let known_ms = self.turns.get(request).map_or(0, |row| row.expires_ms);
        // Newer turns that are already here may need this one for longer.
        let needed_ms = self.missing.take(request).unwrap_or(0);
        let expires_ms = (now_ms + turn.keep_ms).max(known_ms).max(needed_ms);
        let row = TurnRow {
            previous: turn.previous.clone(),
            said: turn.said.clone(),
            keep_ms: turn.keep_ms,
            expires_ms,
        };
        self.turns.insert(request.to_owned(), row);
        self.extend_chain(turn.previous.clone(), expires_ms);
    }

    /// keeps turns longer, with the turns before them; returns how many of them are here.
    pub fn extend(&mut self, now_ms: u64, extensions: &[TurnExtension]) -> usize {
        let mut count = 0;
        for extension in extensions {
            if !self.turns.contains_key(&extension.turn) {
                continue;
            }
            count += 1;
            self.extend_chain(Some(extension.turn.clone()), now_ms.saturating_add(extension.keep_ms));
        }
        count
    }

    /// extends the retention of a turn and the turns before it, up to the first one that is missing here.
    ///
    /// Each turn expires before those that it goes on from, so a turn that is kept long enough ends the walk.
    fn extend_chain(&mut self, turn: Option<String>, expires_ms: u64) {
        let mut next = turn;
        for _ in 0..MAX_HISTORY_TURNS {
            let Some(name) = next else {
                return;
            };
            let Some(row) = self.turns.get_mut(&name) else {
                self.missing.need(&name, expires_ms);
                return;
            };
            if row.expires_ms >= expires_ms {
                return;
            }
            row.expires_ms = expires_ms;
            next = row.previous.clone();
        }
    }

    /// what other members are to be told of turns that are needed here but missing, above a change number.
    pub fn missing_after(&self, now_ms: u64, after: u64) -> ExtensionPage {
        self.missing.page(now_ms, after)
    }

    /// whether a turn is kept.
    pub fn contains(&self, request: &str) -> bool {
        self.turns.contains_key(request)
    }

    /// a turn as it is recorded.
    pub fn record(&self, request: &str) -> Option<LedgerTurn> {
        let row = self.turns.get(request)?;
        Some(LedgerTurn { previous: row.previous.clone(), said: row.said.clone(), keep_ms: row.keep_ms })
    }

    /// a turn and its predecessors, newest first, up to the first one that is missing here.
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

    /// drops turns whose retention has ended.
    pub fn expire(&mut self, now_ms: u64) {
        self.turns.retain(|_, row| now_ms < row.expires_ms);
        self.missing.expire(now_ms);
    }

    /// kept turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }
}
