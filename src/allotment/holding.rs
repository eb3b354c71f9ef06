use std::collections::BTreeMap;

use crate::allotment::ProgramStanding;
use crate::schema::AllotmentGrant;
use crate::schema::AllotmentReturn;

/// time constant of the mean demand: a few batches.
const DEMAND_TIME_MS: f64 = 1_000.0;
/// time for whose demand a door asks at once.
const AHEAD_S: f64 = 0.2;
/// requests a second below which the mean demand is forgotten: that of one request a few time constants ago.
const FORGOTTEN_DEMAND_PER_S: f64 = 0.01;

/// a token that one request uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// ledger node that granted it.
    pub member: String,
    /// start of that node.
    pub start: String,
    /// slot of the grant.
    pub slot: u64,
    /// whether it is for the beginning of a program.
    pub is_start: bool,
}

/// tokens of one grant that are not used yet.
#[derive(Debug)]
struct Lot {
    token: Token,
    count: u32,
    /// until when they are good, exclusively.
    expires_ms: u64,
}

/// when a node may have tokens again.
#[derive(Clone, Copy, Debug, Default)]
struct EmptyUntil {
    turns_ms: u64,
    starts_ms: u64,
}

/// what a door has of one workspace's allotment.
#[derive(Debug, Default)]
pub(super) struct Holding {
    lots: Vec<Lot>,
    /// tokens to give back, by node, with the time until which that counts.
    returns: BTreeMap<String, Vec<(u64, AllotmentReturn)>>,
    empty: BTreeMap<String, EmptyUntil>,
    demand_per_s: f64,
    updated_ms: u64,
}

impl Holding {
    /// counts a request of a program under way.
    pub fn add_demand(&mut self, now_ms: u64) {
        self.demand_per_s = self.demand_at(now_ms) + 1_000.0 / DEMAND_TIME_MS;
        self.updated_ms = now_ms;
    }

    fn demand_at(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.demand_per_s * (-elapsed_ms / DEMAND_TIME_MS).exp()
    }

    /// tokens for requests of programs under way that are expected shortly.
    pub fn ahead(&self, now_ms: u64) -> u32 {
        (self.demand_at(now_ms) * AHEAD_S) as u32
    }

    /// takes a token that is good, the one that lapses first.
    pub fn take(&mut self, now_ms: u64) -> Option<Token> {
        let lots = self.lots.iter_mut().filter(|lot| lot.count > 0 && now_ms < lot.expires_ms);
        let lot = lots.min_by_key(|lot| lot.expires_ms)?;
        lot.count -= 1;
        Some(lot.token.clone())
    }

    /// adds tokens; those that have lapsed already go back.
    pub fn add(&mut self, token: Token, count: u32, expires_ms: u64) {
        if count > 0 {
            self.lots.push(Lot { token, count, expires_ms });
        }
    }

    /// has a token given back until `counts_until_ms`.
    pub fn give_back(&mut self, token: Token, count: u32, counts_until_ms: u64) {
        let starts = token.is_start.then_some(count);
        let unused = AllotmentReturn { start: token.start, slot: token.slot, tokens: count, starts };
        self.returns.entry(token.member).or_default().push((counts_until_ms, unused));
    }

    /// has tokens given back again that a node has not taken.
    pub fn restore_returns(&mut self, member: &str, unused: &[AllotmentReturn], counts_until_ms: u64) {
        if unused.is_empty() {
            return;
        }
        let returns = self.returns.entry(member.to_owned()).or_default();
        returns.extend(unused.iter().map(|unused| (counts_until_ms, unused.clone())));
    }

    /// has lapsed tokens given back, and forgets what no longer counts.
    pub fn expire(&mut self, now_ms: u64, span_ms: u64) {
        let lapsed: Vec<Lot> =
            self.lots.extract_if(.., |lot| lot.count == 0 || now_ms >= lot.expires_ms).collect();
        for lot in lapsed.into_iter().filter(|lot| lot.count > 0) {
            self.give_back(lot.token, lot.count, lot.expires_ms + span_ms);
        }
        for returns in self.returns.values_mut() {
            returns.retain(|(counts_until_ms, _)| now_ms < *counts_until_ms);
        }
        self.returns.retain(|_, returns| !returns.is_empty());
        self.empty.retain(|_, until| now_ms < until.turns_ms.max(until.starts_ms));
    }

    pub fn is_empty(&self, now_ms: u64) -> bool {
        let has_state = !self.lots.is_empty() || !self.returns.is_empty() || !self.empty.is_empty();
        !has_state && self.demand_at(now_ms) < FORGOTTEN_DEMAND_PER_S
    }

    /// nodes to which something goes back.
    pub fn return_members(&self) -> Vec<String> {
        self.returns.keys().cloned().collect()
    }

    /// takes what goes back to a node.
    pub fn take_returns(&mut self, member: &str) -> Vec<AllotmentReturn> {
        let returns = self.returns.remove(member).unwrap_or_default();
        returns.into_iter().map(|(_, unused)| unused).collect()
    }

    /// notes whether a node has run out of tokens of a kind.
    pub fn note(&mut self, now_ms: u64, member: &str, standing: ProgramStanding, grant: &AllotmentGrant) {
        let Some(retry_after_ms) = grant.retry_after_ms else {
            return;
        };
        let until = self.empty.entry(member.to_owned()).or_default();
        let retry_ms = now_ms + retry_after_ms;
        match standing {
            ProgramStanding::New => until.starts_ms = retry_ms,
            ProgramStanding::UnderWay => (until.turns_ms, until.starts_ms) = (retry_ms, retry_ms),
        }
    }

    /// time until a node may have a token; `None` if it may have one now.
    pub fn wait_ms(&self, now_ms: u64, member: &str, standing: ProgramStanding) -> Option<u64> {
        let until = self.empty.get(member)?;
        let until_ms = match standing {
            ProgramStanding::New => until.starts_ms,
            ProgramStanding::UnderWay => until.turns_ms,
        };
        until_ms.checked_sub(now_ms).filter(|wait_ms| *wait_ms > 0)
    }
}
