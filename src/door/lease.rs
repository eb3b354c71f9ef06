use std::sync::Arc;

use crate::door::connections::ConnectError;
use crate::door::door::Door;
use crate::door::reach_monitor::reaches_others;
use crate::door::request::DoorRequest;
use crate::poison::RunKey;
use crate::routing::ReplicaPick;

/// counts a request as in flight at a replica until it is dropped.
///
/// It also tracks the run: if dropped before its outcome is known, the run is suspected of having ended the
/// replica.
pub(super) struct Lease {
    door: Arc<Door>,
    pub pick: ReplicaPick,
    /// the run while its outcome is unknown.
    run: Option<RunKey>,
}

impl Lease {
    pub fn new(door: &Arc<Door>, pick: ReplicaPick, request: &DoorRequest) -> Self {
        let run = door.begin_run(&pick, request);
        Self { door: Arc::clone(door), pick, run: Some(run) }
    }

    /// marks the run as harmless: the replica answered, or did not run the request.
    pub fn mark_resolved(&mut self) {
        if let Some(run) = self.run.take() {
            self.door.poison().active.remove(run);
        }
    }

    /// records that a part of the answer has arrived.
    pub fn record_progress(&self) {
        self.door.reach.reach().record_sign(self.door.now_ms());
        if let Some(run) = self.run {
            self.door.poison().active.record_progress(self.door.now_ms(), run);
        }
    }

    /// probes a replica that broke off its answer; `true` unless it is still alive or the outcome was known.
    pub async fn probe_after_break(&mut self) -> bool {
        // The run stays unresolved during the probe: the caller may disconnect and drop the lease meanwhile.
        let broke_ms = self.door.now_ms();
        let probe = match self.door.probe(&self.pick).await {
            // A door that is cut off from all replicas may see each of them refuse.
            Err(ConnectError::Refused) if !reaches_others(&self.door, self.pick.address, broke_ms).await => {
                Err(ConnectError::Inconclusive)
            }
            probe => probe,
        };
        match self.run.take() {
            Some(run) => self.door.record_broken_run(run, probe),
            None => false,
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.door.replicas().release(self.pick.key);
        if let Some(run) = self.run.take() {
            self.door.suspect(run, false);
        }
    }
}
