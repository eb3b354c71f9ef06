//! settings of one instance: read from JSON, checked whole, turned into typed values.

mod check;
mod load;
mod node_settings;
mod settings_file;
mod typed;

pub use check::check_settings;
pub use load::LoadError;
pub use load::load;
pub use load::parse;
pub use node_settings::DoorAddresses;
pub use node_settings::LedgerDisk;
pub use node_settings::NodeRole;
pub use node_settings::NodeSettings;
pub use settings_file::EXAMPLE;
pub use typed::ListenAddresses;
pub use typed::OperatorKey;
pub use typed::Settings;
