//! what one run measured.

/// one program that ended or gave up.
#[derive(Clone, Copy, Debug)]
pub struct ProgramOutcome {
    /// customer.
    pub workspace: usize,
    /// when it arrived.
    pub arrived_us: u64,
    /// when it ended.
    pub ended_us: u64,
    /// time from start to end without its own pauses.
    pub latency_us: u64,
    /// whether it was completed.
    pub completed: bool,
}

/// one turn that was answered.
#[derive(Clone, Copy, Debug)]
pub struct TurnOutcome {
    /// customer.
    pub workspace: usize,
    /// when it was submitted first.
    pub submitted_us: u64,
    /// time to the first token.
    pub first_token_us: u64,
    /// time from the first token to the end.
    pub generate_us: u64,
    /// generated tokens.
    pub completion_tokens: u64,
    /// prompt tokens.
    pub prompt_tokens: u64,
    /// prompt tokens that some replica had computed before.
    pub reusable_tokens: u64,
    /// prompt tokens that the router believed to be in the cache.
    pub believed_tokens: u64,
    /// prompt tokens found in the cache.
    pub cached_tokens: u64,
}

/// what one run measured.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// programs.
    pub programs: Vec<ProgramOutcome>,
    /// turns.
    pub turns: Vec<TurnOutcome>,
    /// requests that waited before or inside engines, sampled each second.
    pub waiting: Vec<u32>,
    /// turns refused by a dispatcher.
    pub refusals: u64,
    /// attempts beyond the first.
    pub retries: u64,
    /// first attempts.
    pub first_attempts: u64,
    /// programs that were still under way when the run was cut off.
    pub unfinished: u64,
}
