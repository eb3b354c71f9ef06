use std::collections::HashMap;
use std::sync::Arc;

use crate::routing::Route;
use crate::routing::ServiceSpec;
use crate::workspace::KeyDigest;
use crate::workspace::Principal;
use crate::workspace::Workspaces;

/// retention beyond the promised time, for callers with slow clocks or networks.
pub const RETENTION_MARGIN_MS: u64 = 30_000;

/// size and time limits of what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// bytes of the request line and headers.
    pub max_header_bytes: usize,
    /// bytes of the request body.
    pub max_body_bytes: usize,
    /// time to receive the request line and headers.
    pub header_timeout_ms: u64,
    /// time without a request after which a connection is closed.
    pub idle_timeout_ms: u64,
}

/// one version of the operators' configuration; replaced as a whole and never by an older one.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// increases with each change.
    pub version: u64,
    /// limits for all callers.
    pub limits: CallerLimits,
    /// parties that share the deployment; without any, callers need no key.
    pub workspaces: Workspaces,
    /// routes by lower-case host, longest path prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Arc<ServiceSpec>>,
    /// longest time that a turn which is retained may take.
    longest_turn_ms: u64,
}

impl RouteTable {
    /// indexes the routes and services of a configuration.
    pub fn new(version: u64, limits: CallerLimits, routes: Vec<Route>, services: Vec<ServiceSpec>) -> Self {
        let retained = routes.iter().filter(|route| route.retention_ms.is_some());
        let longest_turn_ms = retained.map(|route| route.timeout_ms).max().unwrap_or(0);
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services =
            services.into_iter().map(|service| (service.name.clone(), Arc::new(service))).collect();
        Self { version, limits, workspaces: Workspaces::default(), hosts, services, longest_turn_ms }
    }

    /// the same configuration with these workspaces.
    pub fn with_workspaces(self, workspaces: Workspaces) -> Self {
        Self { workspaces, ..self }
    }

    /// on whose behalf a request with this key runs on a route; `None` if the route needs a known key.
    pub fn principal(&self, route: &Route, key: Option<&KeyDigest>) -> Option<Principal> {
        if self.workspaces.is_empty() {
            return Some(Principal::Unscoped);
        }
        match key.and_then(|key| self.workspaces.by_digest(key)) {
            Some(workspace) => Some(Principal::Workspace(Arc::clone(workspace))),
            None => route.is_public.then_some(Principal::Anonymous),
        }
    }

    /// the route of a request: of its host's routes, the one with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// how long the ledger keeps a turn, in milliseconds, so that a turn that goes on from it within its retention
    /// still finds it at its own end, which is what extends it.
    pub fn keep_ms(&self, retention_ms: u64) -> u64 {
        retention_ms + self.longest_turn_ms + RETENTION_MARGIN_MS
    }

    /// a service by name; `None` if the configuration has none of that name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// number of routes over all hosts.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
