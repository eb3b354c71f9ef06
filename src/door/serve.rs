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

/// pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// how long a connection without any request stays open once draining closes connections: its first request
/// may arrive one round trip after the connection, or a retransmission timeout later if a packet is lost.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(300);
/// buffer limit for the request line and headers; the operators' limit for callers is smaller.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// what all connections of one listener share.
#[derive(Clone)]
pub(super) struct ListenerContext {
    pub spawner: Spawner,
    pub open_connections: Arc<AtomicUsize>,
    /// closes when connections should shut down after their current request.
    pub closing: Receiver<()>,
}

/// accepts connections and serves their requests until the task is dropped.
pub(super) async fn serve<H, F>(listener: Async<TcpListener>, context: ListenerContext, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<DoorBody>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        // A failure only costs latency.
        let _ = stream.get_ref().set_nodelay(true);
        // Counted before its task runs, so that a process that stops does not miss an accepted connection.
        context.open_connections.fetch_add(1, Ordering::Relaxed);
        context.spawner.detach(serve_connection(stream, context.clone(), handler.clone()));
    }
}

async fn serve_connection<H, F>(stream: Async<TcpStream>, context: ListenerContext, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<DoorBody>> + Send + 'static,
{
    let (first_request, has_first_request) = async_channel::bounded::<()>(1);
    let service = service_fn(|request| {
        // Fails from the second request on, as the channel is full then.
        let _ = first_request.try_send(());
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder.preserve_header_case(true).max_buf_size(MAX_HEAD_BYTES);
    let mut connection = std::pin::pin!(builder.serve_connection(HyperIo::new(stream), service));
    let drained = async {
        // Nothing is sent on the channel; this returns when it closes.
        let _ = context.closing.recv().await;
        timeout(FIRST_REQUEST_WAIT, has_first_request.recv()).await;
        None
    };
    let finished = future::or(async { Some(connection.as_mut().await) }, drained).await;
    if finished.is_none() {
        connection.as_mut().graceful_shutdown();
        // Errors of a caller's connection need no handling here.
        let _ = connection.await;
    }
    context.open_connections.fetch_sub(1, Ordering::Relaxed);
}
