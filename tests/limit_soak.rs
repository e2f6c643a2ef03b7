//! Fault soak of rate limits: gateways and ledgers run as processes, replicas
//! announce limits, and the ledger instances that issue the permits are killed,
//! frozen, emptied and cut off from the store, one beside the other. The
//! gateways are left alone, as a limit excuses none of them then.
//!
//! `GG_SOAK_SEEDS=50 cargo test --release --test limit_soak -- --nocapture` runs
//! more seeds, `GG_SOAK_SEED=7` only that one.

#[path = "../platform/tests/support/mod.rs"]
mod support;

mod processes;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use gg_fakes::Random;
use gg_http::{Client, Reply};
use http::{Request, StatusCode};
use processes::{LEDGERS, Processes, ServerProcess, wait_for_layout};
use support::{
    FakeReplica, FaultProfile,
    deployment::eventually,
    rate_limit::{NOTICE, allowed, busiest_window},
};
use tokio::time::{self, Instant};

const SEEDS: [u64; 2] = [1, 2];

const GATEWAYS: usize = 3;

/// Replicas; all but one announce a limit.
const REPLICAS: usize = 3;

/// Clients at each gateway; each sends one request after the other.
const CLIENTS: usize = 2;

/// Faults injected in one run.
const FAULTS: usize = 10;

/// State of the clients.
struct Clients {
    processes: Arc<Processes>,
    client: Client,
    next_id: AtomicU64,
    refused: Mutex<Vec<String>>,
    is_finished: AtomicBool,
}

impl Clients {
    /// Sends a request. Calls and streams, repeatable or not, take turns.
    async fn send(&self, gateway: usize) -> Option<Reply> {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let path = ["/call/x", "/once/x", "/whole/x"][number as usize % 3];
        let request = Request::post(format!("http://{}{path}", self.processes.clients[gateway]))
            .header("host", "app.example")
            .header("request-id", &id)
            .header("request-deadline", "2000")
            .header("program-id", "p")
            .header("session-id", "s")
            .header("token-budget", "100000000")
            .header("token-count", "10,100")
            .body(Bytes::from_static(b"x"));
        let reply = self.client.call(request.expect("request"), Duration::from_secs(10)).await;
        let reply = reply.ok()?;
        if [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS].contains(&reply.status)
        {
            self.refused.lock().expect("lock").push(id);
        }
        Some(reply)
    }

    /// Sends through each gateway until it has forwarded the announcements of
    /// these replicas.
    async fn announce(&self, replicas: &[FakeReplica]) {
        for gateway in 0..GATEWAYS {
            for replica in replicas {
                eventually("the gateway has forwarded the limit", || async {
                    let Some(reply) = self.send(gateway).await else { return false };
                    reply.header("server-signature").is_some_and(|it| it.starts_with(&replica.name))
                        && reply.header("server-limit").is_some()
                })
                .await;
            }
        }
        time::sleep(NOTICE).await;
    }

    async fn run_client(&self, gateway: usize) {
        while !self.is_finished.load(Ordering::Relaxed) {
            let is_served =
                self.send(gateway).await.is_some_and(|reply| reply.status == StatusCode::OK);
            if !is_served {
                time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Injects faults; each overlaps the next one.
async fn inject_faults(processes: &Processes, servers: &mut [ServerProcess], random: &mut Random) {
    let mut frozen = None;
    for _ in 0..FAULTS {
        let ledger = random.between(0, LEDGERS as u64) as usize;
        let pause = Duration::from_millis(100 + random.between(0, 900));
        match random.between(0, 5) {
            0 => {
                servers[ledger].kill();
                time::sleep(pause).await;
                servers[ledger].start();
            }
            1 => {
                servers[ledger].signal(libc::SIGSTOP);
                if let Some(former) = frozen.replace(ledger) {
                    servers[former].signal(libc::SIGCONT);
                }
            }
            2 => {
                // Only one disk may be lost at a time, so the former loss has to
                // be made good.
                if let Some(former) = frozen.take() {
                    servers[former].signal(libc::SIGCONT);
                }
                wait_for_layout(&processes.store).await;
                servers[ledger].kill();
                for entry in std::fs::read_dir(processes.folders[ledger].path()).expect("folder") {
                    std::fs::remove_file(entry.expect("entry").path()).expect("remove file");
                }
                servers[ledger].start();
            }
            3 => {
                servers[..LEDGERS].iter_mut().for_each(ServerProcess::kill);
                servers[..LEDGERS].iter_mut().for_each(ServerProcess::start);
            }
            _ => {
                processes
                    .store
                    .set_faults(FaultProfile { is_hanging: true, ..FaultProfile::default() });
                time::sleep(pause).await;
                processes.store.set_faults(FaultProfile::default());
            }
        }
        time::sleep(pause).await;
    }
    if let Some(former) = frozen {
        servers[former].signal(libc::SIGCONT);
    }
}

/// Runs one seed and prints the busiest windows.
async fn run(seed: u64) {
    let mut random = Random::new(seed);
    let mut processes = Processes::start(GATEWAYS, REPLICAS).await;
    let mut servers = std::mem::take(&mut processes.servers);
    let processes = Arc::new(processes);
    let limited = &processes.replicas[1..];
    let rates: Vec<f64> = limited.iter().map(|_| random.between(1, 25) as f64 / 2.0).collect();
    for (replica, rate) in limited.iter().zip(&rates) {
        replica.set_rate_limit(Some(*rate));
    }
    let clients = Arc::new(Clients {
        processes: processes.clone(),
        client: Client::default(),
        next_id: AtomicU64::new(1),
        refused: Mutex::default(),
        is_finished: AtomicBool::new(false),
    });
    clients.announce(limited).await;
    let since = Instant::now();
    let tasks: Vec<_> = (0..CLIENTS * GATEWAYS)
        .map(|number| {
            let clients = clients.clone();
            tokio::spawn(async move { clients.run_client(number % GATEWAYS).await })
        })
        .collect();
    inject_faults(&processes, &mut servers, &mut random).await;
    clients.is_finished.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.unwrap_or_else(|err| panic!("seed {seed}: {err}"));
    }
    for (replica, rate) in limited.iter().zip(&rates) {
        let allowed = allowed(*rate);
        let busiest = busiest_window(replica, since);
        println!("seed {seed}: {} at {rate}/s: {busiest} of {allowed}", replica.name);
        assert!(busiest <= allowed, "seed {seed}: {busiest} of {allowed} at {rate}/s");
    }
    let runs: Vec<String> =
        processes.replicas.iter().flat_map(FakeReplica::runs).map(|run| run.id).collect();
    for id in clients.refused.lock().expect("lock").iter() {
        assert!(!runs.contains(id), "seed {seed}: {id} was refused and has run");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_hold_under_faults() {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds: Vec<u64> = match (number("GG_SOAK_SEED"), number("GG_SOAK_SEEDS")) {
        (Some(seed), _) => vec![seed],
        (None, Some(count)) => (1_000..1_000 + count).collect(),
        (None, None) => SEEDS.to_vec(),
    };
    for seed in seeds {
        run(seed).await;
    }
}
