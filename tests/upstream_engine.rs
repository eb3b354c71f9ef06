//! the engine client against the engine stand-in.

use std::net::SocketAddr;
use std::sync::LazyLock;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use async_io::block_on;
use flamingo_edge::Spawner;
use flamingo_standins::engine::EngineFaults;
use flamingo_standins::engine::EngineOptions;
use flamingo_standins::engine::EngineStandin;
use flamingo_standins::engine::Message;
use flamingo_standins::engine::expected_answer;
use test_case::test_case;

use flamingostand::schema::ChatMessage;
use flamingostand::schema::JobDone;
use flamingostand::schema::JobEvent;
use flamingostand::schema::JobFailed;
use flamingostand::schema::JobFault;
use flamingostand::schema::Role;
use flamingostand::schema::TurnJob;
use flamingostand::upstream::EngineClient;
use flamingostand::upstream::EngineClientSettings;
use flamingostand::upstream::EngineError;
use flamingostand::upstream::EngineState;

static SPAWNER: LazyLock<Spawner> = LazyLock::new(|| Spawner::start(2));

/// a loopback address that no other stand-in of this test takes when it is free again.
fn own_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    SocketAddr::from(([127, 1, high, low], 0))
}

fn quick_engine() -> EngineStandin {
    let listen = own_address();
    let mut options =
        EngineOptions { listen, orphan_grace_ms: 100, load_lag_ms: 0, ..EngineOptions::default() };
    options.batch.step_us = 1_000;
    EngineStandin::start(&SPAWNER, options).expect("the stand-in starts")
}

fn client() -> EngineClient {
    let settings = EngineClientSettings { token_timeout_ms: 300, ..EngineClientSettings::default() };
    EngineClient::new(settings)
}

fn job(content: &str) -> TurnJob {
    let message = ChatMessage {
        content: Some(content.into()),
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
        max_tokens: 1_000,
        messages: vec![message],
        model: "reader".to_owned(),
        program: "p1".to_owned(),
        program_service_tokens: 0,
        prompt_tokens: 20,
        replica: "engine-1".to_owned(),
        turn: 1,
        waited_ms: 0,
        workspace: "rokopis".to_owned(),
    }
}

/// runs a turn and returns the text of its tokens with its end.
fn run(client: &EngineClient, address: SocketAddr, request: &str, job: &TurnJob) -> (String, JobEvent) {
    let mut text = String::new();
    let mut last = None;
    block_on(client.run(address, request, job, |event| match event {
        JobEvent::Token(token) => text.push_str(&token.text),
        end => assert!(last.replace(end).is_none(), "a turn ends once"),
    }));
    (text, last.expect("a turn ends"))
}

fn done(end: JobEvent) -> JobDone {
    match end {
        JobEvent::Done(done) => done,
        other => panic!("not done: {other:?}"),
    }
}

fn failed(end: JobEvent) -> JobFailed {
    match end {
        JobEvent::Failed(failed) => failed,
        other => panic!("not failed: {other:?}"),
    }
}

fn expected(content: &str, max_tokens: u64) -> String {
    expected_answer(&[Message::text("user", content)], max_tokens).0
}

#[test]
fn whole_answer() {
    let engine = quick_engine();
    let (text, end) = run(&client(), engine.address(), "r1", &job("assess chapter one"));
    let done = done(end);
    assert_eq!(text, expected("assess chapter one", 1_000));
    assert_eq!(done.text, text);
    assert_eq!(done.finish_reason, "stop");
    assert_eq!(done.usage.completion_tokens * 4, text.len() as u64);
}

#[test]
fn token_limit() {
    let engine = quick_engine();
    let mut job = job("assess answer_tokens=50");
    job.max_tokens = 7;
    let (text, end) = run(&client(), engine.address(), "r1", &job);
    assert_eq!(text, expected("assess answer_tokens=50", 7));
    assert_eq!(done(end).finish_reason, "length");
}

#[test]
fn cached_prefix() {
    let engine = quick_engine();
    let client = client();
    let mut job = job("first");
    let (text, end) = run(&client, engine.address(), "r1", &job);
    let first = done(end);
    let mut answer = job.messages[0].clone();
    answer.role = Role::Assistant;
    answer.content = Some(text.into());
    let mut question = job.messages[0].clone();
    question.content = Some("second".into());
    job.messages.extend([answer, question]);
    let second = done(run(&client, engine.address(), "r2", &job).1);
    assert_eq!(first.usage.cached_tokens, 0);
    assert!(second.usage.cached_tokens > first.usage.prompt_tokens, "the answer is cached as well");
}

