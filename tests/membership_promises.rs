//! invariants of membership under failures: views converge, no false deaths, and a bounded byte rate.

#![allow(clippy::unwrap_used, reason = "a test fails where it unwraps")]

mod membership_network;

use std::net::SocketAddr;

use flamingostand::ids::Incarnation;
use flamingostand::membership::MembershipAction;
use flamingostand::membership::MembershipInput;
use flamingostand::schema::Datagram;
use membership_network::Network;
use membership_network::address;
use proptest::prelude::*;
use test_case::test_case;

const COUNT: usize = 7;
const MAX_FREEZE_MS: u64 = 6_000;
/// maximum number of bytes that an instance sends within a second.
const MAX_SECOND_BYTES: u64 = 4096;

/// one injected fault, recovery or wait.
#[derive(Clone, Debug)]
enum Event {
    Crash(usize),
    Restart(usize),
    Freeze(usize, u64),
    BlockLink(usize, usize),
    Heal,
    Loss(u32),
    Run(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => (0..COUNT).prop_map(Event::Crash),
        2 => (0..COUNT).prop_map(Event::Restart),
        1 => (0..COUNT, 100..MAX_FREEZE_MS).prop_map(|(index, for_ms)| Event::Freeze(index, for_ms)),
        3 => (0..COUNT, 0..COUNT).prop_map(|(from, to)| Event::BlockLink(from, to)),
        1 => Just(Event::Heal),
        1 => (0..30_u32).prop_map(Event::Loss),
        4 => (50..4_000_u64).prop_map(Event::Run),
    ]
}

