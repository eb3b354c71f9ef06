use std::net::SocketAddr;
use std::sync::Arc;

use crate::ids::Incarnation;
use crate::member::MemberView;
use crate::platform::ListedInstance;
use crate::schema::Datagram;

/// what membership is told.
#[derive(Clone, Debug)]
pub enum MembershipInput {
    /// a datagram that passed authentication.
    Datagram {
        /// address of the sender.
        from: SocketAddr,
        /// the datagram.
        datagram: Box<Datagram>,
    },
    /// the platform's lagging list.
    InstanceList(Vec<ListedInstance>),
    /// the configuration in force here.
    ReleaseInForce(u64),
    /// this instance goes on under a new incarnation: its journal was sealed by another.
    Restart(Incarnation),
    /// this instance is leaving.
    Leave,
    /// this instance has left; tell the others before the process ends.
    Left,
    /// time passed; sent every 50 ms while inputs come, every 100 ms otherwise.
    Tick,
}

/// what membership wants done.
#[derive(Clone, Debug)]
pub enum MembershipAction {
    /// send a datagram.
    Send {
        /// address of the receiver.
        to: SocketAddr,
        /// the datagram.
        datagram: Box<Datagram>,
    },
    /// the view changed.
    PublishView(Arc<MemberView>),
}
