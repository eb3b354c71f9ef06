use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use flamingo_edge::timeout;

use crate::mesh::handshake;
use crate::mesh::handshake::Refusal;
use crate::mesh::link::Link;
use crate::mesh::mesh::Shared;

/// how long to pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// accepts connections until the task is dropped.
pub(super) async fn run(listener: Async<TcpListener>, shared: Arc<Shared>) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        let limits = &shared.settings.limits;
        let too_many = shared.stranger_count.load(Ordering::Relaxed) >= limits.max_strangers
            || shared.connection_count() >= limits.max_connections;
        if too_many {
            metrics::counter!("mesh_refusals_total", "reason" => "too_many").increment(1);
            continue;
        }
        let _ = stream.get_ref().set_nodelay(true);
        shared.stranger_count.fetch_add(1, Ordering::Relaxed);
        let connection = greet(Arc::clone(&shared), stream, address);
        shared.spawner.detach(connection);
    }
}

async fn greet(shared: Arc<Shared>, stream: Async<TcpStream>, address: SocketAddr) {
    let id = shared.next_connection();
    let limit = Duration::from_millis(shared.settings.limits.handshake_timeout_ms);
    // Boxed, so that its room is free again while the connection lives.
    let handshake = Box::pin(handshake::accept(stream, &shared.settings, shared.own_mesh, address, id));
    let session = timeout(limit, handshake).await.unwrap_or(Err(Refusal::TooSlow));
    shared.stranger_count.fetch_sub(1, Ordering::Relaxed);
    let session = match session {
        Ok(session) => session,
        Err(refusal) => {
            let reason: &'static str = refusal.into();
            metrics::counter!("mesh_refusals_total", "reason" => reason).increment(1);
            return;
        }
    };
    let link = Arc::new(Link::new(id, session.peer.address, shared.settings.limits.max_queued_bytes));
    link.identify(session.peer.clone());
    shared.add_accepted(&link);
    shared.carry(link, session, false).await;
}
