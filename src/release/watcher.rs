use crate::platform::Change;
use crate::platform::Object;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::release::core::Core;
use crate::release::core::PageUse;
use crate::release::keys;
use crate::release::reader::Reader;

/// how long a watch may stay without a result after its wait, before another is made.
const LOST_WATCH_MS: u64 = 10_000;

/// pause after a reply that held removals only, so that a sweep costs few watches.
const REMOVALS_PAUSE_MS: u64 = 500;

/// watches the platform for releases; one instance in each zone does.
#[derive(Debug)]
pub(super) struct Watcher {
    wait_ms: u64,
    call: Option<(u64, u64)>,
    due_ms: u64,
    failures: u32,
    revision: Option<u64>,
}

impl Watcher {
    pub(super) fn new(wait_ms: u64) -> Self {
        Self { wait_ms, call: None, due_ms: 0, failures: 0, revision: None }
    }

    pub(super) fn tick(&mut self, core: &mut Core, reader: &mut Reader) {
        if let Some((_, since_ms)) = self.call {
            if core.now_ms < since_ms + self.wait_ms + LOST_WATCH_MS {
                return;
            }
            self.call = None;
        }
        if core.now_ms < self.due_ms {
            return;
        }
        if !is_chosen(core) {
            // What happens meanwhile is unknown to a watch that starts again later.
            self.revision = None;
            return;
        }
        self.revision = self.revision.or(reader.revision.take());
        let Some(after_revision) = self.revision else {
            reader.hurry(core);
            return;
        };
        let prefix = keys::RELEASES.to_owned();
        let call = core.call(PlatformRequest::Watch { prefix, after_revision, wait_ms: self.wait_ms });
        self.call = Some((call, core.now_ms));
    }

    pub(super) fn owns(&self, call: u64) -> bool {
        self.call.is_some_and(|(own, _)| own == call)
    }

    pub(super) fn on_result(&mut self, core: &mut Core, reader: &mut Reader, result: PlatformResult) {
        self.call = None;
        match result {
            Ok(PlatformReply::Changes { changes, revision }) => {
                self.failures = 0;
                self.revision = self.revision.max(Some(revision));
                self.on_changes(core, reader, changes);
            }
            Err(PlatformError::Gap) => {
                self.revision = None;
                reader.revision = None;
                reader.hurry(core);
                self.back_off(core);
            }
            Ok(_) | Err(_) => self.back_off(core),
        }
    }

    fn back_off(&mut self, core: &Core) {
        self.due_ms = core.now_ms + core.backoff_ms(self.failures);
        self.failures += 1;
    }

    fn on_changes(&mut self, core: &mut Core, reader: &mut Reader, changes: Vec<Change>) {
        let removals_only = !changes.is_empty() && changes.iter().all(|change| change.value.is_none());
        self.due_ms = core.now_ms + if removals_only { REMOVALS_PAUSE_MS } else { 0 };
        let mut objects = Vec::new();
        for change in changes {
            if let Some(value) = change.value {
                objects.push(Object { key: change.key, version: change.version, value });
            }
        }
        if core.apply_page(&objects) == PageUse::Gap {
            reader.hurry(core);
        }
    }
}

/// the first member of each zone watches; an instance that knows of no members does too.
fn is_chosen(core: &Core) -> bool {
    core.view.is_none() || core.zone.place == Some(0)
}
