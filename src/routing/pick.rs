use crate::rendezvous;
use crate::routing::replica_table::Replica;

/// share of a replica's slots by which the preferred replica may be busier than the least busy one.
///
/// A cached prefix saves less work than a whole turn in the queue costs.
const AFFINITY_SLACK: f64 = 0.25;
/// share of a slot that a replica in another zone counts as busier: only ties are decided by the distance.
const ZONE_PENALTY: f64 = 0.02;

/// what a request wants of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// service that runs it.
    pub service: &'a str,
    /// availability zone of the door.
    pub zone: &'a str,
    /// requests with the same key gain from the same replica.
    pub affinity: Option<&'a str>,
}

/// the best replica among those that may be used.
pub(super) fn best<'a>(wanted: &Wanted<'_>, candidates: &[&'a Replica]) -> Option<&'a Replica> {
    let least = candidates.iter().copied().min_by(|left, right| {
        let order = cost(wanted, left).total_cmp(&cost(wanted, right));
        order.then_with(|| left.last_picked.cmp(&right.last_picked))
    })?;
    let Some(key) = wanted.affinity else {
        return Some(least);
    };
    let preferred = rendezvous::first(key, candidates.iter(), |replica| &replica.entry.id)?;
    let affordable = preferred.busy_share() <= least.busy_share() + AFFINITY_SLACK;
    Some(if affordable { preferred } else { least })
}

fn cost(wanted: &Wanted<'_>, replica: &Replica) -> f64 {
    let distance = if replica.entry.zone == wanted.zone { 0.0 } else { ZONE_PENALTY };
    replica.busy_share() + distance
}
