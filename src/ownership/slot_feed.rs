use crate::clock::Now;
use crate::ids::SlotId;
use crate::journal::decode;
use crate::ownership::slot_write::parse_slot_key;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::schema::SlotObject;

/// prefix of the keys of slot objects.
const SLOT_PREFIX: &str = "slot/";

/// most objects in one page of the list.
const PAGE_OBJECTS: usize = 500;

/// long-poll timeout of one watch call.
const WATCH_MS: u64 = 20_000;

/// delay before a failed call is repeated.
const RETRY_MS: u64 = 200;

/// a change of one slot object, from the list or the watch.
#[derive(Clone, Debug)]
pub(super) struct SlotUpdate {
    /// slot.
    pub(super) slot: SlotId,
    /// version of the object.
    pub(super) version: u64,
    /// the object; `None` if it was deleted.
    pub(super) object: Option<SlotObject>,
}

/// list-and-watch of all slot objects: pages of a list, then repeated watch calls.
#[derive(Debug, Default)]
pub(super) struct SlotFeed {
    after_key: String,
    revision: Option<u64>,
    first_revision: Option<u64>,
    waiting: bool,
    retry_at_ms: u64,
}

impl SlotFeed {
    /// whether the list is complete.
    pub(super) fn is_listed(&self) -> bool {
        self.revision.is_some()
    }

    /// the next call, if one is due and none is pending.
    pub(super) fn poll(&mut self, now: Now) -> Option<PlatformRequest> {
        if self.waiting || now.ms < self.retry_at_ms {
            return None;
        }
        self.waiting = true;
        let prefix = SLOT_PREFIX.to_owned();
        Some(match self.revision {
            Some(after_revision) => PlatformRequest::Watch { prefix, after_revision, wait_ms: WATCH_MS },
            None => PlatformRequest::List {
                prefix,
                after: self.after_key.clone(),
                limit: PAGE_OBJECTS,
                with_values: true,
            },
        })
    }

    /// applies the reply to a call; a gap in the watch starts again with the list.
    pub(super) fn reply(&mut self, now: Now, result: PlatformResult) -> Vec<SlotUpdate> {
        self.waiting = false;
        let mut updates = Vec::new();
        match result {
            Ok(PlatformReply::Page { objects, more, revision }) => {
                // The watch starts at the revision of the first page, so it covers changes during the list.
                let first = *self.first_revision.get_or_insert(revision);
                for object in objects {
                    self.after_key.clone_from(&object.key);
                    push_update(&mut updates, &object.key, object.version, Some(&object.value));
                }
                if !more {
                    self.revision = Some(first);
                }
            }
            Ok(PlatformReply::Changes { changes, revision }) => {
                for change in changes {
                    push_update(&mut updates, &change.key, change.version, change.value.as_deref());
                }
                self.revision = Some(revision);
            }
            Err(PlatformError::Gap) => *self = Self::default(),
            Err(PlatformError::RateLimited { retry_after_ms }) => self.retry_at_ms = now.ms + retry_after_ms,
            Ok(_) | Err(_) => self.retry_at_ms = now.ms + RETRY_MS,
        }
        updates
    }
}

fn push_update(updates: &mut Vec<SlotUpdate>, key: &str, version: u64, value: Option<&[u8]>) {
    let Some(slot) = parse_slot_key(key) else { return };
    let object = match value {
        Some(value) => match decode(value) {
            Ok(object) => Some(object),
            Err(_) => return,
        },
        None => None,
    };
    updates.push(SlotUpdate { slot, version, object });
}
