use std::collections::HashMap;
use std::sync::Arc;

use crate::routing::Route;
use crate::routing::ServiceSpec;

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
    /// routes by lower-case host, longest path prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Arc<ServiceSpec>>,
}

impl RouteTable {
    /// indexes the routes and services of a configuration.
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

    /// the route of a request: of its host's routes, the one with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
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
