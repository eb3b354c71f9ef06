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
use crate::mesh::out_queue::Rejected;
use crate::schema::MeshFrame;
use crate::schema::MeshMessage;
use crate::timeline::Timeline;

/// wait after the first failed try to connect; doubles with each further one.
const BACKOFF_MS: u64 = 50;
/// how often a closing mesh looks whether all connections have ended.
const CLOSE_PAUSE: Duration = Duration::from_millis(5);

/// connections to other instances.
pub struct Mesh {
    shared: Arc<Shared>,
    accepting: Mutex<Option<Task<()>>>,
}

impl Mesh {
    /// listens on the mesh address; connects to others when something is sent to them.
    pub fn start(
        spawner: Spawner,
        settings: MeshSettings,
        timeline: Arc<Timeline>,
        handler: Arc<dyn MeshHandler>,
    ) -> io::Result<Arc<Self>> {
        let listener = Async::<TcpListener>::bind(settings.listen)?;
        let own_mesh = listener.get_ref().local_addr()?;
        let shared = Arc::new(Shared {
            settings,
            own_mesh,
            spawner,
            timeline,
            handler,
            started: Instant::now(),
            links: ArcSwap::from_pointee(Links::default()),
            dialing: Mutex::new(BTreeMap::new()),
            connection_count: AtomicU64::new(0),
            stranger_count: AtomicUsize::new(0),
        });
        let accepting = shared.spawner.spawn(accept::run(listener, Arc::clone(&shared)));
        Ok(Arc::new(Self { shared, accepting: Mutex::new(Some(accepting)) }))
    }

    /// address that others reach this instance at.
    pub fn local_address(&self) -> SocketAddr {
        self.shared.own_mesh
    }

    /// queues a message for an instance and connects to it if needed; never waits.
    ///
    /// With `expected`, the message reaches that start of the instance or nobody. The result names the
    /// connection; when that is closed, `on_closed` reports it and the message may be lost.
    pub fn send(
        &self,
        to: SocketAddr,
        expected: Option<&Incarnation>,
        message: MeshMessage,
    ) -> Result<ConnectionId, SendError> {
        let (class, frame) = self.encode(message)?;
        let (link, result) = match self.shared.push_to(to, expected, class, frame)? {
            (link, Err(Rejected { error: SendError::Closed, frame })) => {
                // The connection was closing as idle; a new one takes its place.
                self.shared.forget_outgoing(&link);
                self.shared.push_to(to, expected, class, frame)?
            }
            pushed => pushed,
        };
        settle(&link, result)?;
        Ok(link.id)
    }

    /// queues a message on the connection that a peer's message came on; never waits.
    pub fn reply(&self, peer: &PeerIdentity, message: MeshMessage) -> Result<(), SendError> {
        self.reply_on(peer.connection, message)
    }

    /// queues a message on a connection; never waits.
    pub fn reply_on(&self, connection: ConnectionId, message: MeshMessage) -> Result<(), SendError> {
        let (class, frame) = self.encode(message)?;
        let links = self.shared.links.load();
        let link = links.by_id.get(&connection).ok_or(SendError::Closed)?;
        settle(link, link.queue.push(class, frame))
    }

    /// ends all connections with an instance at once, as it is known to be gone.
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

    /// accepts nothing more, sends what waits, and ends all connections.
    pub async fn close(&self) {
        self.accepting.lock().expect("mesh lock poisoned").take();
        for link in self.shared.links.load().by_id.values() {
            link.queue.close();
        }
        while self.shared.connection_count() > 0 {
            Timer::after(CLOSE_PAUSE).await;
        }
    }

    fn encode(&self, message: MeshMessage) -> Result<(frame::Class, Vec<u8>), SendError> {
        let class = frame::class(&message);
        let kind = frame::kind(&message);
        let frame = MeshFrame { at: connection::stamp(&self.shared.timeline), message };
        let bytes = frame::encode(&frame);
        if bytes.len() > self.shared.settings.limits.max_frame_bytes {
            return Err(SendError::TooLarge);
        }
        metrics::counter!("mesh_frames_total", "kind" => kind, "direction" => "out").increment(1);
        Ok((class, bytes))
    }
}

