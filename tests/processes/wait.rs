use std::time::Duration;

use super::caller::Answer;

/// pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);

/// runs `attempt` until it gives a value; panics after `tries` tries.
pub fn until<T>(what: &str, tries: u32, mut attempt: impl FnMut() -> Option<T>) -> T {
    for _ in 0..tries {
        if let Some(value) = attempt() {
            return value;
        }
        std::thread::sleep(PAUSE);
    }
    panic!("gave up waiting: {what}");
}

/// asks until a request is served, and prints the answers on the way; `None` after `tries` tries.
pub fn until_served(tries: u32, ask: impl Fn() -> Answer) -> Option<Answer> {
    let mut last = None;
    for _ in 0..tries {
        let answer = ask();
        if answer.status != 0 && answer.status != 503 && answer.body["state"] != "not_run" {
            return Some(answer);
        }
        if last.as_ref() != Some(&answer) {
            println!("not served yet: {answer:?}");
        }
        last = Some(answer);
        std::thread::sleep(PAUSE);
    }
    None
}
