use std::sync::Arc;
use std::sync::Weak;

use crate::door::door::Door;
use crate::mesh::MeshHandler;
use crate::mesh::PeerIdentity;
use crate::schema::MeshMessage;

/// delivers answers from ledger nodes to the requests that wait for them.
pub(super) struct MeshInbox {
    /// weak to avoid a reference cycle: the door owns the mesh, which owns this handler.
    door: Weak<Door>,
}

impl MeshInbox {
    pub fn new(door: &Arc<Door>) -> Self {
        Self { door: Arc::downgrade(door) }
    }
}

impl MeshHandler for MeshInbox {
    fn on_message(&self, _from: &PeerIdentity, message: MeshMessage) {
        let (Some(door), MeshMessage::LedgerAnswer(answer)) = (self.door.upgrade(), message) else {
            return;
        };
        door.ledger.on_answer(answer);
    }

    fn on_closed(&self, peer: &PeerIdentity) {
        if let Some(door) = self.door.upgrade() {
            door.ledger.on_closed(peer.connection);
        }
    }
}
