use std::sync::Arc;

use crate::door::content::Content;
use crate::door::door::Door;
use crate::door::request::DoorRequest;
use crate::poison::ReplicaRun;
use crate::routing::ReplicaPick;

/// counts a request as in flight at a replica until it is dropped.
///
/// It also tracks the run: if dropped before its outcome is known, the run is suspected of having ended the
/// replica.
pub(super) struct Lease {
    door: Arc<Door>,
    pub pick: ReplicaPick,
    unresolved: Option<UnresolvedRun>,
}

/// what identifies a run whose outcome is still unknown.
struct UnresolvedRun {
    content: Content,
    request: String,
}

impl Lease {
    pub fn new(door: &Arc<Door>, pick: ReplicaPick, request: &DoorRequest) -> Self {
        let unresolved = UnresolvedRun {
            content: request.content(),
            request: request.caller.id.clone().unwrap_or_default(),
        };
        Self { door: Arc::clone(door), pick, unresolved: Some(unresolved) }
    }

    /// marks the run as harmless: the replica answered, or did not run the request.
    pub fn mark_resolved(&mut self) {
        self.unresolved = None;
    }

    /// probes a replica that broke off its answer; `true` unless it is still alive or the outcome was known.
    pub async fn probe_after_break(&mut self) -> bool {
        // The run stays unresolved during the probe: the caller may disconnect and drop the lease meanwhile.
        let probe = self.door.probe(&self.pick).await;
        match self.take_run() {
            Some(run) => self.door.record_broken_run(run, probe),
            None => false,
        }
    }

    fn take_run(&mut self) -> Option<ReplicaRun> {
        let UnresolvedRun { content, request } = self.unresolved.take()?;
        Some(ReplicaRun {
            content: content.digest(),
            request,
            replica: self.pick.id.clone(),
            started_unix_ms: self.pick.started_unix_ms,
        })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.door.replicas().release(self.pick.key);
        if let Some(run) = self.take_run() {
            self.door.suspect(run);
        }
    }
}
