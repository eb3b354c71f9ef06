use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use flamingo_edge::timeout;
use rand::RngExt;
use slotmap::SecondaryMap;

use crate::ledger_client::Admission;
use crate::ledger_client::Entry;
use crate::ledger_client::WaitKey;
use crate::ledger_client::admission::LONGEST_WAIT_MS;

/// bounds of what a refused caller is told to wait: a few round trips, and a third of the time that callers commonly have.
const LEAST_RETRY_MS: u64 = 100;
const MOST_RETRY_MS: u64 = 1_000;

/// lets turns through to the ledger as `Admission` says.
#[derive(Debug)]
pub(super) struct Gate {
    state: Mutex<State>,
    started: Instant,
}

#[derive(Debug, Default)]
struct State {
    admission: Admission,
    /// wakes the turns that wait.
    wakers: SecondaryMap<WaitKey, Sender<()>>,
}

/// the ledger has no place for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Busy {
    /// when the caller should come back.
    pub retry_after_ms: u64,
}

/// a place of a turn at the ledger, until it is dropped.
#[derive(Debug)]
pub(super) struct Place<'a> {
    gate: &'a Gate,
    began: Instant,
}

/// a turn that waits for a place; dropped before it has one, it waits no longer.
struct Waiting<'a> {
    gate: &'a Gate,
    key: WaitKey,
    /// whether it has gone on with its place.
    has_place: bool,
}

impl Gate {
    pub fn new() -> Self {
        Self { state: Mutex::default(), started: Instant::now() }
    }

    /// waits for a place, unless that would take too long.
    pub async fn enter(&self) -> Result<Place<'_>, Busy> {
        let (mut waiting, woken) = {
            let mut state = self.lock();
            match state.admission.enter() {
                Entry::Admitted => return Ok(self.place()),
                Entry::Refused { wait_ms } => return Err(busy(wait_ms)),
                Entry::Waits(key) => {
                    let (wake, woken) = async_channel::bounded(1);
                    state.wakers.insert(key, wake);
                    (Waiting { gate: self, key, has_place: false }, woken)
                }
            }
        };
        let is_admitted = timeout(Duration::from_millis(LONGEST_WAIT_MS), woken.recv()).await.is_some();
        // A place that was given at the last moment is found in the channel.
        if is_admitted || woken.try_recv().is_ok() {
            waiting.has_place = true;
            return Ok(self.place());
        }
        Err(busy(LONGEST_WAIT_MS))
    }

    fn place(&self) -> Place<'_> {
        Place { gate: self, began: Instant::now() }
    }

    fn leave(&self, took: Duration) {
        let now_ms = self.started.elapsed().as_millis() as u64;
        let mut state = self.lock();
        state.admission.leave(now_ms, took.as_millis() as u64);
        state.wake_admitted();
        metrics::gauge!("door_ledger_limit").set(state.admission.limit() as f64);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("gate lock poisoned")
    }
}

impl State {
    fn wake_admitted(&mut self) {
        while let Some(key) = self.admission.next_admitted() {
            if let Some(wake) = self.wakers.remove(key) {
                // The channel has room for the one message that it ever carries.
                let _ = wake.try_send(());
            }
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.gate.leave(self.began.elapsed());
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.has_place {
            return;
        }
        let mut state = self.gate.lock();
        state.wakers.remove(self.key);
        state.admission.give_up(self.key);
        state.wake_admitted();
    }
}

/// spreads returns over as long again as the wait, so that those who are refused together do not come together.
fn busy(wait_ms: u64) -> Busy {
    let spread_ms = wait_ms / 2 + rand::rng().random_range(0..=wait_ms);
    Busy { retry_after_ms: spread_ms.clamp(LEAST_RETRY_MS, MOST_RETRY_MS) }
}
