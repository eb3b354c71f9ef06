//! releases: owns the configuration in force, which only grows in version.
//!
//! Pure decision code: the time and each input are arguments, the results are actions. The platform
//! holds one object for each release; making the next one is the acceptance.

mod acceptor;
mod check;
mod codec;
mod compactor;
mod core;
mod diff;
mod evaluate;
mod history;
mod keys;
mod peers;
mod reader;
mod release_io;
mod release_log;
mod releases;
pub mod snapshot;
mod watcher;
mod wire;

pub use acceptor::mark_of;
pub use check::MAX_NOTE_BYTES;
pub use check::check_note;
pub use check::is_key_hash;
pub use diff::diff;
pub use evaluate::Refusal;
pub use evaluate::evaluate;
pub use history::History;
pub use history::LastChange;
pub use release_io::ReleaseAction;
pub use release_io::ReleaseAnswer;
pub use release_io::ReleaseInput;
pub use release_log::ReleaseLog;
pub use releases::Releases;
pub use wire::check_row;
pub use wire::diff_row;
