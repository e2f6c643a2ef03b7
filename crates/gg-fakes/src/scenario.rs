//! Seeded concurrent runs under faults: callers run programs while daemons are
//! killed and frozen and the platform fails. At the end, the event history is
//! checked.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::Mutex,
    task::JoinSet,
    time::{self, Instant},
};

use crate::{
    CUSTOMERS, CallResult, CallerClient, DaemonCommand, Event, EventLog, Faults, Fleet,
    FleetSettings, Random, Violation, check, expected_answer,
};

/// A fault that is injected once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed and started again.
    Kill,
    /// A daemon is killed and its instance is removed from the list, until the fault
    /// ends.
    Remove,
    /// A daemon is frozen for longer than the time after which its peers suspect it,
    /// then continues.
    Freeze,
    /// A daemon is stopped gracefully and started again.
    Drain,
    /// The platform refuses all calls for a few seconds.
    Outage,
    /// All calls to the platform hang for a few seconds.
    Hang,
    /// Responses to successful writes are lost for a few seconds.
    LostResponses,
    /// The platform's list of instances is outdated.
    Lag,
    /// An engine crashes and restarts.
    EngineCrash,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Fault; 9] = [
        Fault::Kill,
        Fault::Remove,
        Fault::Freeze,
        Fault::Drain,
        Fault::Outage,
        Fault::Hang,
        Fault::LostResponses,
        Fault::Lag,
        Fault::EngineCrash,
    ];
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct ScenarioPlan {
    /// Programs that run concurrently.
    pub programs: usize,
    /// Turns of each program.
    pub turns: u32,
    /// Faults to inject, which may overlap.
    pub faults: Vec<Fault>,
    /// Budget of each program, in tokens.
    pub budget: u64,
}

