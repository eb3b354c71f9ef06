use flamingostand::schema::OwnerEvent;

use super::caller::Step;
use super::simulation::Simulation;

impl Simulation {
    /// checks that a turn is answered only after its commit, and with the committed answer.
    pub(super) fn check_answer(&self, event: &OwnerEvent) -> Result<(), String> {
        let OwnerEvent::Turned(answer) = event else { return Ok(()) };
        let committed = self.committed.get(&(answer.program.clone(), answer.turn));
        let released = serde_json::to_string(&answer.message).unwrap_or_default();
        if committed == Some(&released) {
            return Ok(());
        }
        Err(format!(
            "turn {} of {} was answered with something else than its committed answer",
            answer.turn, answer.program
        ))
    }

    /// a call that was answered as recorded or done but has not run.
    pub(super) fn missing_call(&self) -> Option<&str> {
        let recorded = self.callers.iter().flat_map(|caller| &caller.recorded);
        recorded.map(String::as_str).find(|call| !self.upstreams.runs.contains_key(*call))
    }

    pub(super) fn check_end(&mut self) -> Result<(), String> {
        self.report.ended_ms = self.now;
        self.report.platform_calls = self.platform.calls.clone();
        for (program, spent) in &self.upstreams.spent {
            if *spent > self.plan.budget_tokens {
                return Err(format!(
                    "{program} spent {spent} tokens of a budget of {}",
                    self.plan.budget_tokens
                ));
            }
        }
        for caller in &self.callers {
            for (at, step) in caller.steps.iter().enumerate() {
                let Step::Call { idempotent, .. } = step else { continue };
                let call = format!("{}-c{at}", caller.program.replace('.', "_"));
                let runs = self.upstreams.runs.get(&call).copied().unwrap_or(0);
                self.report.calls_run += u64::from(runs);
                if !idempotent && runs > 1 {
                    return Err(format!("{call} is not idempotent but ran {runs} times"));
                }
            }
        }
        if let Some(key) = self.not_run.iter().find(|key| self.upstreams.keys_run.contains(*key)) {
            return Err(format!("{key} ran although it was committed as not_run"));
        }
        Ok(())
    }
}
