use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt;
use std::ops::Bound;
use std::sync::Arc;

/// the longest value that an object holds.
pub const MAX_VALUE_BYTES: usize = 1_048_576;
/// most objects in one page of a list.
pub const MAX_PAGE_OBJECTS: usize = 500;
/// most bytes of values in one page of a list.
pub const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;
/// changes kept for watches.
const DEFAULT_LOG_CHANGES: usize = 4_096;
/// bytes of changes kept for watches.
const MAX_LOG_BYTES: usize = 64 * 1024 * 1024;

/// one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// key.
    pub key: String,
    /// revision of its last write.
    pub version: u64,
    /// value.
    pub value: Arc<[u8]>,
}

/// one change, as a watch reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// key.
    pub key: String,
    /// revision of the change.
    pub version: u64,
    /// new value; `None` after a removal.
    pub value: Option<Arc<[u8]>>,
}

/// one page of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// objects in the order of their keys.
    pub objects: Vec<Object>,
    /// whether more follow after the last key.
    pub more: bool,
    /// revision of the store that the page shows.
    pub revision: u64,
}

/// why the store refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// no such object.
    NotFound,
    /// the object exists, or has another version.
    Conflict,
    /// the changes asked for are no longer kept.
    Gap,
    /// the value is longer than an object may be.
    TooLarge,
}

impl fmt::Display for StoreError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::NotFound => "no such object",
            Self::Conflict => "the object exists or has another version",
            Self::Gap => "the changes asked for are no longer kept",
            Self::TooLarge => "the value is longer than 1 MiB",
        })
    }
}

impl std::error::Error for StoreError {}

#[derive(Clone, Debug)]
struct Stored {
    version: u64,
    value: Arc<[u8]>,
}

#[derive(Clone, Debug)]
struct Logged {
    change: Change,
    before: Option<Stored>,
}

impl Logged {
    fn size_bytes(&self) -> usize {
        let after = self.change.value.as_ref().map_or(0, |value| value.len());
        let before = self.before.as_ref().map_or(0, |stored| stored.value.len());
        self.change.key.len() + after + before
    }
}

/// objects under one revision, with a bounded log of changes; it reads no clock and opens no socket.
#[derive(Clone, Debug)]
pub struct Store {
    objects: BTreeMap<String, Stored>,
    revision: u64,
    log: VecDeque<Logged>,
    log_bytes: usize,
    max_log_changes: usize,
    /// watches from an older revision have a gap.
    compacted_revision: u64,
}

impl Default for Store {
    fn default() -> Self {
        Self::new(DEFAULT_LOG_CHANGES)
    }
}

impl Store {
    /// builds an empty store that keeps at most `max_log_changes` changes.
    pub fn new(max_log_changes: usize) -> Self {
        Self {
            objects: BTreeMap::new(),
            revision: 0,
            log: VecDeque::new(),
            log_bytes: 0,
            max_log_changes,
            compacted_revision: 0,
        }
    }

    /// the revision of the last write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// number of objects.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// whether there is no object.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// reads one object.
    pub fn get(&self, key: &str) -> Result<Object, StoreError> {
        let stored = self.objects.get(key).ok_or(StoreError::NotFound)?;
        Ok(object(key, stored))
    }

    /// reads one object as it was at `revision`, or at the oldest revision still known.
    pub fn get_at(&self, key: &str, revision: u64) -> Result<Object, StoreError> {
        for logged in self.log.iter().filter(|logged| logged.change.version > revision) {
            if logged.change.key == key {
                let stored = logged.before.as_ref().ok_or(StoreError::NotFound)?;
                return Ok(object(key, stored));
            }
        }
        self.get(key)
    }

