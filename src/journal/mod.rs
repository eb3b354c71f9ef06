//! journals: the log that each incarnation of an instance commits to the platform as numbered entries.
//!
//! Free of I/O: platform calls go out as requests, replies come in with the current time. What a record means
//! is left to the programs. The last entry of a journal is a seal; a successor writes one under the next free
//! number to fence off the previous owner, whose next commit then fails.

mod byte_counter;
mod codec;
mod journal_reader;
mod journal_writer;
mod sweeper;

pub use byte_counter::ByteCounter;
pub use codec::JOURNAL_PREFIX;
pub use codec::decode;
pub use codec::encode;
pub use codec::journal_key;
pub use codec::parse_journal_key;
pub use codec::record_bytes;
pub use journal_reader::JournalReader;
pub use journal_reader::ReadStep;
pub use journal_writer::JournalStep;
pub use journal_writer::JournalWriter;
pub use sweeper::Sweeper;
