use serde::Deserialize;

use crate::schema::MeshFrame;
use crate::schema::MeshMessage;

/// send priority of a message; messages of one priority keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Priority {
    /// small messages that others wait for, such as releases, loads and slot moves; sent before all others.
    Control,
    /// requests, their responses and other large messages.
    Bulk,
}

/// priority of a message; a request and its cancellation share one, so that neither overtakes the other.
pub(super) fn priority(message: &MeshMessage) -> Priority {
    match message {
        MeshMessage::ReleasePull(_)
        | MeshMessage::ReleasePush(_)
        | MeshMessage::Load(_)
        | MeshMessage::StatusPull(_)
        | MeshMessage::StatusPush(_)
        | MeshMessage::Poison(_)
        | MeshMessage::SlotMoved(_)
        | MeshMessage::Drain(_) => Priority::Control,
        MeshMessage::Forward(_)
        | MeshMessage::ForwardEvent(_)
        | MeshMessage::CancelRequest(_)
        | MeshMessage::Dispatch(_)
        | MeshMessage::DispatchEvent(_)
        | MeshMessage::CancelJob(_)
        | MeshMessage::TimelinePull(_)
        | MeshMessage::TimelinePush(_)
        | MeshMessage::ProgramsPull(_)
        | MeshMessage::ProgramsPush(_)
        | MeshMessage::LedgerAsk(_)
        | MeshMessage::LedgerAnswer(_) => Priority::Bulk,
    }
}

/// value of the metric label `kind` for a message.
pub(super) fn kind(message: &MeshMessage) -> &'static str {
    match message {
        MeshMessage::Forward(_) => "forward",
        MeshMessage::ForwardEvent(_) => "forward_event",
        MeshMessage::CancelRequest(_) => "cancel_request",
        MeshMessage::Dispatch(_) => "dispatch",
        MeshMessage::DispatchEvent(_) => "dispatch_event",
        MeshMessage::CancelJob(_) => "cancel_job",
        MeshMessage::ReleasePull(_) => "release_pull",
        MeshMessage::ReleasePush(_) => "release_push",
        MeshMessage::Load(_) => "load",
        MeshMessage::StatusPull(_) => "status_pull",
        MeshMessage::StatusPush(_) => "status_push",
        MeshMessage::TimelinePull(_) => "timeline_pull",
        MeshMessage::TimelinePush(_) => "timeline_push",
        MeshMessage::Poison(_) => "poison",
        MeshMessage::SlotMoved(_) => "slot_moved",
        MeshMessage::ProgramsPull(_) => "programs_pull",
        MeshMessage::ProgramsPush(_) => "programs_push",
        MeshMessage::Drain(_) => "drain",
        MeshMessage::LedgerAsk(_) => "ledger_ask",
        MeshMessage::LedgerAnswer(_) => "ledger_answer",
    }
}

/// result of decoding a frame.
#[derive(Debug)]
pub(super) enum DecodedFrame {
    /// a frame with a message that this protocol version knows.
    Known(Box<MeshFrame>),
    /// a frame with an unknown message, from a peer of another version; only its timestamp is used.
    Unknown {
        /// hybrid timestamp of the sender.
        at: u64,
    },
    /// bytes that are not a frame.
    Malformed,
}

/// part of a frame that is the same in all protocol versions.
#[derive(Deserialize)]
struct FrameHeader {
    at: u64,
}

/// encodes a frame as CBOR; the error is ignored, as wire types always serialize.
pub(super) fn encode(frame: &MeshFrame) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    let _ = ciborium::into_writer(frame, &mut bytes);
    bytes
}

/// decodes a frame, or only its header if the message is unknown.
pub(super) fn decode(bytes: &[u8]) -> DecodedFrame {
    if let Ok(frame) = ciborium::from_reader(bytes) {
        return DecodedFrame::Known(Box::new(frame));
    }
    match ciborium::from_reader::<FrameHeader, _>(bytes) {
        Ok(header) => DecodedFrame::Unknown { at: header.at },
        Err(_) => DecodedFrame::Malformed,
    }
}
