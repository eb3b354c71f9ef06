//! the estimate of the wait follows the work that the engine does, not the ends of turns.

#![allow(clippy::unwrap_used)]

use flamingostand::dispatch::DispatchAction;
use flamingostand::dispatch::DispatchInput;
use flamingostand::dispatch::Dispatcher;
use flamingostand::dispatch::Replica;
use flamingostand::schema::DispatchSettings;
use flamingostand::schema::JobDone;
use flamingostand::schema::JobEvent;
use flamingostand::schema::Token;
use flamingostand::schema::TurnJob;
use flamingostand::schema::Usage;

fn submit(dispatcher: &mut Dispatcher, now_ms: u64, ticket: u64) -> Vec<DispatchAction> {
    let job = TurnJob {
        attempt: 1,
        cached_tokens: 0,
        content_digest: String::new(),
        deadline_ms: 86_400_000,
        max_tokens: 256,
        messages: Vec::new(),
        model: "m".to_string(),
        program: format!("p{ticket}"),
        program_service_tokens: 0,
        prompt_tokens: 100,
        replica: "a".to_string(),
        turn: 1,
        waited_ms: 0,
        workspace: format!("w{}", ticket % 2),
    };
    dispatcher.handle(now_ms, DispatchInput::Submit { ticket, job: Box::new(job) })
}

fn refused(actions: &[DispatchAction]) -> bool {
    actions.iter().any(|action| matches!(action, DispatchAction::Event { event: JobEvent::Failed(_), .. }))
}

#[test]
fn short_ends_do_not_refuse() {
    let settings = DispatchSettings { initial_window: 4, max_window: 4, ..DispatchSettings::default() };
    let mut dispatcher = Dispatcher::new(&settings);
    let replica = Replica {
        name: "a".to_string(),
        model: "m".to_string(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".to_string(),
        leaving: false,
    };
    dispatcher.handle(0, DispatchInput::Replicas(vec![replica]));
    let mut running = Vec::new();
    let mut next_ticket = 0;
    for now_ms in (0..20_000).step_by(20) {
        while dispatcher.turn_count() < 14 {
            let actions = submit(&mut dispatcher, now_ms, next_ticket);
            assert!(!refused(&actions), "turn {next_ticket} refused at {now_ms} ms");
            running.extend(started(&actions));
            next_ticket += 1;
        }
        for ticket in running.clone() {
            let event = JobEvent::Token(Token { text: String::new() });
            dispatcher.handle(now_ms, DispatchInput::EngineEvent { ticket, event });
        }
        if now_ms % 1_000 == 980 {
            let ticket = running.remove(0);
            let usage = Usage { prompt_tokens: 100, cached_tokens: 100, completion_tokens: 10 };
            let done =
                JobDone { finish_reason: String::new(), text: String::new(), tool_calls: Vec::new(), usage };
            let event = JobEvent::Done(done);
            running.extend(started(&dispatcher.handle(now_ms, DispatchInput::EngineEvent { ticket, event })));
        }
        running.extend(started(&dispatcher.handle(now_ms, DispatchInput::Tick)));
    }
}

fn started(actions: &[DispatchAction]) -> Vec<u64> {
    let mut tickets = Vec::new();
    for action in actions {
        if let DispatchAction::Start { ticket, .. } = action {
            tickets.push(*ticket);
        }
    }
    tickets
}
