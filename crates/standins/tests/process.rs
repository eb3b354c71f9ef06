//! the stand-ins as processes.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use test_case::test_case;

/// a stand-in process that ends with the test.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn start(kind: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_standin"));
        let mut child = command
            .args([kind, "--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the test's own step succeeds");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("the test's own step succeeds"))
            .read_line(&mut line)
            .expect("the test's own step succeeds");
        let address = line
            .split_whitespace()
            .last()
            .expect("the test's own step succeeds")
            .parse()
            .expect("the test's own step succeeds");
        assert!(line.starts_with(kind), "{line}");
        Self { child, address }
    }

    fn ask(&self, head: &str, body: &str) -> String {
        let mut stream = TcpStream::connect(self.address).expect("the test's own step succeeds");
        let length = body.len();
        write!(stream, "{head} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-request-id: r1\r\n")
            .expect("the test's own step succeeds");
        write!(stream, "content-length: {length}\r\n\r\n{body}").expect("the test's own step succeeds");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test_case("platform", "GET /v1/instances", "[]"; "platform")]
#[test_case("engine", "GET /v1/load", "\"running\":0"; "engine")]
#[test_case("service", "GET /control/runs", "{}"; "service")]
#[test_case("weights", "GET /v1/weights/reader/1", "content-length: 1048576"; "weights")]
fn first_answer(kind: &str, head: &str, wanted: &str) {
    let answer = Process::start(kind).ask(head, "");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains(wanted), "{answer}");
}

#[test]
fn crashing_prompt() {
    let mut engine = Process::start("engine");
    let body =
        r#"{"model":"m","messages":[{"role":"user","content":"[[crash]]"}],"max_tokens":3,"stream":true}"#;
    let answer = engine.ask("POST /v1/chat/completions", body);
    assert!(!answer.contains("[DONE]"), "{answer}");
    assert_eq!(engine.child.wait().unwrap().code(), Some(1));
}

#[test]
fn wrong_option() {
    let output = Command::new(env!("CARGO_BIN_EXE_standin")).args(["engine", "--steps"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8(output.stderr).unwrap().contains("--steps"));
}
