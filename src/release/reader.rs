use crate::platform::Object;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::release::codec;
use crate::release::core::Core;
use crate::release::core::PageUse;
use crate::release::keys;
use crate::release::snapshot::Assembly;
use crate::schema::SnapshotManifest;

/// time between two polls of the platform; the backstop behind watches and peers.
const POLL_MS: u64 = 60_000;

/// how long a call may stay without a result before it is made again.
const LOST_CALL_MS: u64 = 30_000;

/// objects in one page of keys or parts.
const PAGE_OBJECTS: usize = 500;

/// what is read next.
#[derive(Debug)]
enum Stage {
    /// which snapshots there are.
    Snapshots { after: String, newest: Option<String> },
    /// the manifest of a snapshot.
    Manifest { prefix: String },
    /// its parts.
    Parts { prefix: String, after: String, manifest: SnapshotManifest, assembly: Box<Assembly> },
    /// releases after the newest one known here.
    Tail,
}

/// reads snapshots and releases from the platform, one call at a time.
#[derive(Debug)]
pub(super) struct Reader {
    stage: Stage,
    call: Option<(u64, u64)>,
    due_ms: u64,
    failures: u32,
    /// whether all that the platform has was read once since the start.
    pub(super) loaded: bool,
    /// whether the last call failed.
    pub(super) failing: bool,
    /// version of the newest snapshot that was read or written.
    pub(super) snapshot_version: u64,
    /// revision of the platform at the end of the last reading; a watch can start there.
    pub(super) revision: Option<u64>,
}

impl Reader {
    pub(super) fn new() -> Self {
        Self {
            stage: Stage::from_the_start(),
            call: None,
            due_ms: 0,
            failures: 0,
            loaded: false,
            failing: false,
            snapshot_version: 0,
            revision: None,
        }
    }

    pub(super) fn tick(&mut self, core: &mut Core) {
        if let Some((_, since_ms)) = self.call {
            if core.now_ms < since_ms + LOST_CALL_MS {
                return;
            }
            self.call = None;
        }
        if core.now_ms < self.due_ms {
            return;
        }
        let call = match &self.stage {
            Stage::Snapshots { after, .. } => core.call(list(keys::SNAPSHOTS, after, false)),
            Stage::Manifest { prefix } => core.call(PlatformRequest::Get { key: keys::manifest_key(prefix) }),
            Stage::Parts { prefix, after, .. } => core.call(list(prefix, after, true)),
            Stage::Tail => core.call_for_tail(),
        };
        self.call = Some((call, core.now_ms));
    }

    /// reads as soon as failures allow.
    pub(super) fn hurry(&mut self, core: &Core) {
        if self.failures == 0 && self.call.is_none() {
            self.due_ms = core.now_ms;
        }
    }

    /// starts again from the newest snapshot.
    pub(super) fn reload(&mut self, core: &Core) {
        if matches!(self.stage, Stage::Tail) {
            self.stage = Stage::from_the_start();
            self.call = None;
            self.hurry(core);
        }
    }

    pub(super) fn owns(&self, call: u64) -> bool {
        self.call.is_some_and(|(own, _)| own == call)
    }

    pub(super) fn on_result(&mut self, core: &mut Core, result: PlatformResult) {
        self.call = None;
        self.failing = false;
        let stage = std::mem::replace(&mut self.stage, Stage::Tail);
        match (stage, result) {
            (Stage::Snapshots { newest, .. }, Ok(PlatformReply::Page { objects, more, .. })) => {
                self.on_snapshots(core, newest, &objects, more);
            }
            (Stage::Manifest { prefix }, Ok(PlatformReply::Object(object))) => {
                self.on_manifest(core, prefix, &object);
            }
            (
                Stage::Parts { prefix, manifest, assembly, .. },
                Ok(PlatformReply::Page { objects, more, .. }),
            ) => {
                self.on_parts(core, prefix, manifest, assembly, &objects, more);
            }
            (Stage::Tail, Ok(PlatformReply::Page { objects, more, revision })) => {
                self.on_tail(core, &objects, more, revision);
            }
            (Stage::Manifest { .. }, Err(PlatformError::NotFound)) => self.start_again(core),
            (stage, result) => {
                self.stage = stage;
                self.on_failure(core, &result);
            }
        }
    }

