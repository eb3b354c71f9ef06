//! operators' requests to retire a ledger node: it hands its records over before its machine is removed.

use serde_json::json;
use strum::IntoStaticStr;

use crate::platform::Object;
use crate::platform::PlatformRequest;

/// key prefix of the requests, followed by the name of the instance.
pub const RETIREMENT_PREFIX: &str = "retirements/";

/// progress of a retirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RetirementPhase {
    /// the node still holds records that others need.
    Running,
    /// the machine and its disk can be removed.
    Completed,
}

/// name of the instance to retire.
pub fn retiring_instance(object: &Object) -> Option<&str> {
    object.key.strip_prefix(RETIREMENT_PREFIX)
}

/// call that reports the progress to operators, as the status of their request.
pub fn retirement_status(instance: &str, phase: RetirementPhase) -> PlatformRequest {
    let phase: &str = phase.into();
    PlatformRequest::SetStatus {
        key: format!("{RETIREMENT_PREFIX}{instance}"),
        value: json!({ "state": phase }).to_string().into_bytes(),
    }
}
