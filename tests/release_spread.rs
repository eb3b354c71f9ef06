//! releases reach every instance, and none goes back: frozen, fresh, cut off, or with a platform of the past.

mod release_world;

use flamingostand::release::ReleaseAnswer;
use flamingostand::schema::ReleaseNote;
use release_world::World;
use release_world::store::Mode;
use serde_json::json;
use test_case::test_case;

const ZONES: [&str; 3] = ["munster-a", "munster-b", "munster-c"];

/// the stated bound from acceptance to in force everywhere.
const BOUND_MS: u64 = 8_000;

/// the target at the sizes of today.
const TARGET_MS: u64 = 2_000;

fn model(id: &str, tokens: usize) -> ReleaseNote {
    let value =
        json!({ "against_version": 0, "summary": "x".repeat(tokens), "added": [{ "model": { "id": id } }] });
    serde_json::from_value(value).expect("a release note")
}

fn grow(world: &mut World, from: u64, count: u64) {
    for index in from..from + count {
        let node = world.nodes.iter().position(|node| node.is_live()).expect("one is up");
        let answer = world.accept_and_wait(node, "ana", &model(&format!("m-{index}"), 0));
        assert_eq!(answer, ReleaseAnswer::Accepted { version: index, repeated: false });
    }
}

/// time from the answer until the version is in force on all live instances.
fn time_to_all(world: &mut World, version: u64, limit_ms: u64) -> u64 {
    let start_ms = world.now_ms;
    let live = world.nodes.iter().filter(|node| node.is_live()).count();
    while world.now_ms < start_ms + limit_ms {
        let there = world.nodes.iter().filter(|node| node.is_live() && node.in_force >= version);
        if there.count() == live {
            return world.now_ms - start_ms;
        }
        world.run(1);
    }
    panic!("version {version} is not in force everywhere after {limit_ms} ms");
}

#[test_case(1; "three instances")]
#[test_case(3; "nine instances")]
#[test_case(10; "thirty instances")]
fn quiet_spread(per_zone: usize) {
    let mut world = World::new(&ZONES, per_zone, 1);
    world.run(2_000);
    grow(&mut world, 1, 10);
    time_to_all(&mut world, 10, TARGET_MS);
}

#[test]
fn frozen_watchers() {
    let mut world = World::new(&ZONES, 3, 2);
    world.run(2_000);
    grow(&mut world, 1, 3);
    world.freeze(1);
    world.freeze(4);
    grow(&mut world, 4, 3);
    time_to_all(&mut world, 6, BOUND_MS);
    world.run(180_000);
    world.thaw(1);
    world.thaw(4);
    time_to_all(&mut world, 6, BOUND_MS);
}

#[test]
fn frozen_acceptor() {
    let mut world = World::new(&ZONES, 3, 3);
    world.run(2_000);
    world.accept(2, "ana", &model("m-1", 0));
    while world.store.created.is_empty() {
        world.run(1);
    }
    world.freeze(2);
    time_to_all(&mut world, 1, BOUND_MS);
}

#[test]
fn platform_past() {
    let mut world = World::new(&ZONES, 3, 4);
    world.run(2_000);
    grow(&mut world, 1, 2);
    world.store.switch(Mode::Stale);
    world.run(500);
    world.store.switch(Mode::Up);
    grow(&mut world, 3, 2);
    world.run(1_000);
    world.store.mode = Mode::Stale;
    world.restart(5);
    world.run(3_000);
    assert_eq!(world.nodes[5].in_force, 4);
}

/// the platform answers from before the newest releases; peers know better, and a fresh instance waits.
#[test]
fn fresh_past() {
    let mut world = World::new(&ZONES, 3, 5);
    world.run(2_000);
    grow(&mut world, 1, 2);
    world.run(1_000);
    world.store.switch(Mode::Stale);
    let answer = world.accept_and_wait(0, "ana", &model("m-3", 0));
    // Its own reads are answered from the past, so the acceptor cannot tell yet.
    assert!(matches!(answer, ReleaseAnswer::Unavailable { unknown: true, .. }));
    world.store.mode = Mode::Up;
    world.run(8_000);
    assert_eq!(world.in_force_count(3), 9);
    world.store.mode = Mode::Stale;
    world.restart(6);
    world.run(5_000);
    assert_eq!(world.nodes[6].in_force, 3);
}

