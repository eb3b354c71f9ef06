use std::collections::HashMap;

use crate::schema::LedgerFinish;

/// limit of lines per program, so that a program that starts sub-agents in a loop cannot exhaust the memory.
const MAX_LINES: usize = 64;

/// the replicas that ran the last turns of a program and so have most of its prompts cached.
///
/// A routing hint: it is not replicated, and without it a prompt is prefilled again.
#[derive(Debug, Default)]
pub(super) struct Homes {
    lines: HashMap<String, String>,
    last: Option<String>,
}

impl Homes {
    /// records the replica of a finished turn.
    pub fn add(&mut self, finish: &LedgerFinish) {
        let Some(replica) = &finish.replica else {
            return;
        };
        self.last = Some(replica.clone());
        let Some(line) = &finish.line else {
            return;
        };
        if self.lines.len() >= MAX_LINES && !self.lines.contains_key(line) {
            self.lines.clear();
        }
        self.lines.insert(line.clone(), replica.clone());
    }

    /// the replica of the last turn of a line, or else of the last turn of the program.
    pub fn home(&self, line: Option<&str>) -> Option<&str> {
        let own = line.and_then(|line| self.lines.get(line));
        own.or(self.last.as_ref()).map(String::as_str)
    }
}
