use std::ffi::OsString;
use std::path::PathBuf;

use clap::ArgMatches;
use clap_complete::Shell;

use crate::cli::flamingostand_command;

/// what `flamingostand` is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// run an instance.
    Run {
        /// path of its settings.
        settings: PathBuf,
    },
    /// run a front door or a ledger node.
    Node {
        /// path of its settings.
        settings: PathBuf,
    },
    /// check a settings file.
    Check {
        /// path of the file.
        settings: PathBuf,
        /// whether it belongs to a front door or a ledger node.
        node: bool,
    },
    /// show a small deployment at work.
    Quickstart {
        /// whether to end afterwards.
        once: bool,
    },
    /// print shell completions.
    Completions {
        /// shell.
        shell: Shell,
    },
    /// print an example of a settings file.
    ExampleSettings,
}

impl Command {
    /// reads a command line, the name of the program first.
    pub fn parse<I, T>(arguments: I) -> Result<Self, clap::Error>
    where
        I: IntoIterator<Item = T>,
        T: Into<OsString> + Clone,
    {
        let matches = flamingostand_command().try_get_matches_from(arguments)?;
        Ok(match matches.subcommand() {
            Some(("run", matches)) => Self::Run { settings: path(matches, "settings") },
            Some(("node", matches)) => Self::Node { settings: path(matches, "settings") },
            Some(("check", matches)) => {
                Self::Check { settings: path(matches, "settings"), node: matches.get_flag("node") }
            }
            Some(("quickstart", matches)) => Self::Quickstart { once: matches.get_flag("once") },
            Some(("completions", matches)) => Self::Completions { shell: shell(matches) },
            _ => Self::ExampleSettings,
        })
    }
}

/// a path that the command line requires.
pub(super) fn path(matches: &ArgMatches, name: &str) -> PathBuf {
    matches.get_one::<PathBuf>(name).cloned().expect("clap requires the argument")
}

/// the shell that the command line requires.
pub(super) fn shell(matches: &ArgMatches) -> Shell {
    matches.get_one::<Shell>("shell").copied().expect("clap requires the argument")
}
