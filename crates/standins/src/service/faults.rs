use serde::Deserialize;
use serde::Serialize;

/// faults of a plain service in force; the default has none.
///
/// Each `..._next` counts down with the calls that it meets, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// the next so many calls are refused as not run.
    pub refuse_next: u64,
    /// the next so many calls are answered 503 without saying whether they ran; they did not.
    pub unclear_next: u64,
    /// the next so many connections are closed before the call runs.
    pub close_before_next: u64,
    /// the next so many calls run and their connection is closed without an answer.
    pub close_after_next: u64,
    /// the next so many calls run and are answered with a body shorter than its length.
    pub short_body_next: u64,
    /// the next so many calls run and are never answered, their connection open.
    pub hang_after_next: u64,
    /// the next so many calls run and the service dies before it answers.
    pub die_after_next: u64,
    /// added to each call before it runs.
    pub latency_ms: u64,
    /// probability of each of closing before, closing after and a short body, for calls that met no count above.
    pub chaos: f64,
    /// seed of the probability.
    pub chaos_seed: u64,
}
