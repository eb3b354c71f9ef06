use std::fmt;
use std::sync::Arc;

use uuid::Uuid;

/// identifies one start of an instance, as a process or after it was deposed; a later one compares greater.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation(Arc<str>);

impl Incarnation {
    /// generates the identifier of a start at the current time.
    pub fn generate() -> Self {
        Self(Uuid::now_v7().simple().to_string().into())
    }

    /// text form in stored objects and messages.
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
