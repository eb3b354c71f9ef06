use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::platform::Object;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::release::codec;
use crate::release::core::Core;
use crate::release::keys;
use crate::release::reader::Reader;
use crate::release::snapshot;

/// releases after which a snapshot is written.
const SNAPSHOT_RELEASES: u64 = 256;

/// complete snapshots that stay; releases above the oldest of them stay too.
const KEPT_SNAPSHOTS: usize = 2;

/// pause between two removals.
const REMOVAL_PAUSE_MS: u64 = 20;

/// objects in one page of keys.
const PAGE_OBJECTS: usize = 500;

/// how long an instance that is not the first waits before it looks again.
const NOT_FIRST_PAUSE_MS: u64 = 1_000;

/// how long a call may stay without a result before the work starts again.
const LOST_CALL_MS: u64 = 30_000;

#[derive(Debug)]
enum Stage {
    /// nothing to do until more releases are accepted.
    Idle,
    /// which snapshots there are.
    Survey,
    /// the parts of a new snapshot, and last its manifest.
    Write { objects: VecDeque<(String, Vec<u8>)>, version: u64 },
    /// what can go.
    Remove { keys: VecDeque<String>, floor: u64 },
    /// which releases are older than the kept snapshots.
    OldReleases { floor: u64 },
}

/// writes snapshots and removes what they replace; the first of all members does.
#[derive(Debug)]
pub(super) struct Compactor {
    stage: Stage,
    call: Option<(u64, u64)>,
    due_ms: u64,
    failures: u32,
}

impl Compactor {
    pub(super) fn new() -> Self {
        Self { stage: Stage::Idle, call: None, due_ms: 0, failures: 0 }
    }

    pub(super) fn tick(&mut self, core: &mut Core, reader: &Reader) {
        if let Some((_, since_ms)) = self.call {
            if core.now_ms < since_ms + LOST_CALL_MS {
                return;
            }
            self.call = None;
            self.stage = Stage::Survey;
        }
        if core.now_ms < self.due_ms {
            return;
        }
        let idle = matches!(self.stage, Stage::Idle);
        if idle && core.version() < reader.snapshot_version + SNAPSHOT_RELEASES {
            return;
        }
        if !reader.loaded || !core.is_first("release-compactor") {
            self.stage = Stage::Idle;
            self.due_ms = core.now_ms + NOT_FIRST_PAUSE_MS;
            return;
        }
        if idle {
            self.stage = Stage::Survey;
        }
        self.issue(core);
    }

    pub(super) fn owns(&self, call: u64) -> bool {
        self.call.is_some_and(|(own, _)| own == call)
    }

    pub(super) fn on_result(&mut self, core: &mut Core, reader: &mut Reader, result: PlatformResult) {
        self.call = None;
        let stage = std::mem::replace(&mut self.stage, Stage::Idle);
        match (stage, result) {
            (Stage::Survey, Ok(PlatformReply::Page { objects, .. })) => {
                self.on_survey(core, reader, &objects);
            }
            // A create that exists already is one whose reply was lost: the writer is part of the key.
            (
                Stage::Write { mut objects, version },
                Ok(PlatformReply::Written { .. }) | Err(PlatformError::Conflict),
            ) => {
                objects.pop_front();
                self.failures = 0;
                self.stage = Stage::Write { objects, version };
                self.after_write(reader);
            }
            (
                Stage::Remove { mut keys, floor },
                Ok(PlatformReply::Deleted) | Err(PlatformError::NotFound),
            ) => {
                keys.pop_front();
                self.failures = 0;
                self.due_ms = core.now_ms + REMOVAL_PAUSE_MS;
                self.stage = Stage::Remove { keys, floor };
            }
            (Stage::OldReleases { floor }, Ok(PlatformReply::Page { objects, .. })) => {
                self.on_old_releases(floor, &objects);
            }
            (stage, _) => {
                self.stage = stage;
                self.due_ms = core.now_ms + core.backoff_ms(self.failures);
                self.failures += 1;
            }
        }
    }

