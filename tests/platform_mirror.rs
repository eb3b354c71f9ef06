//! mirrors of the platform's objects that doors read through ledger nodes, which may lag behind or have just
//! started.

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
    let mut list_watch = ListWatch::new(PREFIX, 1_000, 1);
    assert_eq!(list_watch.on_result(0, Ok(page(vec![object("a", 1)], true, 5))), WatchUpdate::Nothing);
    assert!(matches!(list_watch.request(), PlatformRequest::List { after, .. } if after == "config/a"));
    let all = list_watch.on_result(0, Ok(page(vec![object("b", 2)], false, 6)));
    assert_eq!(all, WatchUpdate::Snapshot(vec![object("a", 1), object("b", 2)]));
    assert!(matches!(list_watch.request(), PlatformRequest::Watch { after_revision: 6, .. }));
    let news = PlatformReply::Changes { changes: Vec::new(), revision: 9 };
    assert_eq!(list_watch.on_result(0, Ok(news)), WatchUpdate::Nothing);
    assert_eq!(list_watch.revision(), Some(9));
    list_watch.on_result(0, Err(PlatformError::Gap));
    assert!(matches!(list_watch.request(), PlatformRequest::List { after, .. } if after.is_empty()));
    assert_eq!(list_watch.next_call_ms(), 0, "the list restarts at once after a gap");
    list_watch.on_result(100, Err(PlatformError::Unavailable));
    assert!((130..=600).contains(&list_watch.next_call_ms()), "{}", list_watch.next_call_ms());
}

#[test]
fn burst_of_changes_takes_one_call() {
    let mut list_watch = ListWatch::new(PREFIX, 1_000, 1);
    list_watch.on_result(0, Ok(page(vec![object("a", 1)], false, 5)));
    assert_eq!(list_watch.next_call_ms(), 0, "the first watch follows the list at once");
    let change = Change { key: "config/a".to_owned(), version: 6, value: None };
    list_watch.on_result(1_000, Ok(PlatformReply::Changes { changes: vec![change], revision: 6 }));
    assert!((1_050..=1_250).contains(&list_watch.next_call_ms()), "{}", list_watch.next_call_ms());
    list_watch.on_result(2_000, Ok(PlatformReply::Changes { changes: Vec::new(), revision: 6 }));
    assert_eq!(list_watch.next_call_ms(), 2_000, "a watch without changes is followed by the next at once");
}

#[test]
fn lagging_mirror_does_not_bring_back_objects() {
    let (mut fast, mut slow) = (Mirror::new(PREFIX, "s1"), Mirror::new(PREFIX, "s2"));
    let mut merged = MergedMirror::new(PREFIX);
    for mirror in [&mut fast, &mut slow] {
        mirror.apply_snapshot(0, &[object("main", 3), object("old", 2)], false);
        mirror.record_contact(0, Some(4));
    }
    assert_eq!(merged.apply(0, "fast", fast.news(0, None)).len(), 2);
    assert!(merged.apply(0, "slow", slow.news(0, None)).is_empty(), "the same objects are not new");
    let gone = Change { key: "config/old".to_owned(), version: 7, value: None };
    let newer = Change { key: "config/main".to_owned(), version: 8, value: Some(b"8".to_vec()) };
    fast.apply_changes(10, &[gone, newer], false);
    fast.record_contact(10, Some(8));
    let changed = merged.apply(10, "fast", fast.news(10, merged.mark("fast")));
    assert_eq!(changed.len(), 2, "only the changes are sent");
    assert!(merged.apply(20, "slow", slow.news(20, None)).is_empty(), "older versions are ignored");
}

