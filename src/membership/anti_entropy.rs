//! anti-entropy: pages of members for a new instance, then digests and the records that differ.

use std::net::SocketAddr;

use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::membership::MAX_DATAGRAM_BYTES;
use crate::membership::Membership;
use crate::membership::byte_budget::Priority;
use crate::membership::membership::CatchUp;
use crate::membership::sync;
use crate::schema::DatagramBody;
use crate::schema::MemberRecord;
use crate::schema::News;
use crate::schema::SyncBuckets;
use crate::schema::SyncNames;
use crate::schema::SyncPage;
use crate::schema::SyncRecords;
use crate::schema::SyncWanted;

/// minimum interval between two comparisons that this instance starts.
const SYNC_MS: u64 = 1_000;
/// the same interval after the start and after a pause, until the view has matched another one.
const FAST_SYNC_MS: u64 = 200;
/// maximum number of buckets that are answered in one comparison.
const SYNC_BUCKETS: usize = 3;
/// minimum delay before a page is requested again; doubles with each retry.
const PAGE_RETRY_MS: u64 = 100;
/// retries of one page before the transfer is given up.
const MAX_PAGE_RETRIES: u32 = 5;
/// records that fit in a datagram.
const RECORDS_PER_DATAGRAM: usize = 7;

impl Membership {
    /// starts a comparison with an instance whose digest differs, if one is due.
    pub(super) fn start_sync(&mut self, now_ms: u64, from: SocketAddr, their_digest: u64) {
        let own_digest = self.peers.digest() ^ self.own.member_hash();
        if their_digest == own_digest {
            self.has_converged = true;
            self.catch_up = CatchUp::Done;
            return;
        }
        if now_ms < self.next_sync_ms || self.backlog.is_some() || self.own.is_superseded() {
            return;
        }
        match self.catch_up {
            CatchUp::NotStarted => {
                self.catch_up = CatchUp::Reading { after: String::new(), retry_ms: now_ms, unanswered: 0 };
                self.request_page(now_ms, Some(from));
                return;
            }
            CatchUp::Reading { .. } => return,
            CatchUp::Done => {}
        }
        let is_behind = !self.has_converged || now_ms < self.grace_until_ms;
        self.next_sync_ms = now_ms + if is_behind { FAST_SYNC_MS } else { SYNC_MS };
        let bucket_count = sync::bucket_count(self.peers.running().count() + 1);
        let body = if bucket_count == 1 {
            DatagramBody::SyncNames(sync::bucket_names(&self.own, &self.peers, 1, 0))
        } else {
            DatagramBody::SyncBuckets(sync::bucket_digests(&self.own, &self.peers, bucket_count))
        };
        self.outbox.send(&self.own, &self.peers, from, body, &[], Priority::Normal);
    }

    /// requests the next page when it is due, from `from` or else from a random member.
    pub(super) fn request_page(&mut self, now_ms: u64, from: Option<SocketAddr>) {
        let CatchUp::Reading { after, retry_ms, unanswered } = &mut self.catch_up else {
            return;
        };
        if now_ms < *retry_ms {
            return;
        }
        if *unanswered > MAX_PAGE_RETRIES {
            // Many instances start at once and have no bytes left for each other's pages.
            self.catch_up = CatchUp::Done;
            return;
        }
        let pause_ms = PAGE_RETRY_MS << *unanswered;
        *retry_ms = now_ms + self.random.random_range(pause_ms..=2 * pause_ms);
        *unanswered += 1;
        let body = DatagramBody::SyncPage(SyncPage { after: after.clone() });
        let to = match from {
            Some(from) => Some(from),
            None => self.random_running(1, None).first().and_then(|name| self.mesh_address(name)),
        };
        if let Some(to) = to {
            self.outbox.send(&self.own, &self.peers, to, body, &[], Priority::Normal);
        }
    }

    pub(super) fn send_page(&mut self, from: SocketAddr, page: &SyncPage) {
        // A truncated page would look like a complete one.
        if self.outbox.budget.available_bytes(Priority::Normal) < MAX_DATAGRAM_BYTES {
            return;
        }
        let records = sync::page(&self.own, &self.peers, &page.after, RECORDS_PER_DATAGRAM);
        let last = records.last().map_or(String::new(), |record| record.name.clone());
        let body = DatagramBody::SyncRecords(SyncRecords { after: page.after.clone(), last });
        self.outbox.send(&self.own, &self.peers, from, body, &records, Priority::Normal);
    }

    pub(super) fn on_page(&mut self, now_ms: u64, records: &SyncRecords) {
        match &self.catch_up {
            CatchUp::Reading { after, .. } if *after == records.after => {}
            _ => return,
        }
        if records.last.is_empty() {
            self.catch_up = CatchUp::Done;
            return;
        }
        self.catch_up = CatchUp::Reading { after: records.last.clone(), retry_ms: now_ms, unanswered: 0 };
        self.request_page(now_ms, None);
    }

    pub(super) fn on_buckets(&mut self, from: SocketAddr, theirs: &SyncBuckets) {
        let bucket_count = theirs.digests.len();
        if matches!(self.catch_up, CatchUp::Reading { .. }) {
            return;
        }
        if bucket_count == 0 || bucket_count > u16::MAX as usize {
            return;
        }
        let mine = sync::bucket_digests(&self.own, &self.peers, bucket_count);
        let differing = sync::differing_buckets(&mine, theirs);
        let chosen: Vec<usize> = differing.sample(&mut self.random, SYNC_BUCKETS).copied().collect();
        for bucket in chosen {
            let names = sync::bucket_names(&self.own, &self.peers, bucket_count, bucket);
            let body = DatagramBody::SyncNames(names);
            self.outbox.send(&self.own, &self.peers, from, body, &[], Priority::Normal);
        }
    }

    pub(super) fn on_names(&mut self, from: SocketAddr, theirs: &SyncNames) {
        let difference = sync::compare(&self.own, &self.peers, theirs);
        if difference.to_send.is_empty() && difference.wanted.is_empty() {
            return;
        }
        let body = DatagramBody::SyncWanted(SyncWanted { names: difference.wanted });
        if self.outbox.send(&self.own, &self.peers, from, body, &[], Priority::Normal) {
            self.send_records(from, &difference.to_send);
        }
    }

    pub(super) fn send_records(&mut self, to: SocketAddr, records: &[MemberRecord]) {
        for chunk in records.chunks(RECORDS_PER_DATAGRAM) {
            let body = DatagramBody::News(News { urgent: false });
            if !self.outbox.send(&self.own, &self.peers, to, body, chunk, Priority::Normal) {
                return;
            }
        }
    }
}
