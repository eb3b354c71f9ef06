use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use async_executor::Task;
use async_io::Async;
use async_io::Timer;
use flamingo_edge::Spawner;
use rand::RngExt;

use crate::ids::Incarnation;
use crate::mesh::ConnectionId;
use crate::mesh::MeshHandler;
use crate::mesh::MeshSettings;
use crate::mesh::PeerIdentity;
use crate::mesh::SendError;
use crate::mesh::accept;
use crate::mesh::connection;
use crate::mesh::connection::Connection;
use crate::mesh::dial;
use crate::mesh::frame;
use crate::mesh::handshake::Session;
use crate::mesh::link::Link;
use crate::mesh::out_queue::RejectedFrame;
use crate::schema::MeshFrame;
use crate::schema::MeshMessage;
use crate::timeline::Timeline;

/// backoff after the first failed connection attempt; doubles with each further one.
const BASE_BACKOFF_MS: u64 = 50;
/// how often a closing mesh checks whether all connections are closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// connections to other instances; one is dialed when a message for an address without a connection is sent.
pub struct Mesh {
    shared: Arc<Shared>,
    accept_task: Mutex<Option<Task<()>>>,
}

impl Mesh {
    /// binds the mesh address and accepts connections.
    pub fn start(
        spawner: Spawner,
        settings: MeshSettings,
        timeline: Arc<Timeline>,
        handler: Arc<dyn MeshHandler>,
    ) -> io::Result<Arc<Self>> {
        let listener = Async::<TcpListener>::bind(settings.listen)?;
        let local_address = listener.get_ref().local_addr()?;
        let shared = Arc::new(Shared {
            settings,
            local_address,
            spawner,
            timeline,
            handler,
            started: Instant::now(),
            links: ArcSwap::from_pointee(Links::default()),
            backoffs: Mutex::new(BTreeMap::new()),
            last_connection_id: AtomicU64::new(0),
            unauthenticated_count: AtomicUsize::new(0),
        });
        let accept_task = shared.spawner.spawn(accept::run(listener, Arc::clone(&shared)));
        Ok(Arc::new(Self { shared, accept_task: Mutex::new(Some(accept_task)) }))
    }

    /// address that the mesh listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.shared.local_address
    }

    /// queues a message for an instance and connects to it if needed; never blocks.
    ///
    /// With `expected`, the message is delivered to that incarnation of the instance or not at all. When the
    /// returned connection closes, `on_closed` reports it, and the message may be lost.
    pub fn send(
        &self,
        to: SocketAddr,
        expected: Option<&Incarnation>,
        message: MeshMessage,
    ) -> Result<ConnectionId, SendError> {
        let (priority, frame) = self.encode(message)?;
        let (link, result) = match self.shared.push_to(to, expected, priority, frame)? {
            (link, Err(RejectedFrame { error: SendError::Closed, frame })) => {
                // The connection is closing, for example as idle; retry once on a new one.
                self.shared.remove_outgoing(&link);
                self.shared.push_to(to, expected, priority, frame)?
            }
            pushed => pushed,
        };
        finish_push(&link, result)?;
        Ok(link.id)
    }

    /// queues a message on the connection that a peer's message arrived on; never blocks.
    pub fn reply(&self, peer: &PeerIdentity, message: MeshMessage) -> Result<(), SendError> {
        self.reply_on(peer.connection, message)
    }

    /// queues a message on a connection; never blocks.
    pub fn reply_on(&self, connection: ConnectionId, message: MeshMessage) -> Result<(), SendError> {
        let (priority, frame) = self.encode(message)?;
        let links = self.shared.links.load();
        let link = links.by_id.get(&connection).ok_or(SendError::Closed)?;
        finish_push(link, link.queue.push(priority, frame))
    }

    /// aborts all connections to an incarnation that is known to be gone.
    pub fn disconnect(&self, incarnation: &Incarnation) {
        for link in self.shared.links.load().by_id.values() {
            if link.peer().incarnation == *incarnation {
                link.abort();
            }
        }
    }

    /// connections that are open or being opened.
    pub fn connection_count(&self) -> usize {
        self.shared.connection_count()
    }

    /// stops accepting, sends queued messages, and waits until all connections are closed.
    pub async fn close(&self) {
        self.accept_task.lock().expect("mesh lock poisoned").take();
        for link in self.shared.links.load().by_id.values() {
            link.queue.close();
        }
        while self.shared.connection_count() > 0 {
            Timer::after(CLOSE_POLL_INTERVAL).await;
        }
    }

    fn encode(&self, message: MeshMessage) -> Result<(frame::Priority, Vec<u8>), SendError> {
        let priority = frame::priority(&message);
        let kind = frame::kind(&message);
        let frame = MeshFrame { at: connection::timestamp(&self.shared.timeline), message };
        let bytes = frame::encode(&frame);
        if bytes.len() > self.shared.settings.limits.max_frame_bytes {
            return Err(SendError::TooLarge);
        }
        metrics::counter!("mesh_frames_total", "kind" => kind, "direction" => "out").increment(1);
        Ok((priority, bytes))
    }
}

