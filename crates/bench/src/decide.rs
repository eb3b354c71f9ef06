//! the cost of one decision and the size of the state behind it.

use std::net::SocketAddr;
use std::time::Instant;

use flamingostand::dispatch::Boundary;
use flamingostand::dispatch::DispatchInput;
use flamingostand::dispatch::Dispatcher;
use flamingostand::dispatch::Replica;
use flamingostand::dispatch::Router;
use flamingostand::dispatch::RouterInput;
use flamingostand::schema::DispatchSettings;
use flamingostand::schema::JobDone;
use flamingostand::schema::JobEvent;
use flamingostand::schema::ReplicaLoad;
use flamingostand::schema::TurnJob;
use flamingostand::schema::Usage;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::summary::median;
use crate::summary::percentile;

/// workspaces of the design size.
const WORKSPACE_COUNT: usize = 2_100;

/// programs that one instance owns at the design size, rounded up.
const PROGRAM_COUNT: usize = 1_200;

/// decisions that are timed.
const DECISION_COUNT: usize = 50_000;

/// turns that wait in the timed queue.
const QUEUED_COUNT: usize = 4_200;

/// programs whose state is weighed.
const WEIGHED_COUNT: usize = 100_000;

/// bytes of a page of memory.
const PAGE_BYTES: f64 = 4_096.0;

/// prints the cost of a choice, of a push and pop, and the bytes of state.
pub fn run() -> anyhow::Result<String> {
    let mut text = String::from("| decision | replicas | median µs | p99 µs |\n|---|---|---|---|\n");
    for replica_count in [10, 1_000, 10_000] {
        let mut times_us = time_choices(replica_count);
        let p99 = percentile(&mut times_us, 0.99);
        let middle = median(&mut times_us);
        text.push_str(&format!("| choice | {replica_count} | {middle:.2} | {p99:.2} |\n"));
    }
    let mut times_us = time_queue();
    let p99 = percentile(&mut times_us, 0.99);
    let middle = median(&mut times_us);
    text.push_str(&format!(
        "| submit, start and end, {QUEUED_COUNT} waiting | 1 | {middle:.2} | {p99:.2} |\n\n"
    ));
    text.push_str(&weigh()?);
    Ok(text)
}

/// times choices for turns of known programs, loads and ends included in the state but not in the time.
fn time_choices(replica_count: usize) -> Vec<f64> {
    let mut router = filled_router(replica_count);
    let mut times_us = Vec::with_capacity(DECISION_COUNT);
    for number in 0..DECISION_COUNT {
        let program = number % PROGRAM_COUNT;
        let now_ms = 10_000 + number as u64;
        let name = program_name(program);
        let turn = (number / PROGRAM_COUNT) as u64 + 2;
        router.add_boundary(now_ms, &name, boundary(program, turn));
        let job = job(&name, program, turn * 500);
        let start = Instant::now();
        let choice = router.choose(now_ms, &job, &[]);
        times_us.push(start.elapsed().as_nanos() as f64 / 1e3);
        let Some(choice) = choice else { continue };
        let loads = vec![load(&choice.replica)];
        router.handle(now_ms, RouterInput::Loads(loads));
        router.handle(now_ms, finished(&choice.replica, &name, turn * 500));
    }
    times_us
}

/// times a turn's way through a queue that holds turns of all workspaces.
fn time_queue() -> Vec<f64> {
    let settings = DispatchSettings { max_queue_ms: u64::MAX / 4, ..DispatchSettings::default() };
    let mut dispatcher = Dispatcher::new(&settings);
    dispatcher.handle(0, DispatchInput::Replicas(replicas(1)));
    let mut running = std::collections::VecDeque::new();
    let submit = |dispatcher: &mut Dispatcher, ticket: usize| {
        let mut job = job(&program_name(ticket), ticket, 500);
        job.replica = replica_name(0);
        dispatcher.handle(0, DispatchInput::Submit { ticket: ticket as u64, job: Box::new(job) })
    };
    for ticket in 0..QUEUED_COUNT {
        collect_starts(&submit(&mut dispatcher, ticket), &mut running);
    }
    let mut times_us = Vec::with_capacity(DECISION_COUNT);
    for ticket in QUEUED_COUNT..QUEUED_COUNT + DECISION_COUNT {
        let Some(ended) = running.pop_front() else { break };
        let start = Instant::now();
        let submitted = submit(&mut dispatcher, ticket);
        let event = JobEvent::Done(done());
        let started = dispatcher.handle(0, DispatchInput::EngineEvent { ticket: ended, event });
        times_us.push(start.elapsed().as_nanos() as f64 / 1e3);
        collect_starts(&submitted, &mut running);
        collect_starts(&started, &mut running);
    }
    times_us
}

