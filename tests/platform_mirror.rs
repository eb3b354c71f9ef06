//! what doors learn of the platform through ledger nodes that may lag behind or have just started.

use flamingostand::fleet::ListWatch;
use flamingostand::fleet::MergedMirror;
use flamingostand::fleet::Mirror;
use flamingostand::fleet::WatchUpdate;
use flamingostand::platform::Change;
use flamingostand::platform::Object;
use flamingostand::platform::PlatformError;
use flamingostand::platform::PlatformReply;
use flamingostand::platform::PlatformRequest;

const PREFIX: &str = "config/";

fn object(name: &str, version: u64) -> Object {
    Object { key: format!("{PREFIX}{name}"), version, value: version.to_string().into_bytes() }
}

fn page(objects: Vec<Object>, more: bool, revision: u64) -> PlatformReply {
    PlatformReply::Page { objects, more, revision }
}

#[test]
fn list_in_pages_then_watch() {
    let mut follower = ListWatch::new(PREFIX, 1_000, 1);
    assert_eq!(follower.on_result(0, Ok(page(vec![object("a", 1)], true, 5))), WatchUpdate::Nothing);
    assert!(matches!(follower.request(), PlatformRequest::List { after, .. } if after == "config/a"));
    let all = follower.on_result(0, Ok(page(vec![object("b", 2)], false, 6)));
    assert_eq!(all, WatchUpdate::Snapshot(vec![object("a", 1), object("b", 2)]));
    assert!(matches!(follower.request(), PlatformRequest::Watch { after_revision: 6, .. }));
    let news = PlatformReply::Changes { changes: Vec::new(), revision: 9 };
    assert_eq!(follower.on_result(0, Ok(news)), WatchUpdate::Nothing);
    assert_eq!(follower.revision(), Some(9));
    follower.on_result(0, Err(PlatformError::Gap));
    assert!(matches!(follower.request(), PlatformRequest::List { after, .. } if after.is_empty()));
    assert_eq!(follower.next_call_ms(), 0, "a gap is mended at once");
    follower.on_result(100, Err(PlatformError::Unavailable));
    assert!((130..=600).contains(&follower.next_call_ms()), "{}", follower.next_call_ms());
}

#[test]
fn changes_in_a_row_share_a_call() {
    let mut follower = ListWatch::new(PREFIX, 1_000, 1);
    follower.on_result(0, Ok(page(vec![object("a", 1)], false, 5)));
    assert_eq!(follower.next_call_ms(), 0, "the first watch follows the list at once");
    let change = Change { key: "config/a".to_owned(), version: 6, value: None };
    follower.on_result(1_000, Ok(PlatformReply::Changes { changes: vec![change], revision: 6 }));
    assert!((1_050..=1_250).contains(&follower.next_call_ms()), "{}", follower.next_call_ms());
    follower.on_result(2_000, Ok(PlatformReply::Changes { changes: Vec::new(), revision: 6 }));
    assert_eq!(follower.next_call_ms(), 2_000, "a watch without changes is followed by the next at once");
}

#[test]
fn lagging_mirror_brings_nothing_back() {
    let (mut fast, mut slow) = (Mirror::new(PREFIX, "s1"), Mirror::new(PREFIX, "s2"));
    let mut merge = MergedMirror::new(PREFIX);
    for mirror in [&mut fast, &mut slow] {
        mirror.apply_snapshot(0, &[object("main", 3), object("old", 2)], false);
        mirror.record_contact(0, Some(4));
    }
    assert_eq!(merge.apply(0, "fast", fast.news(0, None)).len(), 2);
    assert!(merge.apply(0, "slow", slow.news(0, None)).is_empty(), "the same again");
    let gone = Change { key: "config/old".to_owned(), version: 7, value: None };
    let newer = Change { key: "config/main".to_owned(), version: 8, value: Some(b"8".to_vec()) };
    fast.apply_changes(10, &[gone, newer], false);
    fast.record_contact(10, Some(8));
    let changed = merge.apply(10, "fast", fast.news(10, merge.mark("fast")));
    assert_eq!(changed.len(), 2, "only what changed");
    assert!(merge.apply(20, "slow", slow.news(20, None)).is_empty(), "an old mirror is ignored");
}

