use serde::Deserialize;

use crate::schema::MeshFrame;
use crate::schema::MeshMessage;

/// order in which waiting messages go out; within a class the order of sending is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    /// small messages that others wait for: releases, loads, moves of slots.
    Control,
    /// requests and their answers.
    Bulk,
}

/// class of a message; a request and its cancellation share one, so that neither overtakes the other.
pub(super) fn class(message: &MeshMessage) -> Class {
    match message {
        MeshMessage::ReleasePull(_)
        | MeshMessage::ReleasePush(_)
        | MeshMessage::Load(_)
        | MeshMessage::StatusPull(_)
        | MeshMessage::StatusPush(_)
        | MeshMessage::Poison(_)
        | MeshMessage::SlotMoved(_)
        | MeshMessage::Drain(_) => Class::Control,
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
        | MeshMessage::LedgerAnswer(_) => Class::Bulk,
    }
}

/// name under which a message is counted.
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

/// what was read of a frame.
#[derive(Debug)]
pub(super) enum Read {
    /// a message that this version knows.
    Known(Box<MeshFrame>),
    /// a frame of another version; only its time is used.
    Unknown {
        /// hybrid time of the sender.
        at: u64,
    },
    /// no frame at all.
    Malformed,
}

/// the part of a frame that no version changes.
#[derive(Deserialize)]
struct FrameHead {
    at: u64,
}

/// encodes a frame; wire types always serialise.
pub(super) fn encode(frame: &MeshFrame) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    let _ = ciborium::into_writer(frame, &mut bytes);
    bytes
}

/// decodes a frame.
pub(super) fn decode(bytes: &[u8]) -> Read {
    if let Ok(frame) = ciborium::from_reader(bytes) {
        return Read::Known(Box::new(frame));
    }
    match ciborium::from_reader::<FrameHead, _>(bytes) {
        Ok(head) => Read::Unknown { at: head.at },
        Err(_) => Read::Malformed,
    }
}
