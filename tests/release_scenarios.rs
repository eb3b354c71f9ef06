//! releases as operators see them, in scripts over an in-memory platform.

mod release_world;

use datadriven::TestCase;
use flamingostand::release::ReleaseAnswer;
use flamingostand::schema::ReleaseNote;
use release_world::World;
use release_world::store::Mode;

fn step(world: &mut World, case: &TestCase) -> String {
    let word = |name: &str| case.args.get(name).map_or("", |values| values[0].as_str());
    match case.directive.as_str() {
        "world" => {
            let zones: Vec<&str> = case.args["zones"].iter().map(String::as_str).collect();
            let per_zone = word("per_zone").parse().expect("a count");
            *world = World::new(&zones, per_zone, word("seed").parse().unwrap_or(1));
        }
        "run" => world.run(word("ms").parse().expect("a duration")),
        // The past is that of the last switch to `stale`.
        "platform" if word("mode") == "past" => world.store.mode = Mode::Stale,
        "platform" => world.store.switch(mode(word("mode"))),
        "forget" => world.store.forget_changes(),
        "freeze" => world.freeze(world.node(word("at"))),
        "thaw" => world.thaw(world.node(word("at"))),
        "kill" => world.kill(world.node(word("at"))),
        "restart" => world.restart(world.node(word("at"))),
        "accept" => {
            let note: ReleaseNote = serde_json::from_str(&case.input).expect("a note");
            let node = world.node(word("at"));
            let answer = world.accept_and_wait(node, word("operator"), &note);
            return describe(&answer);
        }
        "status" => return status(world),
        other => panic!("no directive {other}"),
    }
    String::new()
}

fn mode(name: &str) -> Mode {
    match name {
        "up" => Mode::Up,
        "down" => Mode::Down,
        "deaf" => Mode::Deaf,
        "last_write" => Mode::LastWrite,
        "stale" => Mode::Stale,
        other => panic!("no mode {other}"),
    }
}

fn describe(answer: &ReleaseAnswer) -> String {
    match answer {
        ReleaseAnswer::Accepted { version, repeated: false } => format!("accepted as version {version}\n"),
        ReleaseAnswer::Accepted { version, repeated: true } => format!("was accepted as version {version}\n"),
        ReleaseAnswer::Unavailable { unknown: true, .. } => "unavailable, and not known\n".to_owned(),
        ReleaseAnswer::Unavailable { unknown: false, .. } => "unavailable, not accepted\n".to_owned(),
        ReleaseAnswer::Refused { findings, version, conflict } => {
            let what = if *conflict { "conflict" } else { "faulty" };
            format!("{what} at version {version}\n{}\n", without_times(&findings.to_string()))
        }
    }
}

/// times hang on every message's latency; they say nothing about the decision.
fn without_times(text: &str) -> String {
    let mut lines = Vec::new();
    for line in text.lines() {
        let end = line.find(" on 1970-01-01 ").unwrap_or(line.len());
        lines.push(&line[..end]);
    }
    lines.join("\n")
}

fn status(world: &World) -> String {
    let newest = world.nodes.iter().map(|node| node.in_force).max().unwrap_or(0);
    let live = world.nodes.iter().filter(|node| node.alive).count();
    let mut text = format!("{} of {live} at version {newest}\n", world.in_force_count(newest));
    for node in &world.nodes {
        if !node.alive {
            continue;
        }
        match &node.releases.in_force() {
            None => text.push_str(&format!("{} serves nothing\n", node.name)),
            Some(_) if node.in_force < newest => {
                text.push_str(&format!("{} at version {}\n", node.name, node.in_force));
            }
            Some(_) => {}
        }
    }
    text
}

#[test]
fn scripts() {
    datadriven::walk("tests/scenarios/release", |file| {
        let mut world = World::new(&["a"], 1, 1);
        file.run(|case| step(&mut world, case));
    });
}
