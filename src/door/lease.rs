use std::sync::Arc;

use crate::door::content::Content;
use crate::door::door::Door;
use crate::door::request::DoorRequest;
use crate::poison::ReplicaRun;
use crate::routing::ReplicaPick;

/// a request that counts as under way at a replica until this is dropped.
///
/// It is also a watch over the run: as long as nobody says how the run went, the replica may have ended under it.
pub(super) struct Lease {
    door: Arc<Door>,
    pub pick: ReplicaPick,
    watched: Option<Watched>,
}

/// what a run may turn out to have done.
struct Watched {
    content: Content,
    request: String,
}

impl Lease {
    pub fn new(door: &Arc<Door>, pick: ReplicaPick, request: &DoorRequest) -> Self {
        let watched =
            Watched { content: request.content(), request: request.caller.id.clone().unwrap_or_default() };
        Self { door: Arc::clone(door), pick, watched: Some(watched) }
    }

    /// the replica has answered, or has not run the request.
    pub fn settle(&mut self) {
        self.watched = None;
    }

    /// the replica broke its answer off; finds out whether it has ended, and tells.
    pub async fn broke(&mut self) -> bool {
        // Until it is known, the run stays watched: the caller may leave meanwhile.
        let probe = self.door.probe(&self.pick).await;
        match self.take_run() {
            Some(run) => self.door.take_broken(run, probe),
            None => false,
        }
    }

    fn take_run(&mut self) -> Option<ReplicaRun> {
        let Watched { content, request } = self.watched.take()?;
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
