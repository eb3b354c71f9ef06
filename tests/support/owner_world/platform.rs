use std::collections::BTreeMap;

use flamingostand::platform::Change;
use flamingostand::platform::Object;
use flamingostand::platform::PlatformError;
use flamingostand::platform::PlatformReply;
use flamingostand::platform::PlatformRequest;
use flamingostand::platform::PlatformResult;

/// bytes of values after which a page ends.
const PAGE_BYTES: usize = 4_000_000;

/// in-memory object API of the platform, with one revision counter for all keys.
#[derive(Default)]
pub struct FakePlatform {
    pub objects: BTreeMap<String, (u64, Vec<u8>)>,
    pub revision: u64,
    pub log: Vec<Change>,
    pub calls: BTreeMap<&'static str, u64>,
}

impl FakePlatform {
    /// applies one call; a watch without changes replies at once, with none.
    pub fn call(&mut self, request: &PlatformRequest) -> PlatformResult {
        *self.calls.entry(request.kind()).or_default() += 1;
        match request {
            PlatformRequest::Get { key } => {
                let (version, value) = self.objects.get(key).ok_or(PlatformError::NotFound)?;
                Ok(PlatformReply::Object(Object {
                    key: key.clone(),
                    version: *version,
                    value: value.clone(),
                }))
            }
            PlatformRequest::List { prefix, after, limit, with_values } => {
                Ok(self.list(prefix, after, *limit, *with_values))
            }
            PlatformRequest::Create { key, value } => {
                if self.objects.contains_key(key) {
                    return Err(PlatformError::Conflict);
                }
                assert!(value.len() <= 1_048_576, "a value of {} bytes", value.len());
                Ok(self.write(key, Some(value.clone())))
            }
            PlatformRequest::Update { key, value, version } => {
                let (current, _) = self.objects.get(key).ok_or(PlatformError::NotFound)?;
                if current != version {
                    return Err(PlatformError::Conflict);
                }
                Ok(self.write(key, Some(value.clone())))
            }
            PlatformRequest::SetStatus { .. } => Err(PlatformError::NotFound),
            PlatformRequest::Delete { key } => {
                if !self.objects.contains_key(key) {
                    return Err(PlatformError::NotFound);
                }
                self.write(key, None);
                Ok(PlatformReply::Deleted)
            }
            PlatformRequest::Watch { prefix, after_revision, .. } => {
                Ok(self.changes(prefix, *after_revision))
            }
            PlatformRequest::Instances => Ok(PlatformReply::Instances(Vec::new())),
        }
    }

    fn write(&mut self, key: &str, value: Option<Vec<u8>>) -> PlatformReply {
        self.revision += 1;
        let version = self.revision;
        match &value {
            Some(value) => self.objects.insert(key.to_owned(), (version, value.clone())),
            None => self.objects.remove(key),
        };
        if !key.starts_with("journal/") {
            self.log.push(Change { key: key.to_owned(), version, value });
        }
        PlatformReply::Written { version }
    }

    fn list(&self, prefix: &str, after: &str, limit: usize, with_values: bool) -> PlatformReply {
        let mut objects = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, (version, value)) in self.objects.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= after {
                continue;
            }
            if objects.len() == limit || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            bytes += value.len();
            let value = if with_values { value.clone() } else { Vec::new() };
            objects.push(Object { key: key.clone(), version: *version, value });
        }
        PlatformReply::Page { objects, more, revision: self.revision }
    }

    fn changes(&self, prefix: &str, after: u64) -> PlatformReply {
        let changes =
            self.log.iter().filter(|change| change.version > after && change.key.starts_with(prefix));
        PlatformReply::Changes { changes: changes.cloned().collect(), revision: self.revision }
    }
}
