use anyhow::Context;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// upper bounds of the histogram buckets, in milliseconds.
const HISTOGRAM_BUCKETS_MS: [f64; 16] = [
    0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0, 30_000.0,
    120_000.0,
];

/// handle to the metrics of this process.
#[derive(Clone)]
pub struct Recorder {
    handle: PrometheusHandle,
}

impl Recorder {
    /// installs the global recorder behind the `metrics` macros; fails if the process already has one.
    pub fn install() -> anyhow::Result<Self> {
        let builder = PrometheusBuilder::new()
            .set_buckets(&HISTOGRAM_BUCKETS_MS)
            .context("failed to set the histogram buckets")?;
        let handle = builder.install_recorder().context("failed to install the metrics recorder")?;
        Ok(Self { handle })
    }

    /// all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// moves recorded histogram samples into their buckets; call it every few seconds.
    pub fn upkeep(&self) {
        self.handle.run_upkeep();
    }
}
