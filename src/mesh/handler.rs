use std::fmt;
use std::net::SocketAddr;

use crate::ids::Incarnation;
use crate::schema::MeshMessage;

/// names one connection of this process; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// the other end of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// start of the peer that the connection is bound to; what was expected when it was never reached.
    pub incarnation: Incarnation,
    /// name of the peer; empty when it was never reached.
    pub name: String,
    /// mesh address of the peer.
    pub address: SocketAddr,
    /// the connection.
    pub connection: ConnectionId,
    /// version that both ends speak.
    pub protocol_version: u32,
}

/// what the process does with messages; one implementation routes them to the modules.
pub trait MeshHandler: Send + Sync {
    /// takes a message; those of one connection come in the order they were sent, by class.
    fn on_message(&self, from: &PeerIdentity, message: MeshMessage);

    /// a connection is gone, and with it what was sent on it and not yet answered.
    fn on_closed(&self, peer: &PeerIdentity);
}

/// why a message was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// the last tries to connect failed; the next one is not due yet.
    Unreachable {
        /// when the next try is due.
        retry_after_ms: u64,
    },
    /// another start of the instance answers at the address.
    OtherIncarnation,
    /// the connection is gone.
    Closed,
    /// the peer does not read fast enough; the connection is closed.
    Overloaded,
    /// the message is larger than a frame may be.
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
