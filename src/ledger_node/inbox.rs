use async_channel::Sender;

use crate::ledger::CoreInput;
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
        let input = match message {
            MeshMessage::LedgerAsk(ask) => CoreInput::Ask(from.connection, Box::new(ask)),
            MeshMessage::LedgerAnswer(answer) => CoreInput::Answer(Box::new(answer)),
            // Messages between entry instances mean nothing here.
            _ => return,
        };
        // The task ends with the process.
        let _ = self.events.try_send(Event::Input(input));
    }

    /// questions to a peer that is gone run into their timeout.
    fn on_closed(&self, _peer: &PeerIdentity) {}
}
