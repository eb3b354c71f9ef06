use serde::Deserialize;
use serde::Serialize;

/// what an engine is ordered to be.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct Wanted {
    pub(super) models: Vec<String>,
    pub(super) adapters: Vec<String>,
    pub(super) version: String,
    pub(super) role: String,
}

/// an order as it arrives.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Order {
    pub(super) fence: u64,
    pub(super) wanted: Wanted,
}

/// the orders that an engine obeyed.
#[derive(Clone, Debug)]
pub(super) struct Orders {
    checks_fencing: bool,
    pub(super) fence: u64,
    pub(super) state: Wanted,
}

impl Orders {
    pub(super) fn new(checks_fencing: bool, models: Vec<String>) -> Self {
        Self { checks_fencing, fence: 0, state: Wanted { models, ..Wanted::default() } }
    }

    /// obeys an order, or returns the fencing number that it is older than.
    pub(super) fn obey(&mut self, order: Order) -> Result<(), u64> {
        if self.checks_fencing && order.fence < self.fence {
            return Err(self.fence);
        }
        self.fence = order.fence;
        self.state = order.wanted;
        Ok(())
    }

    pub(super) fn serves(&self, model: &str) -> bool {
        self.state.models.is_empty() || self.state.models.iter().any(|name| name == model)
    }
}