#[test_case(0; "before the first token")]
#[test_case(5; "after some tokens")]
fn resumed_stream(break_after_tokens: u64) {
    let engine = quick_engine();
    engine.control().set_faults(EngineFaults {
        break_next: 1,
        break_after_tokens,
        ..EngineFaults::default()
    });
    let (text, end) = run(&client(), engine.address(), "r1", &job("broken once"));
    assert_eq!(text, expected("broken once", 1_000));
    assert_eq!(done(end).text, text);
    assert_eq!(engine.control().counts().resumed, 1);
    assert_eq!(engine.control().counts().accepted, 1);
}

#[test]
fn stalled_stream() {
    let engine = quick_engine();
    engine.control().set_faults(EngineFaults {
        stall_next: 1,
        stall_after_tokens: 3,
        ..EngineFaults::default()
    });
    let (text, end) = run(&client(), engine.address(), "r1", &job("stalls once"));
    assert_eq!(text, expected("stalls once", 1_000));
    assert_eq!(done(end).text, text);
}

#[test]
fn broken_stream() {
    let engine = quick_engine();
    engine.control().set_faults(EngineFaults {
        break_next: 1,
        break_after_tokens: 4,
        refuse_resume: true,
        ..EngineFaults::default()
    });
    let job = job("answer_tokens=5000");
    let failed = failed(run(&client(), engine.address(), "r1", &job).1);
    assert_eq!(failed.fault, JobFault::Broken);
    assert!(failed.spent_tokens >= job.prompt_tokens + 4);
    assert_eq!(engine.control().inside_count(), 0, "a turn that is given up is cancelled");
}

#[test]
fn leaving_engine() {
    let engine = quick_engine();
    engine.control().set_leaving(true);
    let failed = failed(run(&client(), engine.address(), "r1", &job("late")).1);
    assert_eq!((failed.fault, failed.spent_tokens), (JobFault::Leaving, 0));
    assert!(failed.retry_after_ms.is_some());
}

#[test]
fn overloaded_engine() {
    let engine = quick_engine();
    engine.control().set_faults(EngineFaults { overloaded: true, ..EngineFaults::default() });
    let failed = failed(run(&client(), engine.address(), "r1", &job("late")).1);
    assert_eq!((failed.fault, failed.spent_tokens), (JobFault::Overloaded, 0));
}

#[test]
fn absent_engine() {
    let engine = quick_engine();
    let address = engine.address();
    engine.control().kill();
    let failed = failed(run(&client(), address, "r1", &job("late")).1);
    assert_eq!((failed.fault, failed.spent_tokens), (JobFault::NotSent, 0));
}

#[test]
fn crashing_prompt() {
    let engine = quick_engine();
    let failed = failed(run(&client(), engine.address(), "r1", &job("read [[crash]] please")).1);
    assert_eq!(failed.fault, JobFault::Died);
}

#[test]
fn restarted_engine() {
    let client = client();
    let engine = quick_engine();
    let address = engine.address();
    block_on(client.load(address)).unwrap();
    drop(engine);
    // Another start takes the address and knows nothing of the turn, as after a crash that was healed quickly.
    let options = EngineOptions { listen: address, ..EngineOptions::default() };
    let engine = loop {
        match EngineStandin::start(&SPAWNER, options.clone()) {
            Ok(engine) => break engine,
            Err(_) => std::thread::sleep(Duration::from_millis(1)),
        }
    };
    engine.control().set_faults(EngineFaults { close_next: 1, ..EngineFaults::default() });
    let failed = failed(run(&client, address, "r1", &job("lost on the way")).1);
    assert_eq!(failed.fault, JobFault::Died);
}

#[test]
fn silent_engine() {
    let listener = std::net::TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let failed = failed(run(&client(), address, "r1", &job("into the void")).1);
    assert_eq!(failed.fault, JobFault::Broken, "it ends long before its deadline: {}", failed.detail);
}

#[test]
fn slow_first_token() {
    let mut options = EngineOptions::default();
    options.batch.step_us = 800_000;
    let engine = EngineStandin::start(&SPAWNER, options).unwrap();
    let job = job("slow answer_tokens=1");
    let end = run(&client(), engine.address(), "r1", &job).1;
    assert_eq!(done(end).usage.completion_tokens, 1, "an engine that answers its load is waited for");
}

#[test]
fn missed_deadline() {
    let engine = quick_engine();
    let mut job = job("answer_tokens=100000");
    job.max_tokens = 100_000;
    job.deadline_ms = 100;
    let failed = failed(run(&client(), engine.address(), "r1", &job).1);
    assert_eq!(failed.fault, JobFault::TooLate);
    assert_eq!(engine.control().inside_count(), 0, "a turn that is given up is cancelled");
}

