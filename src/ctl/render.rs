//! answers of the administration API as tables and lines for people.

use serde_json::Value;

use crate::clock::format_utc;
use crate::config::EntryKey;
use crate::ctl::ApiError;
use crate::ctl::Table;
use crate::ctl::api_client::read;
use crate::schema::AcceptedRelease;
use crate::schema::InstanceRow;
use crate::schema::PoisonHeld;
use crate::schema::ProgramState;
use crate::schema::ReleaseDiff;
use crate::schema::ReleaseStatus;
use crate::schema::ReplicaRow;
use crate::schema::TimelineEvent;
use crate::timeline::HybridClock;

/// longest value that a difference shows.
const MAX_VALUE_CHARS: usize = 100;

/// stands in a table for what is not known.
const NOTHING: &str = "-";

/// bits of a stamp that count events within one millisecond.
const COUNTER_MASK: u64 = 0xffff;

type Rendered = Result<String, ApiError>;

pub(super) fn instances(value: &Value) -> Rendered {
    let mut table = Table::new(&[
        "INSTANCE",
        "ZONE",
        "HEALTH",
        "RELEASE",
        "SLOTS",
        "PROGRAMS",
        "PLATFORM CALLS",
        "STATE",
    ]);
    for row in read::<Vec<InstanceRow>>(value)? {
        let mut cells = vec![row.name, row.zone, row.health.to_string()];
        let Some(status) = row.status else {
            cells.extend([NOTHING, NOTHING, NOTHING, NOTHING, "no answer"].map(str::to_owned));
            table.row(cells);
            continue;
        };
        cells.push(status.release_version.to_string());
        cells.push(status.slots.to_string());
        cells.push(status.programs.to_string());
        cells.push(status.platform_calls.to_string());
        cells.push(if status.leaving { "leaving" } else { "serving" }.to_owned());
        table.row(cells);
    }
    Ok(table.to_string())
}

pub(super) fn programs(value: &Value) -> Rendered {
    let mut table =
        Table::new(&["PROGRAM", "WORKSPACE", "AGENT PROGRAM", "PHASE", "TURN", "SPENT", "BUDGET", "OWNER"]);
    for state in read::<Vec<ProgramState>>(value)? {
        table.row(vec![
            state.program,
            state.workspace,
            state.agent_program,
            state.phase.to_string(),
            state.history.turn.to_string(),
            state.spent_tokens.to_string(),
            state.budget_tokens.to_string(),
            state.owner,
        ]);
    }
    Ok(table.to_string())
}

pub(super) fn program(value: &Value) -> Rendered {
    let state: ProgramState = read(value)?;
    let mut lines = vec![
        format!("program        {}", state.program),
        format!("workspace      {}", state.workspace),
        format!("agent program  {}", state.agent_program),
        format!("phase          {}", state.phase),
        format!("owner          {}", state.owner),
        format!("turn           {} ({} messages)", state.history.turn, state.history.messages),
        format!("history        {}", state.history.digest),
        format!("budget         {} tokens", state.budget_tokens),
        format!("spent          {} tokens, {} more reserved", state.spent_tokens, state.reserved_tokens),
    ];
    if let Some(parent) = state.parent {
        lines.push(format!("parent         {parent}"));
    }
    if let Some(reason) = state.ended_reason {
        lines.push(format!("ended          {reason}"));
    }
    for child in state.children {
        lines.push(format!("sub-agent      {child}"));
    }
    let mut text = lines.join("\n") + "\n";
    if !state.calls.is_empty() {
        let mut table = Table::new(&["CALL", "STATE", "STATUS"]);
        for call in state.calls {
            table.row(vec![call.call, call.state.to_string(), call.status.to_string()]);
        }
        text.push_str(&format!("\n{table}"));
    }
    Ok(text)
}

pub(super) fn replicas(value: &Value) -> Rendered {
    let mut table = Table::new(&[
        "REPLICA",
        "MODEL",
        "ZONE",
        "STATE",
        "DISPATCHER",
        "RUNNING",
        "QUEUED",
        "QUEUED TOKENS",
        "WINDOW",
    ]);
    for row in read::<Vec<ReplicaRow>>(value)? {
        let state = if row.leaving { "leaving" } else { "serving" };
        let dispatcher = row.dispatcher.unwrap_or_else(|| NOTHING.to_owned());
        let mut cells = vec![row.name, row.model, row.zone, state.to_owned(), dispatcher];
        match row.load {
            Some(load) => cells.extend([
                load.running.to_string(),
                load.queued.to_string(),
                load.queued_tokens.to_string(),
                load.window.to_string(),
            ]),
            None => cells.extend([NOTHING; 4].map(str::to_owned)),
        }
        table.row(cells);
    }
    Ok(table.to_string())
}

pub(super) fn release_status(value: &Value) -> Rendered {
    let status: ReleaseStatus = read(value)?;
    let total = status.instances.len();
    let current = status.instances.iter().filter(|instance| instance.version >= status.version).count();
    let mut text = format!("version {} is in force on {current} of {total}\n", status.version);
    for instance in status.instances {
        if instance.version < status.version {
            text.push_str(&format!("{} is at version {}\n", instance.name, instance.version));
        }
    }
    Ok(text)
}

pub(super) fn release_history(value: &Value) -> Rendered {
    let mut table =
        Table::new(&["VERSION", "ACCEPTED (UTC)", "OPERATOR", "ADDED", "CHANGED", "WITHDRAWN", "SUMMARY"]);
    for release in read::<Vec<AcceptedRelease>>(value)? {
        table.row(vec![
            release.version.to_string(),
            format_utc(release.accepted_unix_ms),
            release.operator,
            release.note.added.len().to_string(),
            release.note.changed.len().to_string(),
            release.note.withdrawn.len().to_string(),
            release.note.summary,
        ]);
    }
    Ok(table.to_string())
}

pub(super) fn release_diff(value: &Value) -> Rendered {
    let diff: ReleaseDiff = read(value)?;
    let mut text = format!("compared with version {}\n", diff.version);
    for change in diff.changes {
        text.push_str(&format!("{} {}\n", change.change, EntryKey::from(&change.entry)));
        for field in change.fields {
            text.push_str(&format!(
                "    {}: {} -> {}\n",
                field.field,
                short(&field.before),
                short(&field.after)
            ));
        }
    }
    Ok(text)
}

pub(super) fn timeline(value: &Value) -> Rendered {
    let mut events: Vec<TimelineEvent> = read(value)?;
    events.sort_by(|left, right| (left.at, &left.instance).cmp(&(right.at, &right.instance)));
    let mut table = Table::new(&["TIME (UTC)", "INSTANCE", "EVENT", "OF", "DETAIL"]);
    for event in events {
        let time = format_utc(HybridClock::unix_ms(event.at));
        table.row(vec![
            format!("{time}+{}", event.at & COUNTER_MASK),
            event.instance,
            event.what,
            event.program.or(event.subject).unwrap_or_default(),
            event.detail,
        ]);
    }
    Ok(table.to_string())
}

pub(super) fn poison(value: &Value) -> Rendered {
    let mut table = Table::new(&["DIGEST", "DEATHS", "STATE", "CHANGED (UTC)"]);
    for held in read::<Vec<PoisonHeld>>(value)? {
        table.row(vec![
            held.digest,
            held.deaths.to_string(),
            if held.lifted { "lifted" } else { "held back" }.to_owned(),
            format_utc(held.changed_unix_ms),
        ]);
    }
    Ok(table.to_string())
}

fn short(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{start}...")
}
