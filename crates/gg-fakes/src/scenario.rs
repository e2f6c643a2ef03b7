//! A seeded concurrent run under faults: callers play programs while daemons
//! are killed and frozen and the platform fails; then the history is checked.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::Mutex,
    task::JoinSet,
    time::{self, Instant},
};

use crate::{
    CUSTOMERS, CallerClient, Event, EventLog, Faults, Fleet, FleetSettings, Random, Starter, Told,
    Violation, check, expected_answer,
};

/// Something that goes wrong once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed and started again.
    Kill,
    /// A daemon is killed and its instance never comes back.
    Remove,
    /// A daemon is frozen for longer than every timeout, and goes on.
    Freeze,
    /// A daemon is stopped in order and started again.
    Drain,
    /// The platform refuses all calls for some seconds.
    Outage,
    /// The platform's calls hang for some seconds.
    Hang,
    /// Answers of writes that took effect are lost for some seconds.
    LostAnswers,
    /// The list of instances lags.
    Lag,
    /// An engine goes down and comes back.
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
        Fault::LostAnswers,
        Fault::Lag,
        Fault::EngineCrash,
    ];
}

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Programs that run at the same time.
    pub programs: usize,
    /// Turns of each.
    pub turns: u32,
    /// Faults, one or two at a time.
    pub faults: Vec<Fault>,
    /// Budget of each program, in tokens.
    pub budget: u64,
}

