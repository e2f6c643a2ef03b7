//! Token budgets of programs, through real daemons.

mod support;

use std::time::Duration;

use gg_fakes::{CRASH_MARKER, CallResult, CallerClient, EngineCosts, Fleet, FleetSettings};
use tokio::time;

/// Budget of the programs in these tests, in tokens.
const BUDGET: u64 = 6_000;

/// Tokens that a turn generates at most.
const GENERATED: u64 = 8;

/// Most tokens by which the bound of a call exceeds what the previous turn of
/// the same program spent: its answer, the new message and the estimate's margin.
const BOUND_MARGIN: u64 = 300;

async fn fleet(settings: FleetSettings) -> Fleet {
    let small = format!(
        "[profile small]\nrank = 0\ntarget_ms = 60000\nbudget_tokens = {BUDGET}\nmax_turns = 1000\n"
    );
    support::fleet(FleetSettings { config: settings.config.clone() + &small, ..settings }).await
}

async fn spent(caller: &CallerClient, program: &str) -> u64 {
    let view = caller.read(program).await.expect("read program");
    view["spent"].as_u64().expect("a number of tokens")
}

/// Sends turns until the budget refuses one. Returns what the program spent, and
/// what its last turn spent.
async fn spend_all(caller: &CallerClient, program: &str, first: u32) -> (u64, u64) {
    let mut before = spent(caller, program).await;
    let mut last = 0;
    for turn in first.. {
        match caller.turn(program, turn, &format!("ask {turn}"), GENERATED).await {
            CallResult::Done(_) => {}
            CallResult::Refused { code, ran, .. } => {
                assert_eq!((&*code, &*ran), ("budget_exhausted", "no"));
                break;
            }
            CallResult::Disconnected(err) => panic!("turn {turn}: {err}"),
        }
        let now = spent(caller, program).await;
        (before, last) = (now, now - before);
    }
    (before, last)
}

/// A call is refused only if it may not fit in what earlier calls have left.
#[tokio::test(flavor = "multi_thread")]
async fn unused_tokens_return() {
    let fleet = fleet(FleetSettings { engines: 1, ..Default::default() }).await;
    let caller = fleet.caller("ukhozi");
    let program = caller.start("small", None).await.expect("start program");
    let (spent, last) = spend_all(&caller, &program, 0).await;
    let left = BUDGET - spent;
    assert!(left < last + BOUND_MARGIN, "{left} of {BUDGET} tokens left, a turn took {last}");
}

/// Concurrent sub-agents share the root's budget; what each of them doesn't use
/// is left to the others.
#[tokio::test(flavor = "multi_thread")]
async fn branches_return_tokens() {
    let fleet = fleet(FleetSettings { engines: 2, ..Default::default() }).await;
    let caller = fleet.daemon_caller("ukhozi", 0);
    let root = caller.start("small", None).await.expect("start program");
    let branches = (0..4).map(async |number| {
        let caller = fleet.daemon_caller("ukhozi", 0);
        let branch = caller.start("small", Some(&root)).await.expect("start sub-agent");
        let mut turn = 0;
        loop {
            let content = format!("ask {number} {turn}");
            match caller.turn(&branch, turn, &content, GENERATED).await {
                CallResult::Done(_) => turn += 1,
                CallResult::Refused { code, .. } => break assert_eq!(code, "budget_exhausted"),
                CallResult::Disconnected(err) => panic!("{branch} turn {turn}: {err}"),
            }
        }
    });
    futures::future::join_all(branches).await;
    let spent = spent(&caller, &root).await;
    let generated: u64 = fleet.engines.iter().map(|engine| engine.spent(&root)).sum();
    assert!(generated <= BUDGET);
    assert!(BUDGET - spent < 4 * BOUND_MARGIN + BUDGET / 4, "{spent} of {BUDGET} tokens spent");
}

/// Calls that are cut off count with all that they may have generated; the rest
/// of the budget stays usable.
#[tokio::test(flavor = "multi_thread")]
async fn interrupted_calls_are_charged() {
    let costs = EngineCosts { token: Duration::from_millis(20), ..EngineCosts::default() };
    let fleet = fleet(FleetSettings { engines: 1, costs, ..Default::default() }).await;
    let caller = fleet.caller("ukhozi");
    let program = caller.start("small", None).await.expect("start program");
    for _ in 0..3 {
        let (caller, program) = (caller.clone(), program.clone());
        let call =
            tokio::spawn(async move { caller.turn(&program, 0, "a long digest", 200).await });
        while fleet.engines[0].batch() == 0 {
            time::sleep(Duration::from_millis(10)).await;
        }
        // The caller disconnects, which stops the engine after a grace period.
        call.abort();
        while fleet.engines[0].batch() > 0 {
            time::sleep(Duration::from_millis(10)).await;
        }
    }
    let engine = &fleet.engines[0];
    let charged = spent(&caller, &program).await;
    assert!(engine.spent(&program) <= charged, "{} of {charged}", engine.spent(&program));
    let (spent, last) = spend_all(&caller, &program, 0).await;
    assert!(BUDGET - spent < last + BOUND_MARGIN, "{spent} of {BUDGET}, a turn took {last}");
}

/// Calls that crash their engine count with all that they may have generated.
#[tokio::test(flavor = "multi_thread")]
async fn crashed_calls_are_charged() {
    let fleet = fleet(FleetSettings { engines: 3, ..Default::default() }).await;
    let caller = fleet.caller("ukhozi");
    let program = caller.start("small", None).await.expect("start program");
    let content = format!("a label with {CRASH_MARKER}");
    let outcome = caller.turn(&program, 0, &content, GENERATED).await;
    assert!(matches!(outcome, CallResult::Refused { .. }), "{outcome:?}");
    let charged = spent(&caller, &program).await;
    let generated: u64 = fleet.engines.iter().map(|engine| engine.spent(&program)).sum();
    assert!(generated <= charged, "{generated} tokens generated, {charged} charged");
    let (spent, last) = spend_all(&caller, &program, 0).await;
    assert!(BUDGET - spent < last + BOUND_MARGIN, "{spent} of {BUDGET}, a turn took {last}");
}
