//! the command lines of both programs.

mod args;
mod command;
mod ctl_args;
mod ctl_command;
mod exit;
mod run;

pub use args::flamingostand_command;
pub use command::Command;
pub use ctl_args::flamingoctl_command;
pub use ctl_command::CtlCommand;
pub use ctl_command::CtlOptions;
pub use ctl_command::KeySource;
pub use ctl_command::ReleaseAction;
pub use exit::ExitStatus;
pub use run::run_flamingostand;
