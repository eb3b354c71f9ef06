use std::sync::Arc;

use crate::config::Configuration;
use crate::finding::Findings;
use crate::ids::Incarnation;
use crate::member::MemberView;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::schema::ReleaseNote;
use crate::schema::ReleasePull;
use crate::schema::ReleasePush;

/// what the releases are told.
#[derive(Clone, Debug)]
pub enum ReleaseInput {
    /// a call to the platform ended.
    Platform {
        /// number of the call.
        call: u64,
        /// its outcome.
        result: PlatformResult,
    },
    /// an operator wants a note in force.
    Accept {
        /// names the question in the answer.
        ticket: u64,
        /// the note.
        note: Box<ReleaseNote>,
        /// who asks.
        operator: String,
        /// wall time.
        unix_ms: u64,
    },
    /// a peer asks for releases.
    Pull {
        /// peer.
        peer: Incarnation,
        /// the question.
        pull: ReleasePull,
    },
    /// a peer sends releases.
    Push {
        /// peer.
        peer: Incarnation,
        /// the answer, or a fresh release that nobody asked for.
        push: Box<ReleasePush>,
    },
    /// the members changed; their records say which version is in force there.
    Members(Arc<MemberView>),
    /// time passed; sent every 50 ms while inputs come, every 100 ms otherwise.
    Tick,
}

/// what the releases want done.
#[derive(Clone, Debug)]
pub enum ReleaseAction {
    /// make a call to the platform and report its result.
    Platform {
        /// number of the call.
        call: u64,
        /// the call.
        request: PlatformRequest,
    },
    /// ask a peer for releases.
    Pull {
        /// peer.
        peer: Incarnation,
        /// the question.
        pull: ReleasePull,
    },
    /// send releases to a peer.
    Push {
        /// peer.
        peer: Incarnation,
        /// the answer, or a fresh release that nobody asked for.
        push: Box<ReleasePush>,
    },
    /// a configuration is in force here.
    InForce(Arc<Configuration>),
    /// answer an operator.
    Answer {
        /// the question.
        ticket: u64,
        /// the answer.
        answer: ReleaseAnswer,
    },
}

/// answer to an operator who wants a note in force.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseAnswer {
    /// the note is in force from this version on.
    Accepted {
        /// version.
        version: u64,
        /// whether it was accepted before.
        repeated: bool,
    },
    /// the note is faulty, or conflicts with releases accepted after the version it was written against.
    Refused {
        /// all faults.
        findings: Findings,
        /// version that the faults were found against.
        version: u64,
        /// whether other releases changed the same entries.
        conflict: bool,
    },
    /// the platform does not answer; whether the note was accepted is known later.
    Unavailable {
        /// whether the note may have been accepted.
        unknown: bool,
        /// when to come back.
        retry_after_ms: u64,
    },
}
