use crate::program::tokens::json_bytes;
use crate::schema::CallAnswer;
use crate::schema::CallImage;
use crate::schema::CallState;
use crate::schema::IntendedRecord;
use crate::schema::ResolvedRecord;

/// approximate size of a stored call without its body and its outcome.
const CALL_BYTES: u64 = 512;

/// one call of a program to an external service: its intent, its outcome, and the work in flight.
#[derive(Clone, Debug)]
pub struct Call {
    /// the intent, committed unless the phase is `Intending`.
    pub intended: IntendedRecord,
    /// the outcome, once committed.
    pub resolved: Option<ResolvedRecord>,
    /// current phase.
    pub phase: CallPhase,
    /// tickets that wait for the outcome.
    pub waiters: Vec<u64>,
    /// failed attempts that may have run at the service.
    pub unknown_attempts: u32,
    /// attempts and look-ups by this owner.
    pub attempts: u32,
}

/// phases of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPhase {
    /// nothing is in flight; the outcome is committed.
    Settled,
    /// the intent waits to be committed.
    Intending {
        /// start of the wait.
        since_ms: u64,
        /// whether its callers were told that it did not run, so it must not run after the commit.
        abandoned: bool,
    },
    /// an attempt is in flight.
    Running,
    /// the next attempt is scheduled.
    BackingOff {
        /// monotonic time of the attempt.
        at_ms: u64,
    },
    /// the service is being asked whether an earlier attempt ran.
    LookingUp,
    /// the next look-up is scheduled.
    LookUpAt {
        /// monotonic time of the look-up.
        at_ms: u64,
    },
    /// the outcome waits to be committed.
    Resolving {
        /// start of the wait.
        since_ms: u64,
    },
}

impl Call {
    /// a new call whose intent is being committed.
    pub fn intend(intended: IntendedRecord, now_ms: u64) -> Self {
        Self {
            intended,
            resolved: None,
            phase: CallPhase::Intending { since_ms: now_ms, abandoned: false },
            waiters: Vec::new(),
            unknown_attempts: 0,
            attempts: 0,
        }
    }

    /// a call replayed from a journal.
    pub fn restore(intended: IntendedRecord, resolved: Option<ResolvedRecord>) -> Self {
        Self {
            intended,
            resolved,
            phase: CallPhase::Settled,
            waiters: Vec::new(),
            unknown_attempts: 0,
            attempts: 0,
        }
    }

    /// whether a handover now would interrupt it.
    pub fn is_in_flight(&self) -> bool {
        !matches!(self.phase, CallPhase::Settled | CallPhase::BackingOff { .. } | CallPhase::LookUpAt { .. })
            || !self.waiters.is_empty()
    }

    /// whether it has no committed outcome.
    pub fn is_unresolved(&self) -> bool {
        self.resolved.is_none()
    }

    /// applies a committed outcome, and drops the body, which is needed for attempts only.
    pub fn resolve(&mut self, record: ResolvedRecord) {
        self.intended.body = serde_json::Value::Null;
        self.phase = CallPhase::Settled;
        self.resolved = Some(record);
    }

    /// answer with the current state of the call.
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
                state: self.unresolved_state(),
                status: 0,
                body: serde_json::Value::Null,
                replayed,
            },
        }
    }

    /// approximate size of the stored call in bytes.
    pub fn stored_bytes(&self) -> u64 {
        let body = if self.resolved.is_some() { 0 } else { json_bytes(&self.intended.body) };
        let answer = self.resolved.as_ref().map_or(0, |resolved| json_bytes(&resolved.body));
        CALL_BYTES + body + answer
    }

    /// the call as a snapshot stores it.
    pub fn to_image(&self) -> CallImage {
        CallImage { intended: self.intended.clone(), resolved: self.resolved.iter().cloned().collect() }
    }

    fn unresolved_state(&self) -> CallState {
        match self.phase {
            CallPhase::Running | CallPhase::LookingUp | CallPhase::Resolving { .. } => CallState::Running,
            _ => CallState::Recorded,
        }
    }
}
