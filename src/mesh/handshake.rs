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
use crate::mesh::FrameSeal;
use crate::mesh::MeshSettings;
use crate::mesh::PeerIdentity;
use crate::mesh::Side;
use crate::schema::MeshHello;
use crate::schema::MeshProof;

/// version of the mesh protocol that this program speaks.
pub const PROTOCOL_VERSION: u32 = 1;
/// oldest version of the mesh protocol that is still spoken.
pub const MIN_PROTOCOL_VERSION: u32 = 1;
/// largest message of a peer that has not authenticated.
const MAX_GREETING_BYTES: usize = 4096;
/// room for the tag beside the largest frame.
const TAG_ROOM_BYTES: usize = 64;
/// bytes that a connection reads at a time.
const READ_BUFFER_BYTES: usize = 4096;
/// address in the upgrade request; both ends ignore it.
const UPGRADE_URL: &str = "ws://flamingostand/mesh";

/// a web socket between instances.
pub(super) type Socket = WebSocketStream<Compat<Async<TcpStream>>>;

/// why a connection was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Refusal {
    /// the connection broke or the peer speaks something else.
    Broken,
    /// the peer belongs to another deployment.
    OtherCluster,
    /// the peer speaks only versions that this program does not.
    OtherVersion,
    /// the peer does not know the key.
    WrongKey,
    /// another start of the instance answered.
    OtherIncarnation,
    /// this end gave the connection up.
    Aborted,
    /// the peer took too long.
    TooSlow,
}

/// an authenticated connection.
#[derive(Debug)]
pub(super) struct Session {
    pub socket: Socket,
    pub peer: PeerIdentity,
    /// seals what this end sends.
    pub outgoing: FrameSeal,
    /// opens what the peer sends.
    pub incoming: FrameSeal,
}

/// authenticates as the end that connected.
pub(super) async fn connect(
    stream: Async<TcpStream>,
    settings: &MeshSettings,
    own_mesh: SocketAddr,
    address: SocketAddr,
    connection: ConnectionId,
) -> Result<Session, Refusal> {
    let config = config(settings.limits.max_frame_bytes + TAG_ROOM_BYTES);
    let upgrade = tokio_tungstenite::client_async_with_config(UPGRADE_URL, stream.compat(), Some(config));
    let (mut socket, _) = upgrade.await.map_err(|_| Refusal::Broken)?;
    let own = hello(settings, own_mesh);
    send(&mut socket, &own).await?;
    let theirs: MeshHello = receive(&mut socket).await?;
    check(settings, &theirs)?;
    let proof = settings.key.proof(Side::Client, &own, &theirs);
    send(&mut socket, &MeshProof { proof: proof.to_hex().to_string() }).await?;
    let answer: MeshProof = receive(&mut socket).await.map_err(|_| Refusal::WrongKey)?;
    verify(&answer, settings.key.proof(Side::Server, &own, &theirs))?;
    let peer = identity(&theirs, Some(address), address, connection);
    let outgoing = settings.key.seal(Side::Client, &own, &theirs);
    let incoming = settings.key.seal(Side::Server, &own, &theirs);
    Ok(Session { socket, peer, outgoing, incoming })
}

/// authenticates as the end that accepted; proves nothing before the peer has.
pub(super) async fn accept(
    stream: Async<TcpStream>,
    settings: &MeshSettings,
    own_mesh: SocketAddr,
    address: SocketAddr,
    connection: ConnectionId,
) -> Result<Session, Refusal> {
    let small = config(MAX_GREETING_BYTES);
    let upgrade = tokio_tungstenite::accept_async_with_config(stream.compat(), Some(small));
    let mut socket = upgrade.await.map_err(|_| Refusal::Broken)?;
    let theirs: MeshHello = receive(&mut socket).await?;
    check(settings, &theirs)?;
    let own = hello(settings, own_mesh);
    send(&mut socket, &own).await?;
    let answer: MeshProof = receive(&mut socket).await?;
    verify(&answer, settings.key.proof(Side::Client, &theirs, &own))?;
    // The peer sends nothing before it has our proof, so no byte is lost between the two sockets.
    let full = config(settings.limits.max_frame_bytes + TAG_ROOM_BYTES);
    let mut socket = WebSocketStream::from_raw_socket(socket.into_inner(), Role::Server, Some(full)).await;
    let proof = settings.key.proof(Side::Server, &theirs, &own);
    send(&mut socket, &MeshProof { proof: proof.to_hex().to_string() }).await?;
    let peer = identity(&theirs, theirs.mesh.parse().ok(), address, connection);
    let outgoing = settings.key.seal(Side::Server, &theirs, &own);
    let incoming = settings.key.seal(Side::Client, &theirs, &own);
    Ok(Session { socket, peer, outgoing, incoming })
}

fn config(max_bytes: usize) -> WebSocketConfig {
    // The library's own buffers are 128 KiB each, and an instance holds thousands of connections.
    WebSocketConfig::default()
        .max_message_size(Some(max_bytes))
        .max_frame_size(Some(max_bytes))
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
}

fn hello(settings: &MeshSettings, own_mesh: SocketAddr) -> MeshHello {
    MeshHello {
        protocol_version: PROTOCOL_VERSION,
        cluster: settings.cluster.clone(),
        incarnation: settings.incarnation.as_str().to_owned(),
        name: settings.name.clone(),
        nonce: Uuid::new_v4().simple().to_string(),
        mesh: own_mesh.to_string(),
    }
}

fn check(settings: &MeshSettings, theirs: &MeshHello) -> Result<(), Refusal> {
    if theirs.cluster != settings.cluster {
        return Err(Refusal::OtherCluster);
    }
    if theirs.protocol_version < MIN_PROTOCOL_VERSION {
        return Err(Refusal::OtherVersion);
    }
    Ok(())
}

fn verify(answer: &MeshProof, expected: blake3::Hash) -> Result<(), Refusal> {
    // The comparison of hashes takes the same time wherever they differ.
    match blake3::Hash::from_hex(&answer.proof) {
        Ok(proof) if proof == expected => Ok(()),
        _ => Err(Refusal::WrongKey),
    }
}

fn identity(
    theirs: &MeshHello,
    mesh: Option<SocketAddr>,
    address: SocketAddr,
    connection: ConnectionId,
) -> PeerIdentity {
    PeerIdentity {
        incarnation: Incarnation::from(theirs.incarnation.as_str()),
        name: theirs.name.clone(),
        address: mesh.unwrap_or(address),
        connection,
        protocol_version: theirs.protocol_version.min(PROTOCOL_VERSION),
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