#[test]
fn cancelled_turn() {
    let engine = quick_engine();
    let client = client();
    let address = engine.address();
    let job = job("answer_tokens=5000");
    let cancel = async {
        while engine.control().counts().completion_tokens < 5 {
            Timer::after(Duration::from_millis(1)).await;
        }
        client.cancel(address, "r1").await.unwrap()
    };
    let mut end = None;
    let run = client.run(address, "r1", &job, |event| end = Some(event));
    let (_, tokens) = block_on(futures_lite::future::zip(run, cancel));
    let failed = failed(end.unwrap());
    assert_eq!(failed.fault, JobFault::Cancelled);
    assert!(tokens >= 5 && failed.spent_tokens > tokens);
    assert_eq!(engine.control().inside_count(), 0);
}

#[test]
fn cancelled_early() {
    // The engine has not even taken the turn, and never will.
    let listener = std::net::TcpListener::bind(own_address()).unwrap();
    let address = listener.local_addr().unwrap();
    let client = EngineClient::new(EngineClientSettings::default());
    let job = job("into the void");
    let mut end = None;
    let run = client.run(address, "r1", &job, |event| end = Some(event));
    let cancel = async {
        let _ = listener.accept().unwrap();
        client.cancel(address, "r1").await
    };
    let (_, cancelled) = block_on(futures_lite::future::zip(run, cancel));
    assert!(cancelled.is_err(), "a silent engine confirms nothing: {cancelled:?}");
    assert_eq!(failed(end.unwrap()).fault, JobFault::Cancelled);
}

#[test]
fn hang_up() {
    let engine = quick_engine();
    let client = client();
    let address = engine.address();
    let mut job = job("answer_tokens=100000");
    job.max_tokens = 100_000;
    block_on(async {
        let mut first = false;
        let run = client.run(address, "r1", &job, |_| first = true);
        let seen = async {
            while engine.control().counts().completion_tokens < 5 {
                Timer::after(Duration::from_millis(1)).await;
            }
        };
        futures_lite::future::or(run, seen).await;
        while engine.control().counts().cancelled == 0 {
            Timer::after(Duration::from_millis(1)).await;
        }
    });
    assert_eq!(engine.control().inside_count(), 0);
}

#[test]
fn released_cache() {
    let engine = quick_engine();
    let other = quick_engine();
    let client = client();
    let (address, other_address) = (engine.address(), other.address());
    done(run(&client, address, "r1", &job("hold this")).1);
    block_on(async {
        let holds = client.holds(address).await.unwrap();
        assert_eq!(holds.len(), 1);
        let export = client.export(address, "p1").await.unwrap();
        assert_eq!(client.import(other_address, address, &export.handle, "p1").await, Ok(holds[0].tokens));
        assert_eq!(client.release(address, "p1").await, Ok(holds[0].tokens));
        assert_eq!(client.release(address, "p1").await, Ok(0));
        assert!(client.holds(address).await.unwrap().is_empty());
        assert_eq!(client.holds(other_address).await.unwrap(), holds);
    });
}

#[test]
fn cache_news() {
    let engine = quick_engine();
    let client = client();
    done(run(&client, engine.address(), "r1", &job("tell of this")).1);
    block_on(async {
        let page = client.cache_events(engine.address(), 0, 5_000).await.unwrap();
        assert!(!page.events.is_empty() && !page.has_gap(0));
        assert!(page.has_gap(page.next + 1), "an engine that counts anew shows as a gap");
    });
}

#[test_case(true; "checked")]
#[test_case(false; "ignored")]
fn fenced_order(checks_fencing: bool) {
    let options = EngineOptions { listen: own_address(), checks_fencing, ..EngineOptions::default() };
    let engine = EngineStandin::start(&SPAWNER, options).expect("the engine answers");
    let client = client();
    let address = engine.address();
    let wanted = EngineState { models: vec!["reader".to_owned()], ..EngineState::default() };
    block_on(async {
        assert_eq!(client.order(address, 5, &wanted).await.as_ref(), Ok(&wanted));
        let older = EngineState { role: "prefill".to_owned(), ..EngineState::default() };
        let ordered = client.order(address, 4, &older).await;
        let orders = client.state(address).await.expect("the engine answers");
        if checks_fencing {
            assert_eq!(ordered, Err(EngineError::OldFence { fence: 5 }));
            assert_eq!((orders.fence, orders.state), (5, wanted));
        } else {
            assert_eq!(ordered, Ok(older.clone()));
            assert_eq!((orders.fence, orders.state), (4, older));
        }
    });
}
