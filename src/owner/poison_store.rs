use crate::clock::Now;
use crate::journal::decode;
use crate::journal::encode;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::schema::PoisonHeld;

/// key prefix of the stored poison entries.
const POISON_PREFIX: &str = "poison/";

/// page size of a listing, in objects.
const PAGE_OBJECTS: usize = 500;

/// period of listing all stored entries; the mesh reports changes sooner.
const LIST_MS: u64 = 60_000;

/// retry delay after a failed call.
const RETRY_MS: u64 = 1000;

/// replica deaths from which on the entry of a content is stored.
const MIN_STORED_DEATHS: u32 = 2;

/// the call in flight.
#[derive(Clone, Debug)]
enum PoisonStep {
    /// none.
    Idle,
    /// a page of the listing.
    Listing,
    /// a write of an entry, or the read after a conflicting write.
    Writing(PoisonHeld),
}

/// stores poison entries, which count the replica deaths by a content, on the platform; one call at a time.
#[derive(Debug)]
pub(super) struct PoisonStore {
    step: PoisonStep,
    /// entries to write, with the version of the object that each replaces; `None` creates it.
    queue: Vec<(PoisonHeld, Option<u64>)>,
    /// where the listing goes on.
    after_key: String,
    list_at_ms: u64,
    retry_at_ms: u64,
}

impl PoisonStore {
    /// an empty store that lists the platform's entries first.
    pub(super) fn new() -> Self {
        Self {
            step: PoisonStep::Idle,
            queue: Vec::new(),
            after_key: String::new(),
            list_at_ms: 0,
            retry_at_ms: 0,
        }
    }

    /// queues an entry to be written, if it has enough deaths.
    pub(super) fn store(&mut self, held: PoisonHeld) {
        if held.deaths >= MIN_STORED_DEATHS {
            self.queue.push((held, None));
        }
    }

    /// the next call that is due: writes come before the listing.
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

    /// handles a reply; returns the entries of a listing, and a call to make at once.
    pub(super) fn reply(
        &mut self,
        now: Now,
        result: PlatformResult,
    ) -> (Vec<PoisonHeld>, Option<PlatformRequest>) {
        let step = std::mem::replace(&mut self.step, PoisonStep::Idle);
        let mut listed = Vec::new();
        match (step, result) {
            (PoisonStep::Listing, Ok(PlatformReply::Page { objects, more, .. })) => {
                self.after_key.clear();
                for object in objects {
                    listed.extend(decode::<PoisonHeld>(&object.value).ok());
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
                return (listed, Some(PlatformRequest::Get { key }));
            }
            (PoisonStep::Writing(held), Ok(PlatformReply::Object(object))) => {
                let stored = decode::<PoisonHeld>(&object.value).ok();
                let newer = stored.is_some_and(|stored| stored.changed_unix_ms >= held.changed_unix_ms);
                if newer {
                    self.queue.remove(0);
                } else if let Some(first) = self.queue.first_mut() {
                    first.1 = Some(object.version);
                }
            }
            _ => self.retry_at_ms = now.ms + RETRY_MS,
        }
        (listed, None)
    }
}
