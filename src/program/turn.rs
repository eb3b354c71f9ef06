use crate::ids::Digest;
use crate::schema::ChatMessage;

/// a turn from its acceptance until its answer is committed or refused.
#[derive(Clone, Debug)]
pub struct TurnInFlight {
    /// number of the turn.
    pub turn: u32,
    /// digest of the request, which is that of the whole prompt.
    pub request: Digest,
    /// new messages.
    pub messages: Vec<ChatMessage>,
    /// most tokens that the caller wants.
    pub wanted_tokens: u64,
    /// most tokens of the attempt under way.
    pub max_tokens: u64,
    /// upper bound of the tokens of the prompt.
    pub prompt_tokens: u64,
    /// tokens that count against the budget while the turn is in flight.
    pub held_tokens: u64,
    /// requests that wait for the answer, oldest first.
    pub waiters: Vec<Waiter>,
    /// text of the attempt under way.
    pub text: String,
    /// whether an attempt whose tokens were streamed failed.
    pub stream_broken: bool,
    /// attempts so far.
    pub attempts: u32,
    /// attempts that may have run.
    pub broken: u32,
    /// attempts whose replica died.
    pub deaths: u32,
    /// when the turn was accepted.
    pub accepted_ms: u64,
    /// how far it has come.
    pub phase: TurnPhase,
}

/// how far a turn in flight has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnPhase {
    /// a reservation waits for its commit.
    Reserving {
        /// position of the record.
        position: u64,
    },
    /// a job runs.
    Running {
        /// number of the job.
        job: u64,
        /// whether it was cancelled, since nobody waits.
        cancelled: bool,
    },
    /// the next attempt waits for its time.
    BackingOff {
        /// when it starts.
        at_ms: u64,
    },
    /// the answer waits for its commit.
    Committing {
        /// since when.
        since_ms: u64,
    },
}

/// a request that waits for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// the request.
    pub ticket: u64,
    /// whether it wants tokens as they come.
    pub stream: bool,
}

impl TurnInFlight {
    /// the request that gets tokens as they come: the newest.
    pub fn streaming(&self) -> Option<u64> {
        let last = self.waiters.last()?;
        (last.stream && !self.stream_broken).then_some(last.ticket)
    }
}
