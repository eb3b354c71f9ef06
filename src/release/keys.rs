//! keys of the platform's objects that hold releases and snapshots.

/// prefix of accepted releases.
pub(super) const RELEASES: &str = "release/";

/// prefix of snapshots.
pub(super) const SNAPSHOTS: &str = "config/";

const MANIFEST: &str = "manifest";

/// key of the release that makes `version`; creating it is the acceptance.
pub(super) fn release_key(version: u64) -> String {
    format!("{RELEASES}{version:012}")
}

/// version in the key of a release.
pub(super) fn release_version(key: &str) -> Option<u64> {
    key.strip_prefix(RELEASES)?.parse().ok()
}

/// prefix of one writer's snapshot of `version`.
pub(super) fn snapshot_prefix(version: u64, writer: &str) -> String {
    format!("{SNAPSHOTS}{version:012}/{writer}/")
}

/// key of a part of the snapshot below `prefix`.
pub(super) fn part_key(prefix: &str, part: u32) -> String {
    format!("{prefix}{part:06}")
}

/// key of the manifest of the snapshot below `prefix`.
pub(super) fn manifest_key(prefix: &str) -> String {
    format!("{prefix}{MANIFEST}")
}

/// version in a key below a snapshot.
pub(super) fn snapshot_version(key: &str) -> Option<u64> {
    key.strip_prefix(SNAPSHOTS)?.split('/').next()?.parse().ok()
}

/// prefix of the snapshot whose manifest has this key.
pub(super) fn prefix_of_manifest(key: &str) -> Option<&str> {
    key.strip_suffix(MANIFEST).filter(|prefix| prefix.ends_with('/'))
}
