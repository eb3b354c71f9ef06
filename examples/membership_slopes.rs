//! measures what membership costs an instance, in process and in virtual time, at several numbers of members.
//!
//! Run with `cargo run --release --example membership_slopes -- 3 9 30 100 300 1000`.

#[path = "../tests/membership_network/mod.rs"]
mod membership_network;

use std::fs;

use flamingostand::membership::MembershipInput;
use flamingostand::schema::MemberHealth;
use membership_network::Network;

const IDLE_MS: u64 = 30_000;
/// members that are started all at once; more of them know each other from the start.
const MOST_JOINING: usize = 100;
const CHECK_MS: u64 = 20;
const LIMIT_MS: u64 = 600_000;

fn main() {
    println!(
        "members join_ms bytes/s worst_s dgrams/s cpu_us/s kB/member first_ms dead_all_ms leave_all_ms back_ms deaths"
    );
    let counts: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    for count in counts {
        measure(count);
    }
}

fn measure(count: usize) {
    let before_kb = resident_kb();
    let mut network =
        if count <= MOST_JOINING { Network::start(count, 7) } else { Network::start_known(count, 7) };
    let join_ms = until(&mut network, Network::converged);
    let member_kb = (resident_kb().saturating_sub(before_kb)) as f64 / (count * count) as f64;
    network.run(30_000);
    network.reset_counters();
    network.deaths.clear();
    network.run(IDLE_MS);
    let seconds = IDLE_MS as f64 / 1000.0 * count as f64;
    let bytes: u64 = network.nodes.values().map(|node| node.sent_bytes).sum();
    let datagrams: u64 = network.nodes.values().map(|node| node.sent_count).sum();
    let worst = network.nodes.values().map(|node| node.peak_second_bytes).max().unwrap_or(0);
    let cpu_us = network.handle_time.as_micros() as f64 / seconds;
    let false_deaths = network.deaths.len();
    network.crash(count - 1);
    let others: Vec<usize> = (0..count - 1).collect();
    let crashed_ms = network.now_ms;
    let dead_ms = until(&mut network, |now| now.all_see(&others, count - 1, MemberHealth::Dead));
    let first_ms = network.deaths.first().map_or(0, |(at_ms, _, _)| at_ms - crashed_ms);
    network.run(10_000);
    network.input(0, MembershipInput::Leave);
    let leaving = |now: &Network| {
        others[1..].iter().all(|other| now.nodes[other].view.members.iter().any(|member| member.leaving))
    };
    let leave_ms = until(&mut network, leaving);
    network.run(10_000);
    network.add(count - 1);
    network.send_list(count - 1, 0..count);
    let back_ms = until(&mut network, Network::converged);
    println!(
        "{count:7} {join_ms:7} {:7.0} {worst:7} {:8.1} {cpu_us:8.1} {member_kb:9.2} {first_ms:8} {dead_ms:11} {leave_ms:12} {back_ms:7} {false_deaths:6}",
        bytes as f64 / seconds,
        datagrams as f64 / seconds,
    );
}

/// virtual time until `done` holds, looked at every tick.
fn until(network: &mut Network, done: impl Fn(&Network) -> bool) -> u64 {
    let start_ms = network.now_ms;
    while network.now_ms < start_ms + LIMIT_MS && !done(network) {
        network.run(CHECK_MS);
    }
    network.now_ms - start_ms
}

fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}
