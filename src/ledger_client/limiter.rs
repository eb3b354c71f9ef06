use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use flamingo_edge::timeout;
use rand::RngExt;
use slotmap::SecondaryMap;

use crate::ledger_client::AcquireResult;
use crate::ledger_client::Admission;
use crate::ledger_client::WaitKey;
use crate::ledger_client::admission::MAX_WAIT_MS;

/// bounds of the retry delay that a refused caller is told: a few round trips, and a third of the time that
/// callers commonly have.
const MIN_RETRY_MS: u64 = 100;
const MAX_RETRY_MS: u64 = 1_000;

/// hands out permits to ask the ledger, as `Admission` decides.
#[derive(Debug)]
pub(super) struct Limiter {
    state: Mutex<State>,
    started: Instant,
}

#[derive(Debug, Default)]
struct State {
    admission: Admission,
    /// channels that wake the queued turns.
    wakers: SecondaryMap<WaitKey, Sender<()>>,
}

/// no permit is available within `MAX_WAIT_MS`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Busy {
    /// delay after which the caller should retry.
    pub retry_after_ms: u64,
}

/// permission of one turn to ask the ledger; returned when dropped.
#[derive(Debug)]
pub(super) struct Permit<'a> {
    limiter: &'a Limiter,
    began: Instant,
}

/// a turn queued for a permit; leaves the queue if dropped before it goes on with one.
struct Waiter<'a> {
    limiter: &'a Limiter,
    key: WaitKey,
    /// whether it went on with its permit.
    has_permit: bool,
}

impl Limiter {
    pub fn new() -> Self {
        Self { state: Mutex::default(), started: Instant::now() }
    }

    /// waits for a permit; fails at once if the wait would exceed `MAX_WAIT_MS`, and otherwise when it does.
    pub async fn acquire(&self) -> Result<Permit<'_>, Busy> {
        let (mut waiter, woken) = {
            let mut state = self.lock();
            match state.admission.acquire() {
                AcquireResult::Admitted => return Ok(self.permit()),
                AcquireResult::Refused { wait_ms } => return Err(busy(wait_ms)),
                AcquireResult::Queued(key) => {
                    let (wake, woken) = async_channel::bounded(1);
                    state.wakers.insert(key, wake);
                    (Waiter { limiter: self, key, has_permit: false }, woken)
                }
            }
        };
        let is_admitted = timeout(Duration::from_millis(MAX_WAIT_MS), woken.recv()).await.is_some();
        // A permit granted just as the wait timed out is still in the channel.
        if is_admitted || woken.try_recv().is_ok() {
            waiter.has_permit = true;
            return Ok(self.permit());
        }
        Err(busy(MAX_WAIT_MS))
    }

    fn permit(&self) -> Permit<'_> {
        Permit { limiter: self, began: Instant::now() }
    }

    fn release(&self, took: Duration) {
        let now_ms = self.started.elapsed().as_millis() as u64;
        let mut state = self.lock();
        state.admission.release(now_ms, took.as_millis() as u64);
        state.wake_admitted();
        metrics::gauge!("door_ledger_limit").set(state.admission.limit() as f64);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("limiter lock poisoned")
    }
}

impl State {
    fn wake_admitted(&mut self) {
        while let Some(key) = self.admission.grant_next() {
            if let Some(wake) = self.wakers.remove(key) {
                // The channel has room for the only message it ever carries.
                let _ = wake.try_send(());
            }
        }
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.limiter.release(self.began.elapsed());
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.has_permit {
            return;
        }
        let mut state = self.limiter.lock();
        state.wakers.remove(self.key);
        state.admission.cancel(self.key);
        state.wake_admitted();
    }
}

/// picks a retry delay between half and one and a half times the wait, so that callers refused together do
/// not return together.
fn busy(wait_ms: u64) -> Busy {
    let spread_ms = wait_ms / 2 + rand::rng().random_range(0..=wait_ms);
    Busy { retry_after_ms: spread_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) }
}
