use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use strum::Display;
use strum::IntoStaticStr;

use crate::door::answer::DoorBody;
use crate::door::answer::plain;

/// why a request ends without an answer of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Refusal {
    /// the door has no configuration yet.
    NoConfiguration,
    /// no route leads anywhere.
    NoRoute,
    /// no replica of the service is known.
    NoReplica,
    /// all replicas that were tried are full.
    AllFull,
    /// no replica could be reached.
    Unreachable,
    /// the time is over before the request went out.
    TooLate,
    /// the request ended several replicas.
    Poisoned,
    /// the ledger cannot say what the turn needs, although it was there a moment ago.
    LedgerUnsure,
    /// the ledger has more to do than it can.
    LedgerBusy {
        /// when a place may be free.
        retry_after_ms: u64,
    },
    /// the ledger has been out of reach for a while, or since the door started.
    LedgerAway,
    /// the budget of the program is spent.
    OverBudget,
    /// the turn that the request goes on from does not exist.
    NoSuchTurn,
    /// the body is larger than the operators allow.
    BodyTooLarge,
    /// the body did not arrive whole.
    BodyBroken,
    /// a header that the route needs is missing.
    BadRequest,
    /// a replica had the request and its answer was lost.
    AnswerLost,
    /// a replica had the request and did not answer in time.
    TimedOut,
}

impl Refusal {
    /// the status; 503 promises that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::NoReplica
            | Self::AllFull
            | Self::Unreachable
            | Self::TooLate
            | Self::Poisoned
            | Self::LedgerUnsure
            | Self::LedgerBusy { .. }
            | Self::LedgerAway => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute | Self::NoSuchTurn => StatusCode::NOT_FOUND,
            Self::OverBudget => StatusCode::PAYMENT_REQUIRED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken | Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// when the caller should come back.
    fn retry_after_s(self) -> Option<f64> {
        match self {
            // Another door very likely reaches what this one has just lost.
            Self::LedgerUnsure => Some(0.1),
            Self::LedgerBusy { retry_after_ms } => Some(retry_after_ms as f64 / 1_000.0),
            // A door that lacks these for longer may be one of many that have just started: coming back too soon
            // would use up the caller's tries before they are there.
            Self::NoConfiguration | Self::LedgerAway => Some(0.6),
            // A replica that died is replaced or noticed within a second.
            Self::NoReplica | Self::Unreachable => Some(0.3),
            // About a turn of a busy engine: some slot is free again then.
            Self::AllFull => Some(0.15),
            Self::TooLate => Some(0.0),
            Self::Poisoned => Some(600.0),
            _ => None,
        }
    }

    /// the answer for the caller.
    pub fn response(self) -> Response<DoorBody> {
        let reason: &'static str = self.into();
        let mut response = plain(self.status(), reason);
        let seconds = self.retry_after_s().map(|seconds| seconds.to_string());
        if let Some(Ok(value)) = seconds.as_deref().map(HeaderValue::from_str) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}
