use std::collections::HashMap;

use crate::schema::LedgerFinish;

/// lines of turns remembered of one program; a loop that starts sub-agents for ever must not fill the memory.
const MAX_LINES: usize = 64;

/// the replicas at which the turns of a program ran last, as those keep most of its prompts.
///
/// A hint only: it is not copied to other nodes, and without it prompts are read again.
#[derive(Debug, Default)]
pub(super) struct Homes {
    lines: HashMap<String, String>,
    last: Option<String>,
}

impl Homes {
    /// takes note of where a turn ran.
    pub fn finished(&mut self, finish: &LedgerFinish) {
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

    /// where the last turn of a line ran, or else the last turn of the program.
    pub fn home(&self, line: Option<&str>) -> Option<&str> {
        let own = line.and_then(|line| self.lines.get(line));
        own.or(self.last.as_ref()).map(String::as_str)
    }
}
