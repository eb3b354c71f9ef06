use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::schema::TurnExtension;

/// the least growth of a retention that other members are told of.
///
/// Well below the margin that doors add to each retention, so that what they have not been told does not matter.
const TOLD_STEP_MS: u64 = 5_000;
/// extensions in one message to another member; the rest follows with the next one.
const EXTENSIONS_PER_MESSAGE: usize = 500;

/// turns that kept turns of this node go on from, and that the node lacks itself.
///
/// Each write reaches a quorum only, so a conversation that goes on while nodes come and go is scattered over the
/// members: none of them alone can tell how long all of its turns are needed. The others are told of these.
#[derive(Debug, Default)]
pub(super) struct MissingTurns {
    turns: HashMap<String, MissingTurn>,
    /// ids by change number; a turn that is needed longer gets a new number.
    numbers: BTreeMap<u64, String>,
    last_number: u64,
}

#[derive(Clone, Copy, Debug)]
struct MissingTurn {
    expires_ms: u64,
    /// expiry when the turn got its change number.
    told_expires_ms: u64,
    number: u64,
}

/// the extensions that another member is to be told.
#[derive(Clone, Debug, Default)]
pub(super) struct ExtensionPage {
    pub extensions: Vec<TurnExtension>,
    /// change number of the last one; that of the request if there is none.
    pub last_number: u64,
}

impl MissingTurns {
    /// records that a missing turn is needed until `expires_ms` at least.
    pub fn need(&mut self, turn: &str, expires_ms: u64) {
        let known = self.turns.get(turn).copied();
        if let Some(known) = known.filter(|known| expires_ms < known.told_expires_ms + TOLD_STEP_MS) {
            let expires_ms = known.expires_ms.max(expires_ms);
            self.turns.insert(turn.to_owned(), MissingTurn { expires_ms, ..known });
            return;
        }
        if let Some(known) = known {
            self.numbers.remove(&known.number);
        }
        self.last_number += 1;
        let row = MissingTurn { expires_ms, told_expires_ms: expires_ms, number: self.last_number };
        self.turns.insert(turn.to_owned(), row);
        self.numbers.insert(self.last_number, turn.to_owned());
    }

    /// removes a turn that has arrived; returns until when it is needed at least.
    pub fn take(&mut self, turn: &str) -> Option<u64> {
        let row = self.turns.remove(turn)?;
        self.numbers.remove(&row.number);
        Some(row.expires_ms)
    }

    /// the extensions with change numbers above `after`, at most one message's worth.
    pub fn page(&self, now_ms: u64, after: u64) -> ExtensionPage {
        let mut page = ExtensionPage { extensions: Vec::new(), last_number: after };
        for (number, turn) in self.numbers.range(after + 1..).take(EXTENSIONS_PER_MESSAGE) {
            page.last_number = *number;
            let Some(row) = self.turns.get(turn).filter(|row| now_ms < row.expires_ms) else {
                continue;
            };
            page.extensions.push(TurnExtension { turn: turn.clone(), keep_ms: row.expires_ms - now_ms });
        }
        page
    }

    /// forgets turns that are no longer needed.
    pub fn expire(&mut self, now_ms: u64) {
        let numbers = &mut self.numbers;
        self.turns.retain(|_, row| {
            let is_needed = now_ms < row.expires_ms;
            if !is_needed {
                numbers.remove(&row.number);
            }
            is_needed
        });
    }
}
