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

/// longest datagram that is read; longer ones are cut and then fail their check.
const READ_BYTES: usize = 2048;

/// sends and receives the datagrams of membership.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: Async<UdpSocket>,
    cluster: String,
    key: MeshKey,
}

impl DatagramSocket {
    /// binds the mesh address.
    pub fn bind(listen: SocketAddr, cluster: &str, key: MeshKey) -> io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(listen)?;
        Ok(Self { socket, cluster: cluster.to_owned(), key })
    }

    /// address that was bound.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }

    /// sends a datagram without waiting; one that the system cannot take now is lost, as on the network.
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

    /// waits for the next datagram that was sent with the key within this deployment.
    pub async fn receive(&self) -> io::Result<(SocketAddr, Box<Datagram>)> {
        let mut buffer = [0; READ_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                // An earlier datagram met a closed port; this says nothing about the socket.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(error) => return Err(error),
            };
            metrics::counter!("mesh_bytes_total", "direction" => "datagram_in").increment(length as u64);
            match self.open(&buffer[..length]) {
                Ok(datagram) => return Ok((from, Box::new(datagram))),
                Err(reason) => {
                    metrics::counter!("mesh_datagrams_refused_total", "reason" => reason).increment(1);
                }
            }
        }
    }

    fn open(&self, bytes: &[u8]) -> Result<Datagram, &'static str> {
        let body_length = bytes.len().checked_sub(DATAGRAM_TAG_BYTES).ok_or("short")?;
        let (body, tag) = bytes.split_at(body_length);
        let expected: [u8; DATAGRAM_TAG_BYTES] = self.key.datagram_tag(&self.cluster, body);
        if !tags_equal(&expected, tag) {
            return Err("unauthenticated");
        }
        decode_datagram(&self.cluster, body).map_err(|_| "unknown")
    }
}
