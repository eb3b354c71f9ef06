use crate::clock::Now;
use crate::ids::SlotId;
use crate::journal::decode;
use crate::journal::encode;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::schema::SlotObject;

/// wait before a write that the platform did not take is tried again.
const RETRY_MS: u64 = 50;

/// longest wait before a write is tried again.
const MAX_RETRY_MS: u64 = 1000;

/// key of a slot's object.
pub(super) fn slot_key(slot: SlotId) -> String {
    format!("slot/{:06}", slot.0)
}

/// slot of an object's key.
pub(super) fn parse_slot_key(key: &str) -> Option<SlotId> {
    key.strip_prefix("slot/")?.parse().ok().map(SlotId)
}

/// why a slot's object is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteKind {
    /// the slot becomes ours.
    Claim,
    /// its sources are copied.
    Clear,
    /// the slot becomes another's.
    Give,
}

/// one write of a slot's object until it is settled; its content never changes.
#[derive(Clone, Debug)]
pub(super) struct SlotWrite {
    /// why.
    pub(super) kind: WriteKind,
    /// the object to write.
    pub(super) object: SlotObject,
    /// version that it replaces; none when it must not exist.
    pub(super) replaces: Option<u64>,
    /// when the next step is due; the far future while a reply is awaited.
    pub(super) retry_at_ms: u64,
    /// whether the object is to be read back.
    pub(super) reading: bool,
    /// attempts that failed.
    pub(super) failures: u32,
}

/// what became of a write.
#[derive(Clone, Debug)]
pub(super) enum WriteOutcome {
    /// it is not settled.
    Pending,
    /// it took effect.
    Written {
        /// version of the object.
        version: u64,
    },
    /// it had no effect and never will: the object is another one.
    Lost {
        /// version of the object.
        version: u64,
        /// the object.
        object: Option<SlotObject>,
    },
}

impl SlotWrite {
    /// a write that was not tried yet.
    pub(super) fn new(kind: WriteKind, object: SlotObject, replaces: Option<u64>) -> Self {
        Self { kind, object, replaces, retry_at_ms: 0, reading: false, failures: 0 }
    }

    /// the call that is due.
    pub(super) fn poll(&mut self, now: Now, slot: SlotId) -> Option<PlatformRequest> {
        if now.ms < self.retry_at_ms {
            return None;
        }
        self.retry_at_ms = u64::MAX;
        let key = slot_key(slot);
        if self.reading {
            return Some(PlatformRequest::Get { key });
        }
        let value = encode(&self.object);
        Some(match self.replaces {
            Some(version) => PlatformRequest::Update { key, value, version },
            None => PlatformRequest::Create { key, value },
        })
    }

    /// takes a reply.
    ///
    /// A lost reply leads to the same write again: with the same version it takes effect at most once.
    pub(super) fn reply(&mut self, now: Now, result: &PlatformResult) -> WriteOutcome {
        match result {
            Ok(PlatformReply::Written { version }) => return WriteOutcome::Written { version: *version },
            Ok(PlatformReply::Object(object)) => return self.read_back(object.version, &object.value),
            Err(PlatformError::Conflict) => {
                self.reading = true;
                self.retry_at_ms = now.ms;
            }
            Err(PlatformError::RateLimited { retry_after_ms }) => {
                self.retry_at_ms = now.ms + (*retry_after_ms).min(MAX_RETRY_MS);
            }
            Err(PlatformError::NotFound) if self.replaces.is_some() => {
                return WriteOutcome::Lost { version: 0, object: None };
            }
            _ => {
                self.retry_at_ms = now.ms + (RETRY_MS << self.failures.min(6)).min(MAX_RETRY_MS);
                self.failures += 1;
            }
        }
        WriteOutcome::Pending
    }

    fn read_back(&self, version: u64, value: &[u8]) -> WriteOutcome {
        let object: Option<SlotObject> = decode(value).ok();
        if object.as_ref() == Some(&self.object) {
            return WriteOutcome::Written { version };
        }
        WriteOutcome::Lost { version, object }
    }
}
