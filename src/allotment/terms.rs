/// an allotment as one version of the configuration has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllotmentTerms {
    /// version of the configuration.
    pub version: u64,
    /// requests a second over all doors; 0 for no limit.
    pub rate_per_s: f64,
    /// requests that are allowed besides in a window.
    pub burst: f64,
}

impl AllotmentTerms {
    /// whether requests are counted at all.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}
