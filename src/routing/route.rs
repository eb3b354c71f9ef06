use strum::Display;
use strum::EnumString;

/// what may be done with a request when its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// it may run more than once.
    Idempotent,
    /// it runs at most once.
    NonIdempotent,
    /// it is answered by events and runs at most once, unless the route lets it be resumed.
    Streaming,
}

/// a service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// name of the service.
    pub service: String,
    /// share of the requests, relative to the other backends.
    pub weight: u32,
}

/// where requests of one path prefix go, and what they are promised.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// name.
    pub name: String,
    /// host of the requests.
    pub host: String,
    /// start of their paths, with a slash at both ends.
    pub path_prefix: String,
    /// what may be repeated.
    pub kind: RequestKind,
    /// services that may run them.
    pub backends: Vec<Backend>,
    /// the longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// latency objective, up to the first event of a stream.
    pub target_latency_ms: u64,
    /// rank; 0 is the most urgent.
    pub priority: u32,
    /// replicas that one request may be sent to.
    pub max_attempts: u32,
    /// how long turns are kept, on routes that keep them.
    pub retention_ms: Option<u64>,
    /// whether a replica works faster on what it has handled before.
    pub sticky: bool,
    /// whether a stream may go on at another replica.
    pub resumable: bool,
}

impl Route {
    /// whether a request may run again after its outcome was lost.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.resumable,
        }
    }

    /// the service for a request, by a draw that spreads evenly over all 64 bits.
    pub fn backend(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut rest = draw % total;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if rest < weight {
                return Some(&backend.service);
            }
            rest -= weight;
        }
        None
    }
}
