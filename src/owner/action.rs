use std::sync::Arc;

use crate::platform::PlatformRequest;
use crate::schema::OwnerEvent;
use crate::schema::PoisonHeld;
use crate::schema::TurnJob;
use crate::slots::SlotTable;
use crate::timeline::EventKind;

/// what an owner wants done.
#[derive(Clone, Debug)]
pub enum OwnerAction {
    /// make a call to the platform and report its result.
    Platform {
        /// number of the call.
        call: u64,
        /// the call.
        request: PlatformRequest,
    },
    /// send an answer, or a piece of one.
    Reply {
        /// the request.
        ticket: u64,
        /// the answer.
        event: OwnerEvent,
        /// whether nothing follows.
        last: bool,
    },
    /// run a turn on some replica; the replica in the job is still empty.
    Job {
        /// number of the job.
        job: u64,
        /// the turn.
        turn: Box<TurnJob>,
    },
    /// stop a turn; its end is still reported.
    CancelJob {
        /// number of the job.
        job: u64,
    },
    /// make one attempt of a service call.
    Service {
        /// number of the call.
        service: u64,
        /// the call.
        request: ServiceRequest,
    },
    /// ask a service that finds by key whether a call ran.
    Lookup {
        /// number of the question, from the same count as service calls.
        service: u64,
        /// the question.
        request: LookupRequest,
    },
    /// a program ended: engines may drop what they hold for it.
    ReleaseProgram {
        /// the program.
        program: String,
    },
    /// tell the other instances of a content that killed an upstream.
    Poison(PoisonHeld),
    /// the table of slots changed.
    Slots(Arc<SlotTable>),
    /// an event for the time line.
    Event {
        /// what happened.
        what: EventKind,
        /// program it happened to.
        program: Option<String>,
        /// other subject.
        subject: Option<String>,
        /// a sentence.
        detail: String,
    },
    /// the journal of this incarnation was sealed by another: start anew.
    Deposed,
    /// all slots are given away and nothing is in flight.
    Left,
}

/// one attempt of a call to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRequest {
    /// program that makes the call.
    pub program: String,
    /// workspace of the program.
    pub workspace: String,
    /// identifier of the call, sent as idempotency key.
    pub call: String,
    /// service to call.
    pub service: String,
    /// path at the service.
    pub path: String,
    /// JSON body.
    pub body: serde_json::Value,
    /// whether another attempt may follow on another replica.
    pub idempotent: bool,
    /// how long the attempt may take.
    pub timeout_ms: u64,
}

/// a question to a service that finds by key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupRequest {
    /// idempotency key of the call.
    pub call: String,
    /// service to ask.
    pub service: String,
}
