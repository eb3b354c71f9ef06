use crate::rendezvous;
use crate::routing::replica_table::Replica;

/// share of the slots that other doors have under way from which on a replica is left out: as many wait as run.
///
/// Reports are too old to compare replicas by, but a queue of that length outlasts them.
const OVERLOADED_SHARE: f64 = 2.0;
/// share of the slots up to which a replica keeps all its programs: until then nobody waits for a slot.
const KEEP_ALL_SHARE: f64 = 1.0;
/// how far above the mean share of the service a replica keeps all its programs, where all are busier than that.
const KEEP_ALL_OVER_MEAN: f64 = 1.25;
/// how far above the share up to which all programs are kept none is: between the two, only a part of them goes, so
/// that doors that all know the same old reports do not empty a replica at once.
const KEEP_SPREAD: f64 = 1.0;

/// what a request wants of a replica.
#[derive(Clone, Copy, Debug)]
pub struct PickCriteria<'a> {
    /// service that runs it.
    pub service: &'a str,
    /// availability zone of the door.
    pub zone: &'a str,
    /// what makes one replica better than another.
    pub affinity: Affinity<'a>,
}

/// what a request gains from a replica that has handled something before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Affinity<'a> {
    /// nothing.
    None,
    /// requests with the same key are faster at the same replica.
    Key(&'a str),
    /// a turn of a program finds its prompt in the cache of the replica that ran the turn before.
    Program {
        /// that replica; `None` for the first turn.
        home: Option<&'a str>,
    },
}

/// the best replica among those that may be used; `draw` decides between equal ones where nothing else does.
///
/// The requests of this door come first, as only they are known at once. What other doors have under way is as old as
/// a request is long: if all doors compared replicas by it, all would send to the same few until the next report.
pub(super) fn best<'a>(
    wanted: &PickCriteria<'_>,
    draw: u64,
    candidates: &[&'a Replica],
) -> Option<&'a Replica> {
    if let Affinity::Program { home: Some(home) } = wanted.affinity
        && let Some(home) = candidates.iter().find(|replica| replica.entry.id == home)
        && home.share() < keep_limit(draw, candidates)
    {
        return Some(home);
    }
    let bearable = candidates.iter().copied().filter(|replica| replica.others_share() < OVERLOADED_SHARE);
    let bearable: Vec<&Replica> = bearable.collect();
    let candidates = if bearable.is_empty() { candidates } else { &bearable };
    let least = candidates.iter().map(|replica| replica.own_share()).min_by(f64::total_cmp)?;
    let equal = candidates.iter().copied().filter(|replica| replica.own_share() <= least);
    let equal: Vec<&Replica> = equal.collect();
    match wanted.affinity {
        Affinity::Key(key) => rendezvous::first(key, equal.iter(), |replica| &replica.entry.id).copied(),
        Affinity::None => drawn(draw, &near(wanted.zone, &equal)),
        Affinity::Program { .. } => new_home(wanted.zone, draw, &equal),
    }
}

/// the share of its slots from which on a replica does not keep a program.
fn keep_limit(draw: u64, candidates: &[&Replica]) -> f64 {
    let keep_all = KEEP_ALL_SHARE.max(KEEP_ALL_OVER_MEAN * mean_share(candidates));
    keep_all * (1.0 + KEEP_SPREAD * draw as f64 / u64::MAX as f64)
}

fn mean_share(candidates: &[&Replica]) -> f64 {
    let shares: f64 = candidates.iter().map(|replica| replica.share()).sum();
    shares / candidates.len().max(1) as f64
}

/// a replica for a program that has none, or whose one is too busy: one of the own availability zone, as all prompts of
/// the program go to it, unless it is busier than replicas are on the whole.
fn new_home<'a>(zone: &str, draw: u64, replicas: &[&'a Replica]) -> Option<&'a Replica> {
    let near = less_busy(draw, &near(zone, replicas))?;
    if near.share() <= mean_share(replicas) {
        return Some(near);
    }
    less_busy(draw, replicas)
}

/// the less busy one of two that are drawn.
///
/// Two are enough to keep away from the busiest ones, and not so many that all doors meet at the least busy one.
fn less_busy<'a>(draw: u64, replicas: &[&'a Replica]) -> Option<&'a Replica> {
    let (first, second) = (drawn(draw, replicas)?, drawn(draw >> 32, replicas)?);
    Some(if second.share() < first.share() { second } else { first })
}

fn near<'a>(zone: &str, replicas: &[&'a Replica]) -> Vec<&'a Replica> {
    let near: Vec<&Replica> = replicas.iter().copied().filter(|replica| replica.entry.zone == zone).collect();
    if near.is_empty() { replicas.to_vec() } else { near }
}

fn drawn<'a>(draw: u64, replicas: &[&'a Replica]) -> Option<&'a Replica> {
    replicas.get(draw as usize % replicas.len().max(1)).copied()
}
