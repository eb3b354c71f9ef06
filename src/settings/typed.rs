use std::fmt;
use std::net::SocketAddr;

use crate::finding::Finding;
use crate::finding::Findings;
use crate::mesh::MeshKey;
use crate::schema;
use crate::settings::check_settings;

/// settings of one instance, checked and typed.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// name of the deployment.
    pub cluster: String,
    /// secret that authenticates instances to each other.
    pub mesh_key: MeshKey,
    /// slots that programs hash to.
    pub slot_count: u32,
    /// who and where this instance is.
    pub instance: schema::InstanceSettings,
    /// where it listens.
    pub listen: ListenAddresses,
    /// address of the platform's object API.
    pub platform_address: SocketAddr,
    /// limits of the calls to the platform.
    pub platform: schema::PlatformSettings,
    /// keys that open the administration API.
    pub operator_keys: Vec<OperatorKey>,
    /// bounds of the doors.
    pub limits: schema::LimitSettings,
    /// journal and ownership.
    pub state: schema::StateSettings,
    /// queues before the upstreams.
    pub dispatch: schema::DispatchSettings,
    /// probing between instances.
    pub membership: schema::MembershipSettings,
    /// log lines.
    pub log: schema::LogSettings,
    /// worker threads.
    pub thread_count: usize,
}

impl Settings {
    /// finds the operator whose key this is.
    pub fn operator_of(&self, key: &str) -> Option<&str> {
        let hash = blake3::hash(key.as_bytes());
        // Comparing hashes takes the same time whatever differs.
        let found = self.operator_keys.iter().find(|known| known.hash == hash)?;
        Some(&found.operator)
    }
}

impl TryFrom<schema::Settings> for Settings {
    type Error = Findings;

    fn try_from(settings: schema::Settings) -> Result<Self, Findings> {
        check_settings(&settings).into_result(())?;
        let mut operator_keys = Vec::new();
        for (index, key) in settings.operator_keys.iter().enumerate() {
            let place = format!("/operator_keys/{index}/key_hash");
            let hash = blake3::Hash::from_hex(&key.key_hash).map_err(|error| one(&place, &error))?;
            operator_keys.push(OperatorKey { operator: key.operator.clone(), hash });
        }
        Ok(Self {
            mesh_key: settings.cluster.mesh_key.parse().map_err(|error| one("/cluster/mesh_key", &error))?,
            slot_count: settings.cluster.slot_count,
            cluster: settings.cluster.name,
            instance: settings.instance,
            listen: ListenAddresses {
                callers: address("/listen/callers", &settings.listen.callers)?,
                operators: address("/listen/operators", &settings.listen.operators)?,
                mesh: address("/listen/mesh", &settings.listen.mesh)?,
            },
            platform_address: address("/platform/address", &settings.platform.address)?,
            platform: settings.platform,
            operator_keys,
            limits: settings.limits,
            state: settings.state,
            dispatch: settings.dispatch,
            membership: settings.membership,
            log: settings.log,
            thread_count: settings.thread_count as usize,
        })
    }
}

/// addresses that one instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// for callers.
    pub callers: SocketAddr,
    /// for operators: the administration API and metrics.
    pub operators: SocketAddr,
    /// for the other instances, over TCP and UDP.
    pub mesh: SocketAddr,
}

/// a key of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorKey {
    /// name that appears in the history of releases.
    pub operator: String,
    /// hash of the key.
    pub hash: blake3::Hash,
}

fn address(place: &str, text: &str) -> Result<SocketAddr, Findings> {
    text.parse().map_err(|error| one(place, &error))
}

fn one(place: &str, error: &dyn fmt::Display) -> Findings {
    Findings::one(Finding::new(place, error.to_string()))
}