#[test]
fn restarted_mirror_does_not_remove_objects() {
    let mut mirror = Mirror::new(PREFIX, "s1");
    mirror.apply_snapshot(0, &[object("main", 3)], false);
    mirror.record_contact(0, Some(3));
    let mut merged = MergedMirror::new(PREFIX);
    merged.apply(0, "node", mirror.news(0, None));
    let empty = Mirror::new(PREFIX, "s2");
    assert!(merged.apply(10, "node", empty.news(10, None)).is_empty());
    // A mirror that has listed since its start knows which objects were removed.
    let mut listed = Mirror::new(PREFIX, "s3");
    listed.apply_snapshot(20, &[], false);
    listed.record_contact(20, Some(9));
    let changed = merged.apply(20, "node", listed.news(20, None));
    assert_eq!(changed.iter().filter(|object| object.value.is_none()).count(), 1);
}

/// mirror of a node that lost contact with the platform and then finds an object removed.
fn removed_after_disconnect() -> Mirror {
    let mut mirror = Mirror::new(PREFIX, "s2");
    mirror.apply_snapshot(0, &[object("main", 3)], false);
    mirror.apply_snapshot(9_000, &[], true);
    mirror.record_contact(9_000, Some(5));
    mirror
}

#[test]
fn cut_of_one_node_is_no_outage() {
    let mut merged = MergedMirror::new(PREFIX);
    let mut sound = Mirror::new(PREFIX, "s1");
    sound.apply_snapshot(0, &[object("main", 3)], false);
    for now_ms in (0..9_000).step_by(1_000) {
        sound.record_contact(now_ms, Some(4));
        let news = sound.news(now_ms, merged.mark("sound"));
        merged.apply(now_ms, "sound", news);
    }
    let changed = merged.apply(9_000, "cut", removed_after_disconnect().news(9_000, None));
    assert_eq!(changed.len(), 1);
    assert!(!changed[0].may_have_lapsed, "the platform was reachable all the time");
}

#[test]
fn lapse_in_an_outage_is_one() {
    let mut merged = MergedMirror::new(PREFIX);
    let mut other = Mirror::new(PREFIX, "s1");
    other.apply_snapshot(0, &[object("main", 3)], false);
    other.record_contact(0, Some(3));
    merged.apply(0, "other", other.news(0, None));
    // The other node regains contact first and has not seen the lapse yet.
    other.record_contact(8_900, Some(4));
    merged.apply(8_900, "other", other.news(8_900, merged.mark("other")));
    let changed = merged.apply(9_000, "back", removed_after_disconnect().news(9_000, None));
    assert!(changed[0].may_have_lapsed);
}

#[test]
fn freshness_is_time_since_platform_contact() {
    let mut mirror = Mirror::new(PREFIX, "s1");
    let mut merged = MergedMirror::new(PREFIX);
    merged.apply(0, "node", mirror.news(0, None));
    assert!(!merged.is_fresh(0), "a node that never reached the platform does not count");
    mirror.record_contact(1_000, Some(1));
    merged.apply(2_000, "node", mirror.news(2_000, None));
    assert!(merged.is_fresh(3_000));
    assert!(!merged.is_fresh(3_600), "the last contact is 2.6 s old");
}

#[test]
fn log_restores_objects() {
    let mut mirror = Mirror::new(PREFIX, "s1");
    mirror.apply_snapshot(0, &[object("main", 3)], false);
    let mut replayed = Mirror::new(PREFIX, "s2");
    replayed.replay(&mirror.observed());
    let mut merged = MergedMirror::new(PREFIX);
    assert_eq!(merged.apply(0, "node", replayed.news(0, None)).len(), 1);
}

/// a mirror of `count` objects of one kilobyte each, at revision 5,000.
fn large_mirror(start: &str, count: u64) -> Mirror {
    let mut mirror = Mirror::new(PREFIX, start);
    let objects =
        (0..count).map(|number| Object { value: vec![b'x'; 1_000], ..object(&format!("r{number}"), number) });
    mirror.apply_snapshot(0, &objects.collect::<Vec<_>>(), false);
    mirror.record_contact(0, Some(5_000));
    mirror
}

