use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;
use async_io::Timer;
use flamingo_edge::Spawner;
use flamingo_standins::engine::EngineOptions;
use flamingo_standins::engine::EngineStandin;
use flamingo_standins::platform::InstanceRow;
use flamingo_standins::platform::PlatformOptions;
use flamingo_standins::platform::PlatformStandin;
use flamingo_standins::service::ServiceOptions;
use flamingo_standins::service::ServiceStandin;
use serde_json::Value;
use serde_json::json;
use slog::Logger;

use crate::instance::Instance;
use crate::platform::HttpPlatform;
use crate::platform::HttpPlatformOptions;
use crate::quickstart::visitor::Visitor;
use crate::settings;
use crate::settings::Settings;
use crate::telemetry::Recorder;

/// key of the quickstart's operator.
const OPERATOR_KEY: &str = "quickstart-operator";

/// how long the system may take until it serves.
const START_LIMIT: Duration = Duration::from_secs(10);

/// availability zones of the quickstart.
const ZONES: [&str; 3] = ["ljubljana-a", "ljubljana-b", "ljubljana-c"];

/// the release note that the quickstart accepts.
const RELEASE: &str = include_str!("../../resources/quickstart-release.json");

/// everything that the quickstart runs; dropping it ends it.
pub(crate) struct System {
    _platform: PlatformStandin,
    _engines: Vec<EngineStandin>,
    pub(crate) desk: ServiceStandin,
    _jobs: ServiceStandin,
    pub(crate) instances: Vec<Instance>,
}

impl System {
    /// starts the stand-ins and the instances, and accepts the first release.
    pub(crate) async fn start(spawner: &Spawner, log: &Logger, metrics: &Recorder) -> anyhow::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform =
            PlatformStandin::start(spawner, PlatformOptions { listen: any, ..PlatformOptions::default() })?;
        let mut engines = Vec::new();
        for _ in ZONES {
            engines.push(EngineStandin::start(
                spawner,
                EngineOptions { listen: any, ..EngineOptions::default() },
            )?);
        }
        let desk =
            ServiceStandin::start(spawner, ServiceOptions { listen: any, ..ServiceOptions::default() })?;
        let jobs =
            ServiceStandin::start(spawner, ServiceOptions { listen: any, ..ServiceOptions::default() })?;
        let mut rows = Vec::new();
        for (index, engine) in engines.iter().enumerate() {
            let model = if index == 0 { "tank-assistant" } else { "manuscript-reader" };
            rows.push(row(
                &format!("engine-{}", index + 1),
                "engine",
                model,
                engine.address(),
                ZONES[index],
            )?);
        }
        rows.push(row("desk-1", "service", "desk", desk.address(), ZONES[0])?);
        rows.push(row("jobs-1", "service", "jobs", jobs.address(), ZONES[1])?);
        let mut instances = Vec::new();
        for (index, zone) in ZONES.iter().enumerate() {
            let name = format!("entry-{}", index + 1);
            let settings = instance_settings(&name, zone, platform.address())?;
            rows.push(row(&name, "entry", "", settings.listen.mesh, zone)?);
            let client = Arc::new(HttpPlatform::new(HttpPlatformOptions::try_from(&settings.platform)?));
            instances.push(Instance::start(settings, spawner.clone(), client, log.clone(), metrics.clone())?);
        }
        platform.control().set_instances(rows);
        let system = Self { _platform: platform, _engines: engines, desk, _jobs: jobs, instances };
        system.wait_serving().await?;
        Ok(system)
    }

    /// address of an instance's callers' door.
    pub(crate) fn door(&self, index: usize) -> SocketAddr {
        self.instances[index].shared.settings.listen.callers
    }

    /// address of an instance's operators' door.
    pub(crate) fn operators(&self, index: usize) -> SocketAddr {
        self.instances[index].shared.settings.listen.operators
    }

    /// an operator with the quickstart's key.
    pub(crate) fn operator(&self) -> Visitor {
        Visitor::new(OPERATOR_KEY, self.operators(0))
    }

    async fn wait_serving(&self) -> anyhow::Result<()> {
        let note: Value = serde_json::from_str(RELEASE).context("the quickstart's release note")?;
        let operator = self.operator();
        let start = Instant::now();
        let mut accepted = false;
        loop {
            if !accepted {
                accepted = operator.post(self.operators(0), "/admin/v1/release", &note).await.is_ok();
            }
            if accepted && self.is_serving() {
                return Ok(());
            }
            if start.elapsed() > START_LIMIT {
                bail!("the system does not serve after {} s", START_LIMIT.as_secs());
            }
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    fn is_serving(&self) -> bool {
        let mut slots = 0;
        for instance in &self.instances {
            let status = instance.shared.status();
            if status.release_version == 0 {
                return false;
            }
            slots += status.slots;
        }
        slots == self.instances[0].shared.slot_count
    }
}

/// one row of the platform's list.
fn row(name: &str, kind: &str, serves: &str, address: SocketAddr, zone: &str) -> anyhow::Result<InstanceRow> {
    let row = json!({
        "name": name,
        "kind": kind,
        "serves": serves,
        "address": address.to_string(),
        "zone": zone,
        "state": "live",
    });
    serde_json::from_value(row).context("a row of the list of instances")
}

fn instance_settings(name: &str, zone: &str, platform: SocketAddr) -> anyhow::Result<Settings> {
    let key_hash = blake3::hash(OPERATOR_KEY.as_bytes()).to_hex().to_string();
    let text = json!({
        "cluster": { "name": "quickstart", "mesh_key": "0f".repeat(32) },
        "instance": { "name": name, "region": "ljubljana", "zone": zone },
        "listen": {
            "callers": free_address()?.to_string(),
            "operators": free_address()?.to_string(),
            "mesh": free_address()?.to_string(),
        },
        "platform": { "address": platform.to_string() },
        "operator_keys": [{ "operator": "quickstart", "key_hash": key_hash }],
    });
    settings::parse(&text.to_string()).map_err(anyhow::Error::from)
}

/// an address that nobody listens on at the moment.
fn free_address() -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).context("find a free port")?;
    listener.local_addr().context("find a free port")
}
