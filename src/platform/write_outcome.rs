use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformResult;

/// what became of a write whose reply was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// it took effect and still stands at this version.
    Written {
        /// version of the object.
        version: u64,
    },
    /// it had no effect so far; it may still arrive, so only the same write may follow.
    NotSeen,
    /// another write stands in its place.
    Superseded {
        /// version of the object that stands there.
        version: u64,
    },
    /// the read-back tells nothing; read again.
    Inconclusive,
}

/// decides from a read-back made after the break whether a create of `value` took effect.
///
/// The value must hold a mark of its writer that no other write repeats.
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

/// decides from a read-back whether an update of the object at `version` to `value` took effect.
///
/// The value must hold a mark of its writer that no other write repeats.
pub fn update_outcome(value: &[u8], version: u64, read_back: &PlatformResult) -> WriteOutcome {
    match read_back {
        Ok(PlatformReply::Object(object)) if object.version == version => WriteOutcome::NotSeen,
        // An object older than the one updated was read from the past.
        Ok(PlatformReply::Object(object)) if object.version < version => WriteOutcome::Inconclusive,
        Ok(PlatformReply::Object(object)) if object.value == value => {
            WriteOutcome::Written { version: object.version }
        }
        Ok(PlatformReply::Object(object)) => WriteOutcome::Superseded { version: object.version },
        Err(PlatformError::NotFound) => WriteOutcome::Superseded { version: 0 },
        _ => WriteOutcome::Inconclusive,
    }
}
