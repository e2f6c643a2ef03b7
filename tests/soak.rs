//! Fault soak test: gateways and ledgers run as processes against fakes of the
//! store and of the replicas. Faults are injected by signals and through the fakes;
//! the guarantees are checked on what clients and replicas observed.
//!
//! `GG_SOAK_SEEDS=50 cargo test --release --test soak -- --nocapture` runs more
//! seeds, `GG_SOAK_SEED=7` only that one. Each seed that ever failed stays in
//! [`SEEDS`] with its cause.

#[path = "../platform/tests/support/mod.rs"]
mod support;

mod processes;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use gg_fakes::Random;
use gg_http::Client;
use http::{Request, StatusCode};
use processes::{LEDGERS, Processes, ROUTES, ServerProcess, wait_for_layout};
use support::{
    Behaviour, Crash, FakeReplica, FakeStore, FaultProfile,
    deployment::configuration,
    poison::{LATE_RETRIES_MAX, PROPAGATION_LIMIT},
};
use tempfile::TempDir;
use tokio::time;

/// Seeds of the short run. 1007: replicas that restarted under the same names
/// during a store outage were counted as one incarnation, so that one request
/// caused up to 14 crashes. 1030: a program was refused for 60 s; the suspected,
/// unconfirmed cause is that it ran alongside crashing requests.
const SEEDS: [u64; 4] = [1, 2, 1007, 1030];

/// Seeds of the runs with whole prompts. 1000: a budget was reported as spent
/// 11 ms after a turn that was still charged at its maximum, which the
/// specification allows.
const WHOLE_PROMPT_SEEDS: [u64; 2] = [1, 1000];

const GATEWAYS: usize = 2;
const REPLICAS: usize = 4;
const CLIENTS: usize = 4;

/// Time for which a turn that has ended may still be charged at its maximum
/// (`settle-ms` of the specification).
const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Additional clients whose programs send whole prompts.
const WHOLE_CLIENTS: usize = 2;

/// Faults injected in one run.
const FAULTS: usize = 14;

/// Path and body of requests that crash replicas. A separate client retries each.
const POISONS: [(&str, &str); 3] =
    [("/call/poison", ""), ("/once/x", "once poison"), ("/turn/x", "turn poison")];

/// Pause between two retries of a crashing request.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// Time after which a crashed replica is restarted.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Time within which a turn has to be served, and within which a crashing
/// request has to be refused.
const SERVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Token budget of a program and maximum charge of one turn, in the units of the
/// token headers.
const BUDGET_TOKENS: u64 = 2_000;
const TURN_TOKENS_MAX: u64 = 100;

/// Tokens in the stream of a fake replica.
const TURN_TOKENS: u64 = 30;

/// What clients observed: calls that may not be repeated, and the tokens of
/// programs.
#[derive(Default)]
struct Observations {
    refused: Vec<String>,
    sent: Vec<String>,
    tokens: HashMap<String, u64>,
    /// Attempts of a program that may have run without a complete response.
    unknown: HashMap<String, u64>,
}

struct Soak {
    store: FakeStore,
    replicas: Vec<FakeReplica>,
    clients: Vec<SocketAddr>,
    client: Client,
    next_id: AtomicU64,
    observed: Mutex<Observations>,
    is_finished: AtomicBool,
    /// When each gateway was last killed, frozen or started.
    disrupted_at: Mutex<[Instant; GATEWAYS]>,
}

