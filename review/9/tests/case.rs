//! A program that is stopped in the middle of its turns returns within `retention-s` and
//! spends its budget once more.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use tokio::{task::JoinSet, time};

use crate::{
    Failure, Verdict,
    client::{self, Answer, Turn},
    deployment::{Deployment, RETENTION_S},
    engine::{EVENT_TOKENS, Engine},
    record::Record,
};

/// Tokens that all turns of the program may generate.
const BUDGET: u32 = 1_200;

/// Most tokens of one turn.
const OUTPUT: u32 = 200;

/// Sub-agents that the program starts at a time.
const SUB_AGENTS: usize = 5;

/// More turns than the budget can hold.
const TURNS_MAX: usize = 20;

/// Events of a turn that arrive before the program is stopped, of ten.
const STOPPED_AFTER: u32 = 9;

/// Time from the program's last turn to its return, less than `retention-s`.
const ABSENCE: Duration = Duration::from_secs(RETENTION_S - 3);

/// Traffic starts this long after the machines do.
const LEAD: Duration = Duration::from_secs(10);

/// Time between two events.
const PACE: Duration = Duration::from_millis(60);

pub async fn run(record: &Record, is_disrupted: bool) -> Result<Verdict, Failure> {
    let engines =
        [Engine::start("i-1", "gp-a", PACE).await?, Engine::start("i-2", "gp-b", PACE).await?];
    let entries = engines.each_ref().map(|engine| (engine.name.clone(), engine.entry("app")));
    let started = Instant::now();
    let deployment = Deployment::start(1, 3, 2, &entries).await?;
    record.line("all gateways are ready");
    time::sleep(LEAD.saturating_sub(started.elapsed())).await;
    let leaves_after = is_disrupted.then_some(STOPPED_AFTER);
    let mut tokens = 0;
    tokens += start_wave(record, &deployment, 0, leaves_after).await?;
    tokens += spend(record, &deployment, "last", leaves_after).await?;
    let stopped = Instant::now();
    record.line(&format!("the program is gone; it got {tokens} of {BUDGET} tokens"));
    time::sleep(ABSENCE.saturating_sub(stopped.elapsed())).await;
    record.line(&format!("the program is back after {:.1} s", stopped.elapsed().as_secs_f64()));
    tokens += start_wave(record, &deployment, 1, None).await?;
    tokens += spend(record, &deployment, "back", None).await?;
    for engine in &engines {
        for run in engine.runs() {
            record.line(&format!(
                "{} ran {}: {} events, whole {}",
                engine.name, run.id, run.events, run.is_whole
            ));
        }
    }
    record.line(&format!("tokens handed to the client: {tokens}, allowed {}", BUDGET + OUTPUT));
    Ok(if tokens > BUDGET + OUTPUT { Verdict::Broken } else { Verdict::Held })
}

/// Starts sub-agents at the same time and waits for their ends. Returns the tokens that they
/// got.
async fn start_wave(
    record: &Record,
    deployment: &Deployment,
    wave: usize,
    leaves_after: Option<u32>,
) -> Result<u32, Failure> {
    let mut turns = JoinSet::new();
    for number in 0..SUB_AGENTS {
        let gateway = deployment.client_address(number % deployment.gateways.len())?;
        turns.spawn(async move {
            let id = format!("{:016x}", (wave << 8) + number + 1);
            let session = format!("s{number}");
            let answer = client::send(gateway, &turn(&id, &session, leaves_after)).await;
            (id, answer)
        });
    }
    let mut tokens = 0;
    while let Some(ended) = turns.join_next().await {
        let (id, answer) = ended?;
        write(record, &id, &answer);
        tokens += answer.events * EVENT_TOKENS;
    }
    Ok(tokens)
}

/// Sends turns one after the other until the budget is spent. Returns the tokens that they got.
async fn spend(
    record: &Record,
    deployment: &Deployment,
    name: &str,
    leaves_after: Option<u32>,
) -> Result<u32, Failure> {
    let mut tokens = 0;
    for number in 0..TURNS_MAX {
        let id = format!("{name}-{number}");
        let gateway = deployment.client_address(number % deployment.gateways.len())?;
        let answer = client::send(gateway, &turn(&id, "s0", leaves_after)).await;
        write(record, &id, &answer);
        tokens += answer.events * EVENT_TOKENS;
        if answer.status == 402 {
            return Ok(tokens);
        }
    }
    Err("the budget has no end".into())
}

fn turn<'a>(id: &'a str, session: &'a str, leaves_after: Option<u32>) -> Turn<'a> {
    Turn {
        id,
        program: "3fa81c",
        session,
        previous: None,
        budget: BUDGET,
        output: OUTPUT,
        input: b"find a host family",
        leaves_after,
        aim: Instant::now() + Duration::from_secs(90),
        caller: Ipv4Addr::LOCALHOST,
    }
}

fn write(record: &Record, id: &str, answer: &Answer) {
    record.line(&format!(
        "turn {id}: status {}, {} events, whole {}",
        answer.status, answer.events, answer.is_whole
    ));
}
