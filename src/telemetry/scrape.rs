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

/// how often recorded histogram samples are moved into their buckets.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// installs the metrics recorder and serves its metrics over HTTP on `address`, on any path.
pub fn serve_metrics(spawner: &Spawner, address: SocketAddr) -> anyhow::Result<()> {
    let recorder = Recorder::install()?;
    let listener = Async::<TcpListener>::bind(address)
        .with_context(|| format!("failed to listen on {address} for metrics"))?;
    let upkeep_recorder = recorder.clone();
    spawner.detach(async move {
        loop {
            Timer::after(UPKEEP_INTERVAL).await;
            upkeep_recorder.upkeep();
        }
    });
    let connection_spawner = spawner.clone();
    spawner.detach(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let recorder = recorder.clone();
            connection_spawner.detach(async move {
                let service = service_fn(|_| {
                    let response = Response::new(Full::new(Bytes::from(recorder.render())));
                    async move { Ok::<_, Infallible>(response) }
                });
                // A failed connection concerns only its scraper.
                let _ = http1::Builder::new().serve_connection(HyperIo::new(stream), service).await;
            });
        }
    });
    Ok(())
}
