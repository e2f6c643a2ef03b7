//! Replays recorded traces of programs and collects the outcomes.

use std::{path::Path, sync::Arc, time::Duration};

use futures::{FutureExt, future::BoxFuture};
use gg_protocol::clock::wall_ms;
use serde::{Deserialize, Serialize};
use tokio::{task::JoinSet, time};

use crate::{CallResult, CallerClient};

/// One recorded program.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProgramTrace {
    /// Arrival, in ms from the start of the trace.
    pub at_ms: u64,
    /// Customer.
    pub customer: String,
    /// Profile.
    pub profile: String,
    /// Latency target of the whole program, in ms.
    pub target_ms: u64,
    /// Turns, which run sequentially.
    pub turns: Vec<TurnTrace>,
}

/// One recorded turn.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TurnTrace {
    /// Prompt tokens that the turn adds to the history.
    pub prompt: u64,
    /// Tokens to generate.
    pub generate: u64,
    /// Pause after the turn, as for a tool call, in ms.
    pub pause_ms: u64,
    /// Whether the turn calls the service `orders` instead of a model.
    pub service: bool,
    /// Turns of each sub-agent that starts after the turn.
    pub agents: Vec<Vec<TurnTrace>>,
}

/// Outcome of one program.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Profile of the program.
    pub profile: String,
    /// Customer of the program.
    pub customer: String,
    /// Arrival, in ms from the start of the trace.
    pub at_ms: u64,
    /// Time from arrival to end, in ms.
    pub took_ms: u64,
    /// Whether it finished within its target.
    pub in_target: bool,
    /// Finished turns, including those of sub-agents.
    pub turns: u32,
    /// Wall-clock times at which the turns finished, in ms.
    #[serde(skip)]
    pub ends_ms: Vec<u64>,
    /// Reason why the program did not finish; empty if it finished.
    pub failed: String,
    /// Whether the start of the program was refused.
    pub refused: bool,
    /// Prompt tokens that engines compute if they compute each token of the history
    /// once.
    pub ideal_tokens: u64,
    /// Retried requests, after a refusal with a retry delay or a connection error.
    pub retries: u32,
}

/// Reads a trace file with one JSON object per line.
pub fn read_trace(path: &Path) -> Vec<ProgramTrace> {
    let text = std::fs::read_to_string(path).unwrap_or_else(|err| panic!("{path:?}: {err}"));
    let lines = text.lines().filter(|line| !line.trim().is_empty());
    lines.map(|line| serde_json::from_str(line).expect("invalid line in the trace")).collect()
}

/// Replays a trace in real time and waits for all its programs. Skips programs of
/// customers without a caller.
pub async fn replay(callers: &[(String, CallerClient)], traces: Vec<ProgramTrace>) -> Vec<Outcome> {
    let began = time::Instant::now();
    let mut programs = JoinSet::new();
    for trace in traces {
        let caller = callers.iter().find(|(name, _)| *name == trace.customer);
        let Some((_, caller)) = caller else { continue };
        let caller = caller.clone();
        let at = began + Duration::from_millis(trace.at_ms);
        programs.spawn(async move {
            time::sleep_until(at).await;
            run_program(caller, trace).await
        });
    }
    let mut outcomes = programs.join_all().await;
    outcomes.sort_by_key(|outcome| outcome.at_ms);
    outcomes
}

async fn run_program(caller: CallerClient, trace: ProgramTrace) -> Outcome {
    let began = time::Instant::now();
    let mut outcome = Outcome {
        profile: trace.profile.clone(),
        customer: trace.customer.clone(),
        at_ms: trace.at_ms,
        took_ms: 0,
        in_target: false,
        turns: 0,
        ends_ms: Vec::new(),
        failed: String::new(),
        refused: false,
        ideal_tokens: 0,
        retries: 0,
    };
    match caller.start(&trace.profile, None).await {
        Err(result) => {
            outcome.refused = true;
            outcome.failed = describe(&result);
        }
        Ok(program) => {
            let turn_traces = Arc::new(trace.turns.clone());
            let progress = turns(caller.clone(), program.clone(), trace.profile, turn_traces).await;
            outcome.turns = progress.turns;
            outcome.ends_ms = progress.ends_ms;
            outcome.ideal_tokens = progress.tokens;
            outcome.failed = progress.failed;
            outcome.retries = progress.retries;
            let _ = caller.end(&program).await;
        }
    }
    outcome.took_ms = began.elapsed().as_millis() as u64;
    outcome.in_target = outcome.failed.is_empty() && outcome.took_ms <= trace.target_ms;
    outcome
}

