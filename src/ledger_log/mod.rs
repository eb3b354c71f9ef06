//! the disk of a ledger node: an append-only log in segments, each record framed with its length and checksum.
//!
//! Owns the files below the data folder. A record counts as stored once a sync that covers it has returned.

mod disk_identity;
mod frame;
mod log;
mod segments;
mod writer;

pub use log::LedgerLog;
pub use log::OpenedLog;
pub use writer::LogEvent;
