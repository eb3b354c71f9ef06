use std::sync::Arc;

use crate::platform::PlatformRequest;
use crate::schema::OwnerEvent;
use crate::schema::PoisonHeld;
use crate::schema::TurnJob;
use crate::slots::SlotTable;
use crate::timeline::EventKind;

/// an effect for the driver of an owner to perform.
#[derive(Clone, Debug)]
pub enum OwnerAction {
    /// call the platform and report the result.
    Platform {
        /// identifies the call in its result.
        call: u64,
        /// what to call.
        request: PlatformRequest,
    },
    /// send an answer, or one event of a streamed answer.
    Reply {
        /// identifies the request.
        ticket: u64,
        /// the answer or the event.
        event: OwnerEvent,
        /// whether this ends the answer.
        last: bool,
    },
    /// run a turn on a replica; the driver chooses it, the job's `replica` is empty.
    Job {
        /// identifies the job in its events.
        job: u64,
        /// the turn to run.
        turn: Box<TurnJob>,
    },
    /// cancel a turn; its end is still reported as a job event.
    CancelJob {
        /// identifies the job.
        job: u64,
    },
    /// make one attempt of a service call.
    Service {
        /// identifies the attempt in its outcome.
        service: u64,
        /// what to call.
        request: ServiceRequest,
    },
    /// ask a service that supports lookup by idempotency key whether a call ran.
    Lookup {
        /// identifies the lookup in its outcome; unique among service calls as well.
        service: u64,
        /// what to look up.
        request: LookupRequest,
    },
    /// tell the engines that a program ended, so that they can free its cached prefixes.
    ReleaseProgram {
        /// program that ended.
        program: String,
    },
    /// send the other instances the poison entry of a content that a replica died of.
    Poison(PoisonHeld),
    /// publish the changed slot table.
    Slots(Arc<SlotTable>),
    /// record an event on the timeline.
    Event {
        /// what happened.
        what: EventKind,
        /// program concerned, if any.
        program: Option<String>,
        /// slot, journal, incarnation or other subject concerned, if any.
        subject: Option<String>,
        /// text for operators.
        detail: String,
    },
    /// end this incarnation, since another sealed its journal, and start a new one.
    Deposed,
    /// end this incarnation: its drain is complete or has timed out.
    Left,
}

/// one attempt of a call to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRequest {
    /// program that makes the call.
    pub program: String,
    /// workspace of the program.
    pub workspace: String,
    /// idempotency key of the call.
    pub call: String,
    /// service to call, by its configured name.
    pub service: String,
    /// path at the service.
    pub path: String,
    /// JSON body.
    pub body: serde_json::Value,
    /// whether the call is idempotent, so that another attempt may follow on another replica.
    pub idempotent: bool,
    /// timeout of the attempt.
    pub timeout_ms: u64,
}

/// a lookup of a call by its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupRequest {
    /// idempotency key of the call.
    pub call: String,
    /// service to ask, by its configured name.
    pub service: String,
}