impl ScenarioPlan {
    /// Derives a plan with two to four faults from a seed.
    pub fn seeded(seed: u64) -> Self {
        let mut random = Random::new(seed);
        let count = random.between(2, 5);
        let pick = |_| Fault::ALL[random.between(0, Fault::ALL.len() as u64) as usize];
        let faults = (0..count).map(pick).collect();
        ScenarioPlan { programs: 10, turns: 8, faults, budget: 40_000 }
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// Violated invariants, and programs that did not finish in time.
    pub violations: Vec<Violation>,
    /// Faults that were injected.
    pub injected: Vec<String>,
    /// Turn requests that callers sent.
    pub requested: usize,
    /// Turns reported as done.
    pub done: usize,
    /// Numbers of turn requests that failed and were reported as not executed, unknown
    /// and executed.
    pub refused: [usize; 3],
    /// Actions that services executed.
    pub executed: usize,
    /// Folder with the daemons' logs, kept if an invariant was violated.
    pub folder: String,
}

/// Maximum duration of a program.
const PROGRAM_TIMEOUT: Duration = Duration::from_secs(90);

/// Maximum time until engines have released the caches of all ended programs.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(20);

/// Duration of each call to a service.
const SERVICE_DELAY: Duration = Duration::from_millis(200);

/// Tokens generated per model call.
const GENERATE_TOKENS: u64 = 12;

/// Runs a plan on a new fleet and checks the history.
pub async fn run_scenario(
    daemon_command: DaemonCommand,
    seed: u64,
    plan: ScenarioPlan,
) -> RunReport {
    let config = format!(
        "[profile run]\nrank = 0\ntarget_ms = 600000\nbudget_tokens = {}\ntool_ms = 5000\n",
        plan.budget
    );
    let settings = FleetSettings {
        daemons: 4,
        services: 2,
        config,
        seed,
        timing: SCENARIO_TIMING.into(),
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(daemon_command, settings).await;
    for service in &fleet.services {
        // Long enough that faults hit calls in flight.
        service.set_delay(SERVICE_DELAY);
    }
    let log = fleet.log.clone();
    let mut callers = JoinSet::new();
    for number in 0..plan.programs {
        let customer = CUSTOMERS[number % CUSTOMERS.len()];
        let caller = fleet.caller(customer);
        let random = Random::new(seed * 1000 + number as u64);
        callers.spawn(run_program(caller, log.clone(), random, plan.turns, plan.budget));
    }
    let fleet = Arc::new(Mutex::new(fleet));
    let injector = tokio::spawn(inject(fleet.clone(), plan.faults.clone(), seed));
    let mut report = RunReport::default();
    let mut programs = Vec::new();
    while let Some(result) = callers.join_next().await {
        match result.expect("caller task panicked") {
            Ok(program) => programs.push(program),
            Err(err) => report.violations.push(Violation(err)),
        }
    }
    report.injected = injector.await.expect("fault injector panicked");
    let mut fleet = fleet.lock().await;
    check_engines(&fleet, &programs, plan.budget, &mut report).await;
    let events = log.events();
    report.violations.extend(check(&events));
    count(&events, &mut report);
    if !report.violations.is_empty() {
        fleet.keep_files();
        report.folder = fleet.folder().display().to_string();
    }
    report
}

/// Timing as for other tests, but with shorter timeouts of requests and planned
/// stops. The request timeout still exceeds the random duration of a fault.
const SCENARIO_TIMING: &str = "probe_ms = 200\nsuspect_ms = 1000\nlist_ms = 200\n\
                               config_list_ms = 1000\nrequest_ms = 10000\ndrain_ms = 5000\n\
                               retain_ms = 60000\n";

fn count(events: &[Event], report: &mut RunReport) {
    for event in events {
        match event {
            Event::Requested { .. } => report.requested += 1,
            Event::Done { .. } => report.done += 1,
            Event::Executed { .. } => report.executed += 1,
            Event::Refused { ran, .. } => {
                let index = match ran.as_str() {
                    "no" => 0,
                    "unknown" => 1,
                    _ => 2,
                };
                report.refused[index] += 1;
            }
            Event::Unresolved { .. } | Event::Spent { .. } | Event::Recorded { .. } => {}
        }
    }
}

/// Runs one program to its end and logs the observed events.
async fn run_program(
    caller: CallerClient,
    log: EventLog,
    mut random: Random,
    turns: u32,
    budget: u64,
) -> Result<String, String> {
    let deadline = Instant::now() + PROGRAM_TIMEOUT;
    let program = loop {
        match caller.start("run", None).await {
            Ok(program) => break program,
            Err(err) if Instant::now() > deadline => return Err(format!("start failed: {err:?}")),
            Err(_) => time::sleep(Duration::from_millis(100)).await,
        }
    };
    let mut history = Vec::new();
    let mut spent = 0;
    for turn in 0..turns {
        time::sleep(Duration::from_millis(random.between(0, 600))).await;
        let turn = TurnCalls { caller: &caller, log: &log, program: &program, turn, deadline };
        if random.chance(0.4) {
            turn.call_service().await?;
        } else {
            spent += turn.call_model(&mut history).await?;
        }
    }
    log.push(Event::Spent { program: program.clone(), tokens: spent, budget });
    let view = loop {
        match caller.read(&program).await {
            Ok(view) => break view,
            Err(err) if Instant::now() > deadline => return Err(format!("read failed: {err:?}")),
            Err(_) => time::sleep(Duration::from_millis(100)).await,
        }
    };
    // Only user messages name their program; generated text may contain any words.
    let mut messages = view["history"].as_array().cloned().unwrap_or_default();
    messages.retain(|message| message["role"] == "user");
    let contents = messages.iter().map(|message| message["content"].as_str().unwrap_or("").into());
    log.push(Event::Recorded {
        program: program.clone(),
        turns: view["next_turn"].as_u64().unwrap_or(0) as u32,
        messages: contents.collect(),
    });
    while caller.end(&program).await.is_err() && Instant::now() < deadline {
        time::sleep(Duration::from_millis(100)).await;
    }
    Ok(program)
}

/// A turn of a running program.
struct TurnCalls<'a> {
    caller: &'a CallerClient,
    log: &'a EventLog,
    program: &'a str,
    turn: u32,
    deadline: Instant,
}

impl TurnCalls<'_> {
    /// Calls a service until the call succeeds or is recorded as unknown.
    async fn call_service(&self) -> Result<(), String> {
        let action = format!("action-{}-{}", self.program, self.turn);
        loop {
            self.log_requested(&action);
            let result = self.caller.service(self.program, self.turn, "orders", &action).await;
            match result {
                CallResult::Done(reply) => {
                    self.log_done(reply.text, action);
                    return Ok(());
                }
                CallResult::Refused { code, ran, .. } => {
                    self.log_refused(&action, &ran);
                    // The turn ends if "unknown" is its recorded outcome.
                    if ran == "unknown" && self.has_outcome().await {
                        self.log_unresolved();
                        return Ok(());
                    }
                    self.pause(&code).await?;
                }
                CallResult::Disconnected(text) => self.pause(&text).await?,
            }
        }
    }

    /// Whether the program has recorded an outcome for this turn.
    async fn has_outcome(&self) -> bool {
        let view = self.caller.read(self.program).await;
        view.is_ok_and(|view| view["next_turn"].as_u64() > Some(u64::from(self.turn)))
    }

    /// Calls a model until the call succeeds. Returns the tokens charged.
    async fn call_model(&self, history: &mut Vec<String>) -> Result<u64, String> {
        let content = format!("ask {} {} glue", self.program, self.turn);
        history.push(content.clone());
        let expected = expected_answer(history, GENERATE_TOKENS);
        loop {
            self.log_requested("");
            match self.caller.turn(self.program, self.turn, &content, GENERATE_TOKENS).await {
                CallResult::Done(reply) => {
                    let tokens = reply.total_tokens;
                    history.push(reply.text.clone());
                    self.log_done(reply.text, expected);
                    return Ok(tokens);
                }
                CallResult::Refused { code, ran, .. } => {
                    self.log_refused("", &ran);
                    self.pause(&code).await?;
                }
                CallResult::Disconnected(text) => self.pause(&text).await?,
            }
        }
    }

