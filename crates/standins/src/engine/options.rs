use std::net::Ipv4Addr;
use std::net::SocketAddr;

use super::BatchOptions;

/// settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// time model and cache.
    pub batch: BatchOptions,
    /// models that it serves; none stands for any.
    pub models: Vec<String>,
    /// most requests in the inside queue.
    pub max_waiting: usize,
    /// how late the load is reported.
    pub load_lag_ms: u64,
    /// how late cache events are published.
    pub event_lag_ms: u64,
    /// whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// how long a stream without a reader goes on before it is cancelled.
    pub orphan_grace_ms: u64,
    /// text that kills the engine when a prompt that holds it starts to run.
    pub crash_marker: String,
    /// whether a crash ends the process; otherwise only the stand-in stops serving.
    pub exits_on_crash: bool,
    /// tokens of cache imported a second.
    pub import_tokens_per_s: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            batch: BatchOptions::default(),
            models: Vec::new(),
            max_waiting: 256,
            load_lag_ms: 100,
            event_lag_ms: 50,
            checks_fencing: true,
            orphan_grace_ms: 500,
            crash_marker: "[[crash]]".to_owned(),
            exits_on_crash: false,
            import_tokens_per_s: 500_000,
        }
    }
}
