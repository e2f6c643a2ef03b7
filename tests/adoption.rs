//! Adoption of a dead daemon's programs.

mod support;

use std::time::Duration;

use gg_fakes::{CallerClient, Fleet, FleetSettings, Told};
use serde_json::Value;
use tokio::time;

/// Takes one turn in each of `count` new programs at daemon 0.
async fn start_programs(fleet: &Fleet, count: u32, content: &str) -> Vec<String> {
    let caller = fleet.caller_of("ukhozi", 0);
    let mut programs = Vec::new();
    for _ in 0..count {
        let program = caller.start("urgent", None).await.expect("a program");
        let told = caller.turn(&program, 0, content, 4).await;
        assert!(matches!(told, Told::Done(_)), "{told:?}");
        programs.push(program);
    }
    programs
}

/// Tries to read a program; the daemon itself looks for its home in each.
const TRIES: usize = 3;

/// Reads a program once its new home answers.
async fn read(caller: &CallerClient, program: &str) -> Value {
    for _ in 0..TRIES {
        if let Ok(view) = caller.read(program).await {
            return view;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{program} has no home");
}

/// The state to be adopted is larger than what may wait for the platform.
#[tokio::test(flavor = "multi_thread")]
async fn larger_than_backlog() {
    let journal = "backlog_bytes = 1048576\n".to_owned();
    let settings = FleetSettings { daemons: 2, journal, ..Default::default() };
    let mut fleet = support::fleet(settings).await;
    let content = "glue ".repeat(60_000);
    let programs = start_programs(&fleet, 5, &content).await;
    fleet.restart(0);
    let caller = fleet.caller_of("ukhozi", 1);
    for program in &programs {
        let view = read(&caller, program).await;
        assert_eq!(view["next_turn"], 1);
        assert_eq!(view["history"][0]["content"], content.as_str());
    }
}

/// Programs go through three homes, and their budget pays for each change.
#[tokio::test(flavor = "multi_thread")]
async fn from_home_to_home() {
    let mut fleet = support::fleet(FleetSettings::default()).await;
    let programs = start_programs(&fleet, 3, "one lorry of bone glue").await;
    for index in 0..2 {
        fleet.daemons[index].kill();
        let name = fleet.daemons[index].name.clone();
        fleet.platform.unlist_instance(&name);
        let caller = fleet.caller("ukhozi");
        for program in &programs {
            let view = read(&caller, program).await;
            assert_eq!(view["next_turn"], 1);
            assert!(view["spent"].as_u64() <= view["budget"].as_u64());
        }
    }
    let caller = fleet.caller("ukhozi");
    for program in &programs {
        let told = caller.turn(program, 1, "and another", 4).await;
        assert!(matches!(told, Told::Done(_)), "{told:?}");
    }
}

/// A daemon that is frozen and goes on finds itself replaced, and serves.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_home_yields() {
    let fleet = support::fleet(FleetSettings::default()).await;
    let programs = start_programs(&fleet, 3, "a nightly digest").await;
    fleet.daemons[0].signal(libc::SIGSTOP);
    let others = fleet.caller_of("ukhozi", 1);
    for program in &programs {
        read(&others, program).await;
        let told = others.turn(program, 1, "while it is frozen", 4).await;
        assert!(matches!(told, Told::Done(_)), "{told:?}");
    }
    fleet.daemons[0].signal(libc::SIGCONT);
    let woken = fleet.caller_of("ukhozi", 0);
    for program in &programs {
        let told = woken.turn(program, 2, "after it woke", 4).await;
        assert!(matches!(told, Told::Done(_)), "{told:?}");
        assert_eq!(read(&woken, program).await["next_turn"], 3);
    }
}