    fn issue(&mut self, core: &mut Core) {
        let request = loop {
            match &self.stage {
                Stage::Idle => return,
                Stage::Survey => break list(keys::SNAPSHOTS),
                Stage::Write { objects, .. } => {
                    let Some((key, value)) = objects.front().cloned() else {
                        return;
                    };
                    break PlatformRequest::Create { key, value };
                }
                Stage::Remove { keys, floor } => match keys.front().cloned() {
                    Some(key) => break PlatformRequest::Delete { key },
                    None => self.stage = Stage::OldReleases { floor: *floor },
                },
                Stage::OldReleases { .. } => break list(keys::RELEASES),
            }
        };
        let call = core.call(request);
        self.call = Some((call, core.now_ms));
    }

    fn on_survey(&mut self, core: &Core, reader: &mut Reader, objects: &[Object]) {
        self.failures = 0;
        let mut complete = BTreeSet::new();
        for object in objects {
            if keys::prefix_of_manifest(&object.key).is_some() {
                complete.extend(keys::snapshot_version(&object.key));
            }
        }
        let newest = complete.last().copied().unwrap_or(0);
        reader.snapshot_version = reader.snapshot_version.max(newest);
        if core.version() >= newest + SNAPSHOT_RELEASES {
            self.stage = write_stage(core);
            return;
        }
        let Some(floor) = complete.iter().rev().nth(KEPT_SNAPSHOTS - 1).copied() else {
            return;
        };
        self.stage = Stage::Remove { keys: old_snapshot_keys(objects, floor), floor };
    }

    /// after its last object a snapshot is complete, and what it replaces can go.
    fn after_write(&mut self, reader: &mut Reader) {
        let Stage::Write { objects, version } = &self.stage else {
            return;
        };
        if objects.is_empty() {
            reader.snapshot_version = reader.snapshot_version.max(*version);
            metrics::counter!("release_snapshots_total").increment(1);
            self.stage = Stage::Survey;
        }
    }

    fn on_old_releases(&mut self, floor: u64, objects: &[Object]) {
        let mut keys = VecDeque::new();
        for object in objects {
            if keys::release_version(&object.key).is_some_and(|version| version <= floor) {
                keys.push_back(object.key.clone());
            }
        }
        if !keys.is_empty() {
            self.stage = Stage::Remove { keys, floor };
        }
    }
}

fn write_stage(core: &Core) -> Stage {
    let version = core.version();
    let prefix = keys::snapshot_prefix(version, core.me.as_str());
    let mut parts = Vec::new();
    for part in snapshot::split(&core.log) {
        parts.push(codec::encode(&part));
    }
    let manifest = codec::encode(&snapshot::manifest(version, &parts));
    let mut objects = VecDeque::new();
    for (index, part) in parts.into_iter().enumerate() {
        objects.push_back((keys::part_key(&prefix, index as u32), part));
    }
    objects.push_back((keys::manifest_key(&prefix), manifest));
    Stage::Write { objects, version }
}

/// keys of snapshots below `floor`, each manifest before its parts, so that none is complete but broken.
fn old_snapshot_keys(objects: &[Object], floor: u64) -> VecDeque<String> {
    let mut manifests = VecDeque::new();
    let mut parts = VecDeque::new();
    for object in objects {
        if keys::snapshot_version(&object.key).is_none_or(|version| version >= floor) {
            continue;
        }
        if keys::prefix_of_manifest(&object.key).is_some() {
            manifests.push_back(object.key.clone());
        } else {
            parts.push_back(object.key.clone());
        }
    }
    manifests.extend(parts);
    manifests
}

fn list(prefix: &str) -> PlatformRequest {
    PlatformRequest::List {
        prefix: prefix.to_owned(),
        after: String::new(),
        limit: PAGE_OBJECTS,
        with_values: false,
    }
}
