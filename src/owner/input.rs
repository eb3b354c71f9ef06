use std::sync::Arc;

use crate::config::Configuration;
use crate::member::MemberView;
use crate::platform::PlatformResult;
use crate::schema::JobEvent;
use crate::schema::OwnerRequest;
use crate::schema::PoisonHeld;

/// what an owner is told.
#[derive(Clone, Debug)]
pub enum OwnerInput {
    /// the members changed.
    Members(Arc<MemberView>),
    /// a configuration is in force.
    Configuration(Arc<Configuration>),
    /// a request of a caller, already authenticated, for a slot that this owner may serve.
    Request {
        /// names the request in the answers.
        ticket: u64,
        /// the request.
        request: OwnerRequest,
    },
    /// the caller of a request hung up.
    Cancel {
        /// the request.
        ticket: u64,
    },
    /// a call to the platform ended.
    Platform {
        /// number of the call.
        call: u64,
        /// its outcome.
        result: PlatformResult,
    },
    /// a turn made progress.
    Job {
        /// number of the job.
        job: u64,
        /// its progress.
        event: JobEvent,
    },
    /// a call to a plain service ended.
    Service {
        /// number of the call.
        service: u64,
        /// its outcome.
        outcome: ServiceOutcome,
    },
    /// a question to a service that finds by key was answered.
    Lookup {
        /// number of the question.
        service: u64,
        /// the answer.
        outcome: LookupOutcome,
    },
    /// another instance, or an operator, says which content is held back or lifted.
    Poison(PoisonHeld),
    /// time passed; sent every 10 ms while inputs come, every 100 ms otherwise.
    Tick,
    /// this instance is leaving: finish, commit, give the slots away.
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
    /// no byte of the request reached any replica, and none will.
    NotSent {
        /// why.
        detail: String,
    },
    /// the request may have run.
    Unknown {
        /// why.
        detail: String,
    },
}

/// what a service knows of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum LookupOutcome {
    /// it ran.
    Found {
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: serde_json::Value,
    },
    /// it did not run and will not, whatever still arrives.
    NotFound,
    /// the service did not say.
    Unavailable,
}
