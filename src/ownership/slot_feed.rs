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

/// objects in one page.
const PAGE_OBJECTS: usize = 500;

/// how long one watch waits.
const WATCH_MS: u64 = 20_000;

/// wait after a call that failed.
const RETRY_MS: u64 = 200;

/// one slot object as the platform showed it.
#[derive(Clone, Debug)]
pub(super) struct SlotNews {
    /// slot.
    pub(super) slot: SlotId,
    /// version.
    pub(super) version: u64,
    /// the object; none after a removal.
    pub(super) object: Option<SlotObject>,
}

/// follows all slot objects: one list, then one watch.
#[derive(Debug, Default)]
pub(super) struct SlotFeed {
    after_key: String,
    revision: Option<u64>,
    first_revision: Option<u64>,
    waiting: bool,
    retry_at_ms: u64,
}

impl SlotFeed {
    /// whether the whole list was seen.
    pub(super) fn is_listed(&self) -> bool {
        self.revision.is_some()
    }

    /// the call that is due.
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

    /// takes a reply.
    pub(super) fn reply(&mut self, now: Now, result: PlatformResult) -> Vec<SlotNews> {
        self.waiting = false;
        let mut news = Vec::new();
        match result {
            Ok(PlatformReply::Page { objects, more, revision }) => {
                // Changes during the list are seen by the watch from the revision of its first page.
                let first = *self.first_revision.get_or_insert(revision);
                for object in objects {
                    self.after_key.clone_from(&object.key);
                    push_news(&mut news, &object.key, object.version, Some(&object.value));
                }
                if !more {
                    self.revision = Some(first);
                }
            }
            Ok(PlatformReply::Changes { changes, revision }) => {
                for change in changes {
                    push_news(&mut news, &change.key, change.version, change.value.as_deref());
                }
                self.revision = Some(revision);
            }
            Err(PlatformError::Gap) => *self = Self::default(),
            Err(PlatformError::RateLimited { retry_after_ms }) => self.retry_at_ms = now.ms + retry_after_ms,
            Ok(_) | Err(_) => self.retry_at_ms = now.ms + RETRY_MS,
        }
        news
    }
}

fn push_news(news: &mut Vec<SlotNews>, key: &str, version: u64, value: Option<&[u8]>) {
    let Some(slot) = parse_slot_key(key) else { return };
    let object = match value {
        Some(value) => match decode(value) {
            Ok(object) => Some(object),
            Err(_) => return,
        },
        None => None,
    };
    news.push(SlotNews { slot, version, object });
}
