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

/// connects a link and carries its messages until it ends.
pub(super) async fn run(shared: Arc<Shared>, link: Arc<Link>) {
    metrics::counter!("mesh_connects_total").increment(1);
    let limit = Duration::from_millis(shared.settings.limits.handshake_timeout_ms);
    let connect = timeout(limit, connect(&shared, &link));
    let abort = async {
        link.aborted().await;
        Some(Err(Refusal::Aborted))
    };
    // Boxed, so that its room is free again while the connection lives.
    match Box::pin(future::or(connect, abort)).await.unwrap_or(Err(Refusal::TooSlow)) {
        Ok(session) => {
            shared.reached(link.address);
            shared.carry(link, session, true).await;
        }
        Err(refusal) => {
            let reason: &'static str = refusal.into();
            metrics::counter!("mesh_connect_failures_total", "reason" => reason).increment(1);
            // Neither another start of the peer nor this end's own doing is a reason to wait.
            if !matches!(refusal, Refusal::OtherIncarnation | Refusal::Aborted) {
                shared.failed(link.address);
            }
            shared.end(&link);
        }
    }
}

async fn connect(shared: &Shared, link: &Link) -> Result<Session, Refusal> {
    let address: SocketAddr = link.address;
    let limit = Duration::from_millis(shared.settings.limits.connect_timeout_ms);
    let connected = timeout(limit, Async::<TcpStream>::connect(address)).await;
    let stream = connected.ok_or(Refusal::TooSlow)?.map_err(|_| Refusal::Broken)?;
    let _ = stream.get_ref().set_nodelay(true);
    let session = handshake::connect(stream, &shared.settings, shared.own_mesh, address, link.id).await?;
    if link.identify(session.peer.clone()) { Ok(session) } else { Err(Refusal::OtherIncarnation) }
}
