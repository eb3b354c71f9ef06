use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use flamingo_edge::timeout;

/// time between two ticks of the request path while inputs come.
const REQUEST_TICK: Duration = Duration::from_millis(10);

/// time between two ticks of membership and releases while inputs come.
const CONTROL_TICK: Duration = Duration::from_millis(50);

/// time between two ticks while none come; membership takes a gap of 400 ms for a pause.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// how long after the last input the ticks stay short; longer than a gathered commit waits.
const BUSY_AFTER_INPUT: Duration = Duration::from_millis(250);

/// what a driver waits for.
#[derive(Debug)]
pub(crate) enum Wake<T> {
    /// an input came.
    Input(T),
    /// a tick is due.
    Tick,
    /// nothing will come any more.
    Closed,
}

/// the inbox of a driver with its ticks: short ones while inputs come, long ones otherwise.
#[derive(Debug)]
pub(crate) struct Ticker<T> {
    inbox: Receiver<T>,
    busy_tick: Duration,
    ticked: Instant,
    last_input: Instant,
}

impl<T> Ticker<T> {
    /// for a driver on the way of requests.
    pub(crate) fn for_requests(inbox: Receiver<T>) -> Self {
        Self::new(inbox, REQUEST_TICK)
    }

    /// for a driver that no request waits for.
    pub(crate) fn for_control(inbox: Receiver<T>) -> Self {
        Self::new(inbox, CONTROL_TICK)
    }

    fn new(inbox: Receiver<T>, busy_tick: Duration) -> Self {
        let now = Instant::now();
        Self { inbox, busy_tick, ticked: now, last_input: now }
    }

    /// waits for the next input or tick; a full inbox does not hold a tick back.
    pub(crate) async fn wake(&mut self) -> Wake<T> {
        let busy = self.last_input.elapsed() < BUSY_AFTER_INPUT;
        let tick = if busy { self.busy_tick } else { IDLE_TICK };
        let wait = tick.saturating_sub(self.ticked.elapsed());
        if wait.is_zero() {
            self.ticked = Instant::now();
            return Wake::Tick;
        }
        match timeout(wait, self.inbox.recv()).await {
            Some(Ok(input)) => {
                self.last_input = Instant::now();
                Wake::Input(input)
            }
            Some(Err(_)) => Wake::Closed,
            None => {
                self.ticked = Instant::now();
                Wake::Tick
            }
        }
    }
}
