use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_channel::Sender;

use crate::instance::Shared;
use crate::instance::upstream_view::ServiceReplica;
use crate::owner::LookupOutcome;
use crate::owner::LookupRequest;
use crate::owner::OwnerInput;
use crate::owner::ServiceOutcome;
use crate::owner::ServiceRequest;
use crate::upstream::LookUp as Found;

/// how long one replica may take to say whether a call ran.
const LOOK_UP_TIMEOUT_MS: u64 = 2_000;

/// makes one attempt of a service call and reports its outcome to the owner that asked.
pub(crate) fn run_service_call(
    shared: &Arc<Shared>,
    inbox: Sender<OwnerInput>,
    service: u64,
    request: ServiceRequest,
) {
    let task_shared = Arc::clone(shared);
    shared.spawner.detach(async move {
        let addresses = task_shared.service_addresses(&request.service);
        let outcome = if addresses.is_empty() {
            ServiceOutcome::NotSent { detail: "no replica of the service is listed".to_owned() }
        } else {
            task_shared.services.call(&addresses, &request).await
        };
        let _ = inbox.try_send(OwnerInput::Service { service, outcome });
    });
}

/// asks all replicas of a service whether a call ran, and reports to the owner that asked.
pub(crate) fn run_look_up(
    shared: &Arc<Shared>,
    inbox: Sender<OwnerInput>,
    service: u64,
    request: LookupRequest,
) {
    let task_shared = Arc::clone(shared);
    shared.spawner.detach(async move {
        let addresses = task_shared.service_addresses(&request.service);
        let found = task_shared.services.look_up(&addresses, &request.call, LOOK_UP_TIMEOUT_MS).await;
        let outcome = match found {
            Found::Ran { status, body } => LookupOutcome::Found { status, body },
            Found::NotRun => LookupOutcome::NotFound,
            Found::Unknown { .. } => LookupOutcome::Unavailable,
        };
        let _ = inbox.try_send(OwnerInput::Lookup { service, outcome });
    });
}

impl Shared {
    /// addresses of a service's replicas: this zone's first, starting at another one each time.
    pub(crate) fn service_addresses(&self, service: &str) -> Vec<SocketAddr> {
        let upstreams = self.upstreams.load();
        let Some(replicas) = upstreams.services.get(service) else {
            return Vec::new();
        };
        let start = self.service_turn.fetch_add(1, Ordering::Relaxed);
        let zone = &self.settings.instance.zone;
        let (near, far): (Vec<&ServiceReplica>, Vec<&ServiceReplica>) =
            replicas.iter().partition(|replica| replica.zone == *zone);
        let mut addresses = Vec::with_capacity(replicas.len());
        for group in [near, far] {
            for index in 0..group.len() {
                addresses.push(group[(start + index) % group.len()].address);
            }
        }
        addresses
    }
}
