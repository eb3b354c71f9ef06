use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use flamingo_edge::Client;
use flamingo_edge::ClientSettings;
use flamingo_edge::Spawner;
use futures_lite::future;

use super::EngineCounts;
use super::EngineFaults;
use super::EngineOptions;
use super::routes;
use super::state::State;
use crate::host::Host;

/// what an engine's connections share.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<State>,
    pub(super) options: EngineOptions,
    pub(super) spawner: Spawner,
    pub(super) client: Client,
    pub(super) incarnation: String,
    started_at: Instant,
    wake: Sender<()>,
    host: OnceLock<Host>,
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("engine lock poisoned")
    }

    pub(super) fn now_us(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// tells the driver that there is work.
    pub(super) fn wake_driver(&self) {
        let _ = self.wake.try_send(());
    }

    /// stops serving: connections are closed, and later ones refused.
    pub(super) fn die(&self) {
        if self.options.exits_on_crash {
            std::process::exit(1);
        }
        self.stop();
    }

    fn stop(&self) {
        if let Some(host) = self.host.get() {
            host.close();
        }
        let mut state = self.lock();
        state.dead = true;
        state.wake_all();
        drop(state);
        self.wake_driver();
    }

    /// runs the batch in real time.
    async fn drive(&self, wake: Receiver<()>) {
        loop {
            let (next_at_us, crashed) = {
                let now_us = self.now_us();
                let mut state = self.lock();
                if state.dead {
                    return;
                }
                state.advance(now_us);
                (state.batch.next_at_us(), state.crashed)
            };
            if crashed {
                self.die();
                return;
            }
            let woken = async {
                let _ = wake.recv().await;
            };
            match next_at_us {
                None => woken.await,
                Some(at_us) => {
                    let due = async {
                        Timer::at(self.started_at + Duration::from_micros(at_us)).await;
                    };
                    future::or(woken, due).await;
                }
            }
        }
    }
}

/// an engine stand-in that listens until it is dropped.
#[derive(Debug)]
pub struct EngineStandin {
    address: SocketAddr,
    control: EngineControl,
}

impl EngineStandin {
    /// starts an engine stand-in.
    pub fn start(spawner: &Spawner, options: EngineOptions) -> Result<Self> {
        let (wake, woken) = async_channel::bounded(1);
        let client = Client::new(ClientSettings {
            connect_timeout_ms: 1_000,
            silence_timeout_ms: 10_000,
            idle_per_peer: 1,
        });
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(&options)),
            incarnation: format!("{}-{}", std::process::id(), routes::next_incarnation()),
            spawner: spawner.clone(),
            client,
            started_at: Instant::now(),
            wake,
            host: OnceLock::new(),
            options,
        });
        let serving = Arc::clone(&shared);
        let host = Host::start(spawner, shared.options.listen, move |incoming| {
            let shared = Arc::clone(&serving);
            async move { routes::answer(&shared, incoming).await }
        })?;
        let address = host.address();
        let _ = shared.host.set(host);
        let driving = Arc::clone(&shared);
        spawner.detach(async move { driving.drive(woken).await });
        Ok(Self { address, control: EngineControl { shared } })
    }

    /// the address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// the controls for scripts in this process.
    pub fn control(&self) -> &EngineControl {
        &self.control
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.control.shared.stop();
    }
}

/// scripted changes to an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineControl {
    shared: Arc<Shared>,
}

impl EngineControl {
    /// puts these faults in force in place of the earlier ones.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.lock().set_faults(faults);
    }

    /// announces that the engine is leaving, or that it stays.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.lock().leaving = leaving;
    }

    /// what the engine has done so far.
    pub fn counts(&self) -> EngineCounts {
        self.shared.lock().counts
    }

    /// requests inside the engine, running and waiting.
    pub fn inside_count(&self) -> usize {
        let state = self.shared.lock();
        state.batch.running_count() + state.batch.waiting_count()
    }

    /// tokens of cache by the program that used them last.
    pub fn holds(&self) -> std::collections::BTreeMap<String, u64> {
        self.shared.lock().batch.cache().holds()
    }

    /// stops the engine: open connections are closed, later ones refused.
    pub fn kill(&self) {
        self.shared.die();
    }
}