#[derive(Debug, Default)]
struct Progress {
    turns: u32,
    tokens: u64,
    failed: String,
    retries: u32,
    ends_ms: Vec<u64>,
}

/// Runs the turns of one program and of its sub-agents.
async fn turns(
    caller: CallerClient,
    program: String,
    profile: String,
    traces: Arc<Vec<TurnTrace>>,
) -> Progress {
    let mut progress = Progress::default();
    for (number, trace) in traces.iter().enumerate() {
        let number = number as u32;
        match run_turn(&caller, &program, number, trace, &mut progress).await {
            Ok(()) => {
                progress.turns += 1;
                progress.ends_ms.push(wall_ms());
            }
            Err(failed) => {
                progress.failed = failed;
                return progress;
            }
        }
        let mut agents = JoinSet::new();
        for agent in &trace.agents {
            let (caller, parent) = (caller.clone(), program.clone());
            let (profile, agent) = (profile.clone(), Arc::new(agent.clone()));
            agents.spawn(async move { sub_agent(caller, parent, profile, agent).await });
        }
        for agent in agents.join_all().await {
            progress.turns += agent.turns;
            progress.tokens += agent.tokens;
            progress.retries += agent.retries;
            progress.ends_ms.extend(agent.ends_ms);
            if progress.failed.is_empty() {
                progress.failed = agent.failed;
            }
        }
        if !progress.failed.is_empty() {
            return progress;
        }
        time::sleep(Duration::from_millis(trace.pause_ms)).await;
    }
    progress
}

async fn sub_agent(
    caller: CallerClient,
    parent: String,
    profile: String,
    traces: Arc<Vec<TurnTrace>>,
) -> Progress {
    match caller.start(&profile, Some(&parent)).await {
        Err(result) => Progress { failed: describe(&result), ..Progress::default() },
        Ok(program) => {
            let progress = boxed_turns(caller.clone(), program.clone(), profile, traces).await;
            let _ = caller.end(&program).await;
            progress
        }
    }
}

/// As [`turns`], boxed so that it can recurse for sub-agents.
fn boxed_turns(
    caller: CallerClient,
    program: String,
    profile: String,
    traces: Arc<Vec<TurnTrace>>,
) -> BoxFuture<'static, Progress> {
    turns(caller, program, profile, traces).boxed()
}

/// Maximum number of attempts per turn before the program counts as failed.
const ATTEMPTS_MAX: u32 = 20;

/// Sends a turn, and retries it after refusals with a retry delay and connection
/// errors.
async fn run_turn(
    caller: &CallerClient,
    program: &str,
    number: u32,
    trace: &TurnTrace,
    progress: &mut Progress,
) -> Result<(), String> {
    for _ in 0..ATTEMPTS_MAX {
        let result = match trace.service {
            true => {
                let action = format!("action-{program}-{number}");
                caller.service(program, number, "orders", &action).await
            }
            false => {
                let content = prompt(program, number, trace.prompt);
                caller.turn(program, number, &content, trace.generate).await
            }
        };
        match result {
            CallResult::Done(_) => {
                if !trace.service {
                    progress.tokens += ideal_tokens(trace);
                }
                return Ok(());
            }
            CallResult::Refused { retry_after: Some(seconds), .. } => {
                progress.retries += 1;
                time::sleep(Duration::from_secs_f64(seconds.min(5.0))).await;
            }
            CallResult::Disconnected(_) => {
                progress.retries += 1;
                time::sleep(Duration::from_millis(100)).await;
            }
            result @ CallResult::Refused { .. } => return Err(describe(&result)),
        }
    }
    Err("too many attempts".into())
}

/// Prompt tokens that a turn adds: its message with one token of overhead, and the
/// overhead of its answer, which the next turn's prompt contains.
fn ideal_tokens(trace: &TurnTrace) -> u64 {
    trace.prompt.max(PROMPT_MIN_BYTES / 4) + 1 + 1
}

/// Minimum length of a prompt, in bytes.
const PROMPT_MIN_BYTES: u64 = 16;

/// A prompt of about `tokens` tokens that is unique to the turn.
fn prompt(program: &str, number: u32, tokens: u64) -> String {
    let mut text = format!("ask {program} {number} ");
    let bytes = tokens as usize * 4;
    while text.len() < bytes {
        text.push_str("glue and host families ");
    }
    text.truncate(bytes.max(PROMPT_MIN_BYTES as usize));
    text
}

fn describe(result: &CallResult) -> String {
    match result {
        CallResult::Done(_) => String::new(),
        CallResult::Refused { code, .. } => code.clone(),
        CallResult::Disconnected(text) => format!("connection error: {text}"),
    }
}
