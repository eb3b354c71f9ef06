use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use clap_complete::generate;
use serde_json::Value;
use serde_json::json;

use crate::cli::CtlCommand;
use crate::cli::CtlOptions;
use crate::cli::ExitStatus;
use crate::cli::ReleaseAction;
use crate::cli::flamingoctl_command;
use crate::ctl::ApiClient;
use crate::ctl::ApiError;
use crate::ctl::api_client::read;
use crate::ctl::explain::Explanation;
use crate::ctl::hash_key;
use crate::ctl::note::NoteFile;
use crate::ctl::read_key;
use crate::ctl::render;
use crate::finding::Finding;
use crate::finding::Findings;
use crate::schema::ReleaseAccepted;
use crate::schema::ReleaseCheck;

/// path of the administration API.
const API: &str = "/admin/v1";

/// runs a command; what it prints goes to `out`, what went wrong to `err`.
pub async fn run(
    options: &CtlOptions,
    command: &CtlCommand,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> io::Result<ExitStatus> {
    match execute(options, command, out).await {
        Ok(status) => Ok(status),
        Err(Stop::Output(error)) => Err(error),
        Err(Stop::Api(error)) => {
            writeln!(err, "flamingoctl: {error}")?;
            Ok(error.exit_status())
        }
        Err(Stop::Findings(findings)) => {
            writeln!(err, "{findings}")?;
            Ok(ExitStatus::Failed)
        }
    }
}

/// why a command ends early.
enum Stop {
    Api(ApiError),
    Findings(Findings),
    Output(io::Error),
}

impl From<ApiError> for Stop {
    fn from(error: ApiError) -> Self {
        Self::Api(error)
    }
}

impl From<io::Error> for Stop {
    fn from(error: io::Error) -> Self {
        Self::Output(error)
    }
}

type Render = fn(&Value) -> Result<String, ApiError>;

async fn execute(
    options: &CtlOptions,
    command: &CtlCommand,
    out: &mut dyn Write,
) -> Result<ExitStatus, Stop> {
    match command {
        CtlCommand::HashKey => return print_hash(out),
        CtlCommand::Explain { request, files } => return explain(request, files, out),
        CtlCommand::Completions { shell } => {
            generate(*shell, &mut flamingoctl_command(), "flamingoctl", &mut &mut *out);
            return Ok(ExitStatus::Done);
        }
        CtlCommand::Instances
        | CtlCommand::Programs { .. }
        | CtlCommand::Program { .. }
        | CtlCommand::Replicas
        | CtlCommand::Release(_)
        | CtlCommand::Drain { .. }
        | CtlCommand::Timeline { .. }
        | CtlCommand::PoisonList
        | CtlCommand::PoisonLift { .. } => {}
    }
    if let CtlCommand::Release(
        ReleaseAction::Check { file } | ReleaseAction::Diff { file } | ReleaseAction::Accept { file },
    ) = command
    {
        // A note's shape is checked before a key is needed.
        let note = NoteFile::read(file)?.map_err(Stop::Findings)?;
        return send_note(options, command, &note, file, out).await;
    }
    let client = ApiClient::new(options.server, read_key(&options.key)?);
    let (value, render): (Value, Render) = match command {
        CtlCommand::Instances => (client.get(&path("instances"), &[]).await?, render::instances),
        CtlCommand::Programs { workspace, limit } => {
            let query = query(&[("workspace", workspace.clone()), ("limit", Some(limit.to_string()))]);
            (client.get(&path("programs"), &query).await?, render::programs)
        }
        CtlCommand::Program { program } => {
            check_program_id(program)?;
            (client.get(&path(&format!("programs/{program}")), &[]).await?, render::program)
        }
        CtlCommand::Replicas => (client.get(&path("replicas"), &[]).await?, render::replicas),
        CtlCommand::Release(ReleaseAction::History { limit }) => {
            let query = query(&[("limit", Some(limit.to_string()))]);
            (client.get(&path("release/history"), &query).await?, render::release_history)
        }
        CtlCommand::Timeline { program, subject, limit } => {
            let query = query(&[
                ("program", program.clone()),
                ("subject", subject.clone()),
                ("limit", Some(limit.to_string())),
            ]);
            (client.get(&path("timeline"), &query).await?, render::timeline)
        }
        CtlCommand::PoisonList => (client.get(&path("poison"), &[]).await?, render::poison),
        CtlCommand::Drain { instance } => {
            let value = client.post(&path("drain"), &json!({ "instance": instance })).await?;
            (value, |_| Ok("the instance is leaving\n".to_owned()))
        }
        CtlCommand::PoisonLift { digest } => {
            let value = client.post(&path("poison/lift"), &json!({ "digest": digest })).await?;
            (value, |_| Ok("the content may run again\n".to_owned()))
        }
        CtlCommand::Release(_)
        | CtlCommand::HashKey
        | CtlCommand::Explain { .. }
        | CtlCommand::Completions { .. } => {
            (client.get(&path("release/status"), &[]).await?, render::release_status)
        }
    };
    print(options, out, &value, render)?;
    Ok(ExitStatus::Done)
}

async fn send_note(
    options: &CtlOptions,
    command: &CtlCommand,
    note: &NoteFile,
    file: &Path,
    out: &mut dyn Write,
) -> Result<ExitStatus, Stop> {
    let client = ApiClient::new(options.server, read_key(&options.key)?);
    match command {
        CtlCommand::Release(ReleaseAction::Diff { .. }) => {
            let compared = client.post(&path("release/diff"), &note.value).await;
            let value = compared.map_err(|error| with_lines(error, note))?;
            print(options, out, &value, render::release_diff)?;
            Ok(ExitStatus::Done)
        }
        CtlCommand::Release(ReleaseAction::Check { .. }) => {
            let checked = client.post(&path("release/check"), &note.value).await;
            let value = checked.map_err(|error| with_lines(error, note))?;
            let check: ReleaseCheck = read(&value)?;
            if options.json {
                writeln!(out, "{value:#}")?;
            } else {
                print_check(&check, note, file, out)?;
            }
            Ok(if check.findings.is_empty() { ExitStatus::Done } else { ExitStatus::Failed })
        }
        _ => {
            let accepted = client.post(&path("release"), &note.value).await;
            let value = accepted.map_err(|error| with_lines(error, note))?;
            print(options, out, &value, render_accepted)?;
            Ok(ExitStatus::Done)
        }
    }
}

fn print_hash(out: &mut dyn Write) -> Result<ExitStatus, Stop> {
    let key = io::read_to_string(io::stdin())?;
    let Some(hash) = hash_key(&key) else {
        return Err(ApiError::Local("give the key on the standard input".to_owned()).into());
    };
    writeln!(out, "{hash}")?;
    Ok(ExitStatus::Done)
}

fn explain(request: &str, files: &[PathBuf], out: &mut dyn Write) -> Result<ExitStatus, Stop> {
    let explanation =
        Explanation::read(request, files).map_err(|error| ApiError::Local(error.to_string()))?;
    write!(out, "{explanation}")?;
    Ok(if explanation.is_found() { ExitStatus::Done } else { ExitStatus::Failed })
}

fn print(options: &CtlOptions, out: &mut dyn Write, value: &Value, render: Render) -> Result<(), Stop> {
    if options.json {
        writeln!(out, "{value:#}")?;
        return Ok(());
    }
    out.write_all(render(value)?.as_bytes())?;
    Ok(())
}

fn print_check(check: &ReleaseCheck, note: &NoteFile, file: &Path, out: &mut dyn Write) -> io::Result<()> {
    let count = check.findings.len();
    if count == 0 {
        return writeln!(out, "{} can be accepted after version {}", file.display(), check.version);
    }
    let plural = if count == 1 { "" } else { "s" };
    writeln!(out, "{}: {count} finding{plural} against version {}", file.display(), check.version)?;
    for row in &check.findings {
        let mut finding = Finding::from(row);
        finding.line = note.line(&finding.place);
        writeln!(out, "{finding}")?;
    }
    Ok(())
}

fn render_accepted(value: &Value) -> Result<String, ApiError> {
    let accepted: ReleaseAccepted = read(value)?;
    let before = if accepted.repeated { ", as it was before" } else { "" };
    Ok(format!("accepted as version {}{before}\n", accepted.version))
}

/// adds the lines of the file to the places that the server names.
fn with_lines(error: ApiError, note: &NoteFile) -> ApiError {
    let ApiError::Refused { status, mut problem } = error else {
        return error;
    };
    for row in &mut problem.findings {
        row.line = note.line(&row.place).map(|line| line as u64);
    }
    ApiError::Refused { status, problem }
}

/// identifiers go into the path of the request as they stand.
fn check_program_id(program: &str) -> Result<(), ApiError> {
    let fits = |letter: char| letter.is_ascii_alphanumeric() || matches!(letter, '_' | '-' | '.');
    if !program.is_empty() && program.chars().all(fits) {
        return Ok(());
    }
    Err(ApiError::Local(format!("`{program}` is no identifier of a program")))
}

fn path(rest: &str) -> String {
    format!("{API}/{rest}")
}

fn query<'a>(pairs: &[(&'a str, Option<String>)]) -> Vec<(&'a str, String)> {
    let mut query = Vec::new();
    for (name, value) in pairs {
        if let Some(value) = value {
            query.push((*name, value.clone()));
        }
    }
    query
}
