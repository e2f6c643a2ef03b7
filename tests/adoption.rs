//! Adoption: other daemons take over the programs of a dead or frozen daemon.

mod support;

use std::time::Duration;

use gg_fakes::{CallResult, CallerClient, Fleet, FleetSettings};
use serde_json::Value;
use tokio::time;

/// Starts `count` programs at daemon 0 and runs one turn in each.
async fn start_programs(fleet: &Fleet, count: u32, content: &str) -> Vec<String> {
    let caller = fleet.daemon_caller("ukhozi", 0);
    let mut programs = Vec::new();
    for _ in 0..count {
        let program = caller.start("urgent", None).await.expect("start program");
        let outcome = caller.turn(&program, 0, content, 4).await;
        assert!(matches!(outcome, CallResult::Done(_)), "{outcome:?}");
        programs.push(program);
    }
    programs
}

/// Attempts to read a program; in each, the daemon itself locates the home.
const READ_ATTEMPTS: usize = 3;

/// Reads a program, with retries until its new home responds.
async fn read_program(caller: &CallerClient, program: &str) -> Value {
    for _ in 0..READ_ATTEMPTS {
        if let Ok(view) = caller.read(program).await {
            return view;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{program} is not served by any home after {READ_ATTEMPTS} attempts");
}

/// Adoption succeeds even if the programs' state is larger than the journal's
/// backlog limit for writes that wait for the platform.
#[tokio::test(flavor = "multi_thread")]
async fn state_exceeds_backlog() {
    let journal = "backlog_bytes = 1048576\n".to_owned();
    let settings = FleetSettings { daemons: 2, journal, ..Default::default() };
    let mut fleet = support::fleet(settings).await;
    let content = "glue ".repeat(60_000);
    let programs = start_programs(&fleet, 5, &content).await;
    fleet.restart(0);
    let caller = fleet.daemon_caller("ukhozi", 1);
    for program in &programs {
        let view = read_program(&caller, program).await;
        assert_eq!(view["next_turn"], 1);
        assert_eq!(view["history"][0]["content"], content.as_str());
    }
}

/// Programs move through three homes. After each adoption, the tokens spent don't
/// exceed the budget; after the last one, the programs accept further turns.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_adoption() {
    let mut fleet = support::fleet(FleetSettings::default()).await;
    let programs = start_programs(&fleet, 3, "one lorry of bone glue").await;
    for index in 0..2 {
        fleet.daemons[index].kill();
        let name = fleet.daemons[index].name.clone();
        fleet.platform.remove_instance(&name);
        let caller = fleet.caller("ukhozi");
        for program in &programs {
            let view = read_program(&caller, program).await;
            assert_eq!(view["next_turn"], 1);
            assert!(view["spent"].as_u64() <= view["budget"].as_u64());
        }
    }
    let caller = fleet.caller("ukhozi");
    for program in &programs {
        let outcome = caller.turn(program, 1, "and another", 4).await;
        assert!(matches!(outcome, CallResult::Done(_)), "{outcome:?}");
    }
}

/// A frozen daemon whose programs were adopted by others detects this when it
/// resumes, and serves turns of these programs again.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_home_yields() {
    let fleet = support::fleet(FleetSettings::default()).await;
    let programs = start_programs(&fleet, 3, "a nightly digest").await;
    fleet.daemons[0].signal(libc::SIGSTOP);
    let others = fleet.daemon_caller("ukhozi", 1);
    for program in &programs {
        read_program(&others, program).await;
        let outcome = others.turn(program, 1, "while it is frozen", 4).await;
        assert!(matches!(outcome, CallResult::Done(_)), "{outcome:?}");
    }
    fleet.daemons[0].signal(libc::SIGCONT);
    let resumed = fleet.daemon_caller("ukhozi", 0);
    for program in &programs {
        let outcome = resumed.turn(program, 2, "after it woke", 4).await;
        assert!(matches!(outcome, CallResult::Done(_)), "{outcome:?}");
        assert_eq!(read_program(&resumed, program).await["next_turn"], 3);
    }
}
