use crate::schema::LimitSettings;
use crate::schema::StateSettings;

/// bounds that programs keep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramLimits {
    /// tokens reserved for the next turn beside its known prompt.
    pub allowance_tokens: u64,
    /// how long an ended program can be read.
    pub ended_keep_ms: u64,
    /// largest new part of a turn, or body of a call.
    pub max_turn_bytes: u64,
    /// how long a request may wait for its start.
    pub request_timeout_ms: u64,
    /// a snapshot is cut into parts of this size.
    pub image_part_bytes: u64,
    /// number of slots of the deployment.
    pub slot_count: u32,
}

impl ProgramLimits {
    /// takes the bounds from the settings.
    pub fn new(state: &StateSettings, limits: &LimitSettings, slot_count: u32) -> Self {
        Self {
            allowance_tokens: state.allowance_tokens,
            ended_keep_ms: state.ended_keep_ms,
            max_turn_bytes: limits.max_turn_bytes,
            request_timeout_ms: limits.request_timeout_ms,
            image_part_bytes: state.max_entry_bytes / 2,
            slot_count,
        }
    }
}
