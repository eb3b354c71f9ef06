use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;

use async_io::Async;

use crate::membership::DATAGRAM_TAG_BYTES;
use crate::membership::decode_datagram;
use crate::membership::encode_datagram;
use crate::mesh::MeshKey;
use crate::mesh::mesh_key::tags_equal;
use crate::schema::Datagram;

/// size of the receive buffer; a longer datagram is truncated and then fails authentication.
const RECEIVE_BUFFER_BYTES: usize = 2048;

/// UDP socket for the authenticated datagrams of the membership protocol.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: Async<UdpSocket>,
    cluster: String,
    key: MeshKey,
}

impl DatagramSocket {
    /// binds a socket to the mesh address of a deployment (`cluster`).
    pub fn bind(listen: SocketAddr, cluster: &str, key: MeshKey) -> io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(listen)?;
        Ok(Self { socket, cluster: cluster.to_owned(), key })
    }

    /// address that the socket is bound to.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }

    /// sends a datagram without blocking; one that the system rejects is dropped, as if lost on the network.
    pub fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let mut bytes = encode_datagram(datagram);
        let tag: [u8; DATAGRAM_TAG_BYTES] = self.key.datagram_tag(&self.cluster, &bytes);
        bytes.extend_from_slice(&tag);
        match self.socket.get_ref().send_to(&bytes, to) {
            Ok(sent_bytes) => {
                metrics::counter!("mesh_bytes_total", "direction" => "datagram_out")
                    .increment(sent_bytes as u64);
            }
            Err(_) => metrics::counter!("mesh_datagrams_unsent_total").increment(1),
        }
    }

    /// waits for the next authentic datagram of this deployment; others are counted and dropped.
    pub async fn receive(&self) -> io::Result<(SocketAddr, Box<Datagram>)> {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                // An earlier datagram reached a closed port; the socket itself still works.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(error) => return Err(error),
            };
            metrics::counter!("mesh_bytes_total", "direction" => "datagram_in").increment(length as u64);
            match self.verify(&buffer[..length]) {
                Ok(datagram) => return Ok((from, Box::new(datagram))),
                Err(reason) => {
                    metrics::counter!("mesh_datagrams_refused_total", "reason" => reason).increment(1);
                }
            }
        }
    }

    /// checks the tag and decodes the body; the error is the metric label `reason`.
    fn verify(&self, bytes: &[u8]) -> Result<Datagram, &'static str> {
        let body_length = bytes.len().checked_sub(DATAGRAM_TAG_BYTES).ok_or("short")?;
        let (body, tag) = bytes.split_at(body_length);
        let expected: [u8; DATAGRAM_TAG_BYTES] = self.key.datagram_tag(&self.cluster, body);
        if !tags_equal(&expected, tag) {
            return Err("unauthenticated");
        }
        decode_datagram(&self.cluster, body).map_err(|_| "unknown")
    }
}
