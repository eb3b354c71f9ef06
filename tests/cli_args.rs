//! both command lines: what they parse to, how they refuse, and their exit codes.

use std::ffi::OsStr;
use std::path::PathBuf;
use std::process::Command as Process;
use std::process::Output;

use flamingostand::cli::Command;
use flamingostand::cli::CtlCommand;
use flamingostand::cli::ExitStatus;
use flamingostand::cli::KeySource;
use flamingostand::cli::ReleaseAction;
use flamingostand::cli::flamingoctl_command;
use flamingostand::cli::flamingostand_command;
use test_case::test_case;

fn ctl(line: &str) -> Result<CtlCommand, clap::Error> {
    CtlCommand::parse(line.split_whitespace()).map(|(_, command)| command)
}

#[test]
fn well_formed() {
    flamingostand_command().debug_assert();
    flamingoctl_command().debug_assert();
}

#[test_case("flamingostand run a.json", Command::Run { settings: "a.json".into() }; "run")]
#[test_case("flamingostand check a.json", Command::Check { settings: "a.json".into(), node: false }; "check")]
#[test_case("flamingostand check --node a.json", Command::Check { settings: "a.json".into(), node: true }; "check node")]
#[test_case("flamingostand node a.json", Command::Node { settings: "a.json".into() }; "node")]
#[test_case("flamingostand quickstart --once", Command::Quickstart { once: true }; "quickstart")]
#[test_case("flamingostand example-settings", Command::ExampleSettings; "example settings")]
fn daemon_commands(line: &str, expected: Command) {
    assert_eq!(Command::parse(line.split_whitespace()).expect("parses"), expected);
}

#[test_case("flamingoctl instances", CtlCommand::Instances; "instances")]
#[test_case("flamingoctl programs --workspace w --limit 7",
    CtlCommand::Programs { workspace: Some("w".to_owned()), limit: 7 }; "programs")]
#[test_case("flamingoctl release accept n.json",
    CtlCommand::Release(ReleaseAction::Accept { file: "n.json".into() }); "accept")]
#[test_case("flamingoctl release history", CtlCommand::Release(ReleaseAction::History { limit: 20 }); "history")]
#[test_case("flamingoctl timeline --subject 4",
    CtlCommand::Timeline { program: None, subject: Some("4".to_owned()), limit: 200 }; "timeline")]
#[test_case("flamingoctl poison lift abc", CtlCommand::PoisonLift { digest: "abc".to_owned() }; "lift")]
fn ctl_commands(line: &str, expected: CtlCommand) {
    assert_eq!(ctl(line).expect("parses"), expected);
}

#[test_case("flamingoctl --server 10.0.0.1:9 --json instances"; "before")]
#[test_case("flamingoctl instances --json --server 10.0.0.1:9"; "after")]
fn global_options(line: &str) {
    let (options, _) = CtlCommand::parse(line.split_whitespace()).expect("parses");
    assert!(options.json);
    assert_eq!(options.server.port(), 9);
    assert_eq!(options.key, KeySource::Environment);
}

#[test_case("flamingoctl"; "no command")]
#[test_case("flamingoctl release"; "no subcommand")]
#[test_case("flamingoctl drain"; "no instance")]
#[test_case("flamingoctl --server here instances"; "bad address")]
#[test_case("flamingoctl timeline --limit 0"; "bad limit")]
#[test_case("flamingoctl completions csh"; "unknown shell")]
fn wrong_usage(line: &str) {
    let error = ctl(line).expect_err("wrong usage");
    assert_eq!(error.exit_code(), i32::from(ExitStatus::Usage.code()));
}

fn flamingoctl<S: AsRef<OsStr>>(arguments: &[S]) -> Output {
    let mut process = Process::new(env!("CARGO_BIN_EXE_flamingoctl"));
    process.args(arguments).env_remove("FLAMINGOCTL_KEY").output().expect("the program runs")
}

#[test_case(&["--help"], 0; "help")]
#[test_case(&["completions", "bash"], 0; "completions")]
#[test_case(&["instances"], 1; "no key")]
#[test_case(&["bogus"], 2; "usage")]
#[test_case(&["release", "check", "/nonexistent"], 1; "no file")]
fn exit_codes(arguments: &[&str], code: i32) {
    assert_eq!(flamingoctl(arguments).status.code(), Some(code));
}

#[test]
fn server_away() {
    // Port 1 of loopback has no listener.
    let key = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("cli_args.key");
    std::fs::write(&key, "secret\n").expect("a key file");
    let arguments =
        [OsStr::new("--server"), OsStr::new("127.0.0.1:1"), OsStr::new("--key-file"), key.as_os_str()];
    let output = flamingoctl(&[&arguments[..], &[OsStr::new("instances")]].concat());
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("does not answer"));
}

fn flamingostand<S: AsRef<OsStr>>(arguments: &[S]) -> Output {
    Process::new(env!("CARGO_BIN_EXE_flamingostand")).args(arguments).output().expect("the program runs")
}

/// the printed example passes the check; a faulty file is reported whole, with lines.
#[test]
fn settings_check() {
    let example = flamingostand(&["example-settings"]);
    assert_eq!(example.status.code(), Some(0));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("cli_args.json");
    std::fs::write(&path, &example.stdout).expect("a file");
    let check = [OsStr::new("check"), path.as_os_str()];
    assert_eq!(flamingostand(&check).status.code(), Some(0));
    let text = String::from_utf8(example.stdout).expect("text");
    let faulty = text.replace("127.0.0.1:7401", "nowhere").replace("\"thread_count\": 2", "\"threads\": 2");
    std::fs::write(&path, faulty).expect("a file");
    let output = flamingostand(&check);
    assert_eq!(output.status.code(), Some(1));
    let report = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(report.contains("/threads: this key is not known here"), "{report}");
    assert!(report.contains("/listen/callers: `nowhere` is not an IP address"), "{report}");
}

#[test]
fn help_text() {
    let text = flamingoctl_command().render_long_help().to_string();
    for part in ["Exit codes:", "FLAMINGOCTL_KEY", "release", "hash-key"] {
        assert!(text.contains(part), "{part}");
    }
    assert!(text.lines().all(|line| line.len() <= 120));
}
