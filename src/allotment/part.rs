use crate::allotment::AllotmentBounds;
use crate::allotment::AllotmentTerms;

/// the part of all allotments that a ledger node grants, by its place among the members.
#[derive(Clone, Copy, Debug)]
pub(super) struct Part {
    member_count: usize,
    /// since when this node has been a member.
    joined_ms: u64,
    /// an earlier, larger number of members, and when it ended.
    previous: Option<(usize, u64)>,
}

impl Part {
    /// the part of a node that becomes a member.
    pub fn new(now_ms: u64, member_count: usize) -> Self {
        Self { member_count: member_count.max(1), joined_ms: now_ms, previous: None }
    }

    /// changes the number of members.
    pub fn set_member_count(&mut self, now_ms: u64, span_ms: u64, member_count: usize) {
        let member_count = member_count.max(1);
        if member_count == self.member_count {
            return;
        }
        let known = self.members(now_ms, span_ms);
        // Members that have left may have granted their parts until now.
        self.previous = (known > member_count).then_some((known, now_ms));
        self.member_count = member_count;
    }

    /// number of members that the allotments are divided by.
    fn members(&self, now_ms: u64, span_ms: u64) -> usize {
        match self.previous {
            Some((count, ended_ms)) if now_ms < ended_ms + span_ms => count.max(self.member_count),
            _ => self.member_count,
        }
    }

    /// tokens that this node may have granted within a span, and not taken back.
    pub fn tokens(&self, now_ms: u64, bounds: &AllotmentBounds, terms: AllotmentTerms) -> u64 {
        let span_ms = bounds.span_ms();
        let members = self.members(now_ms, span_ms) as f64;
        let most = (bounds.most(terms) / members).floor();
        let target = (bounds.target(terms) / members).ceil().min(most);
        let age_ms = now_ms.saturating_sub(self.joined_ms);
        if age_ms >= span_ms {
            return target as u64;
        }
        // All of the part may have been granted before. The rest is paced, so that starts in a row do not add up.
        let paced = ((most - target) * age_ms as f64 / span_ms as f64).floor();
        paced.min(target) as u64
    }
}
