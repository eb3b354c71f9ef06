//! the daemon that runs on every entry instance.

use std::process::ExitCode;

use flamingostand::cli;

fn main() -> ExitCode {
    cli::run_flamingostand(std::env::args_os())
}
