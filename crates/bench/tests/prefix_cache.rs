//! the prefix cache of the engine model.

use flamingo_bench::prefix_cache::CacheChange;
use flamingo_bench::prefix_cache::PrefixCache;
use flamingostand::dispatch::Boundary;

fn chain(names: &[u64]) -> Vec<Boundary> {
    names
        .iter()
        .enumerate()
        .map(|(index, name)| Boundary { digest: *name, tokens: (index as u64 + 1) * 10 })
        .collect()
}

fn hold(cache: &mut PrefixCache, names: &[u64]) {
    let mut parent = None;
    for boundary in chain(names) {
        cache.insert(parent, boundary);
        parent = Some(boundary);
    }
}

#[test]
fn finds_longest() {
    let mut cache = PrefixCache::new(100);
    hold(&mut cache, &[1, 2, 3]);
    assert_eq!(cache.find(&chain(&[1, 2, 9])), (2, 20));
    assert_eq!(cache.find(&chain(&[9])), (0, 0));
}

#[test]
fn drops_oldest_leaf() {
    let mut cache = PrefixCache::new(40);
    hold(&mut cache, &[1, 2]);
    hold(&mut cache, &[1, 3]);
    cache.changes.clear();
    assert!(cache.take_private(20));
    assert_eq!(cache.changes, vec![CacheChange::Dropped(2)]);
}

#[test]
fn keeps_pinned() {
    let mut cache = PrefixCache::new(20);
    hold(&mut cache, &[1, 2]);
    cache.pin(&chain(&[1, 2]));
    assert!(!cache.take_private(1));
    cache.unpin(&chain(&[1, 2]));
    assert!(cache.take_private(1));
}

#[test]
fn release_spares_shared() {
    let mut cache = PrefixCache::new(100);
    hold(&mut cache, &[1, 2, 3]);
    hold(&mut cache, &[1, 2, 4]);
    cache.release(&chain(&[1, 2, 3]));
    assert_eq!(cache.find(&chain(&[1, 2, 3])), (2, 20));
    cache.release(&chain(&[1, 2, 4]));
    assert_eq!(cache.find(&chain(&[1])), (0, 0));
}
