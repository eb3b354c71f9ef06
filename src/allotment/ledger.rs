use std::collections::BTreeMap;

use crate::allotment::AllotmentBounds;
use crate::allotment::AllotmentTerms;
use crate::allotment::account::Account;
use crate::allotment::part::Part;
use crate::schema::AllotmentAsk;
use crate::schema::AllotmentGrant;

/// time in which grants are counted together: short beside a lease.
const SLOT_MS: u64 = 50;
/// longest time that a door is told to wait before it asks again.
const MAX_RETRY_MS: u64 = 10_000;

/// the tokens that one ledger node grants of all allotments.
#[derive(Debug)]
pub struct AllotmentLedger {
    bounds: AllotmentBounds,
    /// id of this process start; slots of different starts are not comparable.
    start: String,
    /// `None` while this node is no member.
    part: Option<Part>,
    accounts: BTreeMap<String, Account>,
}

impl AllotmentLedger {
    /// a ledger without grants, of a node that is no member yet.
    pub fn new(bounds: AllotmentBounds, start: &str) -> Self {
        Self { bounds, start: start.to_owned(), part: None, accounts: BTreeMap::new() }
    }

    /// handles a view of the ledger: the number of members if this node is one.
    pub fn set_members(&mut self, now_ms: u64, member_count: Option<usize>) {
        match (&mut self.part, member_count) {
            (Some(part), Some(count)) => part.set_member_count(now_ms, self.bounds.span_ms(), count),
            (part, count) => *part = count.map(|count| Part::new(now_ms, count)),
        }
    }

    /// takes back what a door did not use, and grants what it asks for as far as there is room.
    pub fn grant(&mut self, now_ms: u64, ask: &AllotmentAsk) -> AllotmentGrant {
        let slot = now_ms / SLOT_MS;
        let mut answer =
            AllotmentGrant { start: self.start.clone(), slot, starts: 0, turns: 0, retry_after_ms: None };
        let Some(part) = self.part else {
            answer.retry_after_ms = Some(self.bounds.lease_ms());
            return answer;
        };
        let terms = AllotmentTerms { version: ask.version, rate_per_s: ask.rate_per_s, burst: ask.burst };
        let account =
            self.accounts.entry(ask.workspace.clone()).or_insert_with(|| Account::new(now_ms, terms));
        account.adopt(terms);
        let span_ms = self.bounds.span_ms();
        let tokens = part.tokens(now_ms, &self.bounds, account.terms());
        let tokens_per_ms = tokens as f64 / span_ms as f64;
        account.advance(now_ms, now_ms.saturating_sub(span_ms) / SLOT_MS, tokens_per_ms);
        for unused in ask.returns.iter().filter(|unused| unused.start == self.start) {
            account.take_back(unused);
        }
        (answer.starts, answer.turns) = account.grant(slot, tokens, ask);
        if answer.starts < ask.starts || answer.turns < ask.turns {
            let slot_wait_ms = account
                .blocking_slot(tokens)
                .map_or(0, |slot| ((slot + 1) * SLOT_MS + span_ms).saturating_sub(now_ms));
            let start_wait_ms = match answer.starts < ask.starts {
                true => account.start_wait_ms(tokens, tokens_per_ms),
                false => 0,
            };
            // A part that grows has no slot in its way; it is looked at again after a lease.
            let wait_ms = match slot_wait_ms.max(start_wait_ms) {
                0 => self.bounds.lease_ms(),
                wait_ms => wait_ms.min(MAX_RETRY_MS),
            };
            answer.retry_after_ms = Some(wait_ms);
        }
        answer
    }

    /// forgets workspaces that have asked for nothing for long.
    pub fn expire(&mut self, now_ms: u64) {
        let Some(part) = self.part else {
            self.accounts.clear();
            return;
        };
        let span_ms = self.bounds.span_ms();
        let oldest_slot = now_ms.saturating_sub(span_ms) / SLOT_MS;
        self.accounts.retain(|_, account| {
            let tokens = part.tokens(now_ms, &self.bounds, account.terms());
            account.advance(now_ms, oldest_slot, tokens as f64 / span_ms as f64);
            !account.is_forgotten()
        });
    }

    /// number of workspaces that are kept.
    pub fn workspace_count(&self) -> usize {
        self.accounts.len()
    }
}