/// ends a connection whose peer does not read.
fn settle(link: &Link, result: Result<(), Rejected>) -> Result<(), SendError> {
    match result {
        Ok(()) => {
            link.touch();
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

/// what the tasks of one mesh share.
pub(super) struct Shared {
    pub settings: MeshSettings,
    pub own_mesh: SocketAddr,
    pub spawner: Spawner,
    pub timeline: Arc<Timeline>,
    pub handler: Arc<dyn MeshHandler>,
    started: Instant,
    links: ArcSwap<Links>,
    /// failed tries by address; its lock also orders the making of links.
    dialing: Mutex<BTreeMap<SocketAddr, Backoff>>,
    connection_count: AtomicU64,
    pub stranger_count: AtomicUsize,
}

/// links as senders find them; replaced whole when one comes or goes.
#[derive(Clone, Debug, Default)]
struct Links {
    by_id: BTreeMap<ConnectionId, Arc<Link>>,
    outgoing: BTreeMap<SocketAddr, Arc<Link>>,
}

/// the link to an address.
struct Found {
    link: Arc<Link>,
    /// whether it was made just now and has to be dialed.
    is_new: bool,
}

/// when an address that could not be reached is tried again.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    failure_count: u32,
    until_ms: u64,
}

impl Shared {
    /// names the next connection.
    pub fn next_connection(&self) -> ConnectionId {
        ConnectionId(self.connection_count.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// connections that are open or being opened.
    pub fn connection_count(&self) -> usize {
        self.links.load().by_id.len()
    }

    /// adds a connection that a peer made; it serves messages to the peer too, unless there is one already.
    pub fn add_accepted(&self, link: &Arc<Link>) {
        self.links.rcu(|links| {
            let mut links = Links::clone(links);
            links.by_id.insert(link.id, Arc::clone(link));
            links.outgoing.entry(link.address).or_insert_with(|| Arc::clone(link));
            links
        });
    }

    /// carries the messages of a connection until it ends.
    pub async fn carry(&self, link: Arc<Link>, session: Session, is_client: bool) {
        let connection = Connection {
            link: Arc::clone(&link),
            limits: self.settings.limits,
            is_client,
            timeline: Arc::clone(&self.timeline),
            handler: Arc::clone(&self.handler),
        };
        connection.run(session).await;
        self.end(&link);
    }

    /// takes a link out and reports its end.
    pub fn end(&self, link: &Arc<Link>) {
        link.queue.close();
        self.forget_outgoing(link);
        self.links.rcu(|links| {
            let mut links = Links::clone(links);
            links.by_id.remove(&link.id);
            links
        });
        metrics::counter!("mesh_closed_total").increment(1);
        self.handler.on_closed(&link.peer());
    }

    /// stops to use a link for new messages.
    pub fn forget_outgoing(&self, link: &Arc<Link>) {
        self.links.rcu(|links| {
            let mut links = Links::clone(links);
            if links.outgoing.get(&link.address).is_some_and(|current| current.id == link.id) {
                links.outgoing.remove(&link.address);
            }
            links
        });
    }

    /// takes note that an address was reached.
    pub fn reached(&self, address: SocketAddr) {
        self.dialing.lock().expect("mesh lock poisoned").remove(&address);
    }

    /// takes note that an address could not be reached.
    pub fn failed(&self, address: SocketAddr) {
        let now_ms = self.now_ms();
        let max_ms = self.settings.limits.max_backoff_ms;
        let mut dialing = self.dialing.lock().expect("mesh lock poisoned");
        // Addresses that nobody tries any more are dropped with the next failure.
        dialing.retain(|_, backoff| now_ms < backoff.until_ms + 2 * max_ms);
        let backoff = dialing.entry(address).or_insert(Backoff { failure_count: 0, until_ms: 0 });
        let pause_ms = (BACKOFF_MS << backoff.failure_count.min(10)).min(max_ms);
        backoff.failure_count += 1;
        backoff.until_ms = now_ms + rand::rng().random_range(pause_ms / 2..=pause_ms * 3 / 2);
    }

    /// queues a frame on the link to an address, made if there is none, and bound to the expected start.
    fn push_to(
        self: &Arc<Self>,
        to: SocketAddr,
        expected: Option<&Incarnation>,
        class: frame::Class,
        frame: Vec<u8>,
    ) -> Result<(Arc<Link>, Result<(), Rejected>), SendError> {
        let mut found = self.find_or_make(to, expected)?;
        if let Some(expected) = expected {
            match found.link.expect(expected) {
                Ok(()) => {}
                // The peer has started again, and the end of its old connection has not been seen yet.
                Err(_) if found.link.peer().incarnation < *expected => {
                    found.link.abort();
                    self.forget_outgoing(&found.link);
                    found = self.find_or_make(to, Some(expected))?;
                    found.link.expect(expected)?;
                }
                Err(error) => return Err(error),
            }
        }
        let result = found.link.queue.push(class, frame);
        if found.is_new {
            // Not before the frame waits: the dial may fail at once and end the link.
            self.spawner.detach(dial::run(Arc::clone(self), Arc::clone(&found.link)));
        }
        Ok((found.link, result))
    }

    fn find_or_make(&self, to: SocketAddr, expected: Option<&Incarnation>) -> Result<Found, SendError> {
        if let Some(link) = self.links.load().outgoing.get(&to) {
            return Ok(Found { link: Arc::clone(link), is_new: false });
        }
        let dialing = self.dialing.lock().expect("mesh lock poisoned");
        if let Some(link) = self.links.load().outgoing.get(&to) {
            return Ok(Found { link: Arc::clone(link), is_new: false });
        }
        let now_ms = self.now_ms();
        if let Some(backoff) = dialing.get(&to).filter(|backoff| now_ms < backoff.until_ms) {
            return Err(SendError::Unreachable { retry_after_ms: backoff.until_ms - now_ms });
        }
        let link = Arc::new(Link::new(self.next_connection(), to, self.settings.limits.max_queued_bytes));
        if let Some(expected) = expected {
            // Bound before others can find it, so the maker always dials it.
            link.expect(expected)?;
        }
        self.links.rcu(|links| {
            let mut links = Links::clone(links);
            links.by_id.insert(link.id, Arc::clone(&link));
            links.outgoing.insert(to, Arc::clone(&link));
            links
        });
        Ok(Found { link, is_new: true })
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
