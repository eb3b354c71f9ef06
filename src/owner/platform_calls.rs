use std::collections::BTreeMap;

use crate::owner::OwnerAction;
use crate::ownership::OwnershipCall;
use crate::platform::PlatformRequest;

/// which part of an owner a call to the platform is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// a commit.
    Journal,
    /// ownership of slots.
    Ownership(OwnershipCall),
    /// deletion of an old entry of this incarnation's journal.
    Trim,
    /// contents that are held back.
    Poison,
    /// the search for journals that nobody needs.
    Sweep,
}

/// calls to the platform that are under way.
#[derive(Debug, Default)]
pub(super) struct PlatformCalls {
    last: u64,
    purposes: BTreeMap<u64, Purpose>,
}

impl PlatformCalls {
    /// numbers a call.
    pub(super) fn start(&mut self, purpose: Purpose, request: PlatformRequest) -> OwnerAction {
        self.last += 1;
        self.purposes.insert(self.last, purpose);
        OwnerAction::Platform { call: self.last, request }
    }

    /// finds what a call was for.
    pub(super) fn finish(&mut self, call: u64) -> Option<Purpose> {
        self.purposes.remove(&call)
    }

    /// calls made so far.
    pub(super) fn count(&self) -> u64 {
        self.last
    }
}
