use serde::Deserialize;
use serde::Serialize;

/// faults of the platform in force; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// whether calls are answered at all.
    pub outage: Outage,
    /// added to each call before it takes effect.
    pub slow_ms: u64,
    /// calls that take effect and lose their reply.
    pub lost_replies: LostReplies,
    /// reads and lists that answer from the past.
    pub stale_reads: StaleReads,
}

/// how an outage shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// there is none.
    #[default]
    None,
    /// connections are closed without a reply; nothing takes effect.
    Close,
    /// calls are answered 503; nothing takes effect.
    Unavailable,
    /// calls are neither answered nor closed; nothing takes effect.
    Hang,
}

/// writes that take effect and whose connection is then closed without a reply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LostReplies {
    /// the next so many writes.
    pub next: u64,
    /// each write with this probability.
    pub probability: f64,
    /// seed of the probability.
    pub seed: u64,
}

/// reads and lists that answer from the past.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StaleReads {
    /// by so many revisions.
    pub revisions: u64,
    /// and by so much time.
    pub age_ms: u64,
}