#[test]
fn restarted_mirror_is_no_proof_of_absence() {
    let mut mirror = Mirror::new(PREFIX, "s1");
    mirror.apply_snapshot(0, &[object("main", 3)], false);
    mirror.record_contact(0, Some(3));
    let mut merge = MergedMirror::new(PREFIX);
    merge.apply(0, "node", mirror.news(0, None));
    let empty = Mirror::new(PREFIX, "s2");
    assert!(merge.apply(10, "node", empty.news(10, None)).is_empty());
    // One that has listed since knows what is gone.
    let mut listed = Mirror::new(PREFIX, "s3");
    listed.apply_snapshot(20, &[], false);
    listed.record_contact(20, Some(9));
    let changed = merge.apply(20, "node", listed.news(20, None));
    assert_eq!(changed.iter().filter(|object| object.value.is_none()).count(), 1);
}

/// a node that comes back and finds an object gone.
fn gone_after_cut() -> Mirror {
    let mut mirror = Mirror::new(PREFIX, "s2");
    mirror.apply_snapshot(0, &[object("main", 3)], false);
    mirror.apply_snapshot(9_000, &[], true);
    mirror.record_contact(9_000, Some(5));
    mirror
}

#[test]
fn cut_of_one_node_is_no_outage() {
    let mut merge = MergedMirror::new(PREFIX);
    let mut sound = Mirror::new(PREFIX, "s1");
    sound.apply_snapshot(0, &[object("main", 3)], false);
    for now_ms in (0..9_000).step_by(1_000) {
        sound.record_contact(now_ms, Some(4));
        let news = sound.news(now_ms, merge.mark("sound"));
        merge.apply(now_ms, "sound", news);
    }
    let changed = merge.apply(9_000, "cut", gone_after_cut().news(9_000, None));
    assert_eq!(changed.len(), 1);
    assert!(!changed[0].may_have_lapsed, "the platform was there all the while");
}

#[test]
fn lapse_in_an_outage_is_one() {
    let mut merge = MergedMirror::new(PREFIX);
    let mut other = Mirror::new(PREFIX, "s1");
    other.apply_snapshot(0, &[object("main", 3)], false);
    other.record_contact(0, Some(3));
    merge.apply(0, "other", other.news(0, None));
    // The other node has word again first, and has seen nothing of the lapse yet.
    other.record_contact(8_900, Some(4));
    merge.apply(8_900, "other", other.news(8_900, merge.mark("other")));
    let changed = merge.apply(9_000, "back", gone_after_cut().news(9_000, None));
    assert!(changed[0].may_have_lapsed);
}

#[test]
fn freshness_is_the_platforms() {
    let mut mirror = Mirror::new(PREFIX, "s1");
    let mut merge = MergedMirror::new(PREFIX);
    merge.apply(0, "node", mirror.news(0, None));
    assert!(!merge.is_fresh(0), "a node that never reached the platform says nothing");
    mirror.record_contact(1_000, Some(1));
    merge.apply(2_000, "node", mirror.news(2_000, None));
    assert!(merge.is_fresh(3_000));
    assert!(!merge.is_fresh(3_600), "its last word is 2.6 s old");
}

#[test]
fn log_brings_back_what_was_seen() {
    let mut mirror = Mirror::new(PREFIX, "s1");
    mirror.apply_snapshot(0, &[object("main", 3)], false);
    let mut replayed = Mirror::new(PREFIX, "s2");
    replayed.replay(&mirror.observed());
    let mut merge = MergedMirror::new(PREFIX);
    assert_eq!(merge.apply(0, "node", replayed.news(0, None)).len(), 1);
}

/// a mirror of many objects of a kilobyte, at revision 5,000.
fn large_mirror(start: &str, count: u64) -> Mirror {
    let mut mirror = Mirror::new(PREFIX, start);
    let objects =
        (0..count).map(|number| Object { value: vec![b'x'; 1_000], ..object(&format!("r{number}"), number) });
    mirror.apply_snapshot(0, &objects.collect::<Vec<_>>(), false);
    mirror.record_contact(0, Some(5_000));
    mirror
}

/// asks a node until it has told everything; the pages that it took.
fn follow(merge: &mut MergedMirror, node: &str, mirror: &Mirror, tells_all: bool) -> Vec<usize> {
    let mut pages = Vec::new();
    for _ in 0..1_000 {
        let news = mirror.news_for(0, Some(&merge.mark_for(node)), tells_all);
        let more = news.more;
        pages.push(news.objects.len());
        merge.apply(0, node, news);
        if !more {
            break;
        }
    }
    pages
}

