use std::sync::Arc;

use flamingo_standins::platform::Store;
use flamingo_standins::platform::StoreError;

use crate::platform::Change;
use crate::platform::Object;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;

/// executes a call on the store of a platform stand-in, without sockets or waiting. The list of instances is
/// empty, and a status is dropped.
pub fn call_store(store: &mut Store, request: &PlatformRequest) -> PlatformResult {
    match request {
        PlatformRequest::Get { key } => store.get(key).map(|stored| PlatformReply::Object(object(stored))),
        PlatformRequest::List { prefix, after, limit, with_values } => {
            let page = store.list(prefix, after, *limit, *with_values);
            let objects = page.objects.into_iter().map(object).collect();
            Ok(PlatformReply::Page { objects, more: page.more, revision: page.revision })
        }
        PlatformRequest::Create { key, value } => {
            store.create(key, value).map(|version| PlatformReply::Written { version })
        }
        PlatformRequest::Update { key, value, version } => {
            store.update(key, value, *version).map(|version| PlatformReply::Written { version })
        }
        PlatformRequest::SetStatus { key, .. } => {
            store.get(key).map(|stored| PlatformReply::Written { version: stored.version })
        }
        PlatformRequest::Delete { key } => store.delete(key).map(|_| PlatformReply::Deleted),
        PlatformRequest::Watch { prefix, after_revision, .. } => {
            let watched = store.watch_after(prefix, *after_revision);
            watched.map(|(changes, revision)| PlatformReply::Changes {
                changes: changes.into_iter().map(change).collect(),
                revision,
            })
        }
        PlatformRequest::Instances => Ok(PlatformReply::Instances(Vec::new())),
    }
    .map_err(error)
}

fn object(stored: flamingo_standins::platform::Object) -> Object {
    Object { key: stored.key, version: stored.version, value: stored.value.to_vec() }
}

fn change(watched: flamingo_standins::platform::Change) -> Change {
    let value = watched.value.map(|value: Arc<[u8]>| value.to_vec());
    Change { key: watched.key, version: watched.version, value }
}

fn error(error: StoreError) -> PlatformError {
    match error {
        StoreError::NotFound => PlatformError::NotFound,
        StoreError::Conflict => PlatformError::Conflict,
        StoreError::Gap => PlatformError::Gap,
        StoreError::TooLarge => PlatformError::Invalid(error.to_string()),
    }
}
