//! the operators' command line.

use std::io;
use std::process::ExitCode;

use flamingostand::cli::CtlCommand;
use flamingostand::cli::ExitStatus;
use flamingostand::ctl;

fn main() -> ExitCode {
    let (options, command) = match CtlCommand::parse(std::env::args_os()) {
        Ok(parsed) => parsed,
        // Prints help to the standard output, wrong usage to the standard error stream.
        Err(error) => error.exit(),
    };
    let mut out = io::stdout();
    let mut err = io::stderr();
    let run = ctl::run(&options, &command, &mut out, &mut err);
    // The only error left here is output that cannot be written.
    async_io::block_on(run).unwrap_or(ExitStatus::Failed).into()
}
