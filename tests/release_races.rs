//! racing operators, lost replies and leftovers over an in-memory platform, against a naive fold.

mod release_world;

use std::collections::BTreeSet;

use flamingostand::release::ReleaseAnswer;
use flamingostand::release::mark_of;
use flamingostand::schema::ReleaseNote;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use release_world::World;
use release_world::store::Mode;
use serde_json::json;

const ZONES: [&str; 3] = ["ljubljana-a", "ljubljana-b", "ljubljana-c"];

fn note(value: serde_json::Value) -> ReleaseNote {
    serde_json::from_value(value).expect("a release note")
}

fn model(against: u64, id: &str) -> ReleaseNote {
    note(json!({ "against_version": against, "added": [{ "model": { "id": id } }] }))
}

fn model_change(against: u64, id: &str, context_tokens: u64) -> ReleaseNote {
    let entry = json!({ "model": { "id": id, "context_tokens": context_tokens } });
    note(json!({ "against_version": against, "changed": [entry] }))
}

fn accepted(answer: &ReleaseAnswer) -> Option<u64> {
    match answer {
        ReleaseAnswer::Accepted { version, .. } => Some(*version),
        _ => None,
    }
}

/// two operators change the same entry from different instances: one wins, the other is told by whom.
#[test]
fn racing_operators() {
    let mut world = World::new(&ZONES, 3, 7);
    world.run(1_500);
    assert_eq!(accepted(&world.accept_and_wait(0, "ana", &model(0, "reader"))), Some(1));
    for round in 0..100_u64 {
        world.run(37);
        let against = round + 1;
        let left =
            world.accept((round % 9) as usize, "ana", &model_change(against, "reader", 2 * round + 10));
        let right =
            world.accept(((round + 4) % 9) as usize, "bor", &model_change(against, "reader", 2 * round + 11));
        world.run(1_000);
        let answers = [world.answers[&left].clone(), world.answers[&right].clone()];
        let winners: Vec<u64> = answers.iter().filter_map(accepted).collect();
        assert_eq!(winners, [against + 1], "round {round}: {answers:?}");
        let loser = answers.iter().find(|answer| accepted(answer).is_none()).expect("one lost");
        let ReleaseAnswer::Refused { findings, conflict: true, .. } = loser else {
            panic!("round {round}: {loser:?}");
        };
        assert_eq!(findings.list.len(), 1);
        assert_eq!(findings.list[0].place, "/changed/0/model");
    }
    assert_eq!(world.in_force_count(101), 9);
}

/// operators who change different entries all get through, each note once.
#[test]
fn disjoint_notes() {
    let mut world = World::new(&ZONES, 3, 8);
    world.run(1_500);
    let mut tickets = Vec::new();
    for node in 0..9 {
        for index in 0..3 {
            tickets.push(world.accept(node, "ana", &model(0, &format!("m-{node}-{index}"))));
        }
    }
    world.run(4_000);
    let versions: BTreeSet<u64> =
        tickets.iter().filter_map(|ticket| accepted(&world.answers[ticket])).collect();
    assert_eq!(versions, (1..=27).collect());
    assert_eq!(world.in_force_count(27), 9);
}

/// a note accepted twice, also through two instances at once, is one acceptance.
#[test]
fn repeated_note() {
    let mut world = World::new(&ZONES, 3, 9);
    world.run(1_500);
    let first = world.accept(0, "ana", &model(0, "reader"));
    let second = world.accept(5, "ana", &model(0, "reader"));
    world.run(2_000);
    assert_eq!(accepted(&world.answers[&first]), Some(1));
    assert_eq!(accepted(&world.answers[&second]), Some(1));
    for index in 0..20 {
        world.accept_and_wait(2, "bor", &model(1, &format!("m-{index}")));
    }
    let late = world.accept_and_wait(7, "ana", &model(0, "reader"));
    assert_eq!(late, ReleaseAnswer::Accepted { version: 1, repeated: true });
}

/// replies to writes are lost; reading back settles who made the version.
#[test]
fn lost_replies() {
    let mut world = World::new(&ZONES, 3, 10);
    world.run(1_500);
    world.store.switch(Mode::Deaf);
    let answer = world.accept_and_wait(0, "ana", &model(0, "reader"));
    assert_eq!(answer, ReleaseAnswer::Accepted { version: 1, repeated: false });
    let answer = world.accept_and_wait(4, "ana", &model(0, "reader"));
    assert_eq!(answer, ReleaseAnswer::Accepted { version: 1, repeated: true });
}

