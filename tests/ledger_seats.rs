//! which nodes sit in the ledger's view, and how many of them must answer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use flamingostand::ledger::PeerState;
use flamingostand::ledger::Quorum;
use flamingostand::ledger::ViewChange;
use flamingostand::ledger::ViewPlanner;
use flamingostand::ledger::empty_view;
use flamingostand::ledger::with_member;
use flamingostand::schema::LedgerMember;
use flamingostand::schema::LedgerView;

fn member(name: &str) -> LedgerMember {
    LedgerMember { name: name.to_owned(), disk: format!("disk-{name}"), mesh: "10.0.0.1:7000".to_owned() }
}

fn view(names: &[&str]) -> LedgerView {
    names.iter().fold(empty_view(1), |view, name| with_member(&view, &member(name)))
}

/// what the node `own` proposes; `silent` members have not answered for that long.
fn propose(
    view: &LedgerView,
    own: &LedgerMember,
    silent: &[(&str, u64)],
    retiring: &[&str],
) -> Option<ViewChange> {
    let state = |name: &str| PeerState {
        silent_ms: silent.iter().find(|(silent, _)| *silent == name).map_or(0, |(_, ms)| *ms),
        complete: true,
    };
    let others = view.members.iter().filter(|member| member.name != own.name);
    let peers: BTreeMap<String, PeerState> =
        others.map(|member| (member.name.clone(), state(&member.name))).collect();
    let retiring: BTreeSet<String> = retiring.iter().map(|name| (*name).to_owned()).collect();
    let plan = ViewPlanner {
        own,
        own_complete: true,
        view,
        peers: &peers,
        has_handed_over: true,
        retiring: &retiring,
    };
    plan.propose().map(|(change, _)| change)
}

#[test]
fn quorums_meet() {
    for lost_disks in 0..4 {
        for members in lost_disks + 1..12 {
            let quorum = Quorum::new(members, lost_disks);
            assert!(quorum.write() + quorum.read() > members, "{members} members, {lost_disks} lost");
            assert!(quorum.write() > lost_disks);
            if members > 2 * lost_disks {
                assert!(quorum.write() <= members - lost_disks, "writes go on while some are away");
                assert!(quorum.read() <= members - lost_disks, "reads go on while some are away");
            }
        }
    }
}

#[test]
fn seats_are_taken() {
    assert_eq!(propose(&view(&["a", "b"]), &member("c"), &[], &[]), Some(ViewChange::Join));
    assert_eq!(propose(&view(&["a", "b", "c"]), &member("d"), &[], &[]), None, "a spare node waits");
    assert_eq!(propose(&view(&["a", "b", "c"]), &member("d"), &[("b", 2_000)], &[]), Some(ViewChange::Join));
    assert_eq!(propose(&view(&["a", "b", "c"]), &member("d"), &[], &["b"]), Some(ViewChange::Join));
    assert_eq!(propose(&view(&["a", "b"]), &member("c"), &[], &["c"]), None, "it is to be emptied");
}

#[test]
fn new_disk_takes_its_seat_again() {
    let own = LedgerMember { disk: "new".to_owned(), ..member("a") };
    assert_eq!(propose(&view(&["a", "b", "c"]), &own, &[], &[]), Some(ViewChange::Rejoin));
}

#[test]
fn silent_member_is_evicted_last() {
    let three = view(&["a", "b", "c"]);
    assert_eq!(propose(&three, &member("a"), &[("b", 60_000)], &[]), None, "nobody sits beside it");
    let four = view(&["a", "b", "c", "d"]);
    assert_eq!(propose(&four, &member("a"), &[("b", 2_000)], &[]), None, "it may be frozen");
    assert_eq!(propose(&four, &member("a"), &[("b", 5_000)], &[]), Some(ViewChange::Evict));
    assert_eq!(
        propose(&four, &member("a"), &[("b", 5_000), ("c", 2_000)], &[]),
        None,
        "too few would be left"
    );
}

#[test]
fn node_to_be_emptied_leaves() {
    let three = view(&["a", "b", "c"]);
    assert_eq!(propose(&three, &member("a"), &[], &["a"]), Some(ViewChange::Retire));
    assert_eq!(propose(&three, &member("a"), &[("b", 2_000)], &["a"]), None, "b could not take its records");
}
