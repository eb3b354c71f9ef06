//! releases: owns the configuration in force, which only grows in version.
//!
//! Pure decision code: the time and each input are arguments, the results are actions.

mod release_io;

pub use release_io::ReleaseAction;
pub use release_io::ReleaseAnswer;
pub use release_io::ReleaseInput;
