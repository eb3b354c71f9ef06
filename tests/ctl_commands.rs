//! flamingoctl's commands against a scripted administration API.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;

use async_io::Async;
use datadriven::TestCase;
use flamingo_edge::Incoming;
use flamingo_edge::ServerLimits;
use flamingo_edge::Spawner;
use flamingostand::cli::CtlCommand;
use flamingostand::clock::format_utc;
use flamingostand::ctl;
use flamingostand::ctl::hash_key;
use http_types::Response;
use http_types::StatusCode;
use test_case::test_case;

/// what the server answers next, and what it was asked.
#[derive(Clone, Default)]
struct Script {
    reply: Arc<Mutex<(u16, String)>>,
    asked: Arc<Mutex<Vec<String>>>,
}

impl Script {
    async fn answer(self, mut incoming: Incoming) -> Response {
        let body = incoming.body().await.unwrap_or_default();
        let request = &incoming.request;
        let key = request.header("authorization").map(|value| value.as_str().to_owned()).unwrap_or_default();
        let query = request.url().query().map(|query| format!("?{query}")).unwrap_or_default();
        let line = format!(
            "{} {}{query} [{key}] {}",
            request.method(),
            request.url().path(),
            String::from_utf8_lossy(&body)
        );
        self.asked.lock().expect("lock").push(line.trim_end().to_owned());
        let (status, text) = self.reply.lock().expect("lock").clone();
        let mut response = Response::new(StatusCode::try_from(status).expect("a status"));
        response.set_body(text.as_str());
        response
    }
}

fn start(spawner: &Spawner, script: &Script) -> SocketAddr {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let limits = ServerLimits {
        head_timeout_ms: 5_000,
        body_timeout_ms: 5_000,
        max_body_bytes: 1 << 20,
        max_connections: 16,
    };
    let script = script.clone();
    let handler = move |incoming| script.clone().answer(incoming);
    spawner.detach(flamingo_edge::serve(listener, spawner.clone(), limits, handler));
    address
}

/// runs one command line; the scripted reply is the input of the case.
fn case(case: &TestCase, server: SocketAddr, script: &Script) -> String {
    if case.directive == "note" {
        std::fs::write(note_path(), &case.input).expect("the note is written");
        return String::new();
    }
    let status = case.args.get("status").map_or("200", |values| values[0].as_str());
    *script.reply.lock().expect("lock") = (status.parse().expect("a status"), case.input.clone());
    script.asked.lock().expect("lock").clear();
    let key = note_path().with_extension("key");
    std::fs::write(&key, "secret\n").expect("a key file");
    let mut words =
        vec!["flamingoctl".to_owned(), format!("--server={server}"), format!("--key-file={}", key.display())];
    for word in &case.args["line"] {
        words.push(word.replace("NOTE", &note_path().display().to_string()));
    }
    for option in ["limit", "program", "json"] {
        let Some(values) = case.args.get(option) else {
            continue;
        };
        words.push(format!("--{option}"));
        words.extend(values.iter().cloned());
    }
    let (options, command) = CtlCommand::parse(&words).expect("the line parses");
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = async_io::block_on(ctl::run(&options, &command, &mut out, &mut err)).expect("it prints");
    let mut text = String::new();
    for asked in script.asked.lock().expect("lock").iter() {
        text.push_str(&format!("> {asked}\n"));
    }
    text.push_str(&String::from_utf8(out).expect("text"));
    text.push_str(&String::from_utf8(err).expect("text"));
    text.push_str(&format!("exit {}\n", exit.code()));
    text.replace(&note_path().display().to_string(), "NOTE")
}

fn note_path() -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("ctl_commands.json")
}

#[test]
fn scripted_server() {
    let spawner = Spawner::start(1);
    let script = Script::default();
    let server = start(&spawner, &script);
    datadriven::walk("tests/scenarios/ctl", |file| {
        file.run(|test| case(test, server, &script));
    });
}

#[test_case(0, "1970-01-01 00:00:00.000"; "epoch")]
#[test_case(951_782_400_000, "2000-02-29 00:00:00.000"; "leap day")]
#[test_case(1_796_342_400_123, "2026-12-04 00:00:00.123"; "plain day")]
#[test_case(4_107_542_399_999, "2100-02-28 23:59:59.999"; "no leap day")]
fn utc_times(unix_ms: u64, text: &str) {
    assert_eq!(format_utc(unix_ms), text);
}

#[test]
fn key_hashes() {
    let known = "6437b3ac38465133ffb63b75273a8db548c558465d79db03fd359c6cd5bd9d85";
    assert_eq!(hash_key("abc\n").as_deref(), Some(known));
    assert_eq!(hash_key(" abc ").as_deref(), Some(known));
    assert_eq!(hash_key(" \n"), None);
}
