//! Budgets of programs whose turns run while members are down, slow or without
//! their disk.

mod support;

use std::time::Duration;

use gg_ledger::{Layout, Ledger, LedgerError, LedgerSet, OpenRequest};
use support::{
    WAIT_TIMEOUT,
    cluster::{Cluster, wait_connected},
    key,
    old_instance::OldInstance,
    record, request,
};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

/// Tokens that each turn reserves and spends.
const TURN_TOKENS: u32 = 210;

/// Number of turns that the budget has room for.
const TURNS: usize = 20;

/// A program that runs one turn at a time.
struct Program {
    name: &'static str,
    stores_turns: bool,
    turns: usize,
}

impl Program {
    fn new(name: &'static str, stores_turns: bool) -> Self {
        Program { name, stores_turns, turns: 0 }
    }

    /// Runs one turn. Returns whether the budget has room for it.
    async fn run_turn(&mut self, ledger: &Ledger) -> bool {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let turn = format!("turn-{}", self.turns);
        let key = key(self.name, &turn);
        let request = OpenRequest {
            key: key.clone(),
            previous: None,
            budget: Some((u64::from(TURN_TOKENS) * TURNS as u64, TURN_TOKENS)),
            branch: None,
            keep_ms: (!self.stores_turns).then_some(600_000),
        };
        loop {
            match ledger.open(&request, deadline).await {
                Ok(_) => break,
                Err(LedgerError::BudgetSpent(spent)) => {
                    let due = u64::from(TURN_TOKENS) * self.turns as u64;
                    assert_eq!(spent, due, "tokens of {} turns", self.turns);
                    return false;
                }
                Err(err) => assert!(Instant::now() < deadline, "{turn}: {err}"),
            }
        }
        if self.stores_turns {
            let stored = record(&turn, None, "text".into());
            ledger.close(&key, Some(TURN_TOKENS), stored).await.expect("stored");
        } else {
            ledger.settle(&key, TURN_TOKENS, None);
        }
        self.turns += 1;
        true
    }

    async fn run_turns(&mut self, ledger: &Ledger, count: usize) {
        for _ in 0..count {
            assert!(self.run_turn(ledger).await, "refused after {} turns", self.turns);
        }
    }

    /// Runs turns until the budget is spent, which is after [`TURNS`] exactly.
    async fn run_to_end(&mut self, ledger: &Ledger) {
        while self.run_turn(ledger).await {
            assert!(self.turns <= TURNS, "{} turns ran of {TURNS}", self.turns);
        }
        assert_eq!(self.turns, TURNS, "turns that ran");
    }
}

/// Each instance missed the turns that ran while it was down, and the largest
/// sum of any two lacked those that another one had missed.
async fn restart_in_turn(tolerated: usize, turns: usize, stores_turns: bool) {
    let mut cluster = Cluster::start(tolerated).await;
    let count = cluster.instances.len();
    let ledger = cluster.connect("gateway-1").await;
    let mut program = Program::new("p", stores_turns);
    for number in 0..count - 1 {
        cluster.stop(number).await;
        wait_connected(&ledger, count - 1).await;
        program.run_turns(&ledger, turns).await;
        cluster.restart(number).await;
        wait_connected(&ledger, count).await;
    }
    cluster.stop(count - 1).await;
    wait_connected(&ledger, count - 1).await;
    program.run_to_end(&ledger).await;
}

#[tokio::test]
async fn restarts_in_turn() {
    restart_in_turn(1, 9, true).await;
}

#[tokio::test]
async fn restarts_without_records() {
    restart_in_turn(1, 9, false).await;
}

#[tokio::test]
async fn restarts_of_five() {
    restart_in_turn(2, 4, true).await;
}

/// Two of five members are down at a time.
#[tokio::test]
async fn pairs_restart() {
    let mut cluster = Cluster::start(2).await;
    let ledger = cluster.connect("gateway-1").await;
    let mut program = Program::new("p", true);
    for pair in [[0, 1], [1, 2], [3, 0]] {
        for number in pair {
            cluster.stop(number).await;
        }
        wait_connected(&ledger, 3).await;
        program.run_turns(&ledger, 5).await;
        for number in pair {
            cluster.restart(number).await;
        }
        wait_connected(&ledger, 5).await;
    }
    for number in [2, 4] {
        cluster.stop(number).await;
    }
    wait_connected(&ledger, 3).await;
    program.run_to_end(&ledger).await;
}

/// One disk is lost after another member had missed turns that it held.
#[tokio::test]
async fn lost_disk_after_restart() {
    let mut cluster = Cluster::start(1).await;
    let ledger = cluster.connect("gateway-1").await;
    let mut program = Program::new("p", true);
    cluster.stop(0).await;
    wait_connected(&ledger, 2).await;
    program.run_turns(&ledger, 9).await;
    cluster.restart(0).await;
    wait_connected(&ledger, 3).await;
    cluster.stop(1).await;
    wait_connected(&ledger, 2).await;
    program.run_turns(&ledger, 8).await;
    cluster.restart_empty(1).await;
    program.run_to_end(&ledger).await;
}

