use crate::ids::Digest;
use crate::schema::ChatMessage;

/// a turn between its acceptance and its committed answer or its failure.
#[derive(Clone, Debug)]
pub struct TurnInFlight {
    /// number of the turn.
    pub turn: u32,
    /// digest of the whole prompt, which identifies repeats of the request.
    pub request: Digest,
    /// messages that the turn adds to the history.
    pub messages: Vec<ChatMessage>,
    /// completion tokens that the caller asked for at most.
    pub wanted_tokens: u64,
    /// completion tokens that the current attempt may generate at most.
    pub max_tokens: u64,
    /// upper bound of the tokens of the prompt.
    pub prompt_tokens: u64,
    /// tokens that count against the budget while the turn is in flight.
    pub reserved_tokens: u64,
    /// requests that wait for the answer, oldest first.
    pub waiters: Vec<Waiter>,
    /// text that the current attempt has generated so far.
    pub text: String,
    /// whether an attempt failed after it had streamed tokens; no further tokens are streamed then.
    pub stream_broken: bool,
    /// attempts started.
    pub attempts: u32,
    /// failed attempts that may have run on an engine.
    pub unknown_attempts: u32,
    /// attempts during which the replica died.
    pub deaths: u32,
    /// monotonic time of acceptance.
    pub accepted_ms: u64,
    /// current phase.
    pub phase: TurnPhase,
}

/// phases of a turn in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnPhase {
    /// a token reservation waits to be committed.
    Reserving {
        /// journal position of the reservation.
        position: u64,
    },
    /// a job runs on an engine.
    Running {
        /// identifier of the job.
        job: u64,
        /// whether it was cancelled because no request waits any more.
        cancelled: bool,
    },
    /// the next attempt is scheduled.
    BackingOff {
        /// monotonic time of the attempt.
        at_ms: u64,
    },
    /// the answer waits to be committed.
    Committing {
        /// start of the wait; starts anew whenever waiting requests are released.
        since_ms: u64,
    },
}

/// a request that waits for the answer to a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// ticket of the request.
    pub ticket: u64,
    /// whether it streams tokens.
    pub stream: bool,
}

impl TurnInFlight {
    /// ticket that tokens are streamed to: the newest, if it asked for a stream.
    pub fn streaming(&self) -> Option<u64> {
        let last = self.waiters.last()?;
        (last.stream && !self.stream_broken).then_some(last.ticket)
    }
}
