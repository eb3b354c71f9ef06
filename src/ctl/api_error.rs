use std::fmt;

use flamingo_edge::ClientError;
use flamingo_edge::ReadError;

use crate::cli::ExitStatus;
use crate::finding::Finding;
use crate::schema::AdminProblem;

/// HTTP status of a request beyond a rate.
const TOO_MANY_REQUESTS: u16 = 429;

/// HTTP status of a server that cannot answer now.
const SERVICE_UNAVAILABLE: u16 = 503;

/// why a command got no answer.
#[derive(Clone, Debug, PartialEq)]
pub enum ApiError {
    /// the server does not answer.
    Unreachable(String),
    /// the server refused.
    Refused {
        /// HTTP status.
        status: u16,
        /// what it says.
        problem: Box<AdminProblem>,
    },
    /// the server's answer makes no sense.
    Malformed(String),
    /// the command cannot be sent as it stands.
    Local(String),
}

impl ApiError {
    /// how the program ends.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Unreachable(_) => ExitStatus::Unavailable,
            Self::Refused { status: TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE, .. } => ExitStatus::Unavailable,
            Self::Refused { .. } | Self::Malformed(_) | Self::Local(_) => ExitStatus::Failed,
        }
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(out, "the server does not answer: {why}"),
            Self::Malformed(why) => write!(out, "the server's answer makes no sense: {why}"),
            Self::Local(why) => out.write_str(why),
            Self::Refused { problem, .. } => {
                write!(out, "{} ({})", problem.detail, problem.code)?;
                for row in &problem.findings {
                    write!(out, "\n{}", Finding::from(row))?;
                }
                if let Some(retry_after_ms) = problem.retry_after_ms {
                    write!(out, "\ntry again in {retry_after_ms} ms")?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for ApiError {}

impl From<ClientError> for ApiError {
    fn from(error: ClientError) -> Self {
        Self::Unreachable(error.to_string())
    }
}

impl From<ReadError> for ApiError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::TooLarge => Self::Malformed(error.to_string()),
            ReadError::Broken | ReadError::TooSlow => Self::Unreachable(error.to_string()),
        }
    }
}