/// updates the idle time of a link after a push; aborts the link if its queue is full.
fn finish_push(link: &Link, result: Result<(), RejectedFrame>) -> Result<(), SendError> {
    match result {
        Ok(()) => {
            link.record_activity();
            Ok(())
        }
        Err(rejected) => {
            if rejected.error == SendError::Overloaded {
                metrics::counter!("mesh_slow_peers_total").increment(1);
                link.abort();
            }
            Err(rejected.error)
        }
    }
}

/// state that the tasks of one mesh share.
pub(super) struct Shared {
    pub settings: MeshSettings,
    pub local_address: SocketAddr,
    pub spawner: Spawner,
    pub timeline: Arc<Timeline>,
    pub handler: Arc<dyn MeshHandler>,
    started: Instant,
    links: ArcSwap<Links>,
    /// backoff by address; its lock also serializes the creation of links.
    backoffs: Mutex<BTreeMap<SocketAddr, Backoff>>,
    last_connection_id: AtomicU64,
    /// accepted connections that have not authenticated yet.
    pub unauthenticated_count: AtomicUsize,
}

/// links by connection and, for new messages, by address; copied on write, so lookups take no lock.
#[derive(Clone, Debug, Default)]
struct Links {
    by_id: BTreeMap<ConnectionId, Arc<Link>>,
    outgoing: BTreeMap<SocketAddr, Arc<Link>>,
}

/// result of a lookup of the link to an address.
struct LinkLookup {
    link: Arc<Link>,
    /// whether the link was just created and has to be dialed.
    is_new: bool,
}

/// backoff of an address that could not be reached.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    failure_count: u32,
    until_ms: u64,
}

