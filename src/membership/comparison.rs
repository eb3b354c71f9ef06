//! comparison of views: pages for a newcomer, digests and missing records after that.

use std::net::SocketAddr;

use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::membership::MAX_DATAGRAM_BYTES;
use crate::membership::Membership;
use crate::membership::byte_budget::Purpose;
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

/// time between two comparisons of views.
const SYNC_MS: u64 = 1_000;
/// time between two comparisons of views until one has agreed, from the start and after a pause.
const FAST_SYNC_MS: u64 = 200;
/// buckets that one comparison answers.
const SYNC_BUCKETS: usize = 3;
/// how long one page of the others' view is waited for.
const PAGE_RETRY_MS: u64 = 100;
/// pages in a row that may stay unanswered.
const MAX_PAGE_RETRIES: u32 = 5;
/// records that fit in a datagram.
const RECORDS_PER_DATAGRAM: usize = 7;

impl Membership {
    /// starts a comparison with an instance whose view differs.
    pub(super) fn compare_views(&mut self, now_ms: u64, from: SocketAddr, their_digest: u64) {
        let own_digest = self.peers.digest() ^ self.own.entry_hash();
        if their_digest == own_digest {
            self.has_agreed = true;
            self.catch_up = CatchUp::Done;
            return;
        }
        if now_ms < self.next_sync_ms || self.backlog.is_some() || self.own.is_superseded() {
            return;
        }
        match self.catch_up {
            CatchUp::NotStarted => {
                self.catch_up = CatchUp::Reading { after: String::new(), retry_ms: now_ms, unanswered: 0 };
                self.read_page(now_ms, Some(from));
                return;
            }
            CatchUp::Reading { .. } => return,
            CatchUp::Done => {}
        }
        let is_behind = !self.has_agreed || now_ms < self.doubt_until_ms;
        self.next_sync_ms = now_ms + if is_behind { FAST_SYNC_MS } else { SYNC_MS };
        let bucket_count = sync::bucket_count(self.peers.running().count() + 1);
        let body = if bucket_count == 1 {
            DatagramBody::SyncNames(sync::names(&self.own, &self.peers, 1, 0))
        } else {
            DatagramBody::SyncBuckets(sync::buckets(&self.own, &self.peers, bucket_count))
        };
        self.outbox.send(&self.own, &self.peers, from, body, &[], Purpose::Common);
    }

    /// asks for the next page of the others' view, when it is due; each page comes from another instance.
    pub(super) fn read_page(&mut self, now_ms: u64, from: Option<SocketAddr>) {
        let CatchUp::Reading { after, retry_ms, unanswered } = &mut self.catch_up else {
            return;
        };
        if now_ms < *retry_ms {
            return;
        }
        if *unanswered > MAX_PAGE_RETRIES {
            // Many are new together and have no bytes left for each other's pages.
            self.catch_up = CatchUp::Done;
            return;
        }
        let pause_ms = PAGE_RETRY_MS << *unanswered;
        *retry_ms = now_ms + self.random.random_range(pause_ms..=2 * pause_ms);
        *unanswered += 1;
        let body = DatagramBody::SyncPage(SyncPage { after: after.clone() });
        let to = match from {
            Some(from) => Some(from),
            None => self.some_running(1, None).first().and_then(|name| self.mesh_of(name)),
        };
        if let Some(to) = to {
            self.outbox.send(&self.own, &self.peers, to, body, &[], Purpose::Common);
        }
    }

    pub(super) fn answer_page(&mut self, from: SocketAddr, page: &SyncPage) {
        // Half a page would look like a whole one.
        if self.outbox.budget.available_bytes(Purpose::Common) < MAX_DATAGRAM_BYTES {
            return;
        }
        let records = sync::page(&self.own, &self.peers, &page.after, RECORDS_PER_DATAGRAM);
        let last = records.last().map_or(String::new(), |record| record.name.clone());
        let body = DatagramBody::SyncRecords(SyncRecords { after: page.after.clone(), last });
        self.outbox.send(&self.own, &self.peers, from, body, &records, Purpose::Common);
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
        self.read_page(now_ms, None);
    }

    pub(super) fn answer_buckets(&mut self, from: SocketAddr, theirs: &SyncBuckets) {
        let bucket_count = theirs.digests.len();
        if matches!(self.catch_up, CatchUp::Reading { .. }) {
            return;
        }
        if bucket_count == 0 || bucket_count > u16::MAX as usize {
            return;
        }
        let mine = sync::buckets(&self.own, &self.peers, bucket_count);
        let differing = sync::differing(&mine, theirs);
        let chosen: Vec<usize> = differing.sample(&mut self.random, SYNC_BUCKETS).copied().collect();
        for bucket in chosen {
            let names = sync::names(&self.own, &self.peers, bucket_count, bucket);
            let body = DatagramBody::SyncNames(names);
            self.outbox.send(&self.own, &self.peers, from, body, &[], Purpose::Common);
        }
    }

    pub(super) fn answer_names(&mut self, from: SocketAddr, theirs: &SyncNames) {
        let difference = sync::compare(&self.own, &self.peers, theirs);
        if difference.to_send.is_empty() && difference.wanted.is_empty() {
            return;
        }
        let body = DatagramBody::SyncWanted(SyncWanted { names: difference.wanted });
        if self.outbox.send(&self.own, &self.peers, from, body, &[], Purpose::Common) {
            self.send_records(from, &difference.to_send);
        }
    }

    pub(super) fn send_records(&mut self, to: SocketAddr, records: &[MemberRecord]) {
        for some in records.chunks(RECORDS_PER_DATAGRAM) {
            let body = DatagramBody::News(News { urgent: false });
            if !self.outbox.send(&self.own, &self.peers, to, body, some, Purpose::Common) {
                return;
            }
        }
    }
}
