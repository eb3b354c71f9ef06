use std::collections::HashMap;
use std::sync::Arc;

use crate::routing::Route;
use crate::routing::ServiceSpec;

/// bounds of what a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// request line and headers.
    pub max_header_bytes: usize,
    /// body.
    pub max_body_bytes: usize,
    /// time for the request line and headers.
    pub header_timeout_ms: u64,
    /// time between two requests on a connection.
    pub idle_timeout_ms: u64,
}

/// one version of the operators' configuration; replaced whole, never by an older one.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// version, growing.
    pub version: u64,
    /// bounds for callers.
    pub limits: CallerLimits,
    /// routes by host, the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Arc<ServiceSpec>>,
}

impl RouteTable {
    /// builds the table of a configuration.
    pub fn new(version: u64, limits: CallerLimits, routes: Vec<Route>, services: Vec<ServiceSpec>) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services =
            services.into_iter().map(|service| (service.name.clone(), Arc::new(service))).collect();
        Self { version, limits, hosts, services }
    }

    /// the route of a request: among those of its host the one with the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// a service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
