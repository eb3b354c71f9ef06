//! measures what releases cost: a change at several sizes, snapshots, spreading, and calls of the platform.
//!
//! `cargo run --release --example release_cost`

#[path = "../tests/release_world/mod.rs"]
mod release_world;

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use flamingostand::config::EntryKey;
use flamingostand::ids::Incarnation;
use flamingostand::member::Member;
use flamingostand::member::MemberView;
use flamingostand::platform::PlatformReply;
use flamingostand::platform::PlatformRequest;
use flamingostand::release::ReleaseAction;
use flamingostand::release::ReleaseInput;
use flamingostand::release::ReleaseLog;
use flamingostand::release::Releases;
use flamingostand::release::check_note;
use flamingostand::release::evaluate;
use flamingostand::release::snapshot;
use flamingostand::schema::AcceptedRelease;
use flamingostand::schema::MemberHealth;
use flamingostand::schema::ReleaseEntry;
use flamingostand::schema::ReleaseNote;
use release_world::World;
use release_world::naive::entries_of;
use serde_json::json;

const AGENTS: usize = 10;
const CHANGES: usize = 2_000;

fn main() {
    println!(
        "workspaces  entries  apply us  evaluate us  naive us  note B  snapshot KB  parts  split ms  load ms  rss KB"
    );
    for workspaces in [525, 2_100, 8_400] {
        cost_of_changes(workspaces);
    }
    println!();
    println!("instances  zones  in force ms median  worst  pushes/release/instance  push B/release/instance");
    for (zones, per_zone) in [(3, 3), (3, 10), (10, 10), (28, 11)] {
        spread(zones, per_zone);
    }
    println!();
    println!("members  tick ns  view us");
    for members in [150, 500, 1_500] {
        tick(members);
    }
    println!();
    println!("instances  zones  calls/min idle: watch  list  other");
    for (zones, per_zone) in [(3, 3), (3, 10), (10, 10)] {
        idle(zones, per_zone);
    }
}

fn cost_of_changes(workspaces: usize) {
    let rss_before = rss_kb();
    let mut log = ReleaseLog::default();
    accept(&mut log, &note(json!({ "against_version": 0, "added": [{ "model": { "id": "m" } }] })));
    for workspace in 0..workspaces {
        let added = workspace_note(log.version(), workspace);
        accept(&mut log, &added);
    }
    let entries = log.history().entry_count();
    let rss = rss_kb().saturating_sub(rss_before);
    let notes: Vec<ReleaseNote> = (0..CHANGES).map(|index| change(&log, index, workspaces)).collect();
    let evaluate_us = micros(CHANGES, |index| {
        black_box(evaluate(&notes[index], &log)).expect("the note is good");
    });
    let apply_us = micros(CHANGES, |index| accept(&mut log, &notes[index]));
    let mut copy: BTreeMap<EntryKey, ReleaseEntry> = entries_of(log.configuration());
    let naive_us = micros(20, |_| {
        copy = black_box(copy.clone());
    });
    let note_bytes = cbor_len(&accepted(&log, &notes[0]));
    let start = Instant::now();
    let parts = snapshot::split(&log);
    let split_ms = start.elapsed().as_secs_f64() * 1e3;
    let bytes: usize = parts.iter().map(cbor_len).sum();
    let start = Instant::now();
    let mut assembly = snapshot::Assembly::default();
    let part_count = parts.len();
    for part in parts {
        assert!(assembly.add(part));
    }
    black_box(assembly.into_log());
    let load_ms = start.elapsed().as_secs_f64() * 1e3;
    println!(
        "{workspaces:>10} {entries:>8} {apply_us:>9.1} {evaluate_us:>9.1} {naive_us:>9.0} {note_bytes:>7} {:>12} {part_count:>6} {split_ms:>7.1} {load_ms:>8.1} {rss:>7}",
        bytes / 1024
    );
    assert!(check_note(&note(json!({ "against_version": 0 })), log.configuration()).list.len() == 1);
}

