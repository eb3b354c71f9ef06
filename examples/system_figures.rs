//! prints the figures of a running system: added latency, throughput, memory, recovery, releases, idle cost.
//!
//! `cargo build --release && cargo run --release --example system_figures`

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

#[path = "../tests/processes/mod.rs"]
mod processes;

use processes::caller::Caller;
use processes::cluster::Cluster;
use processes::cluster::Process;
use processes::cluster::program;
use processes::wait::until;

/// key of the caller.
const CALLER_KEY: &str = "desk-key";
/// turns timed at each door.
const TIMED_TURNS: usize = 150;
/// pause between two timed turns, so that commits stay below the rate that an instance may write at.
const TURN_PAUSE: Duration = Duration::from_millis(120);
/// callers at once in the throughput run.
const CALLERS: usize = 32;
/// how long the throughput run lasts.
const THROUGHPUT_RUN: Duration = Duration::from_secs(5);
/// idle programs opened to weigh them.
const IDLE_PROGRAMS: usize = 5_000;
/// owners killed.
const KILLS: usize = 20;
/// releases accepted on nine instances.
const RELEASES: usize = 20;
/// how long the idle cost is watched.
const IDLE_RUN: Duration = Duration::from_secs(20);
/// options of an engine that answers at once.
const FAST_ENGINE: [&str; 4] = ["--step-us", "1", "--step-per-running-us", "0"];

fn main() {
    let only: Vec<String> = std::env::args().skip(1).collect();
    let wanted = |name: &str| only.is_empty() || only.iter().any(|other| other == name);
    if wanted("size") {
        size_and_start();
    }
    if wanted("latency") {
        added_latency();
    }
    if wanted("throughput") {
        throughput();
    }
    if wanted("memory") {
        idle_memory();
    }
    if wanted("kills") {
        recovery();
    }
    if wanted("releases") {
        releases();
    }
}

fn size_and_start() {
    let path = program("flamingostand", None);
    let bytes = std::fs::metadata(&path).expect("the program was built").len();
    println!("binary: {:.1} MB", bytes as f64 / 1e6);
    let cluster = Cluster::start("figures-start", 1, 0, 0, json!({}));
    let mut starts = Vec::new();
    let mut cluster = cluster;
    for _ in 0..11 {
        cluster.entries.clear();
        let start = Instant::now();
        cluster.start_entry("entry-1");
        starts.push(start.elapsed());
    }
    println!("start to the first answer of /health (polled every 50 ms): {}", spread(&mut starts));
}

