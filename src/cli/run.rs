use std::ffi::OsString;
use std::process::ExitCode;

use crate::cli::Command;
use crate::cli::ExitStatus;
use crate::cli::flamingostand_command;
use crate::door::run_door;
use crate::instance::run_daemon;
use crate::ledger_node::run_ledger_node;
use crate::quickstart;
use crate::settings;
use crate::settings::NodeRole;
use crate::settings::NodeSettings;

/// reads the command line of `flamingostand` and does what it asks.
pub fn run_flamingostand(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let command = match Command::parse(arguments) {
        Ok(command) => command,
        Err(error) => {
            // A closed terminal is no reason to fail differently.
            let _ = error.print();
            return if error.use_stderr() { ExitStatus::Usage.into() } else { ExitStatus::Done.into() };
        }
    };
    match perform(command) {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("flamingostand: {error:#}");
            ExitStatus::Failed.into()
        }
    }
}

fn perform(command: Command) -> anyhow::Result<ExitStatus> {
    match command {
        Command::Run { settings: path } => {
            run_daemon(settings::load(&path)?)?;
            Ok(ExitStatus::Done)
        }
        Command::Node { settings: path } => {
            run_node(&NodeSettings::load(&path)?)?;
            Ok(ExitStatus::Done)
        }
        Command::Check { settings: path, node } => {
            if node {
                NodeSettings::load(&path)?;
            } else {
                settings::load(&path)?;
            }
            println!("{}: no findings", path.display());
            Ok(ExitStatus::Done)
        }
        Command::Quickstart { once } => {
            let good = quickstart::run(once)?;
            Ok(if good { ExitStatus::Done } else { ExitStatus::Failed })
        }
        Command::Completions { shell } => {
            let mut command = flamingostand_command();
            clap_complete::generate(shell, &mut command, "flamingostand", &mut std::io::stdout());
            Ok(ExitStatus::Done)
        }
        Command::ExampleSettings => {
            print!("{}", settings::EXAMPLE);
            Ok(ExitStatus::Done)
        }
    }
}

fn run_node(settings: &NodeSettings) -> anyhow::Result<()> {
    match &settings.role {
        NodeRole::Door(addresses) => run_door(settings, *addresses),
        NodeRole::Ledger(disk) => run_ledger_node(settings, disk),
    }
}