    async fn pause(&self, reason: &str) -> Result<(), String> {
        if Instant::now() > self.deadline {
            return Err(format!("{} timed out at turn {}: {reason}", self.program, self.turn));
        }
        time::sleep(Duration::from_millis(150)).await;
        Ok(())
    }

    fn log_requested(&self, action: &str) {
        let (program, turn) = (self.program.into(), self.turn);
        self.log.push(Event::Requested { program, turn, action: action.into() });
    }

    fn log_unresolved(&self) {
        self.log.push(Event::Unresolved { program: self.program.into(), turn: self.turn });
    }

    fn log_done(&self, text: String, expected: String) {
        let (program, turn) = (self.program.into(), self.turn);
        self.log.push(Event::Done { program, turn, text, expected });
    }

    fn log_refused(&self, action: &str, ran: &str) {
        let (program, turn) = (self.program.into(), self.turn);
        self.log.push(Event::Refused { program, turn, action: action.into(), ran: ran.into() });
    }
}

/// Injects faults while the callers run. Returns descriptions of the faults.
async fn inject(fleet: Arc<Mutex<Fleet>>, faults: Vec<Fault>, seed: u64) -> Vec<String> {
    let mut random = Random::new(seed ^ 0x5eed);
    let mut injected = Vec::new();
    let mut reverts = JoinSet::new();
    for fault in faults {
        time::sleep(Duration::from_millis(random.between(100, 1500))).await;
        let target = random.between(0, 4) as usize;
        let duration = Duration::from_millis(random.between(300, 4000));
        injected.push(format!("{fault:?} target={target} ms={}", duration.as_millis()));
        begin(&fleet, fault, target).await;
        let fleet = fleet.clone();
        reverts.spawn(async move {
            time::sleep(duration.max(min_duration(fault))).await;
            end(&fleet, fault, target).await;
        });
    }
    reverts.join_all().await;
    injected
}

/// Minimum duration of a fault. A freeze has to exceed `suspect_ms`, after which the
/// peers suspect the daemon of having failed.
fn min_duration(fault: Fault) -> Duration {
    match fault {
        Fault::Freeze => Duration::from_millis(2500),
        _ => Duration::ZERO,
    }
}

async fn begin(fleet: &Mutex<Fleet>, fault: Fault, target: usize) {
    let mut fleet = fleet.lock().await;
    match fault {
        Fault::Kill => fleet.daemons[target].kill(),
        Fault::Remove => {
            fleet.daemons[target].kill();
            let name = fleet.daemons[target].name.clone();
            fleet.platform.remove_instance(&name);
        }
        Fault::Freeze => fleet.daemons[target].signal(libc::SIGSTOP),
        Fault::Drain => fleet.daemons[target].signal(libc::SIGTERM),
        Fault::Outage => fleet.platform.set_faults(Faults { outage: true, ..Faults::default() }),
        Fault::Hang => {
            fleet.platform.set_faults(Faults { outage: true, hang: true, ..Faults::default() });
        }
        Fault::LostResponses => {
            fleet.platform.set_faults(Faults { lost_writes: 0.3, ..Faults::default() });
        }
        Fault::Lag => {
            let list_lag = Duration::from_secs(3);
            fleet.platform.set_faults(Faults { list_lag, ..Faults::default() });
        }
        Fault::EngineCrash => fleet.engines[target % 2].crash(),
    }
}

async fn end(fleet: &Mutex<Fleet>, fault: Fault, target: usize) {
    let mut fleet = fleet.lock().await;
    match fault {
        Fault::Kill | Fault::Remove => fleet.restart(target),
        Fault::Freeze => fleet.daemons[target].signal(libc::SIGCONT),
        Fault::Drain => {
            // A frozen daemon can't shut down gracefully.
            fleet.daemons[target].signal(libc::SIGCONT);
            time::sleep(Duration::from_secs(6)).await;
            fleet.restart(target);
        }
        Fault::Outage | Fault::Hang | Fault::LostResponses | Fault::Lag => {
            fleet.platform.set_faults(Faults::default());
        }
        Fault::EngineCrash => {}
    }
}

/// Checks that engines stayed within the budgets and released the caches of ended
/// programs.
async fn check_engines(fleet: &Fleet, programs: &[String], budget: u64, report: &mut RunReport) {
    for program in programs {
        let spent: u64 = fleet.engines.iter().map(|engine| engine.spent(program)).sum();
        if spent > budget {
            let text =
                format!("{program}: engines processed {spent} tokens of a budget of {budget}");
            report.violations.push(Violation(text));
        }
    }
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    loop {
        let cached: Vec<String> =
            fleet.engines.iter().flat_map(|engine| engine.cached_programs()).collect();
        if cached.is_empty() {
            return;
        }
        if Instant::now() > deadline {
            report.violations.push(Violation(format!("engines still cache {cached:?}")));
            return;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}