    /// reads the objects below `prefix` whose keys are greater than `after`.
    pub fn list(&self, prefix: &str, after: &str, limit: usize, with_values: bool) -> Page {
        let start = if after > prefix { after } else { prefix };
        let mut page = Page { objects: Vec::new(), more: false, revision: self.revision };
        let mut page_bytes = 0;
        for (key, stored) in self.objects.range::<str, _>((Bound::Included(start), Bound::Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= after {
                continue;
            }
            let value_bytes = if with_values { stored.value.len() } else { 0 };
            let full = page.objects.len() >= limit.clamp(1, MAX_PAGE_OBJECTS);
            if full || (!page.objects.is_empty() && page_bytes + value_bytes > MAX_PAGE_BYTES) {
                page.more = true;
                break;
            }
            page_bytes += value_bytes;
            let mut object = object(key, stored);
            if !with_values {
                object.value = Arc::from([]);
            }
            page.objects.push(object);
        }
        page
    }

    /// lists as it would have been at `revision`, or at the oldest revision still known.
    pub fn list_at(&self, prefix: &str, after: &str, limit: usize, with_values: bool, revision: u64) -> Page {
        let mut past = Self::new(0);
        past.objects = self.objects.clone();
        past.revision = revision.clamp(self.compacted_revision, self.revision);
        for logged in self.log.iter().rev().take_while(|logged| logged.change.version > revision) {
            match &logged.before {
                Some(stored) => past.objects.insert(logged.change.key.clone(), stored.clone()),
                None => past.objects.remove(&logged.change.key),
            };
        }
        past.list(prefix, after, limit, with_values)
    }

    /// makes an object that must not exist, and returns its version.
    pub fn create(&mut self, key: &str, value: &[u8]) -> Result<u64, StoreError> {
        check_size(value)?;
        if self.objects.contains_key(key) {
            return Err(StoreError::Conflict);
        }
        Ok(self.write(key, Some(value)))
    }

    /// replaces an object that must have `version`, and returns its new version.
    pub fn update(&mut self, key: &str, value: &[u8], version: u64) -> Result<u64, StoreError> {
        check_size(value)?;
        let stored = self.objects.get(key).ok_or(StoreError::NotFound)?;
        if stored.version != version {
            return Err(StoreError::Conflict);
        }
        Ok(self.write(key, Some(value)))
    }

    /// removes an object, and returns the revision of the removal.
    pub fn delete(&mut self, key: &str) -> Result<u64, StoreError> {
        if !self.objects.contains_key(key) {
            return Err(StoreError::NotFound);
        }
        Ok(self.write(key, None))
    }

    /// the changes below `prefix` after `revision`, and the revision to ask from next.
    pub fn watch_after(&self, prefix: &str, revision: u64) -> Result<(Vec<Change>, u64), StoreError> {
        if revision < self.compacted_revision {
            return Err(StoreError::Gap);
        }
        let mut changes = Vec::new();
        let mut page_bytes = 0;
        let first = self.log.partition_point(|logged| logged.change.version <= revision);
        for logged in self.log.range(first..) {
            if !logged.change.key.starts_with(prefix) {
                continue;
            }
            page_bytes += logged.change.value.as_ref().map_or(0, |value| value.len());
            let full = changes.len() >= MAX_PAGE_OBJECTS;
            if full || (!changes.is_empty() && page_bytes > MAX_PAGE_BYTES) {
                return Ok((changes, logged.change.version - 1));
            }
            changes.push(logged.change.clone());
        }
        Ok((changes, self.revision.max(revision)))
    }

    /// forgets the log, so that every watch from an older revision has a gap.
    pub fn compact(&mut self) {
        self.log.clear();
        self.log_bytes = 0;
        self.compacted_revision = self.revision;
    }

    fn write(&mut self, key: &str, value: Option<&[u8]>) -> u64 {
        self.revision += 1;
        let version = self.revision;
        let value: Option<Arc<[u8]>> = value.map(Arc::from);
        let before = match &value {
            Some(value) => {
                let stored = Stored { version, value: Arc::clone(value) };
                self.objects.insert(key.to_owned(), stored)
            }
            None => self.objects.remove(key),
        };
        self.log_change(Logged { change: Change { key: key.to_owned(), version, value }, before });
        version
    }

    fn log_change(&mut self, logged: Logged) {
        self.log_bytes += logged.size_bytes();
        self.log.push_back(logged);
        while self.log.len() > self.max_log_changes || self.log_bytes > MAX_LOG_BYTES {
            let Some(oldest) = self.log.pop_front() else {
                return;
            };
            self.log_bytes -= oldest.size_bytes();
            self.compacted_revision = oldest.change.version;
        }
    }
}

fn object(key: &str, stored: &Stored) -> Object {
    Object { key: key.to_owned(), version: stored.version, value: Arc::clone(&stored.value) }
}

fn check_size(value: &[u8]) -> Result<(), StoreError> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(StoreError::TooLarge);
    }
    Ok(())
}
