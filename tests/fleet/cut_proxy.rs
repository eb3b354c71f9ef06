use std::collections::BTreeSet;
use std::fs;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use socket2::SockRef;

/// how often a paused link looks whether it goes on.
const PAUSE: Duration = Duration::from_millis(10);

/// what a process that is cut off from a replica meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// open connections go silent, and so do new ones.
    Silent,
    /// open connections are reset, and so are new ones.
    Reset,
}

/// a loopback proxy in front of a replica, which can cut single processes off from it.
pub struct CutProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    replica: SocketAddr,
    /// processes that are cut off, by id.
    cuts: Mutex<Vec<(u32, Cut)>>,
    links: Mutex<Vec<Arc<Link>>>,
    ends: AtomicBool,
}

/// a connection of a process to the replica.
struct Link {
    client: TcpStream,
    replica: TcpStream,
    is_paused: AtomicBool,
}

impl CutProxy {
    /// listens on a free port.
    pub fn start(replica: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("the proxy's address");
        let shared = Arc::new(Shared {
            replica,
            cuts: Mutex::default(),
            links: Mutex::default(),
            ends: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&shared);
        std::thread::spawn(move || {
            for client in listener.incoming() {
                let (Ok(client), false) = (client, accepting.ends.load(Ordering::Relaxed)) else {
                    return;
                };
                accepting.accept(client);
            }
        });
        Self { address, shared }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// cuts a process off.
    pub fn cut(&self, process: u32, cut: Cut) {
        self.shared.cuts.lock().expect("cuts lock poisoned").push((process, cut));
        let ports = ports_of(process);
        for link in self.shared.links.lock().expect("links lock poisoned").iter() {
            let is_cut = link.client.peer_addr().is_ok_and(|peer| ports.contains(&peer.port()));
            match cut {
                Cut::Silent if is_cut => link.is_paused.store(true, Ordering::Relaxed),
                Cut::Reset if is_cut => link.reset(),
                Cut::Silent | Cut::Reset => {}
            }
        }
    }

    /// refuses new connections of all processes from now on; open ones live on.
    pub fn refuse_new_connections(&self) {
        self.shared.ends.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts, which closes the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// ends all cuts; what was held up arrives.
    pub fn heal(&self) {
        self.shared.cuts.lock().expect("cuts lock poisoned").clear();
        for link in self.shared.links.lock().expect("links lock poisoned").iter() {
            link.is_paused.store(false, Ordering::Relaxed);
        }
    }
}

impl Drop for CutProxy {
    fn drop(&mut self) {
        self.heal();
        self.refuse_new_connections();
    }
}

impl Shared {
    fn accept(&self, client: TcpStream) {
        let port = client.peer_addr().map(|peer| peer.port()).unwrap_or_default();
        let cuts = self.cuts.lock().expect("cuts lock poisoned").clone();
        let cut = cuts.into_iter().find(|(process, _)| ports_of(*process).contains(&port));
        let Ok(replica) = TcpStream::connect(self.replica) else {
            return;
        };
        // Both only cost latency if they fail.
        let _ = (client.set_nodelay(true), replica.set_nodelay(true));
        let is_silent = matches!(cut, Some((_, Cut::Silent)));
        let link = Arc::new(Link { client, replica, is_paused: AtomicBool::new(is_silent) });
        if cut.is_some() && !is_silent {
            link.reset();
            return;
        }
        link.run();
        self.links.lock().expect("links lock poisoned").push(link);
    }
}

impl Link {
    fn reset(&self) {
        // Closing a socket that lingers for no time resets the connection.
        let _ = SockRef::from(&self.client).set_linger(Some(Duration::ZERO));
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.replica.shutdown(Shutdown::Both);
    }

    fn run(self: &Arc<Self>) {
        for is_request in [true, false] {
            let link = Arc::clone(self);
            std::thread::spawn(move || {
                let ends =
                    if is_request { (&link.client, &link.replica) } else { (&link.replica, &link.client) };
                // A broken connection ends both directions.
                let _ = link.forward(ends.0, ends.1);
                let _ = (link.client.shutdown(Shutdown::Both), link.replica.shutdown(Shutdown::Both));
            });
        }
    }

    fn forward(&self, mut from: &TcpStream, mut to: &TcpStream) -> std::io::Result<()> {
        from.set_read_timeout(Some(PAUSE))?;
        let mut bytes = [0_u8; 4096];
        loop {
            match from.read(&mut bytes) {
                Ok(0) => {
                    self.wait_while_paused();
                    return Ok(());
                }
                Ok(read) => {
                    self.wait_while_paused();
                    to.write_all(&bytes[..read])?;
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn wait_while_paused(&self) {
        while self.is_paused.load(Ordering::Relaxed) {
            sleep(PAUSE);
        }
    }
}

/// local ports of the sockets of a process.
fn ports_of(process: u32) -> BTreeSet<u16> {
    let links = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
    let links = links.filter_map(|entry| fs::read_link(entry.path()).ok());
    let inodes: BTreeSet<String> = links
        .filter_map(|link| Some(link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned()))
        .collect();
    let table = fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let ports = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (_, port) = fields.next()?.split_once(':')?;
        inodes.contains(fields.nth(7)?).then(|| u16::from_str_radix(port, 16).ok())?
    });
    ports.collect()
}