/// the peers are known to be ahead, but silent: a fresh instance does not start with what it has.
#[test]
fn silent_peers() {
    let mut world = World::new(&ZONES, 1, 13);
    world.run(2_000);
    world.store.switch(Mode::Stale);
    world.accept(0, "ana", &model("m-1", 0));
    world.run(100);
    world.store.mode = Mode::Up;
    world.run(8_000);
    assert_eq!(world.in_force_count(1), 3);
    world.store.mode = Mode::Stale;
    world.freeze(0);
    world.freeze(1);
    world.restart(2);
    world.run(5_000);
    assert!(!world.nodes[2].releases.is_serving());
    world.thaw(0);
    world.run(5_000);
    assert_eq!(world.nodes[2].in_force, 1);
}

#[test]
fn fresh_outage() {
    let mut world = World::new(&ZONES, 3, 6);
    world.run(2_000);
    grow(&mut world, 1, 4);
    world.run(1_000);
    world.store.switch(Mode::Down);
    let start_ms = world.now_ms;
    world.restart(7);
    world.run(3_000);
    assert_eq!(world.nodes[7].in_force, 4);
    assert!(world.nodes[7].served_ms.expect("it serves") < start_ms + TARGET_MS);
}

/// more than peers keep in memory: the fresh instance gets a snapshot from them, part by part.
#[test]
fn outage_snapshot() {
    let mut world = World::new(&ZONES, 1, 7);
    world.run(2_000);
    for index in 1..=1_300_u64 {
        let note = model(&format!("m-{index}"), 380);
        world.accept_and_wait((index % 3) as usize, "ana", &note);
    }
    world.run(2_000);
    world.store.switch(Mode::Down);
    world.restart(1);
    world.run(4_000);
    assert_eq!(world.nodes[1].in_force, 1_300);
}

/// with the platform out and no peer in force, nothing is known to be current.
#[test]
fn lonely_outage() {
    let mut world = World::new(&ZONES, 1, 8);
    world.store.switch(Mode::Down);
    world.run(20_000);
    assert!(world.nodes.iter().all(|node| !node.releases.is_serving()));
    world.store.switch(Mode::Up);
    world.run(15_000);
    assert!(world.nodes.iter().all(|node| node.releases.is_serving()));
}

#[test]
fn watch_gap() {
    let mut world = World::new(&ZONES, 3, 9);
    world.run(2_000);
    grow(&mut world, 1, 2);
    world.store.forget_changes();
    grow(&mut world, 3, 1);
    time_to_all(&mut world, 3, BOUND_MS);
}

/// idle, an instance that watches makes at most 5 calls a minute, the others at most 2.
#[test]
fn idle_calls() {
    let mut world = World::new(&ZONES, 3, 10);
    world.run(5_000);
    grow(&mut world, 1, 1);
    world.run(100_000);
    world.store.calls.clear();
    world.run(600_000);
    let calls: u64 = world.store.calls.values().sum();
    let (watchers, others, minutes) = (3, 6, 10);
    assert!(calls <= (5 * watchers + 2 * others) * minutes, "{calls} calls: {:?}", world.store.calls);
}

/// what is older than the last two snapshots goes, and a fresh instance still finds everything.
#[test]
fn bounded_objects() {
    let mut world = World::new(&ZONES, 3, 11);
    world.run(2_000);
    grow(&mut world, 1, 1_100);
    world.run(30_000);
    assert!(world.store.objects.len() < 2 * 256 + 256 + 20, "{} objects", world.store.objects.len());
    world.restart(0);
    world.run(3_000);
    assert_eq!(world.nodes[0].in_force, 1_100);
}
