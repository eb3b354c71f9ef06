use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use anyhow::Result;
use flamingo_edge::Incoming;
use flamingo_edge::Spawner;
use flamingo_edge::TokenBucket;
use flamingo_edge::json_problem;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;

use crate::Seeded;
use crate::host::Host;

/// settings of a weight store stand-in.
#[derive(Clone, Copy, Debug)]
pub struct WeightsOptions {
    /// address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// bytes of each model's weights.
    pub weight_bytes: usize,
    /// downloads a second that are taken.
    pub downloads_per_s: f64,
}

impl Default for WeightsOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            weight_bytes: 1_048_576,
            downloads_per_s: 2.0,
        }
    }
}

/// a weight store stand-in that listens until it is dropped.
#[derive(Debug)]
pub struct WeightsStandin {
    host: Host,
}

impl WeightsStandin {
    /// starts a weight store stand-in.
    pub fn start(spawner: &Spawner, options: WeightsOptions) -> Result<Self> {
        let rate = options.downloads_per_s;
        let budget = Arc::new(Mutex::new(TokenBucket::new(rate, rate.max(1.0))));
        let started_at = Instant::now();
        let host = Host::start(spawner, options.listen, move |incoming| {
            let budget = Arc::clone(&budget);
            async move { answer(&budget, started_at, options.weight_bytes, &incoming) }
        })?;
        Ok(Self { host })
    }

    /// the address listened on.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }
}

fn answer(
    budget: &Mutex<TokenBucket>,
    started_at: Instant,
    weight_bytes: usize,
    incoming: &Incoming,
) -> Response {
    let path = incoming.request.url().path();
    let named = path.strip_prefix("/v1/weights/").filter(|rest| rest.split('/').count() == 2);
    let (Method::Get, Some(named)) = (incoming.request.method(), named) else {
        return json_problem(
            StatusCode::NotFound,
            "no_route",
            "weights are read at /v1/weights/MODEL/VERSION",
        );
    };
    let taken = budget.lock().expect("budget lock poisoned").take(started_at.elapsed(), 1.0);
    if let Err(wait) = taken {
        let code = "rate_limited";
        let mut response = json_problem(StatusCode::TooManyRequests, code, "too many downloads");
        response.insert_header("retry-after-ms", (wait.as_millis() as u64 + 1).to_string());
        return response;
    }
    let mut drawn = Seeded::new(named.len() as u64);
    let mut bytes = Vec::with_capacity(weight_bytes + 8);
    while bytes.len() < weight_bytes {
        bytes.extend_from_slice(&drawn.next_u64().to_le_bytes());
    }
    bytes.truncate(weight_bytes);
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("content-type", "application/octet-stream");
    response.set_body(bytes);
    response
}
