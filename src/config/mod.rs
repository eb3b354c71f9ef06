//! the configuration in force: what all accepted releases add up to.

mod configuration;
mod entry_key;

pub use configuration::Configuration;
pub use entry_key::EntryKey;
