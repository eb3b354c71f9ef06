use std::collections::BTreeMap;

/// reference model of the ledger, against which the simulation is checked.
#[derive(Default)]
pub struct Reference {
    /// tokens of admitted turns, by program.
    pub admitted: BTreeMap<u64, u64>,
    /// turns whose end was confirmed: previous turn and content.
    pub confirmed: BTreeMap<String, (Option<String>, String)>,
    /// all admitted turns, confirmed or not: previous turn and content.
    pub said: BTreeMap<String, (Option<String>, String)>,
    /// tokens handed to callers in turns that were passed on, by program.
    pub handed_out: BTreeMap<u64, u64>,
    pub refused_count: u64,
    pub undecided_count: u64,
}

impl Reference {
    pub fn admit(&mut self, program: u64, tokens: u64, budget_tokens: u64) {
        let total = self.admitted.entry(program).or_default();
        *total += tokens;
        assert!(*total <= budget_tokens, "program {program} spends {total} of {budget_tokens} tokens");
    }

    pub fn hand_out(&mut self, program: u64, tokens: u64, budget_tokens: u64) {
        let total = self.handed_out.entry(program).or_default();
        *total += tokens;
        assert!(*total <= budget_tokens, "program {program} was handed {total} of {budget_tokens} tokens");
    }

    /// the content of a turn and all turns before it.
    pub fn history(&self, turn: &str) -> String {
        let (previous, said) = &self.said[turn];
        let before = previous.as_ref().map(|previous| self.history(previous)).unwrap_or_default();
        before + said
    }
}
