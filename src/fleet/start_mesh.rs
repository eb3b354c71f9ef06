use std::sync::Arc;

use anyhow::Context;
use flamingo_edge::Spawner;

use crate::ids::Incarnation;
use crate::mesh::Mesh;
use crate::mesh::MeshHandler;
use crate::mesh::MeshLimits;
use crate::mesh::MeshSettings;
use crate::settings::NodeSettings;
use crate::timeline::Timeline;

/// opens the mesh listener of a front door or a ledger node, and with it the connections to its peers.
pub fn start_mesh(
    settings: &NodeSettings,
    spawner: &Spawner,
    incarnation: Incarnation,
    handler: Arc<dyn MeshHandler>,
) -> anyhow::Result<Arc<Mesh>> {
    let mesh = MeshSettings {
        listen: settings.mesh,
        cluster: settings.cluster.clone(),
        key: settings.mesh_key.clone(),
        incarnation,
        name: settings.instance.name.clone(),
        limits: MeshLimits::for_fleet(),
    };
    let timeline = Arc::new(Timeline::new(&settings.instance.name));
    Mesh::start(spawner.clone(), mesh, timeline, handler).context("failed to listen on the mesh address")
}
