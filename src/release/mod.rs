//! releases: owns the configuration in force, which only grows in version.
//!
//! Pure decision code: the time and each input are arguments, the results are actions. The platform
//! holds one object for each release; making the next one is the acceptance.

mod acceptor;
mod book;
mod check;
mod codec;
mod core;
mod diff;
mod history;
mod judge;
mod keeper;
mod keys;
mod peers;
mod reader;
mod release_io;
mod releases;
pub mod snapshot;
mod watcher;
mod wire;

pub use acceptor::mark_of;
pub use book::Book;
pub use check::MAX_NOTE_BYTES;
pub use check::check_note;
pub use check::is_key_hash;
pub use diff::diff;
pub use history::History;
pub use history::Touch;
pub use judge::Refusal;
pub use judge::judge;
pub use release_io::ReleaseAction;
pub use release_io::ReleaseAnswer;
pub use release_io::ReleaseInput;
pub use releases::Releases;
pub use wire::check_row;
pub use wire::diff_row;
