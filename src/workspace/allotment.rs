/// how many requests of a workspace the fleet is to let through, over all doors together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allotment {
    /// lasting rate; above 0.
    pub rate_per_s: f64,
    /// requests beyond the rate that may come at once.
    pub burst: f64,
}

impl Allotment {
    /// an allotment; `None` if the rate is absent, 0 or no positive number, which means no limit.
    pub fn new(rate_per_s: Option<f64>, burst: Option<f64>) -> Option<Self> {
        let rate_per_s = rate_per_s.filter(|rate| rate.is_finite() && *rate > 0.0)?;
        let burst = burst.filter(|burst| burst.is_finite() && *burst > 0.0).unwrap_or(0.0);
        Some(Self { rate_per_s, burst })
    }
}