/// requests news from a node until it has no more; returns the number of objects in each page.
fn follow(merged: &mut MergedMirror, node: &str, mirror: &Mirror, sends_all: bool) -> Vec<usize> {
    let mut pages = Vec::new();
    for _ in 0..1_000 {
        let news = mirror.news_for(0, Some(&merged.mark_for(node)), sends_all);
        let more = news.more;
        pages.push(news.objects.len());
        merged.apply(0, node, news);
        if !more {
            break;
        }
    }
    pages
}

/// Guards against large responses when hundreds of doors start at once with thousands of replicas: a page to
/// each door must stay small, and only one node sends a door all objects.
#[test]
fn thousands_of_objects_come_in_pages_from_one_node() {
    let (first, second) = (large_mirror("s1", 3_000), large_mirror("s2", 3_000));
    let mut merged = MergedMirror::new(PREFIX);
    assert_eq!(
        follow(&mut merged, "b", &second, false),
        [0],
        "a node that was not asked for all objects sends none yet"
    );
    let pages = follow(&mut merged, "a", &first, true);
    assert_eq!(pages.iter().sum::<usize>(), 3_000);
    assert!(pages.iter().all(|page| *page <= 132), "{pages:?}");
    assert_eq!(follow(&mut merged, "b", &second, false), [0], "the second node has nothing new");
    assert_eq!(follow(&mut merged, "b", &second, false), [0]);
}

#[test]
fn second_node_continues_at_the_revision_of_the_first() {
    let (first, mut second) = (large_mirror("s1", 200), large_mirror("s2", 200));
    let mut merged = MergedMirror::new(PREFIX);
    follow(&mut merged, "a", &first, true);
    let changes = [
        Change { key: "config/r1".to_owned(), version: 5_001, value: Some(b"new".to_vec()) },
        Change { key: "config/r2".to_owned(), version: 5_002, value: None },
    ];
    second.apply_changes(0, &changes, false);
    second.record_contact(0, Some(5_002));
    let news = second.news_for(0, Some(&merged.mark_for("b")), false);
    let changed = merged.apply(0, "b", news);
    let changed: Vec<&str> = changed.iter().map(|object| object.key.as_str()).collect();
    assert_eq!(changed, ["config/r1", "config/r2"]);
}

#[test]
fn repeated_page_removes_nothing() {
    let mirror = large_mirror("s1", 400);
    let mut merged = MergedMirror::new(PREFIX);
    let first = mirror.news_for(0, Some(&merged.mark_for("a")), true);
    merged.apply(0, "a", first.clone());
    let second = mirror.news_for(0, Some(&merged.mark_for("a")), true);
    merged.apply(0, "a", second);
    merged.apply(0, "a", first);
    let mut gone = 0;
    loop {
        let news = mirror.news_for(0, Some(&merged.mark_for("a")), true);
        let more = news.more;
        gone += merged.apply(0, "a", news).iter().filter(|object| object.value.is_none()).count();
        if !more {
            break;
        }
    }
    assert_eq!(gone, 0, "replicas that exist were dropped");
}

#[test]
fn object_removed_unseen_is_dropped_after_the_last_page() {
    let mut merged = MergedMirror::new(PREFIX);
    follow(&mut merged, "a", &large_mirror("s1", 400), true);
    // The next node started after an object was removed, so it never knew that object.
    let mut later = Mirror::new(PREFIX, "s2");
    let objects =
        (1..400).map(|number| Object { value: vec![b'x'; 1_000], ..object(&format!("r{number}"), number) });
    later.apply_snapshot(0, &objects.collect::<Vec<_>>(), false);
    later.record_contact(0, Some(6_000));
    let mut gone = Vec::new();
    loop {
        let news = later.news_for(0, Some(&merged.mark_for("b")), true);
        let more = news.more;
        gone.extend(merged.apply(0, "b", news).into_iter().filter(|object| object.value.is_none()));
        if !more {
            break;
        }
    }
    let gone: Vec<&str> = gone.iter().map(|object| object.key.as_str()).collect();
    assert_eq!(gone, ["config/r0"]);
}

