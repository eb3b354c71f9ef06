use crate::quickstart::visitor::TurnSeen;
use crate::schema::TimelineEvent;
use crate::timeline::HybridClock;

/// characters of an answer that are printed.
const SHOWN_CHARS: usize = 72;

/// what one program of the quickstart did.
pub(crate) struct ProgramReport {
    pub(crate) title: String,
    pub(crate) program: String,
    pub(crate) turns: Vec<TurnSeen>,
    pub(crate) latency_ms: u64,
    pub(crate) pause_ms: u64,
    pub(crate) notes: Vec<String>,
    /// what did not go as promised.
    pub(crate) faults: Vec<String>,
}

impl ProgramReport {
    /// prints answers, program latency and the cached share of the prompts.
    pub(crate) fn print(&self) {
        println!("\n{}  ({})", self.title, self.program);
        for turn in &self.turns {
            let shown: String = turn.text.chars().take(SHOWN_CHARS).collect();
            println!("  turn {}: {shown}", turn.turn);
        }
        for note in &self.notes {
            println!("  {note}");
        }
        let prompt_tokens: u64 = self.turns.iter().map(|turn| turn.prompt_tokens).sum();
        let cached_tokens: u64 = self.turns.iter().map(|turn| turn.cached_tokens).sum();
        let share = 100.0 * cached_tokens as f64 / prompt_tokens.max(1) as f64;
        println!(
            "  program latency {} ms, of which {} ms pauses; cached share of prompts {share:.0} % ({cached_tokens} of {prompt_tokens} tokens)",
            self.latency_ms, self.pause_ms
        );
        for fault in &self.faults {
            println!("  NOT AS PROMISED: {fault}");
        }
    }
}

/// prints a time line, times relative to its first event.
pub(crate) fn print_timeline(events: &[TimelineEvent]) {
    println!("\nTime line of the first program over all instances");
    let start_ms = events.first().map_or(0, |event| HybridClock::unix_ms(event.at));
    for event in events {
        let at_ms = HybridClock::unix_ms(event.at) - start_ms;
        println!("  {at_ms:>6} ms  {:<8}  {:<16}  {}", event.instance, event.what, event.detail);
    }
}
