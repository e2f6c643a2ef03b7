//! Playing of recorded traces of programs, and what came of them.

use std::{path::Path, sync::Arc, time::Duration};

use futures::{FutureExt, future::BoxFuture};
use gg_protocol::clock::wall_ms;
use serde::{Deserialize, Serialize};
use tokio::{task::JoinSet, time};

use crate::{CallerClient, Told};

/// One recorded program.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProgramShape {
    /// Arrival, in ms from the start of the trace.
    pub at_ms: u64,
    /// Customer.
    pub customer: String,
    /// Profile.
    pub profile: String,
    /// Whole-program target that its outcome is judged by, in ms.
    pub target_ms: u64,
    /// Turns, one after the other.
    pub turns: Vec<TurnShape>,
}

/// One recorded turn.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TurnShape {
    /// Prompt tokens that the turn adds.
    pub prompt: u64,
    /// Tokens to generate.
    pub generate: u64,
    /// Pause after the turn, as for a tool, in ms.
    pub pause_ms: u64,
    /// Calls the service `orders` instead of a model.
    pub service: bool,
    /// Sub-agents started after the turn, each with these turns.
    pub agents: Vec<Vec<TurnShape>>,
}

/// What came of one program.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Its profile.
    pub profile: String,
    /// Its customer.
    pub customer: String,
    /// Arrival, in ms from the start of the trace.
    pub at_ms: u64,
    /// Time from arrival to end, in ms.
    pub took_ms: u64,
    /// Whether it finished within its target.
    pub in_target: bool,
    /// Finished turns, those of sub-agents included.
    pub turns: u32,
    /// Wall times of their ends, in ms.
    #[serde(skip)]
    pub ends_ms: Vec<u64>,
    /// Why it did not finish; empty if it did.
    pub failed: String,
    /// Whether it was refused at its start.
    pub refused: bool,
    /// Prompt tokens that engines had to compute if each token of history is
    /// computed once.
    pub ideal_tokens: u64,
    /// Requests that were answered with a time to come back.
    pub retries: u32,
}

/// Reads a trace: one JSON object a line.
pub fn shapes(path: &Path) -> Vec<ProgramShape> {
    let text = std::fs::read_to_string(path).unwrap_or_else(|err| panic!("{path:?}: {err}"));
    let lines = text.lines().filter(|line| !line.trim().is_empty());
    lines.map(|line| serde_json::from_str(line).expect("a line of the trace")).collect()
}

/// Plays a trace in real time and waits for all its programs.
pub async fn play(callers: &[(String, CallerClient)], shapes: Vec<ProgramShape>) -> Vec<Outcome> {
    let began = time::Instant::now();
    let mut programs = JoinSet::new();
    for shape in shapes {
        let caller = callers.iter().find(|(name, _)| *name == shape.customer);
        let Some((_, caller)) = caller else { continue };
        let caller = caller.clone();
        let at = began + Duration::from_millis(shape.at_ms);
        programs.spawn(async move {
            time::sleep_until(at).await;
            run(caller, shape).await
        });
    }
    let mut outcomes = programs.join_all().await;
    outcomes.sort_by_key(|outcome| outcome.at_ms);
    outcomes
}

async fn run(caller: CallerClient, shape: ProgramShape) -> Outcome {
    let began = time::Instant::now();
    let mut outcome = Outcome {
        profile: shape.profile.clone(),
        customer: shape.customer.clone(),
        at_ms: shape.at_ms,
        took_ms: 0,
        in_target: false,
        turns: 0,
        ends_ms: Vec::new(),
        failed: String::new(),
        refused: false,
        ideal_tokens: 0,
        retries: 0,
    };
    match caller.start(&shape.profile, None).await {
        Err(told) => {
            outcome.refused = true;
            outcome.failed = describe(&told);
        }
        Ok(program) => {
            let shape_turns = Arc::new(shape.turns.clone());
            let part = turns(caller.clone(), program.clone(), shape.profile, shape_turns).await;
            outcome.turns = part.turns;
            outcome.ends_ms = part.ends_ms;
            outcome.ideal_tokens = part.tokens;
            outcome.failed = part.failed;
            outcome.retries = part.retries;
            let _ = caller.end(&program).await;
        }
    }
    outcome.took_ms = began.elapsed().as_millis() as u64;
    outcome.in_target = outcome.failed.is_empty() && outcome.took_ms <= shape.target_ms;
    outcome
}

