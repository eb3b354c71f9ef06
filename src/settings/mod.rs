//! settings of one instance: read from JSON, checked whole, turned into typed values.

mod check;
mod load;
mod settings_file;
mod typed;

pub use check::check_settings;
pub use load::LoadError;
pub use load::load;
pub use load::parse;
pub use settings_file::EXAMPLE;
pub use typed::ListenAddresses;
pub use typed::OperatorKey;
pub use typed::Settings;