impl Plan {
    /// The plan of a seed: two to four faults.
    pub fn seeded(seed: u64) -> Self {
        let mut random = Random::new(seed);
        let count = random.between(2, 5);
        let pick = |_| Fault::ALL[random.between(0, Fault::ALL.len() as u64) as usize];
        let faults = (0..count).map(pick).collect();
        Plan { programs: 10, turns: 8, faults, budget: 40_000 }
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Faults that were really injected.
    pub injected: Vec<String>,
    /// Turns that callers asked for.
    pub asked: usize,
    /// Turns told as done.
    pub done: usize,
    /// Turns told as not run, not known, and run.
    pub refused: [usize; 3],
    /// Actions that services carried out.
    pub executed: usize,
    /// Folder with the daemons' logs, kept if a promise was broken.
    pub folder: String,
}

/// Longest time that a program may take in a run.
const PROGRAM_TIMEOUT: Duration = Duration::from_secs(90);

/// Time in which engines have to have been told of all ended programs.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time that each call to a service takes.
const SERVICE_DELAY: Duration = Duration::from_millis(200);

/// Tokens generated in each model turn.
const GENERATE: u64 = 12;

/// Runs the plan on a new fleet.
pub async fn run_scenario(starter: Starter, seed: u64, plan: Plan) -> RunReport {
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
    let fleet = Fleet::start(starter, settings).await;
    for service in &fleet.services {
        // Long enough for faults to meet calls that were sent.
        service.set_delay(SERVICE_DELAY);
    }
    let log = fleet.log.clone();
    let mut callers = JoinSet::new();
    for number in 0..plan.programs {
        let customer = CUSTOMERS[number % CUSTOMERS.len()];
        let caller = fleet.caller(customer);
        let random = Random::new(seed * 1000 + number as u64);
        callers.spawn(play_program(caller, log.clone(), random, plan.turns, plan.budget));
    }
    let fleet = Arc::new(Mutex::new(fleet));
    let injector = tokio::spawn(inject(fleet.clone(), plan.faults.clone(), seed));
    let mut report = RunReport::default();
    let mut programs = Vec::new();
    while let Some(played) = callers.join_next().await {
        match played.expect("a caller that does not panic") {
            Ok(program) => programs.push(program),
            Err(stuck) => report.violations.push(Violation(stuck)),
        }
    }
    report.injected = injector.await.expect("an injector that does not panic");
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

/// As in all tests, but requests may take longer than the faults last.
const SCENARIO_TIMING: &str = "probe_ms = 200\nsuspect_ms = 1000\nlist_ms = 200\n\
                               config_list_ms = 1000\nrequest_ms = 10000\ndrain_ms = 5000\n\
                               retain_ms = 60000\n";

fn count(events: &[Event], report: &mut RunReport) {
    for event in events {
        match event {
            Event::Asked { .. } => report.asked += 1,
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
            Event::Closed { .. } | Event::Spent { .. } | Event::Recorded { .. } => {}
        }
    }
}

/// Plays one program to its end and logs what it sees.
async fn play_program(
    caller: CallerClient,
    log: EventLog,
    mut random: Random,
    turns: u32,
    budget: u64,
) -> Result<String, String> {
    let give_up = Instant::now() + PROGRAM_TIMEOUT;
    let program = loop {
        match caller.start("run", None).await {
            Ok(program) => break program,
            Err(told) if Instant::now() > give_up => return Err(format!("no start: {told:?}")),
            Err(_) => time::sleep(Duration::from_millis(100)).await,
        }
    };
    let mut history = Vec::new();
    let mut spent = 0;
    for turn in 0..turns {
        time::sleep(Duration::from_millis(random.between(0, 600))).await;
        let turn = One { caller: &caller, log: &log, program: &program, turn, give_up };
        if random.chance(0.4) {
            turn.act().await?;
        } else {
            spent += turn.ask(&mut history).await?;
        }
    }
    log.push(Event::Spent { program: program.clone(), tokens: spent, budget });
    let view = loop {
        match caller.read(&program).await {
            Ok(view) => break view,
            Err(told) if Instant::now() > give_up => return Err(format!("no read: {told:?}")),
            Err(_) => time::sleep(Duration::from_millis(100)).await,
        }
    };
    // Generated text may hold any words; only what was asked names its owner.
    let mut messages = view["history"].as_array().cloned().unwrap_or_default();
    messages.retain(|message| message["role"] == "user");
    let contents = messages.iter().map(|message| message["content"].as_str().unwrap_or("").into());
    log.push(Event::Recorded {
        program: program.clone(),
        turns: view["next_turn"].as_u64().unwrap_or(0) as u32,
        messages: contents.collect(),
    });
    while caller.end(&program).await.is_err() && Instant::now() < give_up {
        time::sleep(Duration::from_millis(100)).await;
    }
    Ok(program)
}

/// One turn of a program under play.
struct One<'a> {
    caller: &'a CallerClient,
    log: &'a EventLog,
    program: &'a str,
    turn: u32,
    give_up: Instant,
}

impl One<'_> {
    /// A call to a service, until it is done or may have run.
    async fn act(&self) -> Result<(), String> {
        let action = format!("action-{}-{}", self.program, self.turn);
        loop {
            self.asked(&action);
            let told = self.caller.service(self.program, self.turn, "orders", &action).await;
            match told {
                Told::Done(reply) => {
                    self.done(reply.text, action);
                    return Ok(());
                }
                Told::Refused { code, ran, .. } => {
                    self.refused(&action, &ran);
                    // A recorded outcome of "unknown" ends the turn.
                    if ran == "unknown" && self.is_recorded().await {
                        self.closed();
                        return Ok(());
                    }
                    self.pause(&code).await?;
                }
                Told::Broken(text) => self.pause(&text).await?,
            }
        }
    }

    /// Whether the program's order has gone past this turn.
    async fn is_recorded(&self) -> bool {
        let view = self.caller.read(self.program).await;
        view.is_ok_and(|view| view["next_turn"].as_u64() > Some(u64::from(self.turn)))
    }

    /// A model call, until it is done. Returns the tokens charged.
    async fn ask(&self, history: &mut Vec<String>) -> Result<u64, String> {
        let content = format!("ask {} {} glue", self.program, self.turn);
        history.push(content.clone());
        let expected = expected_answer(history, GENERATE);
        loop {
            self.asked("");
            match self.caller.turn(self.program, self.turn, &content, GENERATE).await {
                Told::Done(reply) => {
                    let tokens = reply.total_tokens;
                    history.push(reply.text.clone());
                    self.done(reply.text, expected);
                    return Ok(tokens);
                }
                Told::Refused { code, ran, .. } => {
                    self.refused("", &ran);
                    self.pause(&code).await?;
                }
                Told::Broken(text) => self.pause(&text).await?,
            }
        }
    }

