use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::dispatch::Replica;
use crate::platform::InstanceKind;
use crate::platform::ListedInstance;
use crate::platform::ListedState;

/// one replica of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReplica {
    /// name from the platform's list.
    pub name: String,
    /// HTTP address.
    pub address: SocketAddr,
    /// availability zone.
    pub zone: String,
}

/// one snapshot of the upstreams in the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamView {
    /// replicas of models by name.
    pub engines: BTreeMap<String, Replica>,
    /// staying replicas of plain services, by service.
    pub services: BTreeMap<String, Vec<ServiceReplica>>,
}

impl From<&[ListedInstance]> for UpstreamView {
    fn from(list: &[ListedInstance]) -> Self {
        let mut view = Self::default();
        for listed in list {
            let leaving = listed.state == ListedState::Leaving;
            match listed.kind {
                InstanceKind::Engine => {
                    let replica = Replica {
                        name: listed.name.clone(),
                        model: listed.serves.clone(),
                        address: listed.address,
                        zone: listed.zone.clone(),
                        leaving,
                    };
                    view.engines.insert(listed.name.clone(), replica);
                }
                InstanceKind::Service if !leaving => {
                    let replica = ServiceReplica {
                        name: listed.name.clone(),
                        address: listed.address,
                        zone: listed.zone.clone(),
                    };
                    view.services.entry(listed.serves.clone()).or_default().push(replica);
                }
                InstanceKind::Service | InstanceKind::Entry | InstanceKind::WeightStore => {}
            }
        }
        view
    }
}
