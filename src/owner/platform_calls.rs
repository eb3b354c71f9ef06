use std::collections::BTreeMap;

use crate::owner::OwnerAction;
use crate::ownership::OwnershipCall;
use crate::platform::PlatformRequest;

/// the part of an owner that handles the result of a platform call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// a commit, or a fence.
    Journal,
    /// slot ownership.
    Ownership(OwnershipCall),
    /// deletion of the oldest entry of the own journal.
    Trim,
    /// stored poison entries.
    Poison,
    /// the sweep of journals that no slot needs.
    Sweep,
}

/// platform calls in flight.
#[derive(Debug, Default)]
pub(super) struct PlatformCalls {
    last_id: u64,
    purposes: BTreeMap<u64, Purpose>,
}

impl PlatformCalls {
    /// assigns an identifier to a call.
    pub(super) fn start(&mut self, purpose: Purpose, request: PlatformRequest) -> OwnerAction {
        self.last_id += 1;
        self.purposes.insert(self.last_id, purpose);
        OwnerAction::Platform { call: self.last_id, request }
    }

    /// removes a completed call; `None` if it is unknown.
    pub(super) fn finish(&mut self, call: u64) -> Option<Purpose> {
        self.purposes.remove(&call)
    }

    /// calls started so far.
    pub(super) fn count(&self) -> u64 {
        self.last_id
    }
}