fn spread(zones: usize, per_zone: usize) {
    let names: Vec<String> = (0..zones).map(|zone| format!("zone-{zone}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = World::new(&names, per_zone, 42);
    world.run(3_000);
    let count = world.nodes.len();
    let mut times = Vec::new();
    let (pushes, bytes) = (world.pushes, world.pushed_bytes);
    const RELEASES: u64 = 20;
    for version in 1..=RELEASES {
        let model = note(
            json!({ "against_version": version - 1, "added": [{ "model": { "id": format!("m-{version}") } }] }),
        );
        world.accept_and_wait((version as usize * 7) % count, "ana", &model);
        let start_ms = world.now_ms;
        while world.in_force_count(version) < count {
            world.run(1);
        }
        times.push(world.now_ms - start_ms);
        world.run(300);
    }
    times.sort_unstable();
    let per = (count as u64 * RELEASES) as f64;
    println!(
        "{count:>9} {zones:>6} {:>19} {:>6} {:>24.2} {:>25.0}",
        times[times.len() / 2],
        times[times.len() - 1],
        (world.pushes - pushes) as f64 / per,
        (world.pushed_bytes - bytes) as f64 / per
    );
}

fn idle(zones: usize, per_zone: usize) {
    let names: Vec<String> = (0..zones).map(|zone| format!("zone-{zone}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = World::new(&names, per_zone, 43);
    world.run(100_000);
    world.store.calls.clear();
    world.run(600_000);
    let calls = |kind: &str| world.store.calls.get(kind).copied().unwrap_or(0) as f64 / 10.0;
    let all: f64 = world.store.calls.values().sum::<u64>() as f64 / 10.0;
    let (watch, list) = (calls("watch"), calls("list"));
    println!("{:>9} {zones:>6} {watch:>22.1} {list:>5.1} {:>6.1}", world.nodes.len(), all - watch - list);
}

/// an idle instance among many members, in 28 zones.
fn tick(count: usize) {
    let mut members = Vec::new();
    for index in 0..count {
        members.push(Member {
            name: format!("entry-{index}"),
            incarnation: Incarnation::from(format!("entry-{index}#0").as_str()),
            health: MemberHealth::Alive,
            leaving: false,
            region: "region".to_owned(),
            zone: format!("zone-{}", index % 28),
            mesh: "127.0.0.1:1".parse().expect("an address"),
            callers: "127.0.0.1:1".parse().expect("an address"),
            release_version: 0,
        });
    }
    let own_incarnation = Incarnation::from("entry-1#0");
    let mut releases = Releases::new(own_incarnation.clone());
    let view = Arc::new(MemberView { own_incarnation, members, changed_ms: 0 });
    let page = PlatformReply::Page { objects: Vec::new(), more: false, revision: 1 };
    for now_ms in 0..2_000 {
        let mut actions = releases.handle(now_ms, ReleaseInput::Members(Arc::clone(&view)));
        while let Some(action) = actions.pop() {
            let ReleaseAction::Platform { call, request: PlatformRequest::List { .. } } = action else {
                continue;
            };
            let result = Ok(page.clone());
            actions.extend(releases.handle(now_ms, ReleaseInput::Platform { call, result }));
        }
    }
    assert!(releases.is_serving());
    let view_us = micros(1_000, |_| {
        black_box(releases.handle(2_000, ReleaseInput::Members(Arc::clone(&view))));
    });
    let tick_us = micros(10_000, |_| {
        black_box(releases.handle(2_000, ReleaseInput::Tick));
    });
    println!("{count:>7} {:>8.0} {view_us:>8.1}", tick_us * 1e3);
}

fn note(value: serde_json::Value) -> ReleaseNote {
    serde_json::from_value(value).expect("a release note")
}

fn workspace_note(against: u64, index: usize) -> ReleaseNote {
    let workspace = format!("workspace-{index}");
    let hash = blake3::hash(workspace.as_bytes()).to_hex().to_string();
    let mut added = vec![json!({ "workspace": { "id": workspace, "key_hashes": [hash] } })];
    for agent in 0..AGENTS {
        added.push(agent_entry(index, agent, 1_000));
    }
    note(json!({ "against_version": against, "added": added }))
}

fn agent_entry(workspace: usize, agent: usize, budget_tokens: usize) -> serde_json::Value {
    json!({ "agent_program": {
        "id": format!("agent-{agent}"), "workspace": format!("workspace-{workspace}"), "model": "m",
        "budget_tokens": budget_tokens, "system_prompt": "Read the manuscript against the house guidelines." } })
}

fn change(log: &ReleaseLog, index: usize, workspaces: usize) -> ReleaseNote {
    let workspace = index * 7_919 % workspaces;
    let changed = agent_entry(workspace, index / workspaces % AGENTS, 2_000 + index);
    note(json!({ "against_version": log.version(), "changed": [changed] }))
}

fn accepted(log: &ReleaseLog, note: &ReleaseNote) -> AcceptedRelease {
    AcceptedRelease {
        version: log.version() + 1,
        operator: "ana".to_owned(),
        accepted_unix_ms: 1,
        mark: flamingostand::release::mark_of(note),
        note: note.clone(),
    }
}

fn accept(log: &mut ReleaseLog, note: &ReleaseNote) {
    assert!(log.apply(accepted(log, note)));
}

fn micros(count: usize, mut work: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    for index in 0..count {
        work(index);
    }
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn cbor_len<T: serde::Serialize>(value: &T) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("wire types serialise");
    bytes.len()
}

/// resident memory of this process.
fn rss_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}
