use async_channel::Sender;

use crate::ledger::CoreInput;
use crate::ledger_node::event::Event;
use crate::mesh::MeshHandler;
use crate::mesh::PeerIdentity;
use crate::schema::MeshMessage;

/// passes mesh messages to the main task of the node.
pub(super) struct Inbox {
    pub events: Sender<Event>,
}

impl MeshHandler for Inbox {
    fn on_message(&self, from: &PeerIdentity, message: MeshMessage) {
        let input = match message {
            MeshMessage::LedgerAsk(ask) => CoreInput::Ask(from.connection, Box::new(ask)),
            MeshMessage::LedgerAnswer(answer) => CoreInput::Answer(Box::new(answer)),
            // Messages between entry instances are not for ledger nodes.
            _ => return,
        };
        // The receiving task ends only with the process.
        let _ = self.events.try_send(Event::Input(input));
    }

    /// pending asks to a closed peer are left to their timeout.
    fn on_closed(&self, _peer: &PeerIdentity) {}
}
