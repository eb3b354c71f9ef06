use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use flamingo_edge::timeout;
use futures_lite::future;

use crate::mesh::handshake;
use crate::mesh::handshake::Refusal;
use crate::mesh::handshake::Session;
use crate::mesh::link::Link;
use crate::mesh::mesh::Shared;

/// connects a link and runs the connection until it closes; a failed attempt starts a backoff.
pub(super) async fn run(shared: Arc<Shared>, link: Arc<Link>) {
    metrics::counter!("mesh_connects_total").increment(1);
    let handshake_timeout = Duration::from_millis(shared.settings.limits.handshake_timeout_ms);
    let connect = timeout(handshake_timeout, connect(&shared, &link));
    let abort = async {
        link.aborted().await;
        Some(Err(Refusal::Aborted))
    };
    // Boxed, so that the memory of the handshake is freed instead of kept for the life of the connection.
    match Box::pin(future::or(connect, abort)).await.unwrap_or(Err(Refusal::TooSlow)) {
        Ok(session) => {
            shared.clear_backoff(link.address);
            shared.run_connection(link, session, true).await;
        }
        Err(refusal) => {
            let reason: &'static str = refusal.into();
            metrics::counter!("mesh_connect_failures_total", "reason" => reason).increment(1);
            // A restarted peer and a local abort say nothing about reachability, so they start no backoff.
            if !matches!(refusal, Refusal::OtherIncarnation | Refusal::Aborted) {
                shared.extend_backoff(link.address);
            }
            shared.remove(&link);
        }
    }
}

async fn connect(shared: &Shared, link: &Link) -> Result<Session, Refusal> {
    let address: SocketAddr = link.address;
    let connect_timeout = Duration::from_millis(shared.settings.limits.connect_timeout_ms);
    let connected = timeout(connect_timeout, Async::<TcpStream>::connect(address)).await;
    let stream = connected.ok_or(Refusal::TooSlow)?.map_err(|_| Refusal::Broken)?;
    let _ = stream.get_ref().set_nodelay(true);
    let session =
        handshake::connect(stream, &shared.settings, shared.local_address, address, link.id).await?;
    if link.set_identity(session.peer.clone()) { Ok(session) } else { Err(Refusal::OtherIncarnation) }
}
