use anyhow::Context;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// bounds of the buckets of histograms in milliseconds.
const BUCKETS_MS: [f64; 16] = [
    0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0, 30_000.0,
    120_000.0,
];

/// the counters of this process, rendered for scraping.
#[derive(Clone)]
pub struct Recorder {
    handle: PrometheusHandle,
}

impl Recorder {
    /// takes over the `metrics` macros of this process; a second recorder is refused.
    pub fn install() -> anyhow::Result<Self> {
        let builder = PrometheusBuilder::new().set_buckets(&BUCKETS_MS).context("set the buckets")?;
        let handle = builder.install_recorder().context("install the metrics recorder")?;
        Ok(Self { handle })
    }

    /// all counters in the Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// moves what histograms have gathered into their buckets; call it every few seconds.
    pub fn upkeep(&self) {
        self.handle.run_upkeep();
    }
}