fn added_latency() {
    let mut cluster = Cluster::start("figures-latency", 3, 0, 0, json!({}));
    cluster.start_engine("engine-1", "reader", &FAST_ENGINE);
    cluster.publish_list();
    cluster.wait_replicas();
    accept_standard(&cluster);
    let caller = Caller::kept(CALLER_KEY);
    let engine = cluster.engines["engine-1"].address;
    let program = open(&cluster, &caller, "latency", "entry-1");
    let owner = cluster.owner_of(&program);
    let other = cluster.entries.keys().find(|name| **name != owner).expect("another").clone();
    let mut direct = Vec::new();
    let mut at_owner = Vec::new();
    let mut at_other = Vec::new();
    for index in 0..TIMED_TURNS {
        std::thread::sleep(TURN_PAUSE);
        let body = json!({ "model": "reader", "messages": [{"role": "user", "content": format!("turn {index}")}], "max_tokens": 4, "stream": true });
        let start = Instant::now();
        caller.stream(engine, "/v1/chat/completions", &body, &format!("direct-{index}"));
        direct.push(start.elapsed());
        // A program of its own for each turn: the prompt is as short as the direct one.
        for (door, times) in [(&owner, &mut at_owner), (&other, &mut at_other)] {
            let name = owned_name(&cluster, &owner, index, door);
            let program = open(&cluster, &caller, &name, &owner);
            let body = json!({ "messages": [{"role": "user", "content": format!("turn {index}")}], "max_tokens": 4 });
            let peer = cluster.entries[door.as_str()].address;
            std::thread::sleep(TURN_PAUSE);
            let start = Instant::now();
            let answer = caller.post(peer, &format!("/v1/programs/{program}/turns"), &body);
            times.push(start.elapsed());
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    }
    let mut commits = Vec::new();
    for index in 0..TIMED_TURNS {
        let start = Instant::now();
        let path = format!("/v1/objects/figures/{index}");
        cluster.operator.create(cluster.platform.address, &path);
        commits.push(start.elapsed());
    }
    println!("turn of 4 tokens at an idle engine, sent to the engine itself: {}", spread(&mut direct));
    println!("  the same through the owner's door: {}", spread(&mut at_owner));
    println!("  the same through another door:     {}", spread(&mut at_other));
    println!("  one create at the platform, part of each turn through a door: {}", spread(&mut commits));
}

/// a program name whose slot the owner holds.
fn owned_name(cluster: &Cluster, owner: &str, index: usize, door: &str) -> String {
    for attempt in 0.. {
        let name = format!("l-{index}-{door}-{attempt}");
        if cluster.owner_of(&name) == owner {
            return name;
        }
    }
    unreachable!("some name hashes to a slot of the owner")
}

fn throughput() {
    let mut cluster = Cluster::start("figures-throughput", 1, 0, 0, json!({}));
    cluster.start_engine(
        "engine-1",
        "reader",
        &["--step-us", "1", "--step-per-running-us", "0", "--max-running", "256"],
    );
    cluster.publish_list();
    cluster.wait_replicas();
    accept_standard(&cluster);
    let peer = cluster.entries["entry-1"].address;
    let stop = Instant::now() + THROUGHPUT_RUN;
    let before = platform_calls(&cluster);
    let mut threads = Vec::new();
    for thread in 0..CALLERS {
        threads.push(std::thread::spawn(move || {
            let caller = Caller::kept(CALLER_KEY);
            let mut turns = 0_u32;
            let mut index = 0;
            while Instant::now() < stop {
                let body = json!({ "agent_program": "assess", "program": format!("t-{thread}-{index}") });
                index += 1;
                let opened = caller.post(peer, "/v1/programs", &body);
                if opened.status != 200 {
                    continue;
                }
                let program = opened.body["program"].as_str().expect("a program").to_owned();
                let mut digest = opened.body["history"]["digest"].clone();
                for _ in 0..10 {
                    let body = json!({ "extends": digest, "messages": [{"role": "user", "content": "go on"}], "max_tokens": 4 });
                    let answer = caller.post(peer, &format!("/v1/programs/{program}/turns"), &body);
                    if answer.status != 200 {
                        break;
                    }
                    digest = answer.body["history"]["digest"].clone();
                    turns += 1;
                }
            }
            turns
        }));
    }
    let turns: u32 = threads.into_iter().map(|thread| thread.join().expect("a caller ends")).sum();
    let seconds = THROUGHPUT_RUN.as_secs_f64();
    let calls = platform_calls(&cluster) - before;
    println!(
        "one instance, {CALLERS} callers, turns of 4 tokens: {:.0} turns/s, {:.2} platform calls a turn",
        f64::from(turns) / seconds,
        calls as f64 / f64::from(turns)
    );
}

fn idle_memory() {
    let cluster = Cluster::start("figures-memory", 1, 1, 0, json!({}));
    accept_standard(&cluster);
    let caller = Caller::kept(CALLER_KEY);
    let pid = cluster.entries["entry-1"].id();
    for index in 0..200 {
        open(&cluster, &caller, &format!("warm-{index}"), "entry-1");
    }
    let before = resident_bytes(pid);
    for index in 0..IDLE_PROGRAMS {
        open(&cluster, &caller, &format!("idle-{index}"), "entry-1");
    }
    let grown = resident_bytes(pid) - before;
    println!(
        "resident memory: {:.1} MB at the start, {} bytes a program without turns ({IDLE_PROGRAMS} programs)",
        before as f64 / 1e6,
        grown / IDLE_PROGRAMS as u64
    );
}

fn recovery() {
    let mut cluster = Cluster::start("figures-kills", 3, 2, 0, json!({}));
    accept_standard(&cluster);
    let caller = Caller::new(CALLER_KEY);
    let program = open(&cluster, &caller, "recovery", "entry-1");
    let mut times = Vec::new();
    let mut lost = 0;
    for turn in 1..=KILLS {
        let owner = cluster.owner_of(&program);
        cluster.entries.get_mut(&owner).expect("the owner").kill();
        let start = Instant::now();
        cluster.entries.remove(&owner);
        let peer = cluster.entries.values().next().expect("another instance").address;
        let body = json!({ "turn": turn, "messages": whole_list(&cluster, &caller, turn), "max_tokens": 1 });
        let answer = until("the turn is served", 2_000, || {
            let answer = caller.post(peer, &format!("/v1/programs/{program}/turns"), &body);
            (answer.status != 0 && answer.status != 503).then_some(answer)
        });
        times.push(start.elapsed());
        if answer.status != 200 || answer.body["turn"] != turn {
            lost += 1;
            println!("turn {turn}: {} {}", answer.status, answer.body);
        }
        record(&answer.body["message"]);
        cluster.start_entry(&owner);
        cluster.wait_members(3);
    }
    println!(
        "SIGKILL of the owner to the next turn served, {KILLS} kills: {}; turns lost: {lost}",
        spread(&mut times)
    );
}

static HISTORY: std::sync::Mutex<Vec<Value>> = std::sync::Mutex::new(Vec::new());

/// the whole message list of the next turn.
fn whole_list(_cluster: &Cluster, _caller: &Caller, turn: usize) -> Vec<Value> {
    let mut history = HISTORY.lock().expect("history lock poisoned");
    history.push(json!({ "role": "user", "content": format!("turn {turn}") }));
    history.clone()
}

fn record(message: &Value) {
    HISTORY.lock().expect("history lock poisoned").push(message.clone());
}

fn releases() {
    let cluster = Cluster::start("figures-releases", 9, 0, 0, json!({}));
    accept_standard(&cluster);
    let mut times = Vec::new();
    for index in 1..=RELEASES {
        let entry = json!({ "model": { "id": format!("model-{index}") } });
        let note = json!({ "against_version": index, "added": [entry] });
        let operators = cluster.entries["entry-1"].operators;
        let answer = cluster.operator.post(operators, "/admin/v1/release", &note);
        assert_eq!(answer.status, 200, "{answer:?}");
        let start = Instant::now();
        let version = answer.body["version"].as_u64().expect("a version");
        until("in force everywhere", 2_000, || everywhere(&cluster, version).then_some(()));
        times.push(start.elapsed());
    }
    println!(
        "acceptance to in force on 9 of 9 (asked one after another), {RELEASES} releases: {}",
        spread(&mut times)
    );
    idle_cost(&cluster);
}

fn everywhere(cluster: &Cluster, version: u64) -> bool {
    let anyone = Caller::new("");
    for process in cluster.entries.values() {
        let answer = anyone.get(process.address, "/health");
        if answer.body["release_version"].as_u64() < Some(version) {
            return false;
        }
    }
    true
}

fn idle_cost(cluster: &Cluster) {
    std::thread::sleep(Duration::from_secs(5));
    let calls_before = platform_calls(cluster);
    let cpu_before: Vec<u64> = cluster.entries.values().map(|process| cpu_ticks(process.id())).collect();
    let bytes_before: Vec<f64> = cluster.entries.values().map(mesh_bytes).collect();
    std::thread::sleep(IDLE_RUN);
    let seconds = IDLE_RUN.as_secs_f64();
    let calls = platform_calls(cluster) - calls_before;
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    for (index, process) in cluster.entries.values().enumerate() {
        cpu.push((cpu_ticks(process.id()) - cpu_before[index]) as f64 / seconds);
        bytes.push((mesh_bytes(process) - bytes_before[index]) / seconds);
    }
    let worst = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    println!(
        "idle, 9 instances: {:.1} platform calls/s for all, worst instance {:.2} % of a core, {:.0} bytes/s sent and received",
        calls as f64 / seconds,
        worst(&cpu),
        worst(&bytes)
    );
    let memory = cluster.entries.values().map(|process| resident_bytes(process.id())).max().unwrap_or(0);
    println!("  worst resident memory {:.1} MB", memory as f64 / 1e6);
}

/// accepts a workspace, a model and an agent program, and waits until they are in force.
fn accept_standard(cluster: &Cluster) {
    let key_hash = blake3::hash(CALLER_KEY.as_bytes()).to_hex().to_string();
    let note = json!({ "against_version": 0, "added": [
        { "workspace": { "id": "desk", "key_hashes": [key_hash] } },
        { "model": { "id": "reader" } },
        { "agent_program": { "id": "assess", "workspace": "desk", "model": "reader", "budget_tokens": 1_000_000 } },
    ]});
    let operators = cluster.entries["entry-1"].operators;
    until("the note is accepted", 400, || {
        (cluster.operator.post(operators, "/admin/v1/release", &note).status == 200).then_some(())
    });
    until("in force everywhere", 2_000, || everywhere(cluster, 1).then_some(()));
}

fn open(cluster: &Cluster, caller: &Caller, name: &str, via: &str) -> String {
    let body = json!({ "agent_program": "assess", "program": name });
    let peer = cluster.entries[via].address;
    let answer = until("the program opens", 400, || {
        let answer = caller.post(peer, "/v1/programs", &body);
        (answer.status == 200).then_some(answer)
    });
    answer.body["program"].as_str().expect("an identifier").to_owned()
}

fn platform_calls(cluster: &Cluster) -> u64 {
    let answer = cluster.operator.get(cluster.platform.address, "/control/calls");
    answer.body["total"].as_u64().unwrap_or(0)
}

fn mesh_bytes(process: &Process) -> f64 {
    let text = Caller::new("").text(process.operators, "/metrics");
    let mut total = 0.0;
    for line in text.lines() {
        let counted = line.starts_with("mesh_bytes_total");
        if counted {
            total += line.rsplit(' ').next().and_then(|value| value.parse::<f64>().ok()).unwrap_or(0.0);
        }
    }
    total
}

/// processor time in hundredths of a second, so that a difference a second is a percentage.
fn cpu_ticks(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    let fields: Vec<&str> = text.rsplit(") ").next().expect("fields").split(' ').collect();
    fields[11].parse::<u64>().expect("user time") + fields[12].parse::<u64>().expect("system time")
}

fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).expect("a line for VmRSS");
    line.split_whitespace().nth(1).and_then(|kib| kib.parse::<u64>().ok()).expect("a number") * 1024
}

fn spread(times: &mut [Duration]) -> String {
    times.sort_unstable();
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e3;
    format!("median {:.2} ms, 99th percentile {:.2} ms, worst {:.2} ms", at(0.5), at(0.99), at(1.0))
}
