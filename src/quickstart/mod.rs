//! a whole small system in one process: stand-ins, three instances and a program of each kind.

#[expect(clippy::module_inception, reason = "the main type of the folder has the folder's name")]
mod quickstart;
mod report;
mod system;
mod visitor;

pub use quickstart::run;
