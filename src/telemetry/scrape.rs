use std::convert::Infallible;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use anyhow::Context;
use async_io::Async;
use async_io::Timer;
use bytes::Bytes;
use flamingo_edge::HyperIo;
use flamingo_edge::Spawner;
use http_body_util::Full;
use hyper::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use crate::telemetry::Recorder;

/// how often what histograms have gathered is moved into their buckets.
const UPKEEP_EVERY: Duration = Duration::from_secs(5);
/// how long to pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// takes over the metrics of this process and serves them as text, whatever the path.
pub fn serve_metrics(spawner: &Spawner, address: SocketAddr) -> anyhow::Result<()> {
    let recorder = Recorder::install()?;
    let listener =
        Async::<TcpListener>::bind(address).with_context(|| format!("listen on {address} for metrics"))?;
    let upkeep = recorder.clone();
    spawner.detach(async move {
        loop {
            Timer::after(UPKEEP_EVERY).await;
            upkeep.upkeep();
        }
    });
    let tasks = spawner.clone();
    spawner.detach(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            };
            let recorder = recorder.clone();
            tasks.detach(async move {
                let service = service_fn(|_| {
                    let response = Response::new(Full::new(Bytes::from(recorder.render())));
                    async move { Ok::<_, Infallible>(response) }
                });
                // How a scraper ends its connection is its own matter.
                let _ = http1::Builder::new().serve_connection(HyperIo::new(stream), service).await;
            });
        }
    });
    Ok(())
}
