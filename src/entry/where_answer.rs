use serde::Serialize;

use crate::ids::ProgramId;
use crate::instance::Shared;
use crate::member::Member;

/// how long an answer may be kept while the members are steady.
const KEEP_STEADY_MS: u64 = 60_000;

/// how long an answer may be kept just after the members changed.
const KEEP_CHANGING_MS: u64 = 2_000;

/// how long the members must be unchanged to count as steady.
const STEADY_AFTER_MS: u64 = 10_000;

/// most addresses in one answer.
const MAX_ADDRESSES: usize = 8;

/// answer to `where`: addresses for a program, the best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WhereAnswer {
    /// addresses in the order in which a caller should try them.
    pub addresses: Vec<WhereAddress>,
    /// how long the answer may be kept.
    pub keep_ms: u64,
}

/// one address of an answer to `where`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WhereAddress {
    /// name of the instance.
    pub instance: String,
    /// its availability zone.
    pub zone: String,
    /// IP and port of its callers' door.
    pub address: String,
}

impl WhereAnswer {
    /// answers for a program, or for a caller that has none yet.
    pub(crate) fn for_program(shared: &Shared, program: Option<&ProgramId>, zone: Option<&str>) -> Self {
        let view = shared.view.load();
        let key = program
            .map_or_else(String::new, |program| format!("slot/{:06}", program.slot(shared.slot_count).0));
        let mut members = view.ranked(&key);
        // The owner stays first: going there saves a hop whatever its zone.
        let owner = program
            .and_then(|program| shared.slots.load().row(program.slot(shared.slot_count)).owner.clone());
        let rank = |member: &&Member| {
            let is_owner = owner.as_ref() == Some(&member.incarnation);
            let is_near = zone.is_some_and(|zone| zone == member.zone);
            (!is_owner, !is_near)
        };
        members.sort_by_key(rank);
        let mut addresses = Vec::new();
        for member in members.into_iter().take(MAX_ADDRESSES) {
            let address = member.callers.to_string();
            addresses.push(WhereAddress {
                instance: member.name.clone(),
                zone: member.zone.clone(),
                address,
            });
        }
        let steady = shared.now().ms.saturating_sub(view.changed_ms) >= STEADY_AFTER_MS;
        Self { addresses, keep_ms: if steady { KEEP_STEADY_MS } else { KEEP_CHANGING_MS } }
    }
}
