use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use crate::finding::Finding;
use crate::finding::Findings;
use crate::mesh::MeshKey;
use crate::schema;
use crate::schema::check_text;
use crate::schema::line_of_pointer;
use crate::settings::LoadError;

/// settings of a front door or a ledger node, checked and typed.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// name of the deployment.
    pub cluster: String,
    /// secret that authenticates the processes to each other.
    pub mesh_key: MeshKey,
    /// who and where the process is.
    pub instance: schema::InstanceSettings,
    /// address for the other processes.
    pub mesh: SocketAddr,
    /// the object API of the platform.
    pub platform: schema::PlatformSettings,
    /// mesh addresses at which a front door first looks for ledger nodes.
    pub ledger_seeds: Vec<SocketAddr>,
    /// losses that nothing acknowledged may suffer from.
    pub tolerance: schema::ToleranceSettings,
    /// bounds that the deployment promises its callers.
    pub bounds: schema::BoundSettings,
    /// when requests leave the availability zone; `None` to choose replicas over all zones.
    pub zones: Option<schema::ZoneSettings>,
    /// address at which counters and histograms are served.
    pub metrics: Option<SocketAddr>,
    /// log lines.
    pub log: schema::LogSettings,
    /// what the process does.
    pub role: NodeRole,
}

/// what a process does.
#[derive(Clone, Debug)]
pub enum NodeRole {
    /// takes requests of callers.
    Door(DoorAddresses),
    /// holds a copy of the ledger.
    Ledger(LedgerDisk),
}

/// where a front door listens.
#[derive(Clone, Copy, Debug)]
pub struct DoorAddresses {
    /// requests of callers.
    pub callers: SocketAddr,
    /// the platform's readiness check.
    pub readiness: SocketAddr,
    /// questions of callers for the doors to use.
    pub directory: SocketAddr,
    /// requests that other doors pass on; by default the port after that of the mesh.
    pub peers: SocketAddr,
}

/// where a ledger node keeps its log.
#[derive(Clone, Debug)]
pub struct LedgerDisk {
    /// folder of the log.
    pub data_dir: PathBuf,
}

impl NodeSettings {
    /// reads a settings file and checks it whole.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| LoadError::Unreadable { path: path.to_owned(), error })?;
        Self::parse(&text).map_err(|findings| LoadError::Faulty { path: path.to_owned(), findings })
    }

    /// checks the text of a settings file whole; each finding has its pointer and line.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let settings = check_text::<schema::NodeSettings>("NodeSettings", text)?;
        Self::try_from(settings).map_err(|mut findings| {
            for finding in &mut findings.list {
                finding.line = line_of_pointer(text, &finding.place);
            }
            findings
        })
    }
}

impl TryFrom<schema::NodeSettings> for NodeSettings {
    type Error = Findings;

    fn try_from(settings: schema::NodeSettings) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mesh = address(&mut findings, "/mesh", &settings.mesh);
        address(&mut findings, "/platform/address", &settings.platform.address);
        let door = settings.door.as_ref().map(|door| DoorAddresses {
            callers: address(&mut findings, "/door/callers", &door.callers),
            readiness: address(&mut findings, "/door/readiness", &door.readiness),
            directory: address(&mut findings, "/door/directory", &door.directory),
            peers: match &door.peers {
                Some(peers) => address(&mut findings, "/door/peers", peers),
                None => SocketAddr::new(mesh.ip(), mesh.port().wrapping_add(1)),
            },
        });
        let ledger =
            settings.ledger.as_ref().map(|disk| LedgerDisk { data_dir: PathBuf::from(&disk.data_dir) });
        let role = match (door, ledger) {
            (Some(door), None) => Some(NodeRole::Door(door)),
            (None, Some(disk)) => Some(NodeRole::Ledger(disk)),
            (Some(_), Some(_)) | (None, None) => {
                findings.push(Finding::new("", "a process has either `door` or `ledger`"));
                None
            }
        };
        let mut ledger_seeds = Vec::new();
        for (index, seed) in settings.ledger_seeds.iter().enumerate() {
            ledger_seeds.push(address(&mut findings, &format!("/ledger_seeds/{index}"), seed));
        }
        let metrics = settings.metrics.as_ref().map(|text| address(&mut findings, "/metrics", text));
        let mesh_key = match settings.cluster.mesh_key.parse::<MeshKey>() {
            Ok(key) => Some(key),
            Err(error) => {
                findings.push(Finding::new("/cluster/mesh_key", error.to_string()));
                None
            }
        };
        let (Some(role), Some(mesh_key), true) = (role, mesh_key, findings.list.is_empty()) else {
            return Err(findings);
        };
        Ok(Self {
            cluster: settings.cluster.name,
            mesh_key,
            instance: settings.instance,
            mesh,
            ledger_seeds,
            metrics,
            platform: settings.platform,
            tolerance: settings.tolerance,
            bounds: settings.bounds,
            zones: settings.zones,
            log: settings.log,
            role,
        })
    }
}

/// reads an address that others reach; what is wrong with it goes to the findings.
fn address(findings: &mut Findings, place: &str, text: &str) -> SocketAddr {
    let unusable = SocketAddr::from(([0, 0, 0, 0], 0));
    let Ok(address) = text.parse::<SocketAddr>() else {
        let detail = format!("`{text}` is not an IP address with a port, such as 10.0.0.1:7401");
        findings.push(Finding::new(place, detail));
        return unusable;
    };
    if address.port() == 0 {
        findings.push(Finding::new(place, "port 0 names no port that others can reach"));
    }
    address
}
