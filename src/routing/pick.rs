use std::time::Duration;

use crate::rendezvous;
use crate::routing::replica_table::Replica;

/// load of other doors, as a share of the slots, from which on a replica is skipped: as many requests wait as
/// run.
///
/// Reported loads are too old to rank replicas by, but a queue of that length outlasts a report.
const OVERLOADED_SHARE: f64 = 2.0;
/// load, as a share of the slots, up to which a replica keeps all its programs: no request waits for a slot
/// below it.
const KEEP_ALL_SHARE: f64 = 1.0;
/// multiple of the service's mean load up to which a replica keeps all its programs when the whole service is
/// busy.
const KEEP_ALL_OVER_MEAN: f64 = 1.25;
/// width of the band above that limit, as a multiple of it, within which only part of the programs move away.
/// Doors all act on the same old reports and would otherwise empty a replica at once.
const KEEP_SPREAD: f64 = 1.0;

/// what a replica is chosen by.
#[derive(Clone, Copy, Debug)]
pub struct PickCriteria<'a> {
    /// service that runs the request.
    pub service: &'a str,
    /// version of the software that must run it; `None` for any.
    pub version: Option<&'a str>,
    /// availability zone of the door.
    pub zone: &'a str,
    /// preference among the replicas of the service.
    pub affinity: Affinity<'a>,
    /// how long the request may wait for a limited replica rather than go to a busy one.
    pub max_wait: Duration,
    /// whether the request has waited already, so that it counts as demand no more.
    pub has_waited: bool,
}

/// which earlier requests make a replica faster for this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Affinity<'a> {
    /// none: all replicas are equally fast.
    None,
    /// requests with the same key are faster on the same replica.
    Key(&'a str),
    /// a turn of a program hits the prompt cache of the replica that ran the previous turn.
    Program {
        /// id of that replica; `None` for the first turn.
        home: Option<&'a str>,
    },
}

/// the best of the usable replicas; `random` breaks ties and varies the load at which programs move.
///
/// Replicas are ranked by this door's own requests, as only those are counted without delay. Loads of other
/// doors are as old as a request is long: if every door ranked by them, all would send to the same few
/// replicas until the next report.
pub(super) fn best<'a>(
    criteria: &PickCriteria<'_>,
    random: u64,
    candidates: &[&'a Replica],
) -> Option<&'a Replica> {
    if let Some(home) = kept_home(criteria, random, candidates) {
        return Some(home);
    }
    let available = candidates.iter().copied().filter(|replica| replica.remote_load() < OVERLOADED_SHARE);
    let available: Vec<&Replica> = available.collect();
    let candidates = if available.is_empty() { candidates } else { &available };
    let lowest = candidates.iter().map(|replica| replica.local_load()).min_by(f64::total_cmp)?;
    let equal = candidates.iter().copied().filter(|replica| replica.local_load() <= lowest);
    let equal: Vec<&Replica> = equal.collect();
    match criteria.affinity {
        Affinity::Key(key) => rendezvous::first(key, equal.iter(), |replica| &replica.entry.id).copied(),
        Affinity::None => select(random, &in_zone(criteria.zone, &equal)),
        Affinity::Program { .. } => new_home(criteria.zone, random, &equal),
    }
}

/// the home of a program if it keeps the program.
pub(super) fn kept_home<'a>(
    criteria: &PickCriteria<'_>,
    random: u64,
    candidates: &[&'a Replica],
) -> Option<&'a Replica> {
    let Affinity::Program { home: Some(home) } = criteria.affinity else {
        return None;
    };
    let home = candidates.iter().copied().find(|replica| replica.entry.id == home)?;
    (home.load() < keep_limit(random, candidates)).then_some(home)
}

/// whether requests wait for a slot of a replica.
pub(super) fn is_busy(replica: &Replica) -> bool {
    replica.load() >= KEEP_ALL_SHARE
}

/// the candidates for a new home without rate limits, if they have room; `None` if all candidates count.
///
/// A program sends further turns to its home, which a limited replica would not take.
pub(super) fn without_limit<'a>(
    criteria: &PickCriteria<'_>,
    candidates: &[&'a Replica],
    is_limited: impl Fn(&Replica) -> bool,
) -> Option<Vec<&'a Replica>> {
    let Affinity::Program { home } = criteria.affinity else {
        return None;
    };
    if home.is_some_and(|home| candidates.iter().any(|replica| replica.entry.id == home)) {
        return None;
    }
    let spare = candidates.iter().copied();
    let spare: Vec<&Replica> = spare.filter(|replica| !is_limited(replica) && !is_busy(replica)).collect();
    (!spare.is_empty()).then_some(spare)
}

/// load, as a share of the slots, from which on a replica does not keep a program.
fn keep_limit(random: u64, candidates: &[&Replica]) -> f64 {
    let keep_all = KEEP_ALL_SHARE.max(KEEP_ALL_OVER_MEAN * mean_load(candidates));
    keep_all * (1.0 + KEEP_SPREAD * random as f64 / u64::MAX as f64)
}

fn mean_load(candidates: &[&Replica]) -> f64 {
    let loads: f64 = candidates.iter().map(|replica| replica.load()).sum();
    loads / candidates.len().max(1) as f64
}

/// a replica for a program that has none or whose replica is too busy.
///
/// It is in the door's own availability zone, as all prompts of the program go to it, unless its load is
/// above the mean.
fn new_home<'a>(zone: &str, random: u64, replicas: &[&'a Replica]) -> Option<&'a Replica> {
    let near = less_loaded_of_two(random, &in_zone(zone, replicas))?;
    if near.load() <= mean_load(replicas) {
        return Some(near);
    }
    less_loaded_of_two(random, replicas)
}

/// power of two choices: the less loaded of two random replicas.
///
/// That avoids the busiest replicas without sending all doors to the least busy one.
fn less_loaded_of_two<'a>(random: u64, replicas: &[&'a Replica]) -> Option<&'a Replica> {
    let (first, second) = (select(random, replicas)?, select(random >> 32, replicas)?);
    Some(if second.load() < first.load() { second } else { first })
}

/// the replicas in an availability zone, or all if it has none.
fn in_zone<'a>(zone: &str, replicas: &[&'a Replica]) -> Vec<&'a Replica> {
    let near: Vec<&Replica> = replicas.iter().copied().filter(|replica| replica.entry.zone == zone).collect();
    if near.is_empty() { replicas.to_vec() } else { near }
}

fn select<'a>(random: u64, replicas: &[&'a Replica]) -> Option<&'a Replica> {
    replicas.get(random as usize % replicas.len().max(1)).copied()
}
