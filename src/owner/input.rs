use std::sync::Arc;

use crate::config::Configuration;
use crate::member::MemberView;
use crate::platform::PlatformResult;
use crate::schema::JobEvent;
use crate::schema::OwnerRequest;
use crate::schema::PoisonHeld;

/// an input of an owner.
#[derive(Clone, Debug)]
pub enum OwnerInput {
    /// the membership view changed.
    Members(Arc<MemberView>),
    /// a new configuration is in force.
    Configuration(Arc<Configuration>),
    /// an authenticated request, for a slot that this owner may serve.
    Request {
        /// identifies the request in its answers.
        ticket: u64,
        /// what the caller asks for.
        request: OwnerRequest,
    },
    /// the caller of a request disconnected.
    Cancel {
        /// identifies the request.
        ticket: u64,
    },
    /// a platform call completed.
    Platform {
        /// identifier that the owner gave the call.
        call: u64,
        /// its result.
        result: PlatformResult,
    },
    /// a turn produced a token or ended.
    Job {
        /// identifier that the owner gave the job.
        job: u64,
        /// token, result or failure.
        event: JobEvent,
    },
    /// an attempt of a service call completed.
    Service {
        /// identifier that the owner gave the attempt.
        service: u64,
        /// how it ended.
        outcome: ServiceOutcome,
    },
    /// a lookup of a call completed.
    Lookup {
        /// identifier that the owner gave the lookup.
        service: u64,
        /// what the service knows of the call.
        outcome: LookupOutcome,
    },
    /// another instance or an operator changed the poison entry of a content: its deaths or its hold.
    Poison(PoisonHeld),
    /// time passed; sent every 10 ms while inputs come, else every 100 ms.
    Tick,
    /// this instance is leaving: finish what is in flight, commit it and hand the slots over.
    Leave,
}

/// how one attempt of a service call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceOutcome {
    /// the service answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// JSON body, or the text of another body.
        body: serde_json::Value,
    },
    /// no byte of the request reached a replica, and none will.
    NotSent {
        /// cause.
        detail: String,
    },
    /// the request may have run, but its answer was lost.
    Unknown {
        /// cause.
        detail: String,
    },
}

/// what a service knows of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum LookupOutcome {
    /// the call ran and has this answer.
    Found {
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: serde_json::Value,
    },
    /// the call did not run and will not, even if a delayed request still arrives.
    NotFound,
    /// the service gave no usable answer.
    Unavailable,
}
