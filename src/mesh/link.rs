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

/// one connection, from the first message for it until its end is reported.
#[derive(Debug)]
pub(super) struct Link {
    pub id: ConnectionId,
    pub address: SocketAddr,
    pub queue: OutQueue,
    expected: Mutex<Option<Incarnation>>,
    identity: OnceLock<PeerIdentity>,
    made: Instant,
    /// when the last message passed, counted from the making of the link.
    touched_ms: AtomicU64,
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
            made: Instant::now(),
            touched_ms: AtomicU64::new(0),
            abort,
            aborted,
        }
    }

    /// binds what is sent to one start of the peer.
    pub fn expect(&self, incarnation: &Incarnation) -> Result<(), SendError> {
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

    /// binds the connection to the peer that authenticated; tells whether it is the expected one.
    pub fn identify(&self, identity: PeerIdentity) -> bool {
        let expected = self.expected.lock().expect("link lock poisoned");
        let matches = expected.as_ref().is_none_or(|expected| *expected == identity.incarnation);
        if matches {
            // Each link is identified once.
            let _ = self.identity.set(identity);
        }
        matches
    }

    /// the peer, as far as it is known.
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

    /// takes note that a message passed.
    pub fn touch(&self) {
        self.touched_ms.store(self.age_ms(), Ordering::Relaxed);
    }

    /// how long no message has passed.
    pub fn idle_ms(&self) -> u64 {
        self.age_ms().saturating_sub(self.touched_ms.load(Ordering::Relaxed))
    }

    /// ends the connection at once; what waits is lost.
    pub fn abort(&self) {
        self.queue.close();
        self.abort.close();
    }

    fn age_ms(&self) -> u64 {
        self.made.elapsed().as_millis() as u64
    }

    /// waits until the connection is to end at once.
    pub async fn aborted(&self) {
        let _ = self.aborted.recv().await;
    }
}
