use async_channel::Sender;

use crate::ledger_node::event::Event;
use crate::mesh::MeshHandler;
use crate::mesh::PeerIdentity;
use crate::schema::MeshMessage;

/// hands messages to the task of the node.
pub(super) struct Inbox {
    pub events: Sender<Event>,
}

impl MeshHandler for Inbox {
    fn on_message(&self, from: &PeerIdentity, message: MeshMessage) {
        let event = match message {
            MeshMessage::LedgerAsk(ask) => Event::Ask(from.connection, Box::new(ask)),
            MeshMessage::LedgerAnswer(answer) => Event::Answer(Box::new(answer)),
            // Messages between entry instances mean nothing here.
            _ => return,
        };
        // The task ends with the process.
        let _ = self.events.try_send(event);
    }

    fn on_closed(&self, _peer: &PeerIdentity) {
        let _ = self.events.try_send(Event::Closed);
    }
}