#[derive(Debug, Default)]
struct Part {
    turns: u32,
    tokens: u64,
    failed: String,
    retries: u32,
    ends_ms: Vec<u64>,
}

/// Carries out the turns of one program, and of its sub-agents.
async fn turns(
    caller: CallerClient,
    program: String,
    profile: String,
    shapes: Arc<Vec<TurnShape>>,
) -> Part {
    let mut part = Part::default();
    for (number, shape) in shapes.iter().enumerate() {
        let number = number as u32;
        match one_turn(&caller, &program, number, shape, &mut part).await {
            Ok(()) => {
                part.turns += 1;
                part.ends_ms.push(wall_ms());
            }
            Err(failed) => {
                part.failed = failed;
                return part;
            }
        }
        let mut agents = JoinSet::new();
        for agent in &shape.agents {
            let (caller, parent) = (caller.clone(), program.clone());
            let (profile, agent) = (profile.clone(), Arc::new(agent.clone()));
            agents.spawn(async move { sub_agent(caller, parent, profile, agent).await });
        }
        for agent in agents.join_all().await {
            part.turns += agent.turns;
            part.tokens += agent.tokens;
            part.retries += agent.retries;
            part.ends_ms.extend(agent.ends_ms);
            if part.failed.is_empty() {
                part.failed = agent.failed;
            }
        }
        if !part.failed.is_empty() {
            return part;
        }
        time::sleep(Duration::from_millis(shape.pause_ms)).await;
    }
    part
}

async fn sub_agent(
    caller: CallerClient,
    parent: String,
    profile: String,
    shapes: Arc<Vec<TurnShape>>,
) -> Part {
    match caller.start(&profile, Some(&parent)).await {
        Err(told) => Part { failed: describe(&told), ..Part::default() },
        Ok(program) => {
            let part = nested(caller.clone(), program.clone(), profile, shapes).await;
            let _ = caller.end(&program).await;
            part
        }
    }
}

/// As [`turns`], for the turns of a sub-agent.
fn nested(
    caller: CallerClient,
    program: String,
    profile: String,
    shapes: Arc<Vec<TurnShape>>,
) -> BoxFuture<'static, Part> {
    turns(caller, program, profile, shapes).boxed()
}

/// Tries of one turn before its program counts as failed.
const TRIES_MAX: u32 = 20;

/// Sends a turn, again when told to come back.
async fn one_turn(
    caller: &CallerClient,
    program: &str,
    number: u32,
    shape: &TurnShape,
    part: &mut Part,
) -> Result<(), String> {
    for _ in 0..TRIES_MAX {
        let told = match shape.service {
            true => {
                let action = format!("action-{program}-{number}");
                caller.service(program, number, "orders", &action).await
            }
            false => {
                let content = prompt(program, number, shape.prompt);
                caller.turn(program, number, &content, shape.generate).await
            }
        };
        match told {
            Told::Done(_) => {
                if !shape.service {
                    part.tokens += ideal_tokens(shape);
                }
                return Ok(());
            }
            Told::Refused { retry_after: Some(seconds), .. } => {
                part.retries += 1;
                time::sleep(Duration::from_secs_f64(seconds.min(5.0))).await;
            }
            Told::Broken(_) => {
                part.retries += 1;
                time::sleep(Duration::from_millis(100)).await;
            }
            told @ Told::Refused { .. } => return Err(describe(&told)),
        }
    }
    Err("too many tries".into())
}

/// Prompt tokens that a turn adds: its own message, and its answer, which
/// the next turn's prompt holds.
fn ideal_tokens(shape: &TurnShape) -> u64 {
    shape.prompt.max(PROMPT_MIN / 4) + 1 + 1
}

/// Least length of a prompt, in bytes.
const PROMPT_MIN: u64 = 16;

/// A prompt of about `tokens` tokens that no other turn shares.
fn prompt(program: &str, number: u32, tokens: u64) -> String {
    let mut text = format!("ask {program} {number} ");
    let bytes = tokens as usize * 4;
    while text.len() < bytes {
        text.push_str("glue and host families ");
    }
    text.truncate(bytes.max(PROMPT_MIN as usize));
    text
}

fn describe(told: &Told) -> String {
    match told {
        Told::Done(_) => String::new(),
        Told::Refused { code, .. } => code.clone(),
        Told::Broken(text) => format!("broken: {text}"),
    }
}
