use std::collections::BTreeMap;

/// what must hold, kept in one place without failures.
#[derive(Default)]
pub struct Reference {
    /// tokens of the turns that were let through, by program.
    pub admitted: BTreeMap<u64, u64>,
    /// turns whose end was confirmed: the one before, and what was said in it.
    pub kept: BTreeMap<String, (Option<String>, String)>,
    /// turns that were finished, confirmed or not.
    pub said: BTreeMap<String, (Option<String>, String)>,
    pub refused_count: u64,
    pub unsure_count: u64,
}

impl Reference {
    pub fn admit(&mut self, program: u64, tokens: u64, budget_tokens: u64) {
        let total = self.admitted.entry(program).or_default();
        *total += tokens;
        assert!(*total <= budget_tokens, "program {program} spends {total} of {budget_tokens} tokens");
    }

    /// everything that was said up to a turn.
    pub fn history(&self, turn: &str) -> String {
        let (previous, said) = &self.said[turn];
        let before = previous.as_ref().map(|previous| self.history(previous)).unwrap_or_default();
        before + said
    }
}
