use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// first port tried; below the range from which the system takes outgoing ports.
const FIRST_PORT: u16 = 20_000;

/// ports between two processes that test at the same time.
const PROCESS_STRIDE: u16 = 200;

/// strides before the ports start over.
const STRIDES: u16 = 60;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// finds an address on which nobody listens, over TCP and UDP.
pub fn free_address() -> SocketAddr {
    let base = FIRST_PORT + (std::process::id() % u32::from(STRIDES)) as u16 * PROCESS_STRIDE;
    loop {
        let port = base + NEXT.fetch_add(1, Ordering::Relaxed) % PROCESS_STRIDE;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
