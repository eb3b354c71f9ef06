//! orders of the operators to empty a ledger node before its machine is taken away.

use serde_json::json;
use strum::IntoStaticStr;

use crate::platform::Object;
use crate::platform::PlatformRequest;

/// prefix of the orders; the rest of a key is the name of the instance.
pub const RETIREMENT_PREFIX: &str = "retirements/";

/// how far the emptying of a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RetirementPhase {
    /// the node still holds records that others need.
    Running,
    /// the machine and its disk may go.
    Completed,
}

/// the instance that an order names.
pub fn retiring_instance(object: &Object) -> Option<&str> {
    object.key.strip_prefix(RETIREMENT_PREFIX)
}

/// the call that tells the operators how far the emptying is.
pub fn retirement_status(instance: &str, phase: RetirementPhase) -> PlatformRequest {
    let phase: &str = phase.into();
    PlatformRequest::SetStatus {
        key: format!("{RETIREMENT_PREFIX}{instance}"),
        value: json!({ "state": phase }).to_string().into_bytes(),
    }
}