fn apply(network: &mut Network, event: &Event) {
    match *event {
        Event::Crash(index) => network.crash(index),
        Event::Restart(index) => {
            network.add(index);
            network.send_list(index, 0..COUNT);
        }
        Event::Freeze(index, for_ms) if network.nodes.contains_key(&index) => network.freeze(index, for_ms),
        Event::Freeze(..) => {}
        Event::BlockLink(from, to) => {
            network.blocked_links.insert((from, to));
        }
        Event::Heal => network.blocked_links.clear(),
        Event::Loss(percent) => network.loss_percent = percent,
        Event::Run(for_ms) => network.run(for_ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: ProptestConfig::default().cases / 8,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn views_converge(seed in any::<u64>(), events in prop::collection::vec(event(), 1..25)) {
        let mut network = Network::start(COUNT, seed);
        for event in &events {
            apply(&mut network, event);
        }
        network.blocked_links.clear();
        network.loss_percent = 0;
        // The longest freeze has to end before convergence is timed.
        network.run(MAX_FREEZE_MS);
        prop_assert!(network.run_until(300_000, Network::converged).is_some());
        network.run(5_000);
        network.deaths.clear();
        network.run(20_000);
        prop_assert!(network.converged());
        prop_assert!(network.deaths.is_empty());
        let latest: Vec<&Incarnation> =
            network.nodes.values().map(|node| &node.view.own_incarnation).collect();
        for node in network.nodes.values() {
            let alive = node.view.members.iter().filter(|member| !member.is_gone());
            prop_assert!(alive.map(|member| &member.incarnation).eq(latest.iter().copied()));
        }
        for node in network.nodes.values() {
            prop_assert!(node.peak_second_bytes <= MAX_SECOND_BYTES);
        }
    }
}

#[test_case(9, 21)]
#[test_case(9, 22)]
#[test_case(30, 23)]
fn no_false_death(count: usize, seed: u64) {
    let mut network = Network::start(count, seed);
    assert!(network.run_until(60_000, Network::converged).is_some());
    network.loss_percent = 5;
    network.run(600_000);
    assert_eq!(network.deaths, []);
}

/// guards against false deaths after short pauses: a third of the instances stop for longer than a probe
/// timeout but for less than a suspicion lasts.
#[test]
fn short_pauses_harmless() {
    for seed in 0..40 {
        let mut network = Network::start(9, seed);
        assert!(network.run_until(10_000, Network::converged).is_some());
        network.run(3_000);
        for paused in [[0, 1, 2], [3, 4, 5]] {
            for index in paused {
                network.freeze(index, 900);
            }
            network.run(5_000);
        }
        assert_eq!(network.deaths, [], "seed {seed}");
    }
}

#[test]
fn byte_rate_kept() {
    let mut network = Network::start(30, 31);
    network.run(20_000);
    for round in 0..10 {
        network.reset_counters();
        for index in 0..10 {
            network.add(3 * index + round % 3);
            network.send_list(3 * index + round % 3, 0..30);
        }
        network.run(10_000);
        for node in network.nodes.values() {
            assert!(node.peak_second_bytes <= MAX_SECOND_BYTES);
        }
    }
}

#[test_case(Network::start(60, 32); "found by the list")]
#[test_case(Network::start_known(60, 33); "known from the start")]
fn quiet_when_settled(mut network: Network) {
    network.run(60_000);
    assert!(network.converged());
    network.reset_counters();
    network.run(10_000);
    let sent: u64 = network.nodes.values().map(|node| node.sent_count).sum();
    // Each instance sends 2.5 probes a second and as many acks, and nothing else.
    assert!(sent <= 60 * 10 * 5);
}

#[test]
fn versions_are_reported() {
    let mut network = Network::start(9, 41);
    assert!(network.run_until(10_000, Network::converged).is_some());
    network.input(4, MembershipInput::ReleaseInForce(7));
    let seen = |now: &Network| {
        now.nodes
            .values()
            .all(|node| node.view.find_by_mesh(address(4)).is_some_and(|member| member.release_version == 7))
    };
    assert!(network.run_until(5_000, seen).is_some());
    network.run(1_000);
    let counts: Vec<u64> = network.nodes.values().map(|node| node.view_count).collect();
    network.run(10_000);
    assert!(
        network.nodes.values().map(|node| node.view_count).eq(counts),
        "published a view although nothing changed"
    );
}

#[test]
fn older_start_superseded() {
    let mut network = Network::start(9, 51);
    assert!(network.run_until(10_000, Network::converged).is_some());
    let mut older = network.nodes.remove(&8).unwrap();
    network.add(8);
    network.send_list(8, 0..9);
    assert!(network.run_until(10_000, Network::converged).is_some());
    network.run(1_000);
    // The older incarnation was frozen, wakes and probes as before; the acks tell it that it is superseded.
    let actions = older.membership.handle(network.now_ms, MembershipInput::Tick);
    let mut superseded = false;
    for action in actions {
        let MembershipAction::Send { to, datagram } = action else {
            continue;
        };
        for reply in replies(&mut network, to, datagram) {
            let input = MembershipInput::Datagram { from: to, datagram: Box::new(reply) };
            for action in older.membership.handle(network.now_ms, input) {
                if let MembershipAction::PublishView(view) = action {
                    superseded |= view.own().is_none();
                }
            }
        }
    }
    assert!(superseded);
    network.run(5_000);
    assert!(network.converged());
    let newer = network.nodes[&8].view.own_incarnation.clone();
    assert!(network.nodes.values().all(|node| node.view.find(&newer).is_some()));
}

/// datagrams that the instance at `to` sends back to entry 8 on receipt of `datagram`.
fn replies(network: &mut Network, to: SocketAddr, datagram: Box<Datagram>) -> Vec<Datagram> {
    let index = (0..9).find(|index| address(*index) == to).unwrap();
    let now_ms = network.now_ms;
    let input = MembershipInput::Datagram { from: address(8), datagram };
    let actions = network.nodes.get_mut(&index).unwrap().membership.handle(now_ms, input);
    let sends = actions.into_iter().filter_map(|action| match action {
        MembershipAction::Send { to, datagram } if to == address(8) => Some(*datagram),
        _ => None,
    });
    sends.collect()
}

#[test]
fn datagrams_stay_small() {
    let mut network = Network::start(100, 61);
    network.run(30_000);
    assert!(network.largest_bytes <= 1_200 + 28);
}