impl Soak {
    fn id(&self) -> String {
        format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    async fn send(
        &self,
        gateway: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<(StatusCode, String)> {
        let url = format!("http://{}{path}", self.clients[gateway]);
        let mut request = Request::post(url).header("host", "app.example");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Bytes::copy_from_slice(body.as_bytes())).expect("valid request");
        let reply = self.client.call(request, Duration::from_secs(6)).await.ok()?;
        Some((reply.status, String::from_utf8_lossy(&reply.body).into_owned()))
    }

    /// Runs one client: programs whose turns each continue the previous turn. After
    /// each turn, the client sends a call that may not be repeated. When a program's
    /// budget is spent, the client starts another one, which sometimes continues
    /// from the last turn of the previous program.
    async fn run_client(&self, number: usize, mut random: Random) {
        let mut programs = 0;
        let mut program = format!("program-{number}-0");
        let mut previous: Option<String> = None;
        let mut history = String::new();
        let mut turn = 0;
        while !self.is_finished.load(Ordering::Relaxed) || turn < 3 {
            let input = format!("[{program} turn {turn}]");
            turn += 1;
            match self.turn(&program, previous.as_deref(), &history, &input, &mut random).await {
                Some(id) => {
                    let output: String = (1..=3).map(|event| format!("{id}-{event}\n")).collect();
                    history = format!("{history}{input}{output}");
                    previous = Some(id);
                }
                None => {
                    programs += 1;
                    program = format!("program-{number}-{programs}");
                    if random.chance(0.7) {
                        previous = None;
                        history.clear();
                    }
                }
            }
            self.call(&mut random).await;
        }
    }

    /// Retries a turn until it gets a complete response and returns its id, or
    /// `None` if the budget is spent.
    async fn turn(
        &self,
        program: &str,
        previous: Option<&str>,
        history: &str,
        input: &str,
        random: &mut Random,
    ) -> Option<String> {
        let deadline = time::Instant::now() + SERVE_TIMEOUT;
        let (budget, count) = (BUDGET_TOKENS.to_string(), format!("10,{TURN_TOKENS_MAX}"));
        loop {
            let id = self.id();
            let mut headers = vec![
                ("request-id", id.as_str()),
                ("request-deadline", "3000"),
                ("program-id", program),
                ("token-budget", &budget),
                ("token-count", &count),
            ];
            headers.extend(previous.map(|previous| ("previous-turn", previous)));
            let gateway = random.between(0, GATEWAYS as u64) as usize;
            let reply = self.send(gateway, "/turn/x", &headers, input).await;
            let runs: Vec<String> = self.runs(&id);
            assert!(runs.len() <= 1, "turn ran twice: {id}");
            for prompt in runs {
                assert_eq!(prompt, format!("{history}{input}"), "turn ran with another history");
            }
            match reply {
                Some((StatusCode::OK, body)) if body.ends_with(&format!("data: {id}-3\n\n")) => {
                    let mut observed = self.observed.lock().expect("lock");
                    let tokens = observed.tokens.entry(program.to_owned()).or_default();
                    *tokens += TURN_TOKENS;
                    assert!(*tokens <= BUDGET_TOKENS + TURN_TOKENS_MAX, "{program} spent {tokens}");
                    return Some(id);
                }
                Some((StatusCode::PAYMENT_REQUIRED, _)) => {
                    self.check_spent(program);
                    return None;
                }
                Some((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, reason)) => {
                    assert!(
                        time::Instant::now() < deadline,
                        "{input} is not served in time: {reason}"
                    );
                }
                Some((StatusCode::NOT_FOUND, body)) => panic!("completed turn is lost: {body}"),
                Some((StatusCode::OK, body)) => panic!("status 200 but incomplete: {body}"),
                _ => {
                    assert!(time::Instant::now() < deadline, "{program} is not served in time");
                    let mut observed = self.observed.lock().expect("lock");
                    *observed.unknown.entry(program.to_owned()).or_default() += 1;
                }
            }
            time::sleep(Duration::from_millis(20 + random.between(0, 80))).await;
        }
    }

    /// Runs one client of programs that send whole prompts, on a route that
    /// resumes streams and on one that does not. Each program sends turns until
    /// its budget is spent.
    async fn run_whole_prompts(&self, number: usize, mut random: Random) {
        let mut programs = 0;
        while !self.is_finished.load(Ordering::Relaxed) || programs == 0 {
            programs += 1;
            let program = format!("whole-{number}-{programs}");
            while self.whole_turn(&program, &mut random).await {}
        }
    }

    /// Retries a turn until it gets a complete response; returns `false` if the
    /// budget is spent.
    async fn whole_turn(&self, program: &str, random: &mut Random) -> bool {
        let deadline = time::Instant::now() + SERVE_TIMEOUT;
        let (budget, count) = (BUDGET_TOKENS.to_string(), format!("10,{TURN_TOKENS_MAX}"));
        let mut is_settled = false;
        loop {
            let id = self.id();
            let headers = [
                ("request-id", id.as_str()),
                ("request-deadline", "3000"),
                ("program-id", program),
                ("session-id", program),
                ("token-budget", &budget),
                ("token-count", &count),
                ("prompt-prefix", "5a:12600,5b:840"),
            ];
            let (path, runs_max) =
                [("/whole/x", 1), ("/resume/x", 2)][usize::from(random.chance(0.5))];
            let gateway = random.between(0, GATEWAYS as u64) as usize;
            let reply = self.send(gateway, path, &headers, "prompt").await;
            let runs = self.runs(&id).len();
            assert!(runs <= runs_max, "turn on {path} ran {runs} times: {id}");
            let whole: String =
                (1..=3).map(|event| format!("id: {event}\ndata: {id}-{event}\n\n")).collect();
            match reply {
                Some((StatusCode::OK, body)) => {
                    assert_eq!(body, whole, "wrong events of {id} on {path}");
                    let mut observed = self.observed.lock().expect("lock");
                    let tokens = observed.tokens.entry(program.to_owned()).or_default();
                    *tokens += TURN_TOKENS;
                    assert!(*tokens <= BUDGET_TOKENS + TURN_TOKENS_MAX, "{program} spent {tokens}");
                    return true;
                }
                Some((StatusCode::PAYMENT_REQUIRED, _)) => {
                    assert_eq!(runs, 0, "turn was refused for its budget but ran: {id}");
                    if is_settled || self.is_spent(program) {
                        self.check_spent(program);
                        return false;
                    }
                    // The previous turn may be charged at its maximum for this long.
                    time::sleep(SETTLE_TIME).await;
                    is_settled = true;
                }
                Some((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _)) => {
                    assert_eq!(runs, 0, "turn was reported as not executed but ran: {id}");
                }
                _ => {
                    let mut observed = self.observed.lock().expect("lock");
                    *observed.unknown.entry(program.to_owned()).or_default() += 1;
                }
            }
            assert!(time::Instant::now() < deadline, "{program} is not served in time");
            time::sleep(Duration::from_millis(20 + random.between(0, 80))).await;
        }
    }

    /// Returns the tokens that a program spent, and the maximum charge of its
    /// attempts that may have run.
    fn spent(&self, program: &str) -> (u64, u64) {
        let observed = self.observed.lock().expect("lock");
        let spent = observed.tokens.get(program).copied().unwrap_or(0);
        (spent, observed.unknown.get(program).copied().unwrap_or(0) * TURN_TOKENS_MAX)
    }

    /// Whether the remaining budget may be too small for one more turn.
    fn is_spent(&self, program: &str) -> bool {
        let (spent, unknown) = self.spent(program);
        spent + unknown + TURN_TOKENS_MAX > BUDGET_TOKENS
    }

    /// Checks that a budget reported as spent has no room for one more turn, with
    /// attempts that may have run charged at their maximum.
    fn check_spent(&self, program: &str) {
        let (spent, unknown) = self.spent(program);
        assert!(
            self.is_spent(program),
            "{program}: budget reported as spent too early: {spent}, at most {unknown} more"
        );
    }

    /// Sends a call that may not be repeated, and records whether it was refused.
    async fn call(&self, random: &mut Random) {
        let id = self.id();
        let headers = [("request-id", id.as_str()), ("request-deadline", "1000")];
        let gateway = random.between(0, GATEWAYS as u64) as usize;
        let reply = self.send(gateway, "/once/x", &headers, "order").await;
        let mut observed = self.observed.lock().expect("lock");
        observed.sent.push(id.clone());
        if let Some((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _)) = reply {
            observed.refused.push(id);
        }
    }

    fn record_disruption(&self, gateway: usize) {
        self.disrupted_at.lock().expect("lock")[gateway] = Instant::now();
    }

    /// Returns the number of replicas that ran a request.
    fn run_count(&self, id: &str) -> usize {
        self.replicas.iter().filter(|replica| replica.runs().iter().any(|run| run.id == id)).count()
    }

    /// Retries a request that crashes replicas, at random gateways, until the run
    /// is over. From then on, the request has to be refused repeatedly.
    async fn retry_poison(&self, (path, body): (&str, &str), mut random: Random) {
        let mut crashes = 0;
        let mut third_crash: Option<Instant> = None;
        let mut late = 0;
        let mut refused = 0;
        let deadline = Instant::now() + SERVE_TIMEOUT;
        while !self.is_finished.load(Ordering::Relaxed) || refused < 2 * GATEWAYS {
            let gateway = random.between(0, GATEWAYS as u64) as usize;
            let id = self.id();
            let headers = [("request-id", id.as_str()), ("request-deadline", "800")];
            let began = Instant::now();
            let sending = self.send(gateway, path, &headers, body);
            let client_timeout = Duration::from_millis(random.between(100, 1_500));
            let reply = time::timeout(client_timeout, sending).await.ok().flatten();
            let is_finished = self.is_finished.load(Ordering::Relaxed);
            let is_refused = reply.is_some_and(|(_, body)| body.contains("crashed"));
            refused = if is_refused && is_finished { refused + 1 } else { 0 };
            time::sleep(RETRY_PAUSE).await;
            let run_count = self.run_count(&id);
            crashes += run_count;
            // A gateway that was just disrupted may not have received the crash
            // facts of the others yet, so its retries don't count as late.
            let undisrupted =
                began.duration_since(self.disrupted_at.lock().expect("lock")[gateway]);
            let is_late =
                third_crash.is_some_and(|third_crash| began > third_crash + PROPAGATION_LIMIT);
            late += usize::from(run_count > 0 && is_late && undisrupted > PROPAGATION_LIMIT);
            if third_crash.is_none() && crashes >= 3 {
                third_crash = Some(Instant::now());
            }
            assert!(
                late <= LATE_RETRIES_MAX,
                "{path} {body}: {late} late retries, {crashes} crashes"
            );
            assert!(Instant::now() < deadline, "{path} {body}: still not refused at the end");
        }
        println!("{path} {body}: {crashes} crashes, {late} late retries");
    }

    /// Restarts crashed replicas as new incarnations, each with a random kind of
    /// crash.
    async fn restart_replicas(&self, mut random: Random) {
        loop {
            time::sleep(DOWN_TIME / 3).await;
            for replica in self.replicas.iter().filter(|replica| replica.is_down()) {
                time::sleep(DOWN_TIME).await;
                replica.set_crash(Crash::ALL[random.between(0, Crash::ALL.len() as u64) as usize]);
                replica.restart(false).await;
                self.store.put("servers", &replica.name, replica.entry("app", "ready"));
            }
        }
    }

    /// Returns the bodies with which replicas ran a request.
    fn runs(&self, id: &str) -> Vec<String> {
        let runs = self.replicas.iter().flat_map(FakeReplica::runs);
        runs.filter(|run| run.id == id).map(|run| run.body).collect()
    }

    /// Checks that no call ran twice, and that no refused call ran.
    fn check_calls(&self) {
        let mut counts: HashMap<String, usize> = HashMap::new();
        for run in self.replicas.iter().flat_map(FakeReplica::runs) {
            *counts.entry(run.id).or_default() += 1;
        }
        let observed = self.observed.lock().expect("lock");
        for id in &observed.sent {
            assert!(counts.get(id).copied().unwrap_or(0) <= 1, "call {id} ran twice");
        }
        for id in &observed.refused {
            assert!(!counts.contains_key(id), "call {id} was reported as not executed but ran");
        }
    }
}

/// Injects faults one after the other; some overlap the next one.
async fn inject_faults(
    soak: &Soak,
    servers: &mut [ServerProcess],
    folders: &[TempDir],
    random: &mut Random,
) {
    const REPLICA_FAULTS: [Behaviour; 5] = [
        Behaviour::Refuse,
        Behaviour::ResetAfterRun,
        Behaviour::ResetMidEvent,
        Behaviour::Unsigned,
        Behaviour::Normal,
    ];
    let mut version = 10;
    for _ in 0..FAULTS {
        let ledger = random.between(0, LEDGERS as u64) as usize;
        let gateway = LEDGERS + random.between(0, GATEWAYS as u64) as usize;
        let pause = Duration::from_millis(50 + random.between(0, 400));
        match random.between(0, 8) {
            0 => {
                servers[ledger].kill();
                time::sleep(pause).await;
                servers[ledger].start();
            }
            1 => {
                servers[ledger].signal(libc::SIGSTOP);
                time::sleep(pause * 3).await;
                servers[ledger].signal(libc::SIGCONT);
            }
            2 => {
                // The layout has to be complete before a disk is lost, so that no
                // other member is missing.
                wait_for_layout(&soak.store).await;
                servers[ledger].kill();
                for entry in std::fs::read_dir(folders[ledger].path()).expect("read folder") {
                    std::fs::remove_file(entry.expect("read folder entry").path())
                        .expect("remove file");
                }
                servers[ledger].start();
                wait_for_layout(&soak.store).await;
            }
            3 => {
                servers[gateway].kill();
                servers[gateway].start();
                soak.record_disruption(gateway - LEDGERS);
            }
            4 => {
                servers[gateway].signal(libc::SIGSTOP);
                time::sleep(pause).await;
                servers[gateway].signal(libc::SIGCONT);
                soak.record_disruption(gateway - LEDGERS);
            }
            5 => {
                for server in servers.iter_mut() {
                    server.kill();
                }
                servers.iter_mut().for_each(ServerProcess::start);
                (0..GATEWAYS).for_each(|gateway| soak.record_disruption(gateway));
            }
            6 => {
                let store_faults = match random.between(0, 4) {
                    0 => FaultProfile { is_hanging: true, ..FaultProfile::default() },
                    1 => FaultProfile { drop_responses: true, ..FaultProfile::default() },
                    2 => FaultProfile { write_delay: Some(pause), ..FaultProfile::default() },
                    _ => FaultProfile {
                        refuse: Some(StatusCode::SERVICE_UNAVAILABLE),
                        ..FaultProfile::default()
                    },
                };
                soak.store.set_faults(store_faults);
                time::sleep(pause * 2).await;
                soak.store.compact_history();
                soak.store.set_faults(FaultProfile::default());
            }
            _ => {
                version += 1;
                soak.store.put("config", "main", configuration(version, &ROUTES));
                let replica =
                    &soak.replicas[random.between(0, soak.replicas.len() as u64) as usize];
                replica.set_behaviour(
                    REPLICA_FAULTS[random.between(0, REPLICA_FAULTS.len() as u64) as usize],
                );
                time::sleep(pause).await;
                replica.set_behaviour(Behaviour::Normal);
            }
        }
        time::sleep(pause).await;
    }
}

/// A deployment of processes and the state of its clients.
struct Fleet {
    soak: Arc<Soak>,
    processes: Processes,
}

async fn start() -> Fleet {
    let processes = Processes::start(GATEWAYS, REPLICAS).await;
    let soak = Arc::new(Soak {
        store: processes.store.clone(),
        replicas: processes.replicas.clone(),
        clients: processes.clients.clone(),
        client: Client::default(),
        next_id: AtomicU64::new(1),
        observed: Mutex::default(),
        is_finished: AtomicBool::new(false),
        disrupted_at: Mutex::new([Instant::now(); GATEWAYS]),
    });
    Fleet { soak, processes }
}

/// Serializes the runs, since each of them starts a dozen processes or more.
static RUN_LOCK: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Runs one seed, with `whole_clients` additional clients that send whole prompts.
async fn run(seed: u64, whole_clients: usize) {
    let _guard = RUN_LOCK.lock().await;
    let mut fleet = start().await;
    let soak = fleet.soak.clone();
    let mut random = Random::new(seed);
    let restart_task = {
        let (soak, random) = (soak.clone(), Random::new(seed + 500_000));
        tokio::spawn(async move { soak.restart_replicas(random).await })
    };
    let poison_tasks = POISONS.into_iter().enumerate().map(|(number, poison)| {
        let soak = soak.clone();
        let random = Random::new(seed * 1_000 + 500 + number as u64);
        tokio::spawn(async move { soak.retry_poison(poison, random).await })
    });
    let poison_tasks: Vec<_> = poison_tasks.collect();
    let client_tasks: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let soak = soak.clone();
            let random = Random::new(seed * 1_000 + number as u64);
            tokio::spawn(async move { soak.run_client(number, random).await })
        })
        .collect();
    let whole_tasks: Vec<_> = (0..whole_clients)
        .map(|number| {
            let soak = soak.clone();
            let random = Random::new(seed * 1_000 + 700 + number as u64);
            tokio::spawn(async move { soak.run_whole_prompts(number, random).await })
        })
        .collect();
    {
        let processes = &mut fleet.processes;
        inject_faults(&soak, &mut processes.servers, &processes.folders, &mut random).await;
    }
    soak.is_finished.store(true, Ordering::Relaxed);
    for client in client_tasks.into_iter().chain(poison_tasks).chain(whole_tasks) {
        if let Err(err) = client.await {
            panic!("seed {seed}: {err}");
        }
    }
    restart_task.abort();
    soak.check_calls();
    let observed = soak.observed.lock().expect("lock");
    println!("seed {seed}: {} programs, {} calls", observed.tokens.len(), observed.sent.len());
}

