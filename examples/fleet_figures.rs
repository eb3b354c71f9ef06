//! turns through one front door and three ledger nodes: turns a second, latency, processor time of each process.
//!
//! `FLAMINGOSTAND=target/fleet/flamingostand cargo run --profile fleet --example fleet_figures -- 8 5`
//! takes callers at once and seconds.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fleet::ClientRequest;
use fleet::Fleet;
use fleet::Node;

/// clock ticks a second in `/proc`, as on all Linux systems of today.
const TICKS_PER_S: f64 = 100.0;

fn main() {
    let mut arguments = std::env::args().skip(1).filter_map(|text| text.parse::<u64>().ok());
    let callers = arguments.next().unwrap_or(8);
    let seconds = arguments.next().unwrap_or(5);
    let fleet = Fleet::start("figures", 1);
    println!("door {}", fleet.doors[0].id());
    let before: Vec<f64> = nodes(&fleet).map(cpu_s).collect();
    let stop = AtomicBool::new(false);
    let (door, stopped) = (&fleet.doors[0], &stop);
    let mut latencies_ms: Vec<f64> = thread::scope(|scope| {
        let running: Vec<_> =
            (0..callers).map(|caller| scope.spawn(move || run(door, caller, stopped))).collect();
        thread::sleep(Duration::from_secs(seconds));
        stop.store(true, Ordering::Relaxed);
        running.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    });
    latencies_ms.sort_by(f64::total_cmp);
    let count = latencies_ms.len();
    let at = |share: f64| latencies_ms.get((count as f64 * share) as usize).copied().unwrap_or_default();
    println!("{:.0} turns/s, p50 {:.1} ms, p99 {:.1} ms", count as f64 / seconds as f64, at(0.5), at(0.99));
    for (node, before) in nodes(&fleet).zip(before) {
        println!(
            "{}: {:.0} us of processor time a turn",
            node.name,
            (cpu_s(node) - before) * 1e6 / count as f64
        );
    }
}

fn nodes(fleet: &Fleet) -> impl Iterator<Item = &Node> {
    fleet.doors.iter().chain(&fleet.ledgers)
}

/// runs programs of eight turns each.
fn run(door: &Node, caller: u64, stop: &AtomicBool) -> Vec<f64> {
    let mut latencies_ms = Vec::new();
    let body = "x".repeat(4_000);
    for program in 0_u64.. {
        let mut previous: Option<String> = None;
        for turn in 0..8 {
            if stop.load(Ordering::Relaxed) {
                return latencies_ms;
            }
            let id = format!("{caller}-{program}-{turn}");
            let mut ask =
                ClientRequest::turn("/kept/t", &id, &body, &format!("{caller}-{program}"), 100_000, 100);
            if let Some(previous) = &previous {
                ask = ask.after(previous);
            }
            let started = Instant::now();
            let answer = door.send(&ask);
            assert!(answer.is_whole && answer.status == 200, "{answer:?}");
            latencies_ms.push(started.elapsed().as_secs_f64() * 1_000.0);
            previous = Some(id);
        }
    }
    latencies_ms
}

fn cpu_s(node: &Node) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.id())).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok()).unwrap_or_default();
    // User and system time are the 14th and 15th field of the line, the 12th and 13th after the name.
    (ticks(11) + ticks(12)) / TICKS_PER_S
}
