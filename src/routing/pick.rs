use crate::rendezvous;
use crate::routing::replica_table::Replica;

/// share of the slots that other doors have under way from which on a replica is left out: as many wait as run.
///
/// Reports are too old to compare replicas by, but a queue of that length outlasts them.
const OVERLOADED_SHARE: f64 = 2.0;

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

/// the best replica among those that may be used; `draw` decides between equal ones where nothing else does.
///
/// The requests of this door come first, as only they are known at once. What other doors have under way is as old as
/// a request is long: if all doors compared replicas by it, all would send to the same few until the next report.
pub(super) fn best<'a>(wanted: &Wanted<'_>, draw: u64, candidates: &[&'a Replica]) -> Option<&'a Replica> {
    let bearable = candidates.iter().copied().filter(|replica| replica.others_share() < OVERLOADED_SHARE);
    let bearable: Vec<&Replica> = bearable.collect();
    let candidates = if bearable.is_empty() { candidates } else { &bearable };
    let least = candidates.iter().map(|replica| replica.own_share()).min_by(f64::total_cmp)?;
    let equal = candidates.iter().copied().filter(|replica| replica.own_share() <= least);
    let Some(key) = wanted.affinity else {
        let is_near = |replica: &&Replica| replica.entry.zone == wanted.zone;
        let near: Vec<&Replica> = equal.clone().filter(is_near).collect();
        let equal = if near.is_empty() { equal.collect() } else { near };
        return equal.get(draw as usize % equal.len().max(1)).copied();
    };
    let equal: Vec<&Replica> = equal.collect();
    rendezvous::first(key, equal.iter(), |replica| &replica.entry.id).copied()
}