#[test]
fn removal_with_dropped_tombstone_is_found_by_a_full_send() {
    let mut mirror = Mirror::new(PREFIX, "s1");
    mirror.apply_snapshot(0, &[object("a", 1), object("b", 2)], false);
    mirror.record_contact(0, Some(2));
    let mut merged = MergedMirror::new(PREFIX);
    follow(&mut merged, "a", &mirror, true);
    // The door is disconnected for longer than a tombstone is kept.
    mirror.apply_changes(1_000, &[Change { key: "config/b".to_owned(), version: 3, value: None }], false);
    mirror.record_contact(1_000, Some(3));
    mirror.expire(100_000);
    let news = mirror.news_for(100_000, Some(&merged.mark_for("a")), true);
    let changed = merged.apply(100_000, "a", news);
    assert!(changed.iter().any(|object| object.key == "config/b" && object.value.is_none()), "{changed:?}");
}

/// Guards against a door that takes its configuration for the newest while it still takes in a newer one.
#[test]
fn current_once_changes_are_applied() {
    let (mut first, mut second) = (Mirror::new(PREFIX, "s1"), Mirror::new(PREFIX, "s2"));
    let mut merged = MergedMirror::new(PREFIX);
    for mirror in [&mut first, &mut second] {
        mirror.apply_snapshot(1_000, &[object("main", 3)], false);
        mirror.record_contact(1_000, Some(3));
    }
    assert_eq!(merged.apply(1_000, "a", first.news(1_000, None)).len(), 1);
    assert!(
        merged.is_fresh(1_000) && !merged.is_current(1_000),
        "the first configuration is not applied yet"
    );
    assert!(merged.apply(1_000, "b", second.news(1_000, None)).is_empty());
    assert!(!merged.is_current(1_000), "another node has nothing new, but the change is still not applied");
    merged.record_applied();
    assert!(merged.is_current(3_000));
    assert!(!merged.is_current(3_600), "the last contact is 2.6 s old");
    second.record_contact(4_000, Some(3));
    merged.apply(4_000, "b", second.news(4_000, merged.mark("b")));
    assert!(merged.is_current(4_000), "news without changes count at once");
}

/// Guards against a change that is applied while a later one waits, and makes the door count as current.
#[test]
fn not_current_while_another_change_is_applied() {
    let mut mirror = Mirror::new(PREFIX, "s1");
    let mut merged = MergedMirror::new(PREFIX);
    for version in [3, 4] {
        mirror.apply_snapshot(1_000, &[object("main", version)], false);
        mirror.record_contact(1_000, Some(version));
        let news = mirror.news(1_000, merged.mark("a"));
        assert_eq!(merged.apply(1_000, "a", news).len(), 1);
    }
    merged.record_applied();
    assert!(!merged.is_current(1_000));
    merged.record_applied();
    assert!(merged.is_current(1_000));
}

/// Guards against pages before the last one, and answers that tell nothing, that make the door count as current.
#[test]
fn partial_news_are_not_current() {
    let (first, second) = (large_mirror("s1", 400), large_mirror("s2", 400));
    let mut merged = MergedMirror::new(PREFIX);
    follow(&mut merged, "b", &second, false);
    assert!(!merged.is_current(0), "a node that sends nothing yet");
    loop {
        let news = first.news_for(0, Some(&merged.mark_for("a")), true);
        let more = news.more;
        if !merged.apply(0, "a", news).is_empty() {
            merged.record_applied();
        }
        assert_eq!(merged.is_current(0), !more);
        if !more {
            break;
        }
    }
}

/// Guards against a door that reads the platform itself and never counts as current, or too early.
#[test]
fn own_reads_are_current_once_applied() {
    let mut mirror = Mirror::new(PREFIX, "own");
    mirror.apply_snapshot(0, &[object("main", 3)], false);
    mirror.record_contact(0, Some(3));
    let mut merged = MergedMirror::new(PREFIX);
    assert_eq!(merged.apply_direct(0, mirror.news(0, None)).len(), 1);
    assert!(!merged.is_current(0));
    merged.record_applied();
    assert!(merged.is_current(0) && !merged.is_fresh(0));
}
