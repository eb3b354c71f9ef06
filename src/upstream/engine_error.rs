use std::fmt;

use flamingo_edge::ClientError;

/// why a call to an engine brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// nothing listens at the engine's address.
    Gone(String),
    /// no byte of the call was sent.
    NotSent(String),
    /// the call may have taken effect.
    Broken(String),
    /// the engine does not know what the call is about.
    Unknown,
    /// the order's fencing number is older than the engine's.
    OldFence {
        /// the engine's number.
        fence: u64,
    },
    /// the engine refused the call.
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// the reply makes no sense.
    Invalid(String),
}

impl EngineError {
    /// the name under which the result is counted.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Gone(_) => "gone",
            Self::NotSent(_) => "not_sent",
            Self::Broken(_) => "broken",
            Self::Unknown => "unknown",
            Self::OldFence { .. } => "old_fence",
            Self::Refused { .. } => "refused",
            Self::Invalid(_) => "invalid",
        }
    }
}

impl fmt::Display for EngineError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gone(why) => write!(out, "nothing listens there: {why}"),
            Self::NotSent(why) => write!(out, "not sent: {why}"),
            Self::Broken(why) => write!(out, "broken off: {why}"),
            Self::Unknown => write!(out, "the engine does not know the subject of the call"),
            Self::OldFence { fence } => write!(out, "the engine obeys fencing number {fence}"),
            Self::Refused { status } => write!(out, "refused with status {status}"),
            Self::Invalid(why) => write!(out, "invalid reply: {why}"),
        }
    }
}

impl std::error::Error for EngineError {}

impl From<ClientError> for EngineError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::Refused(why) => Self::Gone(why),
            ClientError::NotSent(why) => Self::NotSent(why),
            ClientError::Broken(why) => Self::Broken(why),
        }
    }
}
