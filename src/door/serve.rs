use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Async;
use async_io::Timer;
use flamingo_edge::HyperIo;
use flamingo_edge::Spawner;
use flamingo_edge::timeout;
use futures_lite::future;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use crate::door::answer::DoorBody;

/// how long to pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// how long a connection that was accepted while the process stops may take to send its request: the opening of the
/// connection and the request are a round trip apart, and a lost packet is sent again after as long.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(300);
/// room for the request line and headers; callers stay within the operators' bound, which is smaller.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// the connections of one listener.
#[derive(Clone)]
pub(super) struct Served {
    pub spawner: Spawner,
    pub open: Arc<AtomicUsize>,
    /// closes when connections should end after their request.
    pub closing: Receiver<()>,
}

/// accepts connections until the task is dropped, and answers their requests.
pub(super) async fn serve<H, F>(listener: Async<TcpListener>, served: Served, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<DoorBody>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        // A socket that refuses is only slower.
        let _ = stream.get_ref().set_nodelay(true);
        // Counted here, as a process that stops must not overlook a connection that it has accepted.
        served.open.fetch_add(1, Ordering::Relaxed);
        served.spawner.detach(carry(stream, served.clone(), handler.clone()));
    }
}

async fn carry<H, F>(stream: Async<TcpStream>, served: Served, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<DoorBody>> + Send + 'static,
{
    let (first_request, has_first_request) = async_channel::bounded::<()>(1);
    let service = service_fn(|request| {
        // The channel is full from the second request on.
        let _ = first_request.try_send(());
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder.preserve_header_case(true).max_buf_size(MAX_HEAD_BYTES);
    let mut connection = std::pin::pin!(builder.serve_connection(HyperIo::new(stream), service));
    let closes = async {
        // The channel carries nothing; it closes.
        let _ = served.closing.recv().await;
        timeout(FIRST_REQUEST_WAIT, has_first_request.recv()).await;
        None
    };
    let ended = future::or(async { Some(connection.as_mut().await) }, closes).await;
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        // How a caller's connection ends is the caller's matter.
        let _ = connection.await;
    }
    served.open.fetch_sub(1, Ordering::Relaxed);
}
