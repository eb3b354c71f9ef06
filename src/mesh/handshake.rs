use std::net::SocketAddr;
use std::net::TcpStream;

use async_io::Async;
use futures_util::SinkExt;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use strum::Display;
use strum::IntoStaticStr;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::Role;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_util::compat::Compat;
use tokio_util::compat::FuturesAsyncReadCompatExt;
use uuid::Uuid;

use crate::ids::Incarnation;
use crate::mesh::ConnectionId;
use crate::mesh::FrameMac;
use crate::mesh::MeshSettings;
use crate::mesh::PeerIdentity;
use crate::mesh::Side;
use crate::schema::MeshHello;
use crate::schema::MeshProof;

/// latest mesh protocol version that this build supports.
pub const PROTOCOL_VERSION: u32 = 1;
/// oldest mesh protocol version that this build supports.
pub const MIN_PROTOCOL_VERSION: u32 = 1;
/// size limit for messages of a client that has not authenticated.
const MAX_HELLO_BYTES: usize = 4096;
/// added to the frame size limit for the authentication tag.
const TAG_OVERHEAD_BYTES: usize = 64;
/// size of the read buffer of a connection.
const READ_BUFFER_BYTES: usize = 4096;
/// URL of the upgrade request; neither end evaluates it.
const UPGRADE_URL: &str = "ws://flamingostand/mesh";

/// WebSocket stream between two instances.
pub(super) type Socket = WebSocketStream<Compat<Async<TcpStream>>>;

/// reasons why a connection was not established; the names are values of the metric label `reason`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Refusal {
    /// the connection failed or the peer does not speak the mesh protocol.
    Broken,
    /// the peer belongs to another deployment.
    OtherCluster,
    /// the protocol version of the peer is older than the oldest supported one.
    OtherVersion,
    /// the peer did not prove that it has the mesh key.
    WrongKey,
    /// an incarnation of the peer other than the expected one answered.
    OtherIncarnation,
    /// this end aborted the attempt.
    Aborted,
    /// connecting or the handshake timed out.
    TooSlow,
}

/// an authenticated connection.
#[derive(Debug)]
pub(super) struct Session {
    pub socket: Socket,
    pub peer: PeerIdentity,
    /// authenticates frames that this end sends.
    pub outgoing: FrameMac,
    /// verifies frames that the peer sends.
    pub incoming: FrameMac,
}

/// performs the client side of the handshake.
pub(super) async fn connect(
    stream: Async<TcpStream>,
    settings: &MeshSettings,
    local_address: SocketAddr,
    address: SocketAddr,
    connection: ConnectionId,
) -> Result<Session, Refusal> {
    let frame_config = websocket_config(settings.limits.max_frame_bytes + TAG_OVERHEAD_BYTES);
    let upgrade =
        tokio_tungstenite::client_async_with_config(UPGRADE_URL, stream.compat(), Some(frame_config));
    let (mut socket, _) = upgrade.await.map_err(|_| Refusal::Broken)?;
    let own_hello = hello(settings, local_address);
    send(&mut socket, &own_hello).await?;
    let peer_hello: MeshHello = receive(&mut socket).await?;
    check_hello(settings, &peer_hello)?;
    let proof = settings.key.proof(Side::Client, &own_hello, &peer_hello);
    send(&mut socket, &MeshProof { proof: proof.to_hex().to_string() }).await?;
    let peer_proof: MeshProof = receive(&mut socket).await.map_err(|_| Refusal::WrongKey)?;
    verify_proof(&peer_proof, settings.key.proof(Side::Server, &own_hello, &peer_hello))?;
    let peer = peer_identity(&peer_hello, Some(address), address, connection);
    let outgoing = settings.key.frame_mac(Side::Client, &own_hello, &peer_hello);
    let incoming = settings.key.frame_mac(Side::Server, &own_hello, &peer_hello);
    Ok(Session { socket, peer, outgoing, incoming })
}

