use serde::Deserialize;
use serde::Serialize;

/// faults of an engine in force; the default has none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// how many times slower each step is.
    pub slowdown: f64,
    /// the next so many new streams break off after `break_after_tokens`; they can be resumed.
    pub break_next: u64,
    /// tokens sent before a stream breaks off.
    pub break_after_tokens: u64,
    /// the next so many new streams stop sending after `stall_after_tokens`, their connection open.
    pub stall_next: u64,
    /// tokens sent before a stream stalls.
    pub stall_after_tokens: u64,
    /// whether streams cannot be resumed.
    pub refuse_resume: bool,
    /// the next so many requests are closed before they run.
    pub close_next: u64,
    /// whether new requests are refused as overloaded.
    pub overloaded: bool,
    /// probability that a cache event is lost.
    pub event_loss: f64,
    /// seed of the lost cache events.
    pub event_seed: u64,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            break_next: 0,
            break_after_tokens: 0,
            stall_next: 0,
            stall_after_tokens: 0,
            refuse_resume: false,
            close_next: 0,
            overloaded: false,
            event_loss: 0.0,
            event_seed: 0,
        }
    }
}
