use std::collections::VecDeque;
use std::sync::Mutex;

use async_channel::Receiver;
use async_channel::Sender;

use crate::mesh::SendError;
use crate::mesh::frame::Priority;

/// next step of the writer of a connection.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum WriteAction {
    /// write this frame.
    Frame(Vec<u8>),
    /// send a ping.
    Ping,
    /// send a close frame; the queue is closed and empty.
    Close,
}

/// a frame that was not queued, with the reason.
#[derive(Debug)]
pub(super) struct RejectedFrame {
    pub error: SendError,
    pub frame: Vec<u8>,
}

/// queue of outbound frames for one peer, limited by their total size.
#[derive(Debug)]
pub(super) struct OutQueue {
    pending: Mutex<Pending>,
    max_bytes: usize,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

#[derive(Debug, Default)]
struct Pending {
    control: VecDeque<Vec<u8>>,
    bulk: VecDeque<Vec<u8>>,
    queued_bytes: usize,
    ping: bool,
    closed: bool,
}

impl OutQueue {
    pub fn new(max_bytes: usize) -> Self {
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        Self { pending: Mutex::new(Pending::default()), max_bytes, wake_sender, wake_receiver }
    }

    /// queues a frame without blocking; fails if the queue is closed or full.
    pub fn push(&self, priority: Priority, frame: Vec<u8>) -> Result<(), RejectedFrame> {
        let mut pending = self.pending.lock().expect("queue lock poisoned");
        if pending.closed {
            return Err(RejectedFrame { error: SendError::Closed, frame });
        }
        if pending.queued_bytes + frame.len() > self.max_bytes {
            return Err(RejectedFrame { error: SendError::Overloaded, frame });
        }
        pending.queued_bytes += frame.len();
        match priority {
            Priority::Control => pending.control.push_back(frame),
            Priority::Bulk => pending.bulk.push_back(frame),
        }
        drop(pending);
        self.notify();
        Ok(())
    }

    /// queues a ping, which is sent before all frames.
    pub fn ping(&self) {
        self.pending.lock().expect("queue lock poisoned").ping = true;
        self.notify();
    }

    /// rejects new frames; queued ones are still sent.
    pub fn close(&self) {
        self.pending.lock().expect("queue lock poisoned").closed = true;
        self.notify();
    }

    /// waits for the next step of the writer.
    pub async fn next(&self) -> WriteAction {
        loop {
            if let Some(action) = self.try_next() {
                return action;
            }
            // Never fails: the queue owns the sender too.
            let _ = self.wake_receiver.recv().await;
        }
    }

    /// next step of the writer, if there is one now.
    pub fn try_next(&self) -> Option<WriteAction> {
        let mut pending = self.pending.lock().expect("queue lock poisoned");
        if std::mem::take(&mut pending.ping) {
            return Some(WriteAction::Ping);
        }
        let frame = pending.control.pop_front().or_else(|| pending.bulk.pop_front());
        if let Some(frame) = frame {
            pending.queued_bytes -= frame.len();
            return Some(WriteAction::Frame(frame));
        }
        pending.closed.then_some(WriteAction::Close)
    }

    fn notify(&self) {
        // A full channel means that a wake-up is already pending.
        let _ = self.wake_sender.try_send(());
    }
}
