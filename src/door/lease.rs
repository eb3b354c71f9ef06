use std::sync::Arc;

use crate::door::door::Door;
use crate::routing::ReplicaPick;

/// a request that counts as under way at a replica until this is dropped.
pub(super) struct Lease {
    door: Arc<Door>,
    pub pick: ReplicaPick,
}

impl Lease {
    pub fn new(door: &Arc<Door>, pick: ReplicaPick) -> Self {
        Self { door: Arc::clone(door), pick }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.door.replicas().release(self.pick.key);
    }
}
