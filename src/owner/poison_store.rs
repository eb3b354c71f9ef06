use crate::clock::Now;
use crate::journal::decode;
use crate::journal::encode;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::schema::PoisonHeld;

/// prefix of the keys of held contents.
const POISON_PREFIX: &str = "poison/";

/// objects in one page.
const PAGE_OBJECTS: usize = 500;

/// time between two lists of all held contents; the mesh brings news sooner.
const LIST_MS: u64 = 60_000;

/// wait after a call that failed.
const RETRY_MS: u64 = 1000;

/// deaths from which on a content is kept in the platform.
const KEPT_DEATHS: u32 = 2;

/// what waits for a reply.
#[derive(Clone, Debug)]
enum PoisonStep {
    /// nothing.
    Idle,
    /// a page of the list.
    Listing,
    /// the write of a content, or reading it back.
    Writing(PoisonHeld),
}

/// keeps held contents in the platform; one call is in flight at a time.
#[derive(Debug)]
pub(super) struct PoisonStore {
    step: PoisonStep,
    queue: Vec<(PoisonHeld, Option<u64>)>,
    after_key: String,
    list_at_ms: u64,
    retry_at_ms: u64,
}

impl PoisonStore {
    /// knows nothing yet.
    pub(super) fn new() -> Self {
        Self {
            step: PoisonStep::Idle,
            queue: Vec::new(),
            after_key: String::new(),
            list_at_ms: 0,
            retry_at_ms: 0,
        }
    }

    /// a content is to be kept.
    pub(super) fn keep(&mut self, held: PoisonHeld) {
        if held.deaths >= KEPT_DEATHS {
            self.queue.push((held, None));
        }
    }

    /// the call that is due.
    pub(super) fn poll(&mut self, now: Now) -> Option<PlatformRequest> {
        if !matches!(self.step, PoisonStep::Idle) || now.ms < self.retry_at_ms {
            return None;
        }
        if let Some((held, version)) = self.queue.first().cloned() {
            let key = format!("{POISON_PREFIX}{}", held.digest);
            let value = encode(&held);
            self.step = PoisonStep::Writing(held);
            return Some(match version {
                Some(version) => PlatformRequest::Update { key, value, version },
                None => PlatformRequest::Create { key, value },
            });
        }
        if now.ms < self.list_at_ms {
            return None;
        }
        self.step = PoisonStep::Listing;
        Some(PlatformRequest::List {
            prefix: POISON_PREFIX.to_owned(),
            after: self.after_key.clone(),
            limit: PAGE_OBJECTS,
            with_values: true,
        })
    }

    /// takes a reply; returns contents that the platform holds.
    pub(super) fn reply(
        &mut self,
        now: Now,
        result: PlatformResult,
    ) -> (Vec<PoisonHeld>, Option<PlatformRequest>) {
        let step = std::mem::replace(&mut self.step, PoisonStep::Idle);
        let mut news = Vec::new();
        match (step, result) {
            (PoisonStep::Listing, Ok(PlatformReply::Page { objects, more, .. })) => {
                self.after_key.clear();
                for object in objects {
                    news.extend(decode::<PoisonHeld>(&object.value).ok());
                    self.after_key = object.key;
                }
                if !more {
                    self.after_key.clear();
                    self.list_at_ms = now.ms + LIST_MS;
                }
            }
            (PoisonStep::Writing(_), Ok(PlatformReply::Written { .. })) => {
                self.queue.remove(0);
            }
            (PoisonStep::Writing(held), Err(PlatformError::Conflict)) => {
                let key = format!("{POISON_PREFIX}{}", held.digest);
                self.step = PoisonStep::Writing(held);
                return (news, Some(PlatformRequest::Get { key }));
            }
            (PoisonStep::Writing(held), Ok(PlatformReply::Object(object))) => {
                let kept = decode::<PoisonHeld>(&object.value).ok();
                let newer = kept.is_some_and(|kept| kept.changed_unix_ms >= held.changed_unix_ms);
                if newer {
                    self.queue.remove(0);
                } else if let Some(first) = self.queue.first_mut() {
                    first.1 = Some(object.version);
                }
            }
            _ => self.retry_at_ms = now.ms + RETRY_MS,
        }
        (news, None)
    }
}
