//! membership changes of the ledger's view, and the quorum sizes.

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

/// the change that node `own` proposes; `silent` gives the milliseconds for which a member has not answered.
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
fn read_quorums_intersect_write_quorums() {
    for lost_disks in 0..4 {
        for members in lost_disks + 1..12 {
            let quorum = Quorum::new(members, lost_disks);
            assert!(quorum.write() + quorum.read() > members, "{members} members, {lost_disks} lost");
            assert!(quorum.write() > lost_disks);
            if members > 2 * lost_disks {
                assert!(
                    quorum.write() <= members - lost_disks,
                    "writes succeed while {lost_disks} of {members} members are down"
                );
                assert!(
                    quorum.read() <= members - lost_disks,
                    "reads succeed while {lost_disks} of {members} members are down"
                );
            }
        }
    }
}

#[test]
fn spare_node_joins_on_a_vacancy() {
    assert_eq!(propose(&view(&["a", "b"]), &member("c"), &[], &[]), Some(ViewChange::Join));
    assert_eq!(
        propose(&view(&["a", "b", "c"]), &member("d"), &[], &[]),
        None,
        "a spare node does not join a full view"
    );
    assert_eq!(propose(&view(&["a", "b", "c"]), &member("d"), &[("b", 2_000)], &[]), Some(ViewChange::Join));
    assert_eq!(propose(&view(&["a", "b", "c"]), &member("d"), &[], &["b"]), Some(ViewChange::Join));
    assert_eq!(
        propose(&view(&["a", "b"]), &member("c"), &[], &["c"]),
        None,
        "a node to be retired does not join"
    );
}

#[test]
fn node_with_a_new_disk_rejoins() {
    let own = LedgerMember { disk: "new".to_owned(), ..member("a") };
    assert_eq!(propose(&view(&["a", "b", "c"]), &own, &[], &[]), Some(ViewChange::Rejoin));
}

#[test]
fn silent_member_is_evicted_after_its_replacement_joined() {
    let three = view(&["a", "b", "c"]);
    assert_eq!(propose(&three, &member("a"), &[("b", 60_000)], &[]), None, "no replacement has joined");
    let four = view(&["a", "b", "c", "d"]);
    assert_eq!(propose(&four, &member("a"), &[("b", 2_000)], &[]), None, "it may only be frozen");
    assert_eq!(propose(&four, &member("a"), &[("b", 5_000)], &[]), Some(ViewChange::Evict));
    assert_eq!(
        propose(&four, &member("a"), &[("b", 5_000), ("c", 2_000)], &[]),
        None,
        "another member is unhealthy"
    );
}

#[test]
fn retiring_node_leaves_once_all_others_are_healthy() {
    let three = view(&["a", "b", "c"]);
    assert_eq!(propose(&three, &member("a"), &[], &["a"]), Some(ViewChange::Retire));
    assert_eq!(
        propose(&three, &member("a"), &[("b", 2_000)], &["a"]),
        None,
        "b may not have stored its records"
    );
}
