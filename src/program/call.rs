use crate::program::tokens::json_bytes;
use crate::schema::CallAnswer;
use crate::schema::CallImage;
use crate::schema::CallState;
use crate::schema::IntendedRecord;
use crate::schema::ResolvedRecord;

/// bytes of a call beside what was sent and answered, more or less.
const CALL_BYTES: u64 = 512;

/// one call of a program: its intent, its outcome, and what is in flight.
#[derive(Clone, Debug)]
pub struct Call {
    /// the committed, or about to be committed, intent.
    pub intended: IntendedRecord,
    /// the committed outcome.
    pub resolved: Option<ResolvedRecord>,
    /// what is in flight.
    pub phase: CallPhase,
    /// requests that wait for the outcome.
    pub waiters: Vec<u64>,
    /// attempts that reached, or may have reached, the service.
    pub broken: u32,
    /// attempts in this incarnation.
    pub tries: u32,
}

/// what is in flight for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPhase {
    /// nothing: it has an outcome.
    Settled,
    /// the intent waits for its commit.
    Intending {
        /// since when.
        since_ms: u64,
        /// whether its callers were told that it does not run.
        abandoned: bool,
    },
    /// an attempt runs.
    Running,
    /// the next attempt waits for its time.
    BackingOff {
        /// when it starts.
        at_ms: u64,
    },
    /// the service is asked whether an earlier attempt ran.
    LookingUp,
    /// the next look-up waits for its time.
    LookUpAt {
        /// when it starts.
        at_ms: u64,
    },
    /// the outcome waits for its commit.
    Resolving {
        /// since when.
        since_ms: u64,
    },
}

impl Call {
    /// a call whose intent is about to be committed.
    pub fn intend(intended: IntendedRecord, now_ms: u64) -> Self {
        Self {
            intended,
            resolved: None,
            phase: CallPhase::Intending { since_ms: now_ms, abandoned: false },
            waiters: Vec::new(),
            broken: 0,
            tries: 0,
        }
    }

    /// a call from a journal.
    pub fn restore(intended: IntendedRecord, resolved: Option<ResolvedRecord>) -> Self {
        Self { intended, resolved, phase: CallPhase::Settled, waiters: Vec::new(), broken: 0, tries: 0 }
    }

    /// whether something is in flight that a handover would cut.
    pub fn is_running(&self) -> bool {
        !matches!(self.phase, CallPhase::Settled | CallPhase::BackingOff { .. } | CallPhase::LookUpAt { .. })
            || !self.waiters.is_empty()
    }

    /// whether it has no outcome yet.
    pub fn is_open(&self) -> bool {
        self.resolved.is_none()
    }

    /// takes a committed outcome; what was sent is no longer needed.
    pub fn resolve(&mut self, record: ResolvedRecord) {
        self.intended.body = serde_json::Value::Null;
        self.phase = CallPhase::Settled;
        self.resolved = Some(record);
    }

    /// the answer to a request.
    pub fn answer(&self, replayed: bool) -> CallAnswer {
        match &self.resolved {
            Some(resolved) => CallAnswer {
                call: resolved.call.clone(),
                state: resolved.state,
                status: resolved.status,
                body: resolved.body.clone(),
                replayed,
            },
            None => CallAnswer {
                call: self.intended.call.clone(),
                state: self.open_state(),
                status: 0,
                body: serde_json::Value::Null,
                replayed,
            },
        }
    }

    /// bytes of what is kept of it, more or less.
    pub fn kept_bytes(&self) -> u64 {
        let body = if self.resolved.is_some() { 0 } else { json_bytes(&self.intended.body) };
        let answer = self.resolved.as_ref().map_or(0, |resolved| json_bytes(&resolved.body));
        CALL_BYTES + body + answer
    }

    /// its part of a snapshot.
    pub fn image(&self) -> CallImage {
        CallImage { intended: self.intended.clone(), resolved: self.resolved.iter().cloned().collect() }
    }

    fn open_state(&self) -> CallState {
        match self.phase {
            CallPhase::Running | CallPhase::LookingUp | CallPhase::Resolving { .. } => CallState::Running,
            _ => CallState::Recorded,
        }
    }
}
