//! the journal of this incarnation: owns its entries, their order and their commit.
//!
//! Pure decision code. It does not know what a record means; programs do.

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
