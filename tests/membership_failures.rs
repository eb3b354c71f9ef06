//! membership under crashes, pauses, departures and partitions.

mod membership_network;

use flamingostand::membership::MembershipInput;
use flamingostand::schema::MemberHealth;
use membership_network::Network;
use membership_network::address;
use test_case::test_case;

const ALL_BUT_LAST: [usize; 8] = [0, 1, 2, 3, 4, 5, 6, 7];

fn converged_network(seed: u64) -> Network {
    let mut network = Network::start(9, seed);
    assert!(
        network.run_until(10_000, Network::converged).is_some(),
        "views did not converge after the start"
    );
    network.run(2_000);
    network
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn crash_detected(seed: u64) {
    let mut network = converged_network(seed);
    network.crash(8);
    let detected = network.run_until(10_000, |now| now.all_see(&ALL_BUT_LAST, 8, MemberHealth::Dead));
    assert!(detected.is_some());
    network.run(60_000);
    assert!(network.deaths.iter().all(|(_, _, name)| *name == membership_network::name(8)));
}

#[test_case(1)]
#[test_case(2)]
fn freeze_and_wake(seed: u64) {
    let mut network = converged_network(seed);
    network.freeze(8, 30_000);
    network.run(29_000);
    assert!(network.all_see(&ALL_BUT_LAST, 8, MemberHealth::Dead));
    assert!(network.run_until(5_000, Network::converged).is_some());
    network.deaths.clear();
    network.run(60_000);
    assert_eq!(network.deaths, []);
    assert!(network.converged());
}

#[test]
fn leave_seen_at_once() {
    let mut network = converged_network(4);
    network.input(8, MembershipInput::Leave);
    let leaving = |now: &Network| {
        ALL_BUT_LAST.iter().all(|observer| {
            now.nodes[observer].view.find_by_mesh(address(8)).is_some_and(|member| member.leaving)
        })
    };
    assert!(network.run_until(1_000, leaving).is_some());
    network.run(2_000);
    network.input(8, MembershipInput::Left);
    network.crash(8);
    let detected = network.run_until(1_000, |now| now.all_see(&ALL_BUT_LAST, 8, MemberHealth::Left));
    assert!(detected.is_some());
    network.run(30_000);
    assert_eq!(network.deaths, []);
}

#[test_case(5)]
#[test_case(6)]
fn split_heals(seed: u64) {
    let mut network = converged_network(seed);
    network.partition(&[0, 1, 2, 3], &[4, 5, 6, 7, 8]);
    network.run(30_000);
    assert!(network.all_see(&[4, 5, 6, 7, 8], 0, MemberHealth::Dead));
    network.blocked_links.clear();
    assert!(network.run_until(10_000, Network::converged).is_some());
    network.deaths.clear();
    network.run(60_000);
    assert_eq!(network.deaths, []);
}

/// guards against an instance that stays suspect for ever: one instance suspects another that no other member
/// knows, gossips it and crashes itself. The instances that learned of the suspicion have to end it.
#[test]
fn orphan_suspicion_ends() {
    let mut network = Network::start(7, 2172944540102766815);
    network.run(50);
    network.crash(4);
    network.crash(1);
    network.add(2);
    network.send_list(2, 0..7);
    network.run(2_015);
    network.crash(5);
    assert!(network.run_until(60_000, Network::converged).is_some());
}
