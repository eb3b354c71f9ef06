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

/// delay before the next accept after the system returned an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// accepts connections until the task is dropped; drops new ones while a connection limit is reached.
pub(super) async fn run(listener: Async<TcpListener>, shared: Arc<Shared>) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let limits = &shared.settings.limits;
        let too_many = shared.unauthenticated_count.load(Ordering::Relaxed) >= limits.max_unauthenticated
            || shared.connection_count() >= limits.max_connections;
        if too_many {
            metrics::counter!("mesh_refusals_total", "reason" => "too_many").increment(1);
            continue;
        }
        let _ = stream.get_ref().set_nodelay(true);
        shared.unauthenticated_count.fetch_add(1, Ordering::Relaxed);
        let connection = serve(Arc::clone(&shared), stream, address);
        shared.spawner.detach(connection);
    }
}

async fn serve(shared: Arc<Shared>, stream: Async<TcpStream>, address: SocketAddr) {
    let id = shared.next_connection_id();
    let handshake_timeout = Duration::from_millis(shared.settings.limits.handshake_timeout_ms);
    // Boxed, so that the memory of the handshake is freed instead of kept for the life of the connection.
    let handshake = Box::pin(handshake::accept(stream, &shared.settings, shared.local_address, address, id));
    let session = timeout(handshake_timeout, handshake).await.unwrap_or(Err(Refusal::TooSlow));
    shared.unauthenticated_count.fetch_sub(1, Ordering::Relaxed);
    let session = match session {
        Ok(session) => session,
        Err(refusal) => {
            let reason: &'static str = refusal.into();
            metrics::counter!("mesh_refusals_total", "reason" => reason).increment(1);
            return;
        }
    };
    let link = Arc::new(Link::new(id, session.peer.address, shared.settings.limits.max_queued_bytes));
    link.set_identity(session.peer.clone());
    shared.add_accepted(&link);
    shared.run_connection(link, session, false).await;
}
