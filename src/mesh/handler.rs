use std::fmt;
use std::net::SocketAddr;

use crate::ids::Incarnation;
use crate::schema::MeshMessage;

/// identifies one connection of this process; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// identity of the peer of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// incarnation of the peer; the expected one, or empty, if the handshake never finished.
    pub incarnation: Incarnation,
    /// name of the peer; empty if the handshake never finished.
    pub name: String,
    /// mesh address of the peer.
    pub address: SocketAddr,
    /// connection to the peer.
    pub connection: ConnectionId,
    /// protocol version of the connection, the lower of both ends; 0 if the handshake never finished.
    pub protocol_version: u32,
}

/// receives the messages and close events of all connections of the process.
pub trait MeshHandler: Send + Sync {
    /// handles a message; messages of one connection and priority arrive in the order they were sent.
    fn on_message(&self, from: &PeerIdentity, message: MeshMessage);

    /// called once per closed connection; messages sent on it without a reply may be lost.
    fn on_closed(&self, peer: &PeerIdentity);
}

/// reasons why a message was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// the last connection attempts failed, and the backoff has not expired.
    Unreachable {
        /// milliseconds until the next attempt is allowed.
        retry_after_ms: u64,
    },
    /// the connection to the address is bound to another incarnation of the instance.
    OtherIncarnation,
    /// the connection is closed or closing.
    Closed,
    /// the send queue is full, as the peer reads too slowly; the connection is aborted.
    Overloaded,
    /// the encoded message exceeds the frame size limit.
    TooLarge,
}

impl fmt::Display for SendError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { retry_after_ms } => {
                write!(out, "peer unreachable, next try in {retry_after_ms} ms")
            }
            Self::OtherIncarnation => write!(out, "another start of the instance answers there"),
            Self::Closed => write!(out, "the connection is closed"),
            Self::Overloaded => write!(out, "the peer does not read fast enough"),
            Self::TooLarge => write!(out, "the message is larger than a frame may be"),
        }
    }
}

impl std::error::Error for SendError {}
