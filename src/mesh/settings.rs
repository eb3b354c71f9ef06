use std::net::SocketAddr;

use crate::ids::Incarnation;
use crate::mesh::MeshKey;

/// what the mesh of one instance needs to know.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// address to listen on; other instances reach this one there.
    pub listen: SocketAddr,
    /// deployment; instances of another one are refused.
    pub cluster: String,
    /// secret that all instances of the deployment share.
    pub key: MeshKey,
    /// this start of the instance.
    pub incarnation: Incarnation,
    /// name of the instance.
    pub name: String,
    /// bounds of connections.
    pub limits: MeshLimits,
}

/// bounds of each connection.
#[derive(Clone, Copy, Debug)]
pub struct MeshLimits {
    /// largest frame.
    pub max_frame_bytes: usize,
    /// bytes that may wait for one peer.
    pub max_queued_bytes: usize,
    /// how long opening a connection may take; one to an instance without power hangs until then.
    pub connect_timeout_ms: u64,
    /// how long connecting and authenticating may take.
    pub handshake_timeout_ms: u64,
    /// how long one frame may take to write.
    pub write_timeout_ms: u64,
    /// silence after which a peer is pinged; twice as long closes the connection.
    pub ping_ms: u64,
    /// time without messages after which the side that connected closes the connection.
    pub idle_ms: u64,
    /// longest wait between tries to connect.
    pub max_backoff_ms: u64,
    /// how long a closing connection waits for the peer.
    pub close_timeout_ms: u64,
    /// connections accepted at once.
    pub max_connections: usize,
    /// connections at once that have not authenticated.
    pub max_strangers: usize,
}

impl MeshLimits {
    /// bounds between front doors and ledger nodes, where a silent connection must be given up within the time
    /// that a caller waits for a new one.
    pub fn for_fleet() -> Self {
        Self {
            connect_timeout_ms: 200,
            handshake_timeout_ms: 1_000,
            write_timeout_ms: 1_000,
            ping_ms: 400,
            close_timeout_ms: 100,
            max_backoff_ms: 150,
            ..Self::default()
        }
    }
}

impl Default for MeshLimits {
    fn default() -> Self {
        Self {
            max_frame_bytes: 8 << 20,
            max_queued_bytes: 16 << 20,
            connect_timeout_ms: 3_000,
            handshake_timeout_ms: 3_000,
            write_timeout_ms: 10_000,
            ping_ms: 60_000,
            idle_ms: 900_000,
            close_timeout_ms: 2_000,
            max_backoff_ms: 2_000,
            max_connections: 8_192,
            max_strangers: 128,
        }
    }
}