impl Shared {
    /// allocates a connection id.
    pub fn next_connection_id(&self) -> ConnectionId {
        ConnectionId(self.last_connection_id.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// connections that are open or being opened.
    pub fn connection_count(&self) -> usize {
        self.links.load().by_id.len()
    }

    /// adds an accepted connection; messages to the peer use it too, unless its address already has one.
    pub fn add_accepted(&self, link: &Arc<Link>) {
        self.links.rcu(|links| {
            let mut links = Links::clone(links);
            links.by_id.insert(link.id, Arc::clone(link));
            links.outgoing.entry(link.address).or_insert_with(|| Arc::clone(link));
            links
        });
    }

    /// runs an authenticated connection until it closes.
    pub async fn run_connection(&self, link: Arc<Link>, session: Session, is_client: bool) {
        let connection = Connection {
            link: Arc::clone(&link),
            limits: self.settings.limits,
            is_client,
            timeline: Arc::clone(&self.timeline),
            handler: Arc::clone(&self.handler),
        };
        connection.run(session).await;
        self.remove(&link);
    }

    /// removes a link and reports it as closed.
    pub fn remove(&self, link: &Arc<Link>) {
        link.queue.close();
        self.remove_outgoing(link);
        self.links.rcu(|links| {
            let mut links = Links::clone(links);
            links.by_id.remove(&link.id);
            links
        });
        metrics::counter!("mesh_closed_total").increment(1);
        self.handler.on_closed(&link.peer());
    }

    /// stops using a link for new messages to its address.
    pub fn remove_outgoing(&self, link: &Arc<Link>) {
        self.links.rcu(|links| {
            let mut links = Links::clone(links);
            if links.outgoing.get(&link.address).is_some_and(|current| current.id == link.id) {
                links.outgoing.remove(&link.address);
            }
            links
        });
    }

    /// removes the backoff of an address that was reached.
    pub fn clear_backoff(&self, address: SocketAddr) {
        self.backoffs.lock().expect("mesh lock poisoned").remove(&address);
    }

    /// starts or extends the backoff of an address that could not be reached.
    pub fn extend_backoff(&self, address: SocketAddr) {
        let now_ms = self.now_ms();
        let max_ms = self.settings.limits.max_backoff_ms;
        let mut backoffs = self.backoffs.lock().expect("mesh lock poisoned");
        // Backoffs that expired long ago belong to addresses that are no longer dialed.
        backoffs.retain(|_, backoff| now_ms < backoff.until_ms + 2 * max_ms);
        let backoff = backoffs.entry(address).or_insert(Backoff { failure_count: 0, until_ms: 0 });
        let delay_ms = (BASE_BACKOFF_MS << backoff.failure_count.min(10)).min(max_ms);
        backoff.failure_count += 1;
        backoff.until_ms = now_ms + rand::rng().random_range(delay_ms / 2..=delay_ms * 3 / 2);
    }

    /// queues a frame on the link to an address; creates the link if needed and binds it to `expected`.
    fn push_to(
        self: &Arc<Self>,
        to: SocketAddr,
        expected: Option<&Incarnation>,
        priority: frame::Priority,
        frame: Vec<u8>,
    ) -> Result<(Arc<Link>, Result<(), RejectedFrame>), SendError> {
        let mut lookup = self.find_or_create(to, expected)?;
        if let Some(expected) = expected {
            match lookup.link.expect_incarnation(expected) {
                Ok(()) => {}
                // The peer has restarted, and its old connection has not been reported as closed yet.
                Err(_) if lookup.link.peer().incarnation < *expected => {
                    lookup.link.abort();
                    self.remove_outgoing(&lookup.link);
                    lookup = self.find_or_create(to, Some(expected))?;
                    lookup.link.expect_incarnation(expected)?;
                }
                Err(error) => return Err(error),
            }
        }
        let result = lookup.link.queue.push(priority, frame);
        if lookup.is_new {
            // Only after the frame is queued: a dial that fails at once closes the queue.
            self.spawner.detach(dial::run(Arc::clone(self), Arc::clone(&lookup.link)));
        }
        Ok((lookup.link, result))
    }

    fn find_or_create(
        &self,
        to: SocketAddr,
        expected: Option<&Incarnation>,
    ) -> Result<LinkLookup, SendError> {
        if let Some(link) = self.links.load().outgoing.get(&to) {
            return Ok(LinkLookup { link: Arc::clone(link), is_new: false });
        }
        let backoffs = self.backoffs.lock().expect("mesh lock poisoned");
        if let Some(link) = self.links.load().outgoing.get(&to) {
            return Ok(LinkLookup { link: Arc::clone(link), is_new: false });
        }
        let now_ms = self.now_ms();
        if let Some(backoff) = backoffs.get(&to).filter(|backoff| now_ms < backoff.until_ms) {
            return Err(SendError::Unreachable { retry_after_ms: backoff.until_ms - now_ms });
        }
        let link = Arc::new(Link::new(self.next_connection_id(), to, self.settings.limits.max_queued_bytes));
        if let Some(expected) = expected {
            // Bound before others can look it up, so that this cannot fail and the caller always dials it.
            link.expect_incarnation(expected)?;
        }
        self.links.rcu(|links| {
            let mut links = Links::clone(links);
            links.by_id.insert(link.id, Arc::clone(&link));
            links.outgoing.insert(to, Arc::clone(&link));
            links
        });
        Ok(LinkLookup { link, is_new: true })
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
