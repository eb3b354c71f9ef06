//! turns through the dispatcher: starts, refusals, cancellation, draining.

#![allow(clippy::unwrap_used)]

use flamingostand::dispatch::DispatchAction;
use flamingostand::dispatch::DispatchInput;
use flamingostand::dispatch::Dispatcher;
use flamingostand::dispatch::Replica;
use flamingostand::dispatch::WorkspaceWeight;
use flamingostand::schema::DispatchSettings;
use flamingostand::schema::JobDone;
use flamingostand::schema::JobEvent;
use flamingostand::schema::JobFailed;
use flamingostand::schema::Token;
use flamingostand::schema::TurnJob;
use flamingostand::schema::Usage;

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios/dispatch", |file| {
        let mut dispatcher = Dispatcher::new(&DispatchSettings::default());
        let mut now_ms = 0;
        file.run(|case| {
            let mut args = Args(case.args.clone());
            now_ms = args.number("at", now_ms);
            if case.directive == "settings" {
                let window = args.number("window", 16) as u32;
                let settings = DispatchSettings {
                    initial_window: window,
                    max_window: window,
                    max_queue_ms: args.number("max_queue_ms", 30_000),
                    ..DispatchSettings::default()
                };
                dispatcher = Dispatcher::new(&settings);
                return String::new();
            }
            let count = args.number("count", 1);
            let input = input(&case.directive, &mut args);
            for _ in 1..count {
                dispatcher.handle(now_ms, input.clone());
            }
            let actions = dispatcher.handle(now_ms, input);
            actions.iter().map(describe).collect::<String>()
        });
    });
}

struct Args(std::collections::HashMap<String, Vec<String>>);

impl Args {
    fn list(&mut self, name: &str) -> Vec<String> {
        self.0.remove(name).unwrap_or_default()
    }

    fn text(&mut self, name: &str, default: &str) -> String {
        self.list(name).pop().unwrap_or_else(|| default.to_string())
    }

    fn number(&mut self, name: &str, default: u64) -> u64 {
        self.list(name).pop().map_or(default, |text| text.parse().unwrap())
    }
}

fn input(directive: &str, args: &mut Args) -> DispatchInput {
    let ticket = args.number("ticket", 0);
    match directive {
        "replicas" => {
            let leaving = args.list("leaving");
            let names = args.list("names");
            DispatchInput::Replicas(names.iter().map(|name| replica(name, leaving.contains(name))).collect())
        }
        "share" => {
            let weight = args.number("weight", 100) as u32;
            DispatchInput::Weights(vec![WorkspaceWeight { workspace: args.text("workspace", "w"), weight }])
        }
        "submit" => DispatchInput::Submit { ticket, job: Box::new(job(args)) },
        "cancel" => DispatchInput::Cancel { ticket },
        "token" => {
            DispatchInput::EngineEvent { ticket, event: JobEvent::Token(Token { text: "a".to_string() }) }
        }
        "done" => DispatchInput::EngineEvent { ticket, event: JobEvent::Done(done(args)) },
        "fail" => DispatchInput::EngineEvent {
            ticket,
            event: JobEvent::Failed(JobFailed {
                fault: args.text("fault", "died").parse().unwrap(),
                detail: String::new(),
                spent_tokens: 0,
                retry_after_ms: None,
            }),
        },
        "tick" => DispatchInput::Tick,
        other => panic!("unknown directive {other}"),
    }
}

fn replica(name: &str, leaving: bool) -> Replica {
    Replica {
        name: name.to_string(),
        model: "m".to_string(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".to_string(),
        leaving,
    }
}

fn job(args: &mut Args) -> TurnJob {
    TurnJob {
        attempt: 1,
        cached_tokens: args.number("cached", 0),
        content_digest: String::new(),
        deadline_ms: args.number("deadline_ms", 86_400_000),
        max_tokens: args.number("max", 100),
        messages: Vec::new(),
        model: "m".to_string(),
        program: args.text("program", "p"),
        program_service_tokens: args.number("served", 0),
        prompt_tokens: args.number("prompt", 100),
        replica: args.text("replica", "a"),
        turn: 1,
        waited_ms: args.number("waited_ms", 0),
        workspace: args.text("workspace", "w"),
    }
}

fn done(args: &mut Args) -> JobDone {
    JobDone {
        finish_reason: "stop".to_string(),
        text: String::new(),
        tool_calls: Vec::new(),
        usage: Usage {
            prompt_tokens: args.number("prompt", 100),
            cached_tokens: args.number("cached", 0),
            completion_tokens: args.number("completion", 10),
        },
    }
}

fn describe(action: &DispatchAction) -> String {
    match action {
        DispatchAction::Start { ticket, job } => format!("start {ticket} on {}\n", job.replica),
        DispatchAction::Abort { ticket } => format!("abort {ticket}\n"),
        DispatchAction::Event { ticket, event: JobEvent::Token(_) } => format!("token {ticket}\n"),
        DispatchAction::Event { ticket, event: JobEvent::Done(_) } => format!("done {ticket}\n"),
        DispatchAction::Event { ticket, event: JobEvent::Failed(failed) } => {
            let retry = failed.retry_after_ms.map_or(String::new(), |ms| format!(", retry after {ms} ms"));
            format!("failed {ticket}: {}{retry}\n", failed.fault)
        }
        DispatchAction::Loads(loads) => loads
            .iter()
            .map(|load| format!("load {} {}+{}\n", load.replica, load.running, load.queued))
            .collect(),
    }
}