    fn on_snapshots(&mut self, core: &Core, newest: Option<String>, objects: &[Object], more: bool) {
        let mut newest = newest;
        for object in objects {
            if let Some(prefix) = keys::prefix_of_manifest(&object.key) {
                newest = Some(prefix.to_owned());
            }
        }
        self.due_ms = core.now_ms;
        if let (true, Some(last)) = (more, objects.last()) {
            self.stage = Stage::Snapshots { after: last.key.clone(), newest };
            return;
        }
        let Some(prefix) = newest else {
            return;
        };
        let version = keys::snapshot_version(&prefix).unwrap_or(0);
        self.snapshot_version = self.snapshot_version.max(version);
        if version > core.version() {
            self.stage = Stage::Manifest { prefix };
        }
    }

    fn on_manifest(&mut self, core: &Core, prefix: String, object: &Object) {
        let Some(manifest) = codec::decode::<SnapshotManifest>(&object.value) else {
            self.start_again(core);
            return;
        };
        self.due_ms = core.now_ms;
        self.stage = Stage::Parts { prefix, after: String::new(), manifest, assembly: Box::default() };
    }

    fn on_parts(
        &mut self,
        core: &mut Core,
        prefix: String,
        manifest: SnapshotManifest,
        mut assembly: Box<Assembly>,
        objects: &[Object],
        more: bool,
    ) {
        let own_manifest = keys::manifest_key(&prefix);
        for object in objects {
            if object.key != own_manifest && !assembly.add_encoded(&object.value) {
                self.start_again(core);
                return;
            }
        }
        self.due_ms = core.now_ms;
        if let (true, Some(last)) = (more, objects.last()) {
            let after = last.key.clone();
            self.stage = Stage::Parts { prefix, after, manifest, assembly };
            return;
        }
        if !assembly.is_complete() || !assembly.matches(&manifest) {
            self.start_again(core);
            return;
        }
        core.install(assembly.into_log());
    }

    fn on_tail(&mut self, core: &mut Core, objects: &[Object], more: bool, revision: u64) {
        if core.apply_page(objects) == PageUse::Gap {
            self.start_again(core);
            return;
        }
        let failures = std::mem::take(&mut self.failures);
        self.due_ms = core.now_ms;
        if more && !objects.is_empty() {
            return;
        }
        self.loaded = true;
        self.revision = Some(revision);
        self.due_ms += POLL_MS / 2 + core.jitter_ms(1, POLL_MS);
        if core.is_behind() {
            // The platform answered from the past.
            self.due_ms = core.now_ms + core.backoff_ms(failures);
            self.failures = failures + 1;
        }
    }

    /// a snapshot vanished or is broken, or releases are missing: looks for the newest snapshot.
    fn start_again(&mut self, core: &Core) {
        self.stage = Stage::from_the_start();
        self.due_ms = core.now_ms + core.backoff_ms(self.failures);
        self.failures += 1;
    }

    fn on_failure(&mut self, core: &Core, result: &PlatformResult) {
        self.failing = true;
        self.due_ms = core.now_ms + core.backoff_ms(self.failures);
        if let Err(PlatformError::RateLimited { retry_after_ms }) = result {
            self.due_ms = self.due_ms.max(core.now_ms + retry_after_ms);
        }
        self.failures += 1;
    }
}

impl Stage {
    fn from_the_start() -> Self {
        Self::Snapshots { after: String::new(), newest: None }
    }
}

fn list(prefix: &str, after: &str, with_values: bool) -> PlatformRequest {
    PlatformRequest::List {
        prefix: prefix.to_owned(),
        after: after.to_owned(),
        limit: PAGE_OBJECTS,
        with_values,
    }
}
