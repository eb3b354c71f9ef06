use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

use crate::cli::args::completions;
use crate::cli::exit::EXIT_CODES;

/// the command line of `flamingoctl`.
pub fn flamingoctl_command() -> Command {
    Command::new("flamingoctl")
        .version(clap::crate_version!())
        .about("Operates a deployment of flamingostand through the administration API of any instance")
        .after_help(format!(
            "The key is read from --key-file, else from the environment variable FLAMINGOCTL_KEY.\n\n{EXIT_CODES}"
        ))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("server")
                .long("server")
                .global(true)
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:7402")
                .help("Operators' address of an instance"),
        )
        .arg(
            Arg::new("key-file")
                .long("key-file")
                .global(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File that holds the operator's key"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print the server's JSON instead of tables"),
        )
        .subcommand(Command::new("instances").about("Lists the instances and what each of them holds"))
        .subcommand(programs())
        .subcommand(program())
        .subcommand(Command::new("replicas").about("Lists the replicas with their queues and windows"))
        .subcommand(release())
        .subcommand(drain())
        .subcommand(timeline())
        .subcommand(poison())
        .subcommand(explain())
        .subcommand(
            Command::new("hash-key")
                .about("Reads a key from the standard input and prints its hash for settings and releases"),
        )
        .subcommand(completions())
}

fn programs() -> Command {
    Command::new("programs")
        .about("Lists programs")
        .arg(Arg::new("workspace").long("workspace").value_name("WORKSPACE").help("Only of this workspace"))
        .arg(limit("100"))
}

fn program() -> Command {
    Command::new("program")
        .about("Shows one program")
        .arg(Arg::new("program").value_name("ID").required(true).help("Identifier of the program"))
}

fn release() -> Command {
    let file = || {
        Arg::new("file")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .required(true)
            .help("Release note in JSON")
    };
    Command::new("release")
        .about("Checks, compares and accepts release notes")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("check").about("Reports every finding of a note").arg(file()))
        .subcommand(Command::new("diff").about("Shows what a note would change").arg(file()))
        .subcommand(
            Command::new("accept")
                .about("Puts a note in force everywhere")
                .long_about(
                    "Puts a note in force everywhere.\n\nAccepting the same note again, also after a lost reply, \
                     is one acceptance. When releases accepted since the note was written touch the same \
                     entries, the note is refused with the entries in question; write it against the newest \
                     version and try again.",
                )
                .arg(file()),
        )
        .subcommand(Command::new("status").about("Shows on which instances the newest release is in force"))
        .subcommand(Command::new("history").about("Lists accepted releases, newest first").arg(limit("20")))
}

fn drain() -> Command {
    Command::new("drain")
        .about("Tells an instance to finish its work, hand its programs over and end")
        .arg(Arg::new("instance").value_name("INSTANCE").required(true).help("Name of the instance"))
}

fn timeline() -> Command {
    Command::new("timeline")
        .about("Shows events of all instances in the order of their hybrid clocks")
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("ID")
                .help("Only events of this program and its sub-agents"),
        )
        .arg(
            Arg::new("subject")
                .long("subject")
                .value_name("SUBJECT")
                .help("Only events of this instance, slot, replica, release or journal"),
        )
        .arg(limit("200"))
}

fn poison() -> Command {
    Command::new("poison")
        .about("Shows and lifts contents that are held back because they killed upstreams")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("Lists the contents"))
        .subcommand(
            Command::new("lift").about("Lets a content run again").arg(
                Arg::new("digest").value_name("DIGEST").required(true).help("Digest from `poison list`"),
            ),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Tells the way of one request by the log files of several processes; asks no server")
        .arg(Arg::new("request").value_name("REQUEST_ID").required(true).help("Id of the caller's attempt"))
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .num_args(1..)
                .help("Log files, as the processes wrote them to standard output"),
        )
}

fn limit(default: &'static str) -> Arg {
    Arg::new("limit")
        .long("limit")
        .value_name("N")
        .value_parser(value_parser!(u32).range(1..=10_000))
        .default_value(default)
        .help("Most rows")
}