/// performs the server side of the handshake; sends its proof only after verifying the client's.
pub(super) async fn accept(
    stream: Async<TcpStream>,
    settings: &MeshSettings,
    local_address: SocketAddr,
    address: SocketAddr,
    connection: ConnectionId,
) -> Result<Session, Refusal> {
    let hello_config = websocket_config(MAX_HELLO_BYTES);
    let upgrade = tokio_tungstenite::accept_async_with_config(stream.compat(), Some(hello_config));
    let mut socket = upgrade.await.map_err(|_| Refusal::Broken)?;
    let peer_hello: MeshHello = receive(&mut socket).await?;
    check_hello(settings, &peer_hello)?;
    let own_hello = hello(settings, local_address);
    send(&mut socket, &own_hello).await?;
    let peer_proof: MeshProof = receive(&mut socket).await?;
    verify_proof(&peer_proof, settings.key.proof(Side::Client, &peer_hello, &own_hello))?;
    // The client sends nothing until it has the server's proof, so the old socket has no bytes buffered.
    let frame_config = websocket_config(settings.limits.max_frame_bytes + TAG_OVERHEAD_BYTES);
    let mut socket =
        WebSocketStream::from_raw_socket(socket.into_inner(), Role::Server, Some(frame_config)).await;
    let proof = settings.key.proof(Side::Server, &peer_hello, &own_hello);
    send(&mut socket, &MeshProof { proof: proof.to_hex().to_string() }).await?;
    let peer = peer_identity(&peer_hello, peer_hello.mesh.parse().ok(), address, connection);
    let outgoing = settings.key.frame_mac(Side::Server, &peer_hello, &own_hello);
    let incoming = settings.key.frame_mac(Side::Client, &peer_hello, &own_hello);
    Ok(Session { socket, peer, outgoing, incoming })
}

fn websocket_config(max_bytes: usize) -> WebSocketConfig {
    // The library's default buffers take 128 KiB each, and an instance holds thousands of connections.
    WebSocketConfig::default()
        .max_message_size(Some(max_bytes))
        .max_frame_size(Some(max_bytes))
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
}

fn hello(settings: &MeshSettings, local_address: SocketAddr) -> MeshHello {
    MeshHello {
        protocol_version: PROTOCOL_VERSION,
        cluster: settings.cluster.clone(),
        incarnation: settings.incarnation.as_str().to_owned(),
        name: settings.name.clone(),
        nonce: Uuid::new_v4().simple().to_string(),
        mesh: local_address.to_string(),
    }
}

fn check_hello(settings: &MeshSettings, peer_hello: &MeshHello) -> Result<(), Refusal> {
    if peer_hello.cluster != settings.cluster {
        return Err(Refusal::OtherCluster);
    }
    if peer_hello.protocol_version < MIN_PROTOCOL_VERSION {
        return Err(Refusal::OtherVersion);
    }
    Ok(())
}

fn verify_proof(proof: &MeshProof, expected: blake3::Hash) -> Result<(), Refusal> {
    // `blake3::Hash` compares in constant time.
    match blake3::Hash::from_hex(&proof.proof) {
        Ok(proof) if proof == expected => Ok(()),
        _ => Err(Refusal::WrongKey),
    }
}

fn peer_identity(
    peer_hello: &MeshHello,
    mesh: Option<SocketAddr>,
    address: SocketAddr,
    connection: ConnectionId,
) -> PeerIdentity {
    PeerIdentity {
        incarnation: Incarnation::from(peer_hello.incarnation.as_str()),
        name: peer_hello.name.clone(),
        address: mesh.unwrap_or(address),
        connection,
        protocol_version: peer_hello.protocol_version.min(PROTOCOL_VERSION),
    }
}

async fn send(socket: &mut Socket, message: &impl Serialize) -> Result<(), Refusal> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).map_err(|_| Refusal::Broken)?;
    socket.send(Message::binary(bytes)).await.map_err(|_| Refusal::Broken)
}

async fn receive<T: DeserializeOwned>(socket: &mut Socket) -> Result<T, Refusal> {
    let Some(Ok(Message::Binary(bytes))) = socket.next().await else {
        return Err(Refusal::Broken);
    };
    ciborium::from_reader(bytes.as_ref()).map_err(|_| Refusal::Broken)
}