fn collect_starts(
    actions: &[flamingostand::dispatch::DispatchAction],
    running: &mut std::collections::VecDeque<u64>,
) {
    for action in actions {
        if let flamingostand::dispatch::DispatchAction::Start { ticket, .. } = action {
            running.push_back(*ticket);
        }
    }
}

/// resident memory for each program in a router and each workspace in a dispatcher.
fn weigh() -> anyhow::Result<String> {
    let before = resident_bytes()?;
    let mut router = Router::new(&DispatchSettings::default(), "z");
    router.handle(0, RouterInput::Replicas(replicas(10)));
    for program in 0..WEIGHED_COUNT {
        let name = program_name(program);
        for turn in 0..12 {
            router.add_boundary(0, &name, boundary(program, turn));
        }
        router.choose(0, &job(&name, program, 6_000), &[]);
        router.handle(0, finished(&replica_name(0), &name, 6_000));
    }
    let program_bytes = (resident_bytes()? - before) / WEIGHED_COUNT as f64;
    let before = resident_bytes()?;
    let mut dispatcher = Dispatcher::new(&DispatchSettings::default());
    dispatcher.handle(0, DispatchInput::Replicas(replicas(1)));
    for ticket in 0..WEIGHED_COUNT {
        let mut job = job(&program_name(ticket), ticket, 500);
        job.workspace = format!("workspace-{ticket}");
        job.replica = replica_name(0);
        dispatcher.handle(0, DispatchInput::Submit { ticket: ticket as u64, job: Box::new(job) });
    }
    let workspace_bytes = (resident_bytes()? - before) / WEIGHED_COUNT as f64;
    let kept = router.program_count() + dispatcher.turn_count();
    Ok(format!(
        "Resident memory: {program_bytes:.0} bytes a program in a router (12 boundaries, its prefix entries included), \
         {workspace_bytes:.0} bytes a workspace with one turn waiting in a queue; {kept} entries weighed.\n"
    ))
}

fn resident_bytes() -> anyhow::Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = text.split_whitespace().nth(1).unwrap_or("0").parse()?;
    Ok(pages * PAGE_BYTES)
}

fn filled_router(replica_count: usize) -> Router {
    let mut router = Router::new(&DispatchSettings::default(), "z0");
    router.handle(0, RouterInput::Replicas(replicas(replica_count)));
    let loads = (0..replica_count).map(|number| load(&replica_name(number))).collect();
    router.handle(9_000, RouterInput::Loads(loads));
    for program in 0..PROGRAM_COUNT {
        let name = program_name(program);
        for turn in 0..2 {
            router.add_boundary(0, &name, boundary(program, turn));
        }
        router.choose(9_000, &job(&name, program, 500), &[]);
        router.handle(9_000, finished(&replica_name(program % replica_count), &name, 500));
    }
    router
}

fn replicas(count: usize) -> Vec<Replica> {
    (0..count)
        .map(|number| Replica {
            name: replica_name(number),
            model: "m".to_string(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: format!("z{}", number % 3),
            leaving: false,
        })
        .collect()
}

fn replica_name(number: usize) -> String {
    format!("replica-{number}")
}

fn program_name(number: usize) -> String {
    format!("program-{number}")
}

/// the first boundary is a system prompt that ten programs share.
fn boundary(program: usize, turn: u64) -> Boundary {
    let name = if turn == 0 { program / 10 } else { program };
    Boundary { digest: xxh3_64_with_seed(&name.to_le_bytes(), turn), tokens: (turn + 1) * 500 }
}

fn job(program: &str, number: usize, prompt_tokens: u64) -> TurnJob {
    TurnJob {
        attempt: 1,
        cached_tokens: 0,
        content_digest: String::new(),
        deadline_ms: u64::MAX / 4,
        max_tokens: 256,
        messages: Vec::new(),
        model: "m".to_string(),
        program: program.to_string(),
        program_service_tokens: 0,
        prompt_tokens,
        replica: String::new(),
        turn: 1,
        waited_ms: 0,
        workspace: format!("workspace-{}", number % WORKSPACE_COUNT),
    }
}

fn finished(replica: &str, program: &str, prompt_tokens: u64) -> RouterInput {
    RouterInput::TurnFinished {
        replica: replica.to_string(),
        program: program.to_string(),
        prompt_tokens,
        cached_tokens: 0,
        completion_tokens: 100,
        first_token_ms: 100,
    }
}

fn load(replica: &str) -> ReplicaLoad {
    ReplicaLoad {
        replica: replica.to_string(),
        running: 8,
        queued: 0,
        queued_tokens: 0,
        window: 16,
        age_ms: 0,
        wait_ms: 0,
        token_gap_ms: 30,
        uncached_per_second: 10_000,
    }
}

fn done() -> JobDone {
    let usage = Usage { prompt_tokens: 500, cached_tokens: 0, completion_tokens: 100 };
    JobDone { finish_reason: String::new(), text: String::new(), tool_calls: Vec::new(), usage }
}