    async fn pause(&self, reason: &str) -> Result<(), String> {
        if Instant::now() > self.give_up {
            return Err(format!("{} is stuck at turn {}: {reason}", self.program, self.turn));
        }
        time::sleep(Duration::from_millis(150)).await;
        Ok(())
    }

    fn asked(&self, action: &str) {
        let (program, turn) = (self.program.into(), self.turn);
        self.log.push(Event::Asked { program, turn, action: action.into() });
    }

    fn closed(&self) {
        self.log.push(Event::Closed { program: self.program.into(), turn: self.turn });
    }

    fn done(&self, text: String, expected: String) {
        let (program, turn) = (self.program.into(), self.turn);
        self.log.push(Event::Done { program, turn, text, expected });
    }

    fn refused(&self, action: &str, ran: &str) {
        let (program, turn) = (self.program.into(), self.turn);
        self.log.push(Event::Refused { program, turn, action: action.into(), ran: ran.into() });
    }
}

/// Injects faults while the callers play. Returns what was injected.
async fn inject(fleet: Arc<Mutex<Fleet>>, faults: Vec<Fault>, seed: u64) -> Vec<String> {
    let mut random = Random::new(seed ^ 0x5eed);
    let mut injected = Vec::new();
    let mut undo = JoinSet::new();
    for fault in faults {
        time::sleep(Duration::from_millis(random.between(100, 1500))).await;
        let target = random.between(0, 4) as usize;
        let lasts = Duration::from_millis(random.between(300, 4000));
        injected.push(format!("{fault:?} target={target} ms={}", lasts.as_millis()));
        begin(&fleet, fault, target).await;
        let fleet = fleet.clone();
        undo.spawn(async move {
            time::sleep(lasts.max(shortest(fault))).await;
            end(&fleet, fault, target).await;
        });
    }
    undo.join_all().await;
    injected
}

/// A freeze has to outlast every timeout to be worth anything.
fn shortest(fault: Fault) -> Duration {
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
            fleet.platform.unlist_instance(&name);
        }
        Fault::Freeze => fleet.daemons[target].signal(libc::SIGSTOP),
        Fault::Drain => fleet.daemons[target].signal(libc::SIGTERM),
        Fault::Outage => fleet.platform.set_faults(Faults { outage: true, ..Faults::default() }),
        Fault::Hang => {
            fleet.platform.set_faults(Faults { outage: true, hang: true, ..Faults::default() });
        }
        Fault::LostAnswers => {
            fleet.platform.set_faults(Faults { lose_answers: 0.3, ..Faults::default() });
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
            // A frozen daemon can't stop in order.
            fleet.daemons[target].signal(libc::SIGCONT);
            time::sleep(Duration::from_secs(6)).await;
            fleet.restart(target);
        }
        Fault::Outage | Fault::Hang | Fault::LostAnswers | Fault::Lag => {
            fleet.platform.set_faults(Faults::default());
        }
        Fault::EngineCrash => {}
    }
}

/// Engines hold nothing of ended programs and worked within the budgets.
async fn check_engines(fleet: &Fleet, programs: &[String], budget: u64, report: &mut RunReport) {
    for program in programs {
        let spent: u64 = fleet.engines.iter().map(|engine| engine.spent(program)).sum();
        if spent > budget {
            let text = format!("{program}: engines worked on {spent} tokens of {budget}");
            report.violations.push(Violation(text));
        }
    }
    let give_up = Instant::now() + RELEASE_TIMEOUT;
    loop {
        let held: Vec<String> = fleet.engines.iter().flat_map(|engine| engine.held()).collect();
        if held.is_empty() {
            return;
        }
        if Instant::now() > give_up {
            report.violations.push(Violation(format!("engines still hold {held:?}")));
            return;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}
