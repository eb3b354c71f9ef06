use std::fmt;
use std::sync::Arc;

use uuid::Uuid;

/// names one start of an instance; a later start compares greater.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation(Arc<str>);

impl Incarnation {
    /// names a start that happens now.
    pub fn generate() -> Self {
        Self(Uuid::now_v7().simple().to_string().into())
    }

    /// the text that stands in objects and messages.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Incarnation {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0)
    }
}
