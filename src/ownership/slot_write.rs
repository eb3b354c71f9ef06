use crate::clock::Now;
use crate::ids::SlotId;
use crate::journal::decode;
use crate::journal::encode;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::schema::SlotObject;

/// first delay before a failed write is retried; doubled with each failure.
const RETRY_MS: u64 = 50;

/// longest delay before a retry, also where the platform asks for more.
const MAX_RETRY_MS: u64 = 1000;

/// key of a slot's object.
pub(super) fn slot_key(slot: SlotId) -> String {
    format!("slot/{:06}", slot.0)
}

/// slot that an object's key names.
pub(super) fn parse_slot_key(key: &str) -> Option<SlotId> {
    key.strip_prefix("slot/")?.parse().ok().map(SlotId)
}

/// purpose of a write of a slot's object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteKind {
    /// this incarnation becomes the owner.
    Claim,
    /// the sources were copied into the owner's journal.
    ClearSources,
    /// another incarnation becomes the owner.
    HandOver,
}

/// a pending write of a slot's object; its content never changes between retries.
#[derive(Clone, Debug)]
pub(super) struct SlotWrite {
    /// purpose.
    pub(super) kind: WriteKind,
    /// the object to write.
    pub(super) object: SlotObject,
    /// version that it replaces; `None` if the object must not exist.
    pub(super) replaces: Option<u64>,
    /// when the next call is due; `u64::MAX` while a reply is pending.
    pub(super) retry_at_ms: u64,
    /// whether to read the object next, to learn if an earlier attempt took effect.
    pub(super) reading: bool,
    /// failed attempts.
    pub(super) failures: u32,
}

/// result of a write.
#[derive(Clone, Debug)]
pub(super) enum WriteOutcome {
    /// not known yet; another call follows.
    Pending,
    /// the write took effect.
    Written {
        /// version of the object.
        version: u64,
    },
    /// the write can no longer take effect: the object differs or is gone.
    Superseded {
        /// version of the object.
        version: u64,
        /// the object; `None` if it is gone or cannot be decoded.
        object: Option<SlotObject>,
    },
}

impl SlotWrite {
    /// a write before its first attempt.
    pub(super) fn new(kind: WriteKind, object: SlotObject, replaces: Option<u64>) -> Self {
        Self { kind, object, replaces, retry_at_ms: 0, reading: false, failures: 0 }
    }

    /// the next call, if one is due.
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

    /// applies a reply.
    ///
    /// After a lost reply the same write is repeated; being conditional on one version, it takes effect
    /// at most once. A conflict may come from an earlier attempt that took effect: the object is read to find
    /// out.
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
                return WriteOutcome::Superseded { version: 0, object: None };
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
        WriteOutcome::Superseded { version, object }
    }
}
