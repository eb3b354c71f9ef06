use std::net::SocketAddr;

use crate::ids::Incarnation;
use crate::mesh::MeshKey;

/// settings of the mesh of one instance.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// address to listen on; announced to other instances in the handshake.
    pub listen: SocketAddr,
    /// name of the deployment; instances of other deployments are refused.
    pub cluster: String,
    /// secret key of the deployment.
    pub key: MeshKey,
    /// incarnation of this instance.
    pub incarnation: Incarnation,
    /// name of the instance.
    pub name: String,
    /// limits of connections.
    pub limits: MeshLimits,
}

/// size, time and connection limits of the mesh.
#[derive(Clone, Copy, Debug)]
pub struct MeshLimits {
    /// maximum size of an encoded frame, without its tag.
    pub max_frame_bytes: usize,
    /// maximum total size of the frames queued for one peer.
    pub max_queued_bytes: usize,
    /// timeout of a TCP connect; one to an instance without power hangs until then.
    pub connect_timeout_ms: u64,
    /// timeout of the handshake; for the dialing end it includes the TCP connect.
    pub handshake_timeout_ms: u64,
    /// timeout of a frame write.
    pub write_timeout_ms: u64,
    /// silence after which a peer is pinged; a second such interval closes the connection.
    pub ping_ms: u64,
    /// time without messages after which the dialing end closes the connection.
    pub idle_ms: u64,
    /// maximum backoff between connection attempts, before a jitter of 50 % either way.
    pub max_backoff_ms: u64,
    /// how long a closing connection waits for the peer to close too.
    pub close_timeout_ms: u64,
    /// number of connections, dialed ones included, from which on no more are accepted.
    pub max_connections: usize,
    /// maximum number of accepted connections that have not authenticated yet.
    pub max_unauthenticated: usize,
}

impl MeshLimits {
    /// limits between front doors and ledger nodes, where a silent connection must be closed within the time
    /// that a client waits for a new one.
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
            max_unauthenticated: 128,
        }
    }
}
