use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::ArgMatches;
use clap_complete::Shell;

use crate::cli::command::path;
use crate::cli::command::shell;
use crate::cli::flamingoctl_command;

/// where the operator's key comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// a file.
    File(PathBuf),
    /// the environment variable `FLAMINGOCTL_KEY`.
    Environment,
}

/// what all commands of `flamingoctl` share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CtlOptions {
    /// operators' address of an instance.
    pub server: SocketAddr,
    /// where the key comes from.
    pub key: KeySource,
    /// whether to print JSON.
    pub json: bool,
}

/// what `flamingoctl release` is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseAction {
    /// report findings of a note.
    Check {
        /// path of the note.
        file: PathBuf,
    },
    /// show what a note would change.
    Diff {
        /// path of the note.
        file: PathBuf,
    },
    /// put a note in force.
    Accept {
        /// path of the note.
        file: PathBuf,
    },
    /// show where the newest release is in force.
    Status,
    /// list accepted releases.
    History {
        /// most releases.
        limit: u32,
    },
}

/// what `flamingoctl` is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CtlCommand {
    /// list instances.
    Instances,
    /// list programs.
    Programs {
        /// only of this workspace.
        workspace: Option<String>,
        /// most programs.
        limit: u32,
    },
    /// show a program.
    Program {
        /// its identifier.
        program: String,
    },
    /// list replicas.
    Replicas,
    /// something about releases.
    Release(ReleaseAction),
    /// drain an instance.
    Drain {
        /// its name.
        instance: String,
    },
    /// show events.
    Timeline {
        /// only of this program.
        program: Option<String>,
        /// only of this subject.
        subject: Option<String>,
        /// most events.
        limit: u32,
    },
    /// list contents that are held back.
    PoisonList,
    /// let a content run again.
    PoisonLift {
        /// its digest.
        digest: String,
    },
    /// tell the way of a request by the logs of several processes.
    Explain {
        /// id of the caller's attempt.
        request: String,
        /// log files.
        files: Vec<PathBuf>,
    },
    /// hash a key.
    HashKey,
    /// print shell completions.
    Completions {
        /// shell.
        shell: Shell,
    },
}

impl CtlCommand {
    /// reads a command line, the name of the program first.
    pub fn parse<I, T>(arguments: I) -> Result<(CtlOptions, Self), clap::Error>
    where
        I: IntoIterator<Item = T>,
        T: Into<OsString> + Clone,
    {
        let matches = flamingoctl_command().try_get_matches_from(arguments)?;
        let (name, own) = matches.subcommand().expect("clap requires a subcommand");
        let command = match name {
            "instances" => Self::Instances,
            "programs" => Self::Programs { workspace: text(own, "workspace"), limit: limit(own) },
            "program" => Self::Program { program: required(own, "program") },
            "replicas" => Self::Replicas,
            "release" => Self::Release(release(own)),
            "drain" => Self::Drain { instance: required(own, "instance") },
            "timeline" => Self::Timeline {
                program: text(own, "program"),
                subject: text(own, "subject"),
                limit: limit(own),
            },
            "poison" => poison(own),
            "explain" => Self::Explain {
                request: required(own, "request"),
                files: own.get_many::<PathBuf>("file").into_iter().flatten().cloned().collect(),
            },
            "completions" => Self::Completions { shell: shell(own) },
            _ => Self::HashKey,
        };
        Ok((options(own), command))
    }
}

fn options(matches: &ArgMatches) -> CtlOptions {
    let file = matches.get_one::<PathBuf>("key-file").cloned();
    CtlOptions {
        server: *matches.get_one::<SocketAddr>("server").expect("clap has a default"),
        key: file.map_or(KeySource::Environment, KeySource::File),
        json: matches.get_flag("json"),
    }
}

fn release(matches: &ArgMatches) -> ReleaseAction {
    match matches.subcommand() {
        Some(("check", own)) => ReleaseAction::Check { file: path(own, "file") },
        Some(("diff", own)) => ReleaseAction::Diff { file: path(own, "file") },
        Some(("accept", own)) => ReleaseAction::Accept { file: path(own, "file") },
        Some(("history", own)) => ReleaseAction::History { limit: limit(own) },
        _ => ReleaseAction::Status,
    }
}

fn poison(matches: &ArgMatches) -> CtlCommand {
    match matches.subcommand() {
        Some(("lift", own)) => CtlCommand::PoisonLift { digest: required(own, "digest") },
        _ => CtlCommand::PoisonList,
    }
}

fn text(matches: &ArgMatches, name: &str) -> Option<String> {
    matches.get_one::<String>(name).cloned()
}

fn required(matches: &ArgMatches, name: &str) -> String {
    text(matches, name).expect("clap requires the argument")
}

fn limit(matches: &ArgMatches) -> u32 {
    *matches.get_one::<u32>("limit").expect("clap has a default")
}
