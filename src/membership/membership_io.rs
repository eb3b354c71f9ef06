use std::net::SocketAddr;
use std::sync::Arc;

use crate::ids::Incarnation;
use crate::member::MemberView;
use crate::platform::ListedInstance;
use crate::schema::Datagram;

/// inputs of membership.
#[derive(Clone, Debug)]
pub enum MembershipInput {
    /// a datagram that passed authentication.
    Datagram {
        /// address of the sender.
        from: SocketAddr,
        /// its decoded content.
        datagram: Box<Datagram>,
    },
    /// the instances that the platform lists; the list may lag behind.
    InstanceList(Vec<ListedInstance>),
    /// version of the configuration in force on this instance.
    ReleaseInForce(u64),
    /// this instance continues under a new incarnation, because another one sealed its journal.
    Restart(Incarnation),
    /// this instance starts to leave.
    Leave,
    /// this instance has left; announced before the process ends.
    Left,
    /// timer; comes every 50 ms while there are other inputs, else every 100 ms.
    Tick,
}

/// actions that membership requests.
#[derive(Clone, Debug)]
pub enum MembershipAction {
    /// send a datagram.
    Send {
        /// address of the receiver.
        to: SocketAddr,
        /// content to encode and authenticate.
        datagram: Box<Datagram>,
    },
    /// publish a changed view.
    PublishView(Arc<MemberView>),
}
