use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;

use crate::cli::exit::EXIT_CODES;

/// the command line of `flamingostand`.
pub fn flamingostand_command() -> Command {
    let run = Command::new("run")
        .about("Runs one entry instance until it is told to stop")
        .long_about(
            "Runs one entry instance.\n\n\
             The settings file is checked whole first. SIGTERM or SIGINT drains the instance: it takes no new \
             work, finishes what runs, hands its programs over and ends. A second signal ends it at once.",
        )
        .arg(settings_file());
    let node = Command::new("node")
        .about("Runs a front door or a ledger node until it is told to stop")
        .long_about(
            "Runs one process of a fleet: a front door that takes callers' requests, or a ledger node that holds \
             budgets and histories on its disk, as the settings say.\n\n\
             The settings file is checked whole first. SIGTERM or SIGINT ends the process gracefully: a front door \
             is named to callers no more and finishes what runs.",
        )
        .arg(node_settings());
    let check = Command::new("check")
        .about("Checks a settings file and reports every finding with its place")
        .arg(settings_file())
        .arg(
            Arg::new("node")
                .long("node")
                .action(ArgAction::SetTrue)
                .help("The file holds the settings of a front door or a ledger node"),
        );
    let quickstart = Command::new("quickstart")
        .about("Runs a small deployment with stand-ins in this process and shows it at work")
        .long_about(
            "Starts an embedded platform, model engines, a job service and three instances on loopback ports, \
             runs programs through them and prints what happened. Afterwards it keeps serving, and prints a \
             curl line to try.",
        )
        .arg(
            Arg::new("once")
                .long("once")
                .action(ArgAction::SetTrue)
                .help("End after the programs; exit code 0 only if all of them went well"),
        );
    let example = Command::new("example-settings").about("Prints an example of a settings file");
    Command::new("flamingostand")
        .version(clap::crate_version!())
        .about("Schedules the agent programs of many workspaces over shared model engines and services")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run)
        .subcommand(node)
        .subcommand(check)
        .subcommand(quickstart)
        .subcommand(completions())
        .subcommand(example)
}

/// the subcommand that prints shell completions.
pub(super) fn completions() -> Command {
    Command::new("completions").about("Prints shell completions").arg(
        Arg::new("shell")
            .value_name("SHELL")
            .value_parser(value_parser!(Shell))
            .required(true)
            .help("Shell to complete for"),
    )
}

fn node_settings() -> Arg {
    Arg::new("settings")
        .value_name("SETTINGS.json")
        .value_parser(value_parser!(std::path::PathBuf))
        .env("FLAMINGOSTAND_CONFIG")
        .required(true)
        .help("Settings of the process")
}

fn settings_file() -> Arg {
    Arg::new("settings")
        .value_name("SETTINGS.json")
        .value_parser(value_parser!(std::path::PathBuf))
        .required(true)
        .help("Settings of the instance; `flamingostand example-settings` prints an example")
}