/// the write takes effect, then the platform goes away: the operator is told that it is not known.
#[test]
fn unknown_outcome() {
    let mut world = World::new(&ZONES, 3, 11);
    world.run(1_500);
    world.store.switch(Mode::LastWrite);
    let ticket = world.accept(0, "ana", &model(0, "reader"));
    world.run(6_000);
    assert_eq!(world.store.created.len(), 1);
    assert!(matches!(world.answers[&ticket], ReleaseAnswer::Unavailable { unknown: true, .. }));
    world.store.switch(Mode::Up);
    world.run(8_000);
    let answer = world.accept_and_wait(3, "ana", &model(0, "reader"));
    assert_eq!(answer, ReleaseAnswer::Accepted { version: 1, repeated: true });
}

/// an instance that was paused over two snapshots makes a number that was swept; it never counts.
#[test]
fn swept_number() {
    let mut world = World::new(&ZONES, 3, 12);
    world.run(1_500);
    for index in 0..5 {
        world.accept_and_wait(0, "ana", &model(index, &format!("early-{index}")));
    }
    world.run(1_000);
    // The note reaches the paused instance, which decides on a create before it hears of anything else.
    world.freeze(8);
    world.store.forget_changes();
    let late = world.accept(8, "bor", &model(5, "late"));
    for index in 0..900_u64 {
        world.accept_and_wait((index % 7) as usize, "ana", &model(5, &format!("m-{index}")));
    }
    world.run(20_000);
    assert!(!world.store.objects.contains_key("release/000000000006"), "the sweep has passed");
    world.thaw(8);
    world.run(10_000);
    let leftovers = world.store.created.iter().filter(|(key, _)| key == "release/000000000006").count();
    assert_eq!(leftovers, 2, "the paused instance made the number again");
    assert_eq!(accepted(&world.answers[&late]), Some(906));
    assert_eq!(world.in_force_count(906), 9);
    // A second fresh instance reads past the leftover too.
    world.restart(3);
    world.run(3_000);
    assert_eq!(world.nodes[3].in_force, 906);
}

/// faults of every kind in random order; all instances end with the same configuration.
#[test]
fn random_faults() {
    for seed in 0..20 {
        random_world(seed);
    }
}

fn random_world(seed: u64) {
    let mut world = World::new(&ZONES, 3, seed);
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    world.run(1_500);
    let mut tickets = Vec::new();
    for step in 0..120_u64 {
        let node = rng.random_range(0..9_usize);
        match rng.random_range(0..12_u32) {
            0 => world.store.switch(Mode::Deaf),
            1 => world.store.switch(Mode::Down),
            2 => world.store.switch(Mode::Stale),
            3 | 4 => world.store.switch(Mode::Up),
            5 => world.store.forget_changes(),
            6 if !world.nodes[node].frozen => world.freeze(node),
            7 => world.restart(node),
            _ => {}
        }
        for other in 0..9 {
            if world.nodes[other].frozen && rng.random_bool(0.2) {
                world.thaw(other);
            }
        }
        let against = world.nodes[node].in_force;
        let note = if rng.random_bool(0.5) {
            model(against, &format!("m-{}", rng.random_range(0..30_u32)))
        } else {
            model_change(against, &format!("m-{}", rng.random_range(0..30_u32)), step + 1)
        };
        if world.nodes[node].releases.is_serving() && !world.nodes[node].frozen {
            tickets.push((world.accept(node, "ana", &note), note));
        }
        world.run(rng.random_range(0..700));
    }
    world.store.switch(Mode::Up);
    for node in 0..9 {
        world.thaw(node);
    }
    world.run(20_000);
    let created = world.store.created.clone();
    let releases = world.naive.releases(&created).to_vec();
    assert_eq!(world.in_force_count(releases.len() as u64), 9, "seed {seed}");
    for (ticket, note) in &tickets {
        let mark = mark_of(note);
        let made: Vec<u64> =
            releases.iter().filter(|release| release.mark == mark).map(|release| release.version).collect();
        assert!(made.len() <= 1, "seed {seed}: accepted twice");
        match world.answers.get(ticket) {
            Some(ReleaseAnswer::Accepted { version, .. }) => assert_eq!(made, [*version], "seed {seed}"),
            Some(ReleaseAnswer::Unavailable { unknown: false, .. }) => {
                assert!(made.is_empty() || repeated(&tickets, note), "seed {seed}: {made:?}");
            }
            // A restarted instance forgets its operators.
            Some(ReleaseAnswer::Refused { .. } | ReleaseAnswer::Unavailable { .. }) | None => {}
        }
    }
}

/// tells whether the same note was sent more than once.
fn repeated(tickets: &[(u64, ReleaseNote)], note: &ReleaseNote) -> bool {
    tickets.iter().filter(|(_, other)| other == note).count() > 1
}
