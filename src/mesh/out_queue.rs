use std::collections::VecDeque;
use std::sync::Mutex;

use async_channel::Receiver;
use async_channel::Sender;

use crate::mesh::SendError;
use crate::mesh::frame::Class;

/// what the writer of a connection does next.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// write a frame.
    Frame(Vec<u8>),
    /// ask for a sign of life.
    Ping,
    /// say goodbye; nothing waits any more.
    Close,
}

/// a frame that was not queued.
#[derive(Debug)]
pub(super) struct Rejected {
    pub error: SendError,
    pub frame: Vec<u8>,
}

/// frames that wait for one peer, bounded by their bytes.
#[derive(Debug)]
pub(super) struct OutQueue {
    waiting: Mutex<Waiting>,
    max_bytes: usize,
    wake: Sender<()>,
    woken: Receiver<()>,
}

#[derive(Debug, Default)]
struct Waiting {
    control: VecDeque<Vec<u8>>,
    bulk: VecDeque<Vec<u8>>,
    queued_bytes: usize,
    ping: bool,
    closed: bool,
}

impl OutQueue {
    pub fn new(max_bytes: usize) -> Self {
        let (wake, woken) = async_channel::bounded(1);
        Self { waiting: Mutex::new(Waiting::default()), max_bytes, wake, woken }
    }

    /// adds a frame; never waits.
    pub fn push(&self, class: Class, frame: Vec<u8>) -> Result<(), Rejected> {
        let mut waiting = self.waiting.lock().expect("queue lock poisoned");
        if waiting.closed {
            return Err(Rejected { error: SendError::Closed, frame });
        }
        if waiting.queued_bytes + frame.len() > self.max_bytes {
            return Err(Rejected { error: SendError::Overloaded, frame });
        }
        waiting.queued_bytes += frame.len();
        match class {
            Class::Control => waiting.control.push_back(frame),
            Class::Bulk => waiting.bulk.push_back(frame),
        }
        drop(waiting);
        self.notify();
        Ok(())
    }

    /// has the peer asked for a sign of life.
    pub fn ping(&self) {
        self.waiting.lock().expect("queue lock poisoned").ping = true;
        self.notify();
    }

    /// takes no more frames; those that wait still go out.
    pub fn close(&self) {
        self.waiting.lock().expect("queue lock poisoned").closed = true;
        self.notify();
    }

    /// waits for what to do next.
    pub async fn next(&self) -> Next {
        loop {
            if let Some(next) = self.poll() {
                return next;
            }
            // The sender lives as long as the queue itself.
            let _ = self.woken.recv().await;
        }
    }

    /// what to do next, if anything waits.
    pub fn poll(&self) -> Option<Next> {
        let mut waiting = self.waiting.lock().expect("queue lock poisoned");
        if std::mem::take(&mut waiting.ping) {
            return Some(Next::Ping);
        }
        let frame = waiting.control.pop_front().or_else(|| waiting.bulk.pop_front());
        if let Some(frame) = frame {
            waiting.queued_bytes -= frame.len();
            return Some(Next::Frame(frame));
        }
        waiting.closed.then_some(Next::Close)
    }

    fn notify(&self) {
        // A full channel means that the writer is woken already.
        let _ = self.wake.try_send(());
    }
}