/// Turns that are refused while most ledgers are frozen leave no budget reserved
/// once the ledgers resume.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_turns_release_budget() {
    let fleet = start().await;
    let soak = &fleet.soak;
    let turn = async |id: String| {
        let headers = [
            ("request-id", id.as_str()),
            ("request-deadline", "3000"),
            ("program-id", "p"),
            ("token-budget", "150"),
            ("token-count", "10,100"),
        ];
        soak.send(0, "/turn/x", &headers, "input").await.map(|(status, _)| status)
    };
    support::deployment::eventually("a first turn succeeds", async || {
        let headers = [("request-id", soak.id()), ("request-deadline", "3000".into())];
        let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        soak.send(0, "/turn/x", &headers, "x").await.is_some_and(|(s, _)| s == StatusCode::OK)
    })
    .await;
    fleet.processes.servers[..2].iter().for_each(|server| server.signal(libc::SIGSTOP));
    for _ in 0..3 {
        let status = turn(soak.id()).await;
        assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    }
    fleet.processes.servers[..2].iter().for_each(|server| server.signal(libc::SIGCONT));
    let deadline = time::Instant::now() + SERVE_TIMEOUT;
    loop {
        match turn(soak.id()).await {
            Some(StatusCode::OK) => break,
            Some(StatusCode::PAYMENT_REQUIRED) => panic!("refused turns are charged to the budget"),
            other => assert!(time::Instant::now() < deadline, "not served in time: {other:?}"),
        }
        time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_in_turn() {
    if let Ok(seed) = std::env::var("GG_SOAK_SEED") {
        return run(seed.parse().expect("GG_SOAK_SEED is a number"), 0).await;
    }
    let more = std::env::var("GG_SOAK_SEEDS").ok().and_then(|count| count.parse::<u64>().ok());
    let additional = (0..more.unwrap_or(0)).map(|number| 1_000 + number);
    for seed in SEEDS.into_iter().chain(additional) {
        run(seed, 0).await;
    }
}

/// Also runs programs that send whole prompts: only their accounts are stored,
/// and their streams may resume at other replicas.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_prompts_in_turn() {
    let seeds = match std::env::var("GG_SOAK_SEED") {
        Ok(seed) => vec![seed.parse().expect("GG_SOAK_SEED is a number")],
        Err(_) => WHOLE_PROMPT_SEEDS.to_vec(),
    };
    for seed in seeds {
        run(seed, WHOLE_CLIENTS).await;
    }
}
