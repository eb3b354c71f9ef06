use crate::routing::Affinity;
use crate::routing::Crossing;
use crate::routing::NoPick;
use crate::routing::PickCriteria;
use crate::routing::ZoneSpill;
use crate::routing::pick;
use crate::routing::replica_table::Replica;

/// the candidates of a request by availability zone, in the order in which they are asked for.
#[derive(Debug)]
pub(super) struct ZonePlan<'a> {
    first: Vec<&'a Replica>,
    /// asked for when limits leave the first ones no request.
    rest: Vec<&'a Replica>,
    /// why the request leaves if one of the first does not belong to the zone; `None` if zones have no price.
    pub reason: Option<Crossing>,
}

impl<'a> ZonePlan<'a> {
    /// the plan for a request; without a spill state all candidates are alike.
    pub fn new(
        spill: Option<&ZoneSpill>,
        criteria: &PickCriteria<'_>,
        random: u64,
        candidates: Vec<&'a Replica>,
    ) -> Self {
        let Some(spill) = spill else {
            return Self { first: candidates, rest: Vec::new(), reason: None };
        };
        let reason = match criteria.affinity {
            Affinity::Key(_) => Crossing::Key,
            _ if pick::kept_home(criteria, random, &candidates).is_some() => Crossing::Home,
            // The low bits of the random number choose the replica.
            _ => match spill.leaves_for(criteria.service, random.swap_bytes()) {
                Some(zone) => return Self::split(zone, Crossing::Spill, candidates),
                None => return Self::split(criteria.zone, Crossing::NoReplica, candidates),
            },
        };
        Self { first: candidates, rest: Vec::new(), reason: Some(reason) }
    }

    /// the candidates of a zone first, or all alike if it has none.
    fn split(zone: &str, reason: Crossing, candidates: Vec<&'a Replica>) -> Self {
        let (first, rest): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|replica| replica.entry.zone == zone);
        if first.is_empty() {
            return Self { first: rest, rest: first, reason: Some(Crossing::NoReplica) };
        }
        Self { first, rest, reason: Some(reason) }
    }

    /// the choice among the first candidates, or among the rest if those are limited; and whether it is one of
    /// the first.
    pub fn choose(
        self,
        mut choose: impl FnMut(Vec<&'a Replica>) -> Result<String, NoPick>,
    ) -> Result<(String, bool), NoPick> {
        match choose(self.first) {
            Err(NoPick::Limited { retry_after }) if !self.rest.is_empty() => match choose(self.rest) {
                Ok(id) => Ok((id, false)),
                Err(no_pick) => Err(no_pick.or_after(Some(retry_after))),
            },
            result => result.map(|id| (id, true)),
        }
    }
}
