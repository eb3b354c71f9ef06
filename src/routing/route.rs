use strum::Display;
use strum::EnumString;

/// whether a request may be retried when its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// may run more than once.
    Idempotent,
    /// must run at most once.
    NonIdempotent,
    /// is answered by a stream of events; runs at most once unless the route is resumable.
    Streaming,
}

/// a service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// name in the operators' configuration.
    pub service: String,
    /// share of the requests, relative to the sum over all backends; 0 gets none.
    pub weight: u32,
}

/// where the requests of a path prefix go, and their timeouts and retry rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// name in logs and latency estimates.
    pub name: String,
    /// host that the requests name, without a port.
    pub host: String,
    /// prefix of their paths, with a slash at both ends.
    pub path_prefix: String,
    /// decides what may be retried.
    pub kind: RequestKind,
    /// services that the requests are split between.
    pub backends: Vec<Backend>,
    /// longest time until a caller gets a response.
    pub timeout_ms: u64,
    /// latency objective; for streams, until the first event.
    pub target_latency_ms: u64,
    /// 0 is the most urgent.
    pub priority: u32,
    /// most attempts that may have run one request; rejected attempts do not count, nor do streams that broke
    /// off because the replica process ended.
    pub max_attempts: u32,
    /// how long turns are retained; `None` on routes that retain none.
    pub retention_ms: Option<u64>,
    /// whether requests with the same affinity key or program prefer the same replica.
    pub sticky: bool,
    /// whether a broken stream may be resumed at another replica.
    pub resumable: bool,
    /// whether callers need no key, where the configuration has workspaces.
    pub is_public: bool,
}

impl Route {
    /// whether a request may be retried when its outcome is unknown.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.resumable,
        }
    }

    /// the service for a request, by weight; `random` is uniform over all 64 bits.
    pub fn backend(&self, random: u64) -> Option<&str> {
        let total: u64 = self.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut offset = random % total;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if offset < weight {
                return Some(&backend.service);
            }
            offset -= weight;
        }
        None
    }
}