/// Pattern of load: hundreds of doors that start at once before thousands of replicas. One answer of a node to each door
/// must stay small, and only one node tells a door of everything.
#[test]
fn thousands_of_objects_come_in_pages_from_one_node() {
    let (first, second) = (large_mirror("s1", 3_000), large_mirror("s2", 3_000));
    let mut merge = MergedMirror::new(PREFIX);
    assert_eq!(
        follow(&mut merge, "b", &second, false),
        [0],
        "a node that is not the informant tells nothing yet"
    );
    let pages = follow(&mut merge, "a", &first, true);
    assert_eq!(pages.iter().sum::<usize>(), 3_000);
    assert!(pages.iter().all(|page| *page <= 132), "{pages:?}");
    assert_eq!(follow(&mut merge, "b", &second, false), [0], "nothing is new at the second node");
    assert_eq!(follow(&mut merge, "b", &second, false), [0]);
}

#[test]
fn second_node_goes_on_where_the_first_one_stopped() {
    let (first, mut second) = (large_mirror("s1", 200), large_mirror("s2", 200));
    let mut merge = MergedMirror::new(PREFIX);
    follow(&mut merge, "a", &first, true);
    let changes = [
        Change { key: "config/r1".to_owned(), version: 5_001, value: Some(b"new".to_vec()) },
        Change { key: "config/r2".to_owned(), version: 5_002, value: None },
    ];
    second.apply_changes(0, &changes, false);
    second.record_contact(0, Some(5_002));
    let news = second.news_for(0, Some(&merge.mark_for("b")), false);
    let changed = merge.apply(0, "b", news);
    let changed: Vec<&str> = changed.iter().map(|object| object.key.as_str()).collect();
    assert_eq!(changed, ["config/r1", "config/r2"]);
}

#[test]
fn page_that_comes_twice_loses_nothing() {
    let mirror = large_mirror("s1", 400);
    let mut merge = MergedMirror::new(PREFIX);
    let first = mirror.news_for(0, Some(&merge.mark_for("a")), true);
    merge.apply(0, "a", first.clone());
    let second = mirror.news_for(0, Some(&merge.mark_for("a")), true);
    merge.apply(0, "a", second);
    merge.apply(0, "a", first);
    let mut gone = 0;
    loop {
        let news = mirror.news_for(0, Some(&merge.mark_for("a")), true);
        let more = news.more;
        gone += merge.apply(0, "a", news).iter().filter(|object| object.value.is_none()).count();
        if !more {
            break;
        }
    }
    assert_eq!(gone, 0, "replicas were dropped that are there");
}

#[test]
fn object_that_went_unseen_is_dropped_after_the_last_page() {
    let mut merge = MergedMirror::new(PREFIX);
    follow(&mut merge, "a", &large_mirror("s1", 400), true);
    // The next node has started after an object had gone, so that it never knew it.
    let mut later = Mirror::new(PREFIX, "s2");
    let objects =
        (1..400).map(|number| Object { value: vec![b'x'; 1_000], ..object(&format!("r{number}"), number) });
    later.apply_snapshot(0, &objects.collect::<Vec<_>>(), false);
    later.record_contact(0, Some(6_000));
    let mut gone = Vec::new();
    loop {
        let news = later.news_for(0, Some(&merge.mark_for("b")), true);
        let more = news.more;
        gone.extend(merge.apply(0, "b", news).into_iter().filter(|object| object.value.is_none()));
        if !more {
            break;
        }
    }
    let gone: Vec<&str> = gone.iter().map(|object| object.key.as_str()).collect();
    assert_eq!(gone, ["config/r0"]);
}

#[test]
fn removal_that_was_forgotten_is_told_by_all_objects() {
    let mut mirror = Mirror::new(PREFIX, "s1");
    mirror.apply_snapshot(0, &[object("a", 1), object("b", 2)], false);
    mirror.record_contact(0, Some(2));
    let mut merge = MergedMirror::new(PREFIX);
    follow(&mut merge, "a", &mirror, true);
    // The door is cut off for longer than a removal is remembered.
    mirror.apply_changes(1_000, &[Change { key: "config/b".to_owned(), version: 3, value: None }], false);
    mirror.record_contact(1_000, Some(3));
    mirror.expire(100_000);
    let news = mirror.news_for(100_000, Some(&merge.mark_for("a")), true);
    let changed = merge.apply(100_000, "a", news);
    assert!(changed.iter().any(|object| object.key == "config/b" && object.value.is_none()), "{changed:?}");
}
