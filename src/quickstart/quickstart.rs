use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use async_io::Timer;
use flamingo_edge::Spawner;
use futures_lite::future;
use serde_json::Value;
use serde_json::json;

use crate::quickstart::report::ProgramReport;
use crate::quickstart::report::print_timeline;
use crate::quickstart::system::System;
use crate::quickstart::visitor::TurnSeen;
use crate::quickstart::visitor::Visitor;
use crate::quickstart::visitor::elapsed_ms;
use crate::schema::LogLevel;
use crate::schema::LogSettings;
use crate::schema::TimelineEvent;
use crate::telemetry::Recorder;
use crate::telemetry::start_logger;

/// worker threads of the quickstart.
const THREADS: usize = 4;

/// pause while a tool of the manuscript program runs.
const TOOL_PAUSE_MS: u64 = 150;

/// pause while a crew checks a valve.
const CREW_PAUSE_MS: u64 = 300;

/// events of the time line that are printed.
const TIMELINE_EVENTS: u32 = 60;

/// a first turn long enough to show what the cache saves.
const GUIDELINES: &str = include_str!("../../resources/quickstart-guidelines.txt");

/// runs a program of each kind through a small embedded system; `once` ends after that.
///
/// Returns whether all went as promised.
pub fn run(once: bool) -> anyhow::Result<bool> {
    let quiet = LogSettings { level: LogLevel::Warn, ..LogSettings::default() };
    let (log, _guard) = start_logger(&quiet, "quickstart");
    let metrics = Recorder::install().context("install the metrics recorder")?;
    let spawner = Spawner::start(THREADS);
    async_io::block_on(async {
        let started = Instant::now();
        let system = System::start(&spawner, &log, &metrics).await?;
        println!("three instances, three engines and two services serve after {} ms", elapsed_ms(started));
        let assessment = assess_manuscript(&system).await?;
        let commissioning = commission_tank(&system).await?;
        assessment.print();
        commissioning.print();
        print_timeline(&timeline_of(&system, &assessment.program).await?);
        let good = assessment.faults.is_empty() && commissioning.faults.is_empty();
        println!("\n{}", if good { "all went as promised" } else { "NOT all went as promised" });
        if once {
            return Ok(good);
        }
        println!("\nstill serving; try:\n  {}", curl_line(&system));
        future::pending::<()>().await;
        Ok(good)
    })
}

/// a publisher's program: guidelines, a sub-agent for a chapter, a tool pause, a letter sent once.
async fn assess_manuscript(system: &System) -> anyhow::Result<ProgramReport> {
    let author = Visitor::new("quickstart-desk", system.door(0));
    let started = Instant::now();
    let (program, digest) = author.open("assess-manuscript", None).await?;
    let first = author.turn(&program, &digest, GUIDELINES).await?;
    let (chapter, chapter_digest) = author.open("assess-manuscript", Some(&program)).await?;
    let chapter_turn = author.turn(&chapter, &chapter_digest, "Assess chapter one by itself.").await?;
    Timer::after(Duration::from_millis(TOOL_PAUSE_MS)).await;
    let second = author.turn(&program, &first.digest, &format!("Chapter one: {}", chapter_turn.text)).await?;
    let letter = json!({ "call": "rejection-letter", "service": "desk", "path": "/letters", "body": { "to": "author-17" } });
    let sent = author.call(&program, &letter).await?;
    // The caller pretends that the answer was lost and sends the same request to another instance.
    let again = author.post(system.door(1), &format!("/v1/programs/{program}/calls"), &letter).await?;
    let state = author.end(&program).await?;
    let latency_ms = elapsed_ms(started);
    let runs = system.desk.control().runs();
    let run_count: u64 = runs.values().sum();
    let mut faults = turn_faults(&[&first, &second], &state);
    if sent["state"] != "done" || again["state"] != "done" || again["replayed"] != true {
        faults.push(format!("the letter's two answers: {sent} and {again}"));
    }
    if run_count != 1 {
        faults.push(format!("the letter ran {run_count} times"));
    }
    Ok(ProgramReport {
        title: "Manuscript assessment".to_owned(),
        program,
        turns: vec![first, chapter_turn, second],
        latency_ms,
        pause_ms: TOOL_PAUSE_MS,
        notes: vec![
            format!("rejection letter asked for twice, run {run_count} time(s)"),
            budget_note(&state),
        ],
        faults,
    })
}

/// an installer's program: a walk-through with a pause, an alarm that is kept, a dispatch booked once.
async fn commission_tank(system: &System) -> anyhow::Result<ProgramReport> {
    let crew = Visitor::new("quickstart-crew", system.door(2));
    let started = Instant::now();
    let (program, digest) = crew.open("commission-tank", None).await?;
    let first = crew.turn(&program, &digest, "We stand at the library's tank. What comes first?").await?;
    let alarm = json!({
        "call": "overflow-alarm", "service": "jobs", "path": "/alarms", "idempotent": true, "wait": false,
        "body": { "tank": "library" },
    });
    let kept = crew.call(&program, &alarm).await?;
    Timer::after(Duration::from_millis(CREW_PAUSE_MS)).await;
    let second = crew.turn(&program, &first.digest, "The inlet valve is closed. Go on.").await?;
    let dispatch =
        json!({ "call": "dispatch-1", "service": "jobs", "path": "/dispatches", "body": { "crew": "3" } });
    let booked = crew.call(&program, &dispatch).await?;
    let state = crew.end(&program).await?;
    let latency_ms = elapsed_ms(started);
    let mut faults = turn_faults(&[&first, &second], &state);
    if kept["state"] != "recorded" && kept["state"] != "done" {
        faults.push(format!("the alarm was not kept: {kept}"));
    }
    if booked["state"] != "done" {
        faults.push(format!("the dispatch was not booked: {booked}"));
    }
    Ok(ProgramReport {
        title: "Commissioning walk-through".to_owned(),
        program,
        turns: vec![first, second],
        latency_ms,
        pause_ms: CREW_PAUSE_MS,
        notes: vec![format!("alarm {}, dispatch {}", kept["state"], booked["state"]), budget_note(&state)],
        faults,
    })
}

fn turn_faults(turns: &[&TurnSeen], state: &Value) -> Vec<String> {
    let mut faults = Vec::new();
    for (index, turn) in turns.iter().enumerate() {
        if turn.turn != index as u64 + 1 || turn.text.is_empty() {
            faults.push(format!("turn {} came as turn {}, {} bytes", index + 1, turn.turn, turn.text.len()));
        }
    }
    if state["phase"] != "ended" {
        faults.push(format!("the program did not end: {state}"));
    }
    if state["spent_tokens"].as_u64() > state["budget_tokens"].as_u64() {
        faults.push(format!("the budget was exceeded: {state}"));
    }
    faults
}

fn budget_note(state: &Value) -> String {
    format!("spent {} of {} tokens", state["spent_tokens"], state["budget_tokens"])
}

async fn timeline_of(system: &System, program: &str) -> anyhow::Result<Vec<TimelineEvent>> {
    let path = format!("/admin/v1/timeline?program={program}&limit={TIMELINE_EVENTS}");
    let answer = system.operator().get(system.operators(0), &path).await?;
    serde_json::from_value(answer).context("the time line")
}

fn curl_line(system: &System) -> String {
    let door = system.door(0);
    format!(
        "curl -s http://{door}/v1/programs -H 'Authorization: Bearer quickstart-desk' -d '{{\"agent_program\":\"assess-manuscript\"}}'"
    )
}
