//! an in-memory platform with faults that a test switches on and off.

use std::collections::BTreeMap;

use flamingostand::platform::Change;
use flamingostand::platform::Object;
use flamingostand::platform::PlatformError;
use flamingostand::platform::PlatformReply;
use flamingostand::platform::PlatformRequest;
use flamingostand::platform::PlatformResult;

/// changes that a watch can go back to.
const KEPT_CHANGES: usize = 400;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// refuses every call.
    Down,
    /// writes take effect, and their replies are lost.
    Deaf,
    /// the next write takes effect, its reply is lost, and the platform is down from then on.
    LastWrite,
    /// reads are answered from the moment when this mode began.
    Stale,
}

#[derive(Debug)]
pub struct Store {
    pub mode: Mode,
    pub objects: BTreeMap<String, (u64, Vec<u8>)>,
    past: BTreeMap<String, (u64, Vec<u8>)>,
    past_revision: u64,
    pub revision: u64,
    changes: Vec<Change>,
    pub calls: BTreeMap<&'static str, u64>,
    /// every release object in the order of its creation.
    pub created: Vec<(String, Vec<u8>)>,
}

impl Store {
    pub fn new() -> Self {
        Self {
            mode: Mode::Up,
            objects: BTreeMap::new(),
            past: BTreeMap::new(),
            past_revision: 0,
            revision: 0,
            changes: Vec::new(),
            calls: BTreeMap::new(),
            created: Vec::new(),
        }
    }

    pub fn switch(&mut self, mode: Mode) {
        if mode == Mode::Stale {
            self.past = self.objects.clone();
            self.past_revision = self.revision;
        }
        self.mode = mode;
    }

    /// makes watches start anew.
    pub fn forget_changes(&mut self) {
        self.changes.clear();
    }

    pub fn count(&mut self, request: &PlatformRequest) {
        *self.calls.entry(request.kind()).or_default() += 1;
    }

    /// answers a call; `None` leaves a watch waiting.
    pub fn answer(&mut self, request: &PlatformRequest, waited: bool) -> Option<PlatformResult> {
        if self.mode == Mode::Down {
            return Some(Err(PlatformError::Unavailable));
        }
        let stale = self.mode == Mode::Stale;
        let (objects, revision) =
            if stale { (&self.past, self.past_revision) } else { (&self.objects, self.revision) };
        Some(match request {
            PlatformRequest::SetStatus { .. } => Err(PlatformError::NotFound),
            PlatformRequest::Get { key } => match objects.get(key) {
                Some((version, value)) => Ok(PlatformReply::Object(Object {
                    key: key.clone(),
                    version: *version,
                    value: value.clone(),
                })),
                None => Err(PlatformError::NotFound),
            },
            PlatformRequest::List { prefix, after, limit, with_values } => {
                let mut page = Vec::new();
                let mut more = false;
                for (key, (version, value)) in objects.range(prefix.clone()..) {
                    if !key.starts_with(prefix.as_str()) {
                        break;
                    }
                    if key <= after {
                        continue;
                    }
                    if page.len() == *limit {
                        more = true;
                        break;
                    }
                    let value = if *with_values { value.clone() } else { Vec::new() };
                    page.push(Object { key: key.clone(), version: *version, value });
                }
                Ok(PlatformReply::Page { objects: page, more, revision })
            }
            PlatformRequest::Create { key, value } => {
                if self.objects.contains_key(key) {
                    return Some(Err(PlatformError::Conflict));
                }
                let version = self.write(key, Some(value.clone()));
                if key.starts_with("release/") {
                    self.created.push((key.clone(), value.clone()));
                }
                self.reply(Ok(PlatformReply::Written { version }))
            }
            PlatformRequest::Delete { key } => {
                if !self.objects.contains_key(key) {
                    return Some(Err(PlatformError::NotFound));
                }
                self.write(key, None);
                self.reply(Ok(PlatformReply::Deleted))
            }
            PlatformRequest::Watch { prefix, after_revision, .. } => {
                if stale {
                    return waited.then(|| {
                        Ok(PlatformReply::Changes { changes: Vec::new(), revision: self.past_revision })
                    });
                }
                let oldest = self.changes.first().map_or(self.revision + 1, |change| change.version);
                if after_revision + 1 < oldest {
                    return Some(Err(PlatformError::Gap));
                }
                let changes: Vec<Change> = self
                    .changes
                    .iter()
                    .filter(|change| {
                        change.version > *after_revision && change.key.starts_with(prefix.as_str())
                    })
                    .cloned()
                    .collect();
                if changes.is_empty() && !waited {
                    return None;
                }
                Ok(PlatformReply::Changes { changes, revision: self.revision })
            }
            PlatformRequest::Update { .. } | PlatformRequest::Instances => {
                Err(PlatformError::Invalid("releases make no such call".to_owned()))
            }
        })
    }

    fn reply(&mut self, result: PlatformResult) -> PlatformResult {
        if self.mode == Mode::LastWrite {
            self.mode = Mode::Down;
            return Err(PlatformError::Unknown);
        }
        if self.mode == Mode::Deaf { Err(PlatformError::Unknown) } else { result }
    }

    fn write(&mut self, key: &str, value: Option<Vec<u8>>) -> u64 {
        self.revision += 1;
        let version = self.revision;
        match &value {
            Some(value) => self.objects.insert(key.to_owned(), (version, value.clone())),
            None => self.objects.remove(key),
        };
        self.changes.push(Change { key: key.to_owned(), version, value });
        if self.changes.len() > KEPT_CHANGES {
            self.changes.remove(0);
        }
        version
    }
}
