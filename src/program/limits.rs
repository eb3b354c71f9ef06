use crate::schema::LimitSettings;
use crate::schema::StateSettings;

/// limits on programs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramLimits {
    /// tokens reserved ahead for the next turn, in addition to the known part of its prompt.
    pub allowance_tokens: u64,
    /// how long an ended program is kept.
    pub ended_keep_ms: u64,
    /// largest JSON of a turn's new messages, or of a call's body.
    pub max_turn_bytes: u64,
    /// how long after its acceptance a turn that ran nothing is attempted again.
    pub request_timeout_ms: u64,
    /// size at which a snapshot is split into further records.
    pub snapshot_part_bytes: u64,
    /// slots of the deployment.
    pub slot_count: u32,
}

impl ProgramLimits {
    /// reads the limits from the settings; a part of a snapshot takes half an entry.
    pub fn new(state: &StateSettings, limits: &LimitSettings, slot_count: u32) -> Self {
        Self {
            allowance_tokens: state.allowance_tokens,
            ended_keep_ms: state.ended_keep_ms,
            max_turn_bytes: limits.max_turn_bytes,
            request_timeout_ms: limits.request_timeout_ms,
            snapshot_part_bytes: state.max_entry_bytes / 2,
            slot_count,
        }
    }
}
