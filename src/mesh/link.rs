use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;

use crate::ids::Incarnation;
use crate::mesh::ConnectionId;
use crate::mesh::PeerIdentity;
use crate::mesh::SendError;
use crate::mesh::out_queue::OutQueue;

/// state of one connection, from its first queued message or its handshake until its close is reported.
#[derive(Debug)]
pub(super) struct Link {
    pub id: ConnectionId,
    pub address: SocketAddr,
    pub queue: OutQueue,
    expected: Mutex<Option<Incarnation>>,
    identity: OnceLock<PeerIdentity>,
    created: Instant,
    /// time of the last message, in milliseconds since the link was created.
    last_activity_ms: AtomicU64,
    abort: Sender<()>,
    aborted: Receiver<()>,
}

impl Link {
    pub fn new(id: ConnectionId, address: SocketAddr, max_queued_bytes: usize) -> Self {
        let (abort, aborted) = async_channel::bounded(1);
        Self {
            id,
            address,
            queue: OutQueue::new(max_queued_bytes),
            expected: Mutex::new(None),
            identity: OnceLock::new(),
            created: Instant::now(),
            last_activity_ms: AtomicU64::new(0),
            abort,
            aborted,
        }
    }

    /// binds the link to one incarnation of the peer; fails if it is bound to another.
    pub fn expect_incarnation(&self, incarnation: &Incarnation) -> Result<(), SendError> {
        if let Some(identity) = self.identity.get() {
            let same = identity.incarnation == *incarnation;
            return if same { Ok(()) } else { Err(SendError::OtherIncarnation) };
        }
        let mut expected = self.expected.lock().expect("link lock poisoned");
        match &*expected {
            Some(other) if other != incarnation => Err(SendError::OtherIncarnation),
            Some(_) => Ok(()),
            None => {
                *expected = Some(incarnation.clone());
                Ok(())
            }
        }
    }

    /// stores the identity of the authenticated peer; `false` if another incarnation was expected.
    pub fn set_identity(&self, identity: PeerIdentity) -> bool {
        let expected = self.expected.lock().expect("link lock poisoned");
        let matches = expected.as_ref().is_none_or(|expected| *expected == identity.incarnation);
        if matches {
            // Each link gets its identity once, so this never finds one set.
            let _ = self.identity.set(identity);
        }
        matches
    }

    /// identity of the peer; before the handshake, the dialed address and the expected incarnation, if any.
    pub fn peer(&self) -> PeerIdentity {
        if let Some(identity) = self.identity.get() {
            return identity.clone();
        }
        let expected = self.expected.lock().expect("link lock poisoned").clone();
        PeerIdentity {
            incarnation: expected.unwrap_or_else(|| Incarnation::from("")),
            name: String::new(),
            address: self.address,
            connection: self.id,
            protocol_version: 0,
        }
    }

    /// restarts the idle time, as a message was queued or received.
    pub fn record_activity(&self) {
        self.last_activity_ms.store(self.age_ms(), Ordering::Relaxed);
    }

    /// milliseconds since the last message.
    pub fn idle_ms(&self) -> u64 {
        self.age_ms().saturating_sub(self.last_activity_ms.load(Ordering::Relaxed))
    }

    /// closes the connection at once; queued frames are lost.
    pub fn abort(&self) {
        self.queue.close();
        self.abort.close();
    }

    fn age_ms(&self) -> u64 {
        self.created.elapsed().as_millis() as u64
    }

    /// waits for `abort`.
    pub async fn aborted(&self) {
        let _ = self.aborted.recv().await;
    }
}
