use std::collections::BTreeMap;

use crate::membership::own_state::OwnState;
use crate::membership::peer_table::PeerTable;
use crate::membership::peer_table::entry_hash;
use crate::membership::peer_table::name_hash;
use crate::schema::MemberRecord;
use crate::schema::SyncBuckets;
use crate::schema::SyncNames;

/// members that share a bucket, about.
const BUCKET_MEMBERS: usize = 16;
/// most buckets, so that their digests fit in a datagram.
const MAX_BUCKETS: usize = 64;
/// most names of one bucket that fit in a datagram.
const MAX_NAMES: usize = 90;

/// one known member as the comparison sees it.
struct Entry<'a> {
    name: &'a str,
    version_hash: u64,
    is_gone: bool,
}

/// what a comparison of one bucket found.
#[derive(Debug, Default)]
pub(super) struct Difference {
    /// records that the other side lacks or has in another version.
    pub to_send: Vec<MemberRecord>,
    /// hashes of the names whose records are wanted.
    pub wanted: Vec<u32>,
}

/// buckets that `member_count` members are divided into.
pub(super) fn bucket_count(member_count: usize) -> usize {
    (member_count / BUCKET_MEMBERS).next_power_of_two().min(MAX_BUCKETS)
}

/// digests of all buckets.
pub(super) fn buckets(own: &OwnState, peers: &PeerTable, bucket_count: usize) -> SyncBuckets {
    let mut digests = vec![0_u32; bucket_count];
    for entry in entries(own, peers) {
        let bucket = name_hash(entry.name) as usize % bucket_count;
        digests[bucket] ^= entry_hash(entry.name, entry.version_hash, entry.is_gone) as u32;
    }
    SyncBuckets { digests }
}

/// buckets in which two instances differ.
pub(super) fn differing(mine: &SyncBuckets, theirs: &SyncBuckets) -> Vec<usize> {
    let pairs = mine.digests.iter().zip(&theirs.digests);
    pairs.enumerate().filter(|(_, (mine, theirs))| mine != theirs).map(|(bucket, _)| bucket).collect()
}

/// what is known of the members of one bucket, those that are gone included.
pub(super) fn names(own: &OwnState, peers: &PeerTable, bucket_count: usize, bucket: usize) -> SyncNames {
    let mut list = SyncNames {
        bucket_count: bucket_count as u32,
        bucket: bucket as u32,
        names: Vec::new(),
        versions: Vec::new(),
    };
    let mut in_bucket: Vec<Entry<'_>> =
        entries(own, peers).filter(|entry| name_hash(entry.name) as usize % bucket_count == bucket).collect();
    // Running members go first when not all fit.
    in_bucket.sort_by_key(|entry| entry.is_gone);
    in_bucket.truncate(MAX_NAMES);
    for entry in in_bucket {
        list.names.push(name_hash(entry.name));
        list.versions.push(entry.version_hash as u32);
    }
    list
}

/// compares one bucket of another instance with what is known here.
pub(super) fn compare(own: &OwnState, peers: &PeerTable, theirs: &SyncNames) -> Difference {
    let mut difference = Difference::default();
    let mut listed: BTreeMap<u32, u32> =
        theirs.names.iter().copied().zip(theirs.versions.iter().copied()).collect();
    let bucket_count = (theirs.bucket_count as usize).max(1);
    for entry in entries(own, peers) {
        let hash = name_hash(entry.name);
        if hash as usize % bucket_count != theirs.bucket as usize {
            continue;
        }
        let version = listed.remove(&hash);
        if version == Some(entry.version_hash as u32) || (version.is_none() && entry.is_gone) {
            continue;
        }
        difference.to_send.extend(record_of(own, peers, entry.name));
        if version.is_some() {
            difference.wanted.push(hash);
        }
    }
    difference.wanted.extend(listed.into_keys());
    difference
}

/// records whose names have these hashes.
pub(super) fn find(own: &OwnState, peers: &PeerTable, wanted: &[u32]) -> Vec<MemberRecord> {
    let found = entries(own, peers).filter(|entry| wanted.contains(&name_hash(entry.name)));
    found.filter_map(|entry| record_of(own, peers, entry.name)).collect()
}

/// records of running members in the order of their names.
pub(super) fn page(own: &OwnState, peers: &PeerTable, after: &str, most: usize) -> Vec<MemberRecord> {
    let mut names: Vec<&str> = entries(own, peers)
        .filter(|entry| !entry.is_gone && entry.name > after)
        .map(|entry| entry.name)
        .collect();
    names.sort_unstable();
    names.truncate(most);
    names.into_iter().filter_map(|name| record_of(own, peers, name)).collect()
}

fn record_of(own: &OwnState, peers: &PeerTable, name: &str) -> Option<MemberRecord> {
    if name == own.member.name {
        return Some(own.record());
    }
    Some(peers.get(name)?.record())
}

fn entries<'a>(own: &'a OwnState, peers: &'a PeerTable) -> impl Iterator<Item = Entry<'a>> {
    let own =
        Entry { name: &own.member.name, version_hash: own.version_hash(), is_gone: own.member.is_gone() };
    let others = peers.iter().map(|peer| Entry {
        name: &peer.member.name,
        version_hash: peer.version_hash(),
        is_gone: peer.member.is_gone(),
    });
    std::iter::once(own).chain(others)
}
