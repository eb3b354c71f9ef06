//! measures what the clients add to calls over loopback: `cargo run --release --example call_costs`.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use async_io::block_on;
use flamingo_edge::Spawner;
use flamingo_standins::engine::EngineOptions;
use flamingo_standins::engine::EngineStandin;
use flamingo_standins::platform::PlatformOptions;
use flamingo_standins::platform::PlatformStandin;

use flamingostand::platform::HttpPlatform;
use flamingostand::platform::HttpPlatformOptions;
use flamingostand::platform::Platform;
use flamingostand::platform::PlatformRequest;
use flamingostand::schema::ChatMessage;
use flamingostand::schema::JobEvent;
use flamingostand::schema::ObjectForm;
use flamingostand::schema::Role;
use flamingostand::schema::TurnJob;
use flamingostand::upstream::EngineClient;
use flamingostand::upstream::EngineClientSettings;

/// calls measured, after a tenth of them that are not.
const CALLS: usize = 5_000;
/// threads of the stand-ins and of the clients.
const THREAD_COUNT: usize = 2;

fn main() -> Result<()> {
    let standins = Spawner::start(THREAD_COUNT);
    platform(&standins)?;
    engine(&standins)
}

fn platform(standins: &Spawner) -> Result<()> {
    let options = PlatformOptions { reads_per_s: 1e9, writes_per_s: 1e9, ..PlatformOptions::default() };
    let standin = PlatformStandin::start(standins, options)?;
    let address = standin.address();
    standin.control().with_store(|store| store.create("k", &[7; 1_000]))?;
    let client = HttpPlatform::new(HttpPlatformOptions {
        address,
        calls_per_second: u32::MAX,
        form: ObjectForm::Keyed,
        timeout_ms: 2_000,
    });
    let request = PlatformRequest::Get { key: "k".to_owned() };
    let through_client = measure(|| {
        let started_at = Instant::now();
        block_on(client.call(request.clone())).expect("a get without faults succeeds");
        started_at.elapsed()
    });
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let plain = measure(|| {
        let started_at = Instant::now();
        stream.write_all(b"GET /v1/objects/k HTTP/1.1\r\nhost: x\r\n\r\n").expect("the stand-in is there");
        read_until(&mut stream, &[7; 1_000]);
        started_at.elapsed()
    });
    report("platform get, HttpPlatform", through_client);
    report("platform get, plain socket", plain);
    Ok(())
}

fn engine(standins: &Spawner) -> Result<()> {
    let mut options = EngineOptions::default();
    options.batch.step_us = 1;
    options.batch.step_per_running_us = 0;
    options.batch.prefill_tokens_per_s = u64::MAX;
    let standin = EngineStandin::start(standins, options)?;
    let address = standin.address();
    let client = EngineClient::new(EngineClientSettings::default());
    let job = job();
    let mut number = 0;
    let through_client = measure(|| {
        number += 1;
        let started_at = Instant::now();
        let mut first = None;
        block_on(client.run(address, &format!("c{number}"), &job, |event| {
            if matches!(event, JobEvent::Token(_)) {
                first.get_or_insert_with(|| started_at.elapsed());
            }
        }));
        first.expect("an idle engine answers")
    });
    let body = serde_json::json!({
        "model": job.model, "messages": job.messages, "max_tokens": job.max_tokens, "stream": true,
    });
    let body = body.to_string();
    let plain = measure(|| {
        number += 1;
        let started_at = Instant::now();
        plain_first_token(address, number, &body);
        started_at.elapsed()
    });
    report("first token, EngineClient", through_client);
    report("first token, plain socket", plain);
    Ok(())
}

/// opens a connection, asks, and reads to the first token; the connection is closed afterwards.
fn plain_first_token(address: SocketAddr, number: usize, body: &str) {
    let mut stream = TcpStream::connect(address).expect("the stand-in is there");
    stream.set_nodelay(true).expect("a socket takes the option");
    let length = body.len();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-program-id: p1\r\n";
    let request = format!("{head}x-request-id: d{number}\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).expect("the stand-in is there");
    read_until(&mut stream, b"\"content\"");
}

fn read_until(stream: &mut TcpStream, end: &[u8]) {
    let mut received = Vec::new();
    let mut piece = [0; 8_192];
    while !received.windows(end.len()).any(|window| window == end) {
        let piece_bytes = stream.read(&mut piece).expect("the stand-in answers");
        received.extend_from_slice(&piece[..piece_bytes]);
    }
}

fn job() -> TurnJob {
    let message = ChatMessage {
        content: Some("assess this chapter ".repeat(100).into()),
        name: None,
        role: Role::User,
        tool_call_id: None,
        tool_calls: Vec::new(),
    };
    TurnJob {
        attempt: 1,
        cached_tokens: 0,
        content_digest: String::new(),
        deadline_ms: 20_000,
        max_tokens: 4,
        messages: vec![message],
        model: "reader".to_owned(),
        program: "p1".to_owned(),
        program_service_tokens: 0,
        prompt_tokens: 500,
        replica: "engine-1".to_owned(),
        turn: 1,
        waited_ms: 0,
        workspace: "rokopis".to_owned(),
    }
}

fn measure(mut call: impl FnMut() -> Duration) -> Vec<Duration> {
    for _ in 0..CALLS / 10 {
        call();
    }
    let mut times: Vec<Duration> = (0..CALLS).map(|_| call()).collect();
    times.sort();
    times
}

fn report(name: &str, times: Vec<Duration>) {
    let at = |share: usize| times[times.len() * share / 100].as_micros();
    println!("{name}: p50 {} us, p90 {} us, p99 {} us", at(50), at(90), at(99));
}
