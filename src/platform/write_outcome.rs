use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformResult;

/// outcome of a write whose reply was lost, as far as a read-back tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// the write took effect and is the latest one.
    Written {
        /// version of the object.
        version: u64,
    },
    /// the write has not taken effect so far; it may still arrive, so only the same write may be sent next.
    NotSeen,
    /// the object holds another write, or was deleted.
    Superseded {
        /// version of the object; 0 if it was deleted.
        version: u64,
    },
    /// the read-back failed or was stale; it must be repeated.
    Inconclusive,
}

/// decides whether a create of `value` took effect, from a read-back made after the reply was lost.
///
/// The value must contain a mark of its writer that no other write repeats.
pub fn create_outcome(value: &[u8], read_back: &PlatformResult) -> WriteOutcome {
    match read_back {
        Ok(PlatformReply::Object(object)) if object.value == value => {
            WriteOutcome::Written { version: object.version }
        }
        Ok(PlatformReply::Object(object)) => WriteOutcome::Superseded { version: object.version },
        Err(PlatformError::NotFound) => WriteOutcome::NotSeen,
        _ => WriteOutcome::Inconclusive,
    }
}

/// decides whether an update of the object at `version` to `value` took effect, from a read-back made after
/// the reply was lost.
///
/// The value must contain a mark of its writer that no other write repeats.
pub fn update_outcome(value: &[u8], version: u64, read_back: &PlatformResult) -> WriteOutcome {
    match read_back {
        Ok(PlatformReply::Object(object)) if object.version == version => WriteOutcome::NotSeen,
        // A version below the updated one means that the read was stale.
        Ok(PlatformReply::Object(object)) if object.version < version => WriteOutcome::Inconclusive,
        Ok(PlatformReply::Object(object)) if object.value == value => {
            WriteOutcome::Written { version: object.version }
        }
        Ok(PlatformReply::Object(object)) => WriteOutcome::Superseded { version: object.version },
        Err(PlatformError::NotFound) => WriteOutcome::Superseded { version: 0 },
        _ => WriteOutcome::Inconclusive,
    }
}
