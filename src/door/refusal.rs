use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use strum::Display;
use strum::IntoStaticStr;

use crate::door::answer::DoorBody;
use crate::door::answer::plain_text;
use crate::poison::Hold;

/// why a request ends without an answer from a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Refusal {
    /// the door has not received a configuration yet.
    NoConfiguration,
    /// no route matches the host and path.
    NoRoute,
    /// the route needs a key, and the caller's belongs to no workspace.
    UnknownKey,
    /// the caller's key belongs to no workspace that the door knows of, or to another one since the request came;
    /// the configuration in force may say otherwise.
    KeyUnsure,
    /// no usable replica of the service is known.
    NoReplica,
    /// all replicas that were tried rejected the request as overloaded.
    AllFull,
    /// the replicas take no more requests of this door now.
    Limited {
        /// when one of them does.
        retry_after_ms: u64,
    },
    /// the last replica that was tried could not be reached.
    Unreachable,
    /// the door is cut off from the replicas; another door may reach them.
    CutOff,
    /// the door is cut off from the replicas, and no other door has taken the request.
    NoHelper,
    /// the door takes no more requests of other doors now.
    HelperBusy,
    /// the door stops before the request might end.
    Stopping,
    /// the deadline passed before a replica ran the request.
    TooLate,
    /// the content of the request has reached the strike limit: it ended several replicas.
    Poisoned,
    /// the content of the request would reach the strike limit if the replicas of all runs with an unknown
    /// outcome have ended.
    Suspected,
    /// the ledger could not decide on the turn, or became unreachable only a moment ago.
    LedgerUnsure,
    /// the ledger is overloaded.
    LedgerBusy {
        /// when capacity may be available.
        retry_after_ms: u64,
    },
    /// the ledger has been unreachable for a while, or since the door started.
    LedgerAway,
    /// the workspace has used up its allotment.
    OverAllotment {
        /// when there may be room again.
        retry_after_ms: u64,
    },
    /// no ledger node tells whether the allotment of the workspace has room.
    AllotmentUnsure,
    /// the token budget of the program is exhausted.
    OverBudget,
    /// the previous turn that the request names does not exist.
    NoSuchTurn,
    /// it is not known which software began the stream that the caller takes up, or the route has no such
    /// streams.
    UnknownStream,
    /// the body exceeds the configured limit.
    BodyTooLarge,
    /// the body was not received completely.
    BodyBroken,
    /// a required header is missing.
    BadRequest,
    /// the request claims to come from another door, but does not prove it, or came before.
    NotPassedOn,
    /// a replica may have run the request, but its answer was lost.
    AnswerLost,
    /// a replica may have run the request, but did not answer in time.
    TimedOut,
}

impl From<Hold> for Refusal {
    fn from(hold: Hold) -> Self {
        match hold {
            Hold::Struck => Self::Poisoned,
            Hold::Suspected => Self::Suspected,
        }
    }
}

impl Refusal {
    /// the HTTP status; 503 guarantees that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::KeyUnsure
            | Self::NoReplica
            | Self::AllFull
            | Self::Limited { .. }
            | Self::Unreachable
            | Self::CutOff
            | Self::NoHelper
            | Self::HelperBusy
            | Self::Stopping
            | Self::TooLate
            | Self::Poisoned
            | Self::Suspected
            | Self::UnknownStream
            | Self::LedgerUnsure
            | Self::LedgerBusy { .. }
            | Self::AllotmentUnsure
            | Self::LedgerAway => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute | Self::NoSuchTurn => StatusCode::NOT_FOUND,
            Self::OverAllotment { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverBudget => StatusCode::PAYMENT_REQUIRED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken | Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NotPassedOn => StatusCode::FORBIDDEN,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// whether a replica may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::AnswerLost | Self::TimedOut)
    }

    /// whether another door may serve the request now: the reason concerns this one alone.
    pub fn may_be_served_elsewhere(self) -> bool {
        matches!(
            self,
            Self::CutOff
                | Self::HelperBusy
                | Self::Stopping
                | Self::NoConfiguration
                | Self::KeyUnsure
                | Self::LedgerAway
                | Self::LedgerUnsure
                | Self::AllotmentUnsure
        )
    }

    /// seconds after which the caller should retry.
    fn retry_after_s(self) -> Option<f64> {
        match self {
            // Another door very likely still reaches the ledger that this one has just lost.
            Self::LedgerUnsure | Self::AllotmentUnsure => Some(0.1),
            Self::LedgerBusy { retry_after_ms }
            | Self::Limited { retry_after_ms }
            | Self::OverAllotment { retry_after_ms } => Some(retry_after_ms as f64 / 1_000.0),
            // All doors may have just started: shorter retries would use up the caller's attempts before a
            // configuration and the ledger are available.
            Self::NoConfiguration | Self::LedgerAway => Some(0.6),
            // The caller's next connection very likely goes to a door that has the configuration in force.
            Self::KeyUnsure => Some(0.1),
            // A dead replica is replaced or detected within a second.
            Self::NoReplica | Self::Unreachable => Some(0.3),
            // The caller's next connection very likely goes to a door that reaches the replicas.
            Self::CutOff | Self::NoHelper | Self::HelperBusy => Some(0.1),
            // About one turn of a busy engine, after which some slot is free again.
            Self::AllFull => Some(0.15),
            // The caller has to start anew, or to go to another door; waiting would help neither.
            Self::TooLate | Self::UnknownStream | Self::Stopping => Some(0.0),
            Self::Poisoned => Some(600.0),
            // The replicas in question are checked within a second.
            Self::Suspected => Some(1.0),
            _ => None,
        }
    }

    /// the response for the caller, with the reason as its text.
    pub fn response(self) -> Response<DoorBody> {
        let reason: &'static str = self.into();
        let mut response = plain_text(self.status(), reason);
        let seconds = self.retry_after_s().map(|seconds| seconds.to_string());
        if let Some(Ok(value)) = seconds.as_deref().map(HeaderValue::from_str) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}
