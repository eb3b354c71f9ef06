//! wire and settings types generated from `schemas/wire.json`, and the check of input against it.

mod checker;
#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::restriction)]
#[rustfmt::skip]
mod generated;
mod line_index;
mod octets;

pub use checker::check_text;
pub use checker::check_value;
pub use generated::*;
pub use line_index::line_of_pointer;
pub use octets::Octets;