/// A member that left a call unanswered gets no reservations until it answers,
/// so it misses turns like one that was down.
#[tokio::test]
async fn silent_members() {
    let cluster = Cluster::start(1).await;
    let ledger = cluster.connect("gateway-1").await;
    let silence = |number: usize, is_silent: bool| {
        cluster.instances[number].silence.send_replace(is_silent);
    };
    let mut program = Program::new("p", true);
    for number in [0, 1] {
        // A turn that needs the reply of one of two silent members.
        silence(number, true);
        silence(number + 1, true);
        let probe = request("probe", &format!("probe-{number}"), None);
        let opened = ledger.open(&probe, Instant::now() + WAIT_TIMEOUT).await;
        assert!(matches!(opened, Err(LedgerError::Unavailable(_))), "{opened:?}");
        silence(number + 1, false);
        wait_connected(&ledger, 2).await;
        program.run_turns(&ledger, 9).await;
        silence(number, false);
        wait_connected(&ledger, 3).await;
    }
    silence(2, true);
    program.run_to_end(&ledger).await;
}

/// A gateway that comes later, and reaches only members that missed turns of
/// each other, knows them all.
#[tokio::test]
async fn second_gateway() {
    let mut cluster = Cluster::start(1).await;
    let ledger = cluster.connect("gateway-1").await;
    let mut program = Program::new("p", false);
    for number in [0, 1] {
        cluster.stop(number).await;
        wait_connected(&ledger, 2).await;
        program.run_turns(&ledger, 9).await;
        cluster.restart(number).await;
        wait_connected(&ledger, 3).await;
    }
    let other = cluster.connect("gateway-2").await;
    cluster.stop(2).await;
    wait_connected(&other, 2).await;
    program.run_to_end(&other).await;
}

/// A member that was down holds all turns again after a turn of the program, so
/// that the members that ran them may go.
#[tokio::test]
async fn missed_turns_are_sent() {
    let mut cluster = Cluster::start(1).await;
    let ledger = cluster.connect("gateway-1").await;
    // Accounts only, as records of turns are not copied by it.
    let mut program = Program::new("p", false);
    cluster.stop(0).await;
    wait_connected(&ledger, 2).await;
    program.run_turns(&ledger, 5).await;
    cluster.restart(0).await;
    wait_connected(&ledger, 3).await;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    program.run_turns(&ledger, 1).await;
    while cluster.needed_bytes(0) < cluster.needed_bytes(1) {
        assert!(Instant::now() < deadline, "the instance lacks turns");
        time::sleep(Duration::from_millis(10)).await;
    }
}

/// Members of 735404d report no settled turns. Sums over them are still those of
/// all turns.
#[tokio::test]
async fn older_members() {
    let mut instances = Vec::new();
    for _ in 0..3 {
        instances.push(OldInstance::start().await);
    }
    let members = (1..).zip(&instances).map(|(number, instance)| instance.member(number));
    let set = LedgerSet { epoch: 1, tolerated: 1, members: members.collect(), next: None };
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let ledger = Ledger::new("gateway-1".into(), "c-1".into(), stop);
    ledger.set_layout(Layout { partitions: vec![set] });
    let mut program = Program::new("p", true);
    wait_connected(&ledger, 3).await;
    for number in [0, 1] {
        instances[number].stop();
        wait_connected(&ledger, 2).await;
        program.run_turns(&ledger, 9).await;
        instances[number].restart().await;
        wait_connected(&ledger, 3).await;
    }
    instances[2].stop();
    wait_connected(&ledger, 2).await;
    program.run_to_end(&ledger).await;
}

/// What members reserved but had not written yet was lost when they were stopped.
#[tokio::test]
async fn stops_lose_no_reservations() {
    let mut cluster = Cluster::start(1).await;
    let ledger = cluster.connect("gateway-1").await;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let reserving = |turn: String| {
        let budget = Some((u64::from(TURN_TOKENS) * TURNS as u64, TURN_TOKENS));
        OpenRequest { budget, ..request("p", &turn, None) }
    };
    // The reservations wait until a long text is on disk.
    let stored = record("long", None, "x".repeat(4 << 20));
    let long = key("other", "long");
    let opening = async {
        let (mut opened, mut number) = (0, 0);
        while opened < TURNS {
            match ledger.open(&reserving(format!("turn-{number}")), deadline).await {
                Ok(_) => opened += 1,
                Err(err) => assert!(matches!(err, LedgerError::Unavailable(_)), "{err}"),
            }
            number += 1;
        }
    };
    tokio::select! {
        () = opening => {}
        closed = async {
            let closed = ledger.close(&long, Some(1), stored).await;
            std::future::pending::<()>().await;
            closed
        } => unreachable!("{closed:?}"),
    }
    for number in 0..3 {
        cluster.stop(number).await;
    }
    for number in 0..3 {
        cluster.restart(number).await;
    }
    wait_connected(&ledger, 3).await;
    let next = reserving("next".into());
    let result = loop {
        match ledger.open(&next, deadline).await {
            Err(LedgerError::Unavailable(_)) if Instant::now() < deadline => {}
            result => break result,
        }
    };
    // A member may have missed that an attempt without an answer was given up.
    let due = u64::from(TURN_TOKENS) * TURNS as u64;
    assert!(matches!(result, Err(LedgerError::BudgetSpent(spent)) if spent >= due), "{result:?}");
}
