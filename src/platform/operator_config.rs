//! format of the operators' configuration, which the platform stores.

use serde::Deserialize;

use crate::routing::Backend;
use crate::routing::CallerLimits;
use crate::routing::EngineSpec;
use crate::routing::RequestKind;
use crate::routing::Route;
use crate::routing::RouteTable;
use crate::routing::ServiceSpec;
use crate::workspace::Allotment;
use crate::workspace::KeyDigest;
use crate::workspace::Workspace;
use crate::workspace::Workspaces;

/// key prefix of the configuration, which is a single object.
pub const CONFIG_PREFIX: &str = "config/";
/// key of the current configuration.
const CURRENT_CONFIG: &str = "config/main";

/// attempts of a route that sets no limit: no retries.
const DEFAULT_MAX_ATTEMPTS: u32 = 1;
/// timeout of a route that sets none: about what callers usually wait.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// limits of a configuration that sets none, close to the usual defaults of HTTP servers.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 16 * 1024,
    max_body_bytes: 4 * 1024 * 1024,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

#[derive(Deserialize)]
struct ConfigWire {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteWire>,
    #[serde(default)]
    services: Vec<ServiceWire>,
    #[serde(default)]
    tenants: Vec<TenantWire>,
    #[serde(default)]
    limits: LimitsWire,
}

#[derive(Deserialize)]
struct RouteWire {
    #[serde(default)]
    name: String,
    host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: Option<f64>,
    target_latency_ms: Option<f64>,
    priority: Option<u32>,
    /// service of a route that is not split over several backends.
    service: Option<String>,
    #[serde(default)]
    backends: Vec<BackendWire>,
    max_attempts: Option<u32>,
    #[serde(default)]
    retained: bool,
    /// ignored unless `retained` is set.
    retention_s: Option<f64>,
    #[serde(default)]
    sticky: bool,
    #[serde(default)]
    resumable: bool,
    /// whether callers need no key.
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
struct BackendWire {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
struct ServiceWire {
    name: String,
    /// limit of connections to one replica, over all its callers.
    max_conns: Option<u32>,
    health_path: Option<String>,
    engine: Option<EngineWire>,
}

#[derive(Deserialize)]
struct EngineWire {
    slots: u32,
    /// tokens per event of an answer's stream, not per chunk of the prompt.
    #[serde(default = "default_chunk_tokens")]
    chunk_tokens: u64,
    #[serde(default)]
    kv_capacity_tokens: u64,
}

#[derive(Deserialize)]
struct TenantWire {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u32>,
    rate_per_s: Option<f64>,
    burst: Option<f64>,
}

#[derive(Default, Deserialize)]
struct LimitsWire {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

fn default_chunk_tokens() -> u64 {
    1
}

/// weights of backends are integers in thousandths of the configured unit.
const WEIGHT_SCALE: f64 = 1_000.0;

/// whether `key` is that of the current configuration.
pub fn is_current_config(key: &str) -> bool {
    key == CURRENT_CONFIG
}

/// parses a configuration; the platform accepts only valid ones, so an error means another format.
pub fn parse_config(value: &[u8]) -> Result<RouteTable, String> {
    let wire: ConfigWire = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    let routes = wire.routes.into_iter().map(Route::try_from).collect::<Result<Vec<_>, _>>()?;
    let services = wire.services.into_iter().map(ServiceSpec::from).collect();
    let workspaces = Workspaces::new(wire.tenants.into_iter().map(workspace_with_keys));
    Ok(RouteTable::new(wire.version, wire.limits.into(), routes, services).with_workspaces(workspaces))
}

fn workspace_with_keys(wire: TenantWire) -> (Workspace, Vec<KeyDigest>) {
    // An empty header is no key.
    let keys = wire.api_keys.iter().filter(|key| !key.is_empty());
    let keys = keys.map(|key| KeyDigest::of(key.as_bytes())).collect();
    let allotment = Allotment::new(wire.rate_per_s, wire.burst);
    (Workspace { name: wire.name, priority: wire.priority, allotment }, keys)
}

impl TryFrom<RouteWire> for Route {
    type Error = String;

    fn try_from(wire: RouteWire) -> Result<Self, String> {
        let kind: RequestKind = wire
            .kind
            .parse()
            .map_err(|_| format!("route {} has the unknown kind {:?}", wire.name, wire.kind))?;
        let single = wire.service.map(|service| Backend { service, weight: 1 });
        let split = wire.backends.into_iter().map(Backend::from);
        let timeout_ms = wire.timeout_ms.map_or(DEFAULT_TIMEOUT_MS, |ms| ms as u64);
        let retention_ms = wire.retention_s.filter(|_| wire.retained).map(|s| (s * 1_000.0) as u64);
        Ok(Self {
            name: wire.name,
            host: wire.host,
            path_prefix: wire.path_prefix,
            kind,
            backends: split.chain(single).collect(),
            timeout_ms,
            target_latency_ms: wire.target_latency_ms.map_or(timeout_ms, |ms| ms as u64),
            priority: wire.priority.unwrap_or(u32::MAX),
            max_attempts: wire.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1),
            retention_ms,
            sticky: wire.sticky,
            resumable: wire.resumable,
            is_public: wire.public,
        })
    }
}

impl From<BackendWire> for Backend {
    fn from(wire: BackendWire) -> Self {
        Self { service: wire.service, weight: (wire.weight * WEIGHT_SCALE) as u32 }
    }
}

impl From<ServiceWire> for ServiceSpec {
    fn from(wire: ServiceWire) -> Self {
        Self {
            name: wire.name,
            max_connections: wire.max_conns.unwrap_or(u32::MAX),
            health_path: wire.health_path,
            engine: wire.engine.map(EngineSpec::from),
        }
    }
}

impl From<EngineWire> for EngineSpec {
    fn from(wire: EngineWire) -> Self {
        Self {
            slots: wire.slots,
            tokens_per_event: wire.chunk_tokens.max(1),
            cache_tokens: wire.kv_capacity_tokens,
        }
    }
}

impl From<LimitsWire> for CallerLimits {
    fn from(wire: LimitsWire) -> Self {
        Self {
            max_header_bytes: wire.max_header_bytes.unwrap_or(DEFAULT_LIMITS.max_header_bytes),
            max_body_bytes: wire.max_body_bytes.unwrap_or(DEFAULT_LIMITS.max_body_bytes),
            header_timeout_ms: wire.header_timeout_ms.unwrap_or(DEFAULT_LIMITS.header_timeout_ms),
            idle_timeout_ms: wire.idle_timeout_ms.unwrap_or(DEFAULT_LIMITS.idle_timeout_ms),
        }
    }
}
