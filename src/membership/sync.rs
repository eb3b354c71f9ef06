use std::collections::BTreeMap;

use crate::membership::own_state::OwnState;
use crate::membership::peer_table::PeerTable;
use crate::membership::peer_table::member_hash;
use crate::membership::peer_table::name_hash;
use crate::schema::MemberRecord;
use crate::schema::SyncBuckets;
use crate::schema::SyncNames;

/// approximate number of members in a bucket.
const BUCKET_MEMBERS: usize = 16;
/// maximum number of buckets, so that their digests fit in a datagram.
const MAX_BUCKETS: usize = 64;
/// maximum number of names of a bucket that fit in a datagram.
const MAX_NAMES: usize = 90;

/// one known member, this instance included, with what is compared.
struct KnownMember<'a> {
    name: &'a str,
    version_hash: u64,
    is_gone: bool,
}

/// result of the comparison of one bucket.
#[derive(Debug, Default)]
pub(super) struct Difference {
    /// records that the other instance lacks or has in another version.
    pub to_send: Vec<MemberRecord>,
    /// name hashes of the records to request.
    pub wanted: Vec<u32>,
}

/// number of buckets for `member_count` members.
pub(super) fn bucket_count(member_count: usize) -> usize {
    (member_count / BUCKET_MEMBERS).next_power_of_two().min(MAX_BUCKETS)
}

/// digest of each bucket: the XOR over its members that are not gone.
pub(super) fn bucket_digests(own: &OwnState, peers: &PeerTable, bucket_count: usize) -> SyncBuckets {
    let mut digests = vec![0_u32; bucket_count];
    for known in known_members(own, peers) {
        let bucket = name_hash(known.name) as usize % bucket_count;
        digests[bucket] ^= member_hash(known.name, known.version_hash, known.is_gone) as u32;
    }
    SyncBuckets { digests }
}

/// indices of the buckets whose digests differ.
pub(super) fn differing_buckets(mine: &SyncBuckets, theirs: &SyncBuckets) -> Vec<usize> {
    let pairs = mine.digests.iter().zip(&theirs.digests);
    pairs.enumerate().filter(|(_, (mine, theirs))| mine != theirs).map(|(bucket, _)| bucket).collect()
}

/// name and version hashes of the members of one bucket, including those that are gone.
pub(super) fn bucket_names(
    own: &OwnState,
    peers: &PeerTable,
    bucket_count: usize,
    bucket: usize,
) -> SyncNames {
    let mut list = SyncNames {
        bucket_count: bucket_count as u32,
        bucket: bucket as u32,
        names: Vec::new(),
        versions: Vec::new(),
    };
    let mut in_bucket: Vec<KnownMember<'_>> = known_members(own, peers)
        .filter(|known| name_hash(known.name) as usize % bucket_count == bucket)
        .collect();
    // Members that are not gone come first, in case not all fit.
    in_bucket.sort_by_key(|known| known.is_gone);
    in_bucket.truncate(MAX_NAMES);
    for known in in_bucket {
        list.names.push(name_hash(known.name));
        list.versions.push(known.version_hash as u32);
    }
    list
}

/// compares one bucket of another instance with the members known here.
pub(super) fn compare(own: &OwnState, peers: &PeerTable, theirs: &SyncNames) -> Difference {
    let mut difference = Difference::default();
    let mut unmatched: BTreeMap<u32, u32> =
        theirs.names.iter().copied().zip(theirs.versions.iter().copied()).collect();
    let bucket_count = (theirs.bucket_count as usize).max(1);
    for known in known_members(own, peers) {
        let hash = name_hash(known.name);
        if hash as usize % bucket_count != theirs.bucket as usize {
            continue;
        }
        let version = unmatched.remove(&hash);
        if version == Some(known.version_hash as u32) || (version.is_none() && known.is_gone) {
            continue;
        }
        difference.to_send.extend(record_of(own, peers, known.name));
        if version.is_some() {
            difference.wanted.push(hash);
        }
    }
    difference.wanted.extend(unmatched.into_keys());
    difference
}

/// records whose name hashes are in `wanted`.
pub(super) fn records_by_hash(own: &OwnState, peers: &PeerTable, wanted: &[u32]) -> Vec<MemberRecord> {
    let found = known_members(own, peers).filter(|known| wanted.contains(&name_hash(known.name)));
    found.filter_map(|known| record_of(own, peers, known.name)).collect()
}

/// up to `limit` records of members that are not gone, in the order of names, from the one after `after`.
pub(super) fn page(own: &OwnState, peers: &PeerTable, after: &str, limit: usize) -> Vec<MemberRecord> {
    let mut names: Vec<&str> = known_members(own, peers)
        .filter(|known| !known.is_gone && known.name > after)
        .map(|known| known.name)
        .collect();
    names.sort_unstable();
    names.truncate(limit);
    names.into_iter().filter_map(|name| record_of(own, peers, name)).collect()
}

fn record_of(own: &OwnState, peers: &PeerTable, name: &str) -> Option<MemberRecord> {
    if name == own.member.name {
        return Some(own.record());
    }
    Some(peers.get(name)?.record())
}

fn known_members<'a>(own: &'a OwnState, peers: &'a PeerTable) -> impl Iterator<Item = KnownMember<'a>> {
    let own = KnownMember {
        name: &own.member.name,
        version_hash: own.version_hash(),
        is_gone: own.member.is_gone(),
    };
    let others = peers.iter().map(|peer| KnownMember {
        name: &peer.member.name,
        version_hash: peer.version_hash(),
        is_gone: peer.member.is_gone(),
    });
    std::iter::once(own).chain(others)
}
