//! mesh transport between instances: WebSocket connections over TCP and datagrams over UDP, both
//! authenticated with the shared mesh key.
//!
//! Owns the connections to other instances and their send queues.

mod accept;
mod connection;
mod datagram_socket;
mod dial;
mod frame;
mod handler;
mod handshake;
mod link;
#[expect(clippy::module_inception, reason = "the main type of the folder has the folder's name")]
mod mesh;
mod mesh_key;
mod out_queue;
mod settings;

pub use datagram_socket::DatagramSocket;
pub use handler::ConnectionId;
pub use handler::MeshHandler;
pub use handler::PeerIdentity;
pub use handler::SendError;
pub use handshake::MIN_PROTOCOL_VERSION;
pub use handshake::PROTOCOL_VERSION;
pub use mesh::Mesh;
pub use mesh_key::FrameMac;
pub use mesh_key::MeshKey;
pub use mesh_key::Side;
pub use settings::MeshLimits;
pub use settings::MeshSettings;
