//! A fleet on loopback: a platform, engines and services in this process,
//! and daemons as processes of their own.

use std::{
    fs, io,
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        LazyLock, Mutex, MutexGuard,
        atomic::{AtomicU16, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use gg_http::Client;
use http::Request;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::{CallerClient, EngineCosts, EventLog, FakeEngine, FakePlatform, FakeService};

/// Customers of every fleet; the key is `key-` and the name.
pub const CUSTOMERS: [&str; 2] = ["ukhozi", "nyabugogo"];

/// Names of the data centres, used in turn.
const CENTRES: [&str; 3] = ["north", "south", "west"];

/// Longest wait for a daemon to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Lines of a log that are shown with a daemon that does not get ready.
const LAST_LINES: usize = 40;

/// How a daemon's process is started: program and first arguments; the
/// settings file is appended.
#[derive(Clone, Debug)]
pub struct Starter {
    /// Program to run.
    pub program: PathBuf,
    /// Arguments before the settings file.
    pub arguments: Vec<String>,
}

impl Starter {
    /// Runs a daemon's binary.
    pub fn binary(program: impl Into<PathBuf>) -> Self {
        Starter { program: program.into(), arguments: Vec::new() }
    }
}

/// Size and parts of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Daemons.
    pub daemons: usize,
    /// Engines, all holding model `m1`.
    pub engines: usize,
    /// Replicas of the service `orders`.
    pub services: usize,
    /// Slots of each engine.
    pub slots: u32,
    /// Costs of the engines.
    pub costs: EngineCosts,
    /// Lines appended to the section `[timing]`.
    pub timing: String,
    /// Lines appended to the section `[journal]`.
    pub journal: String,
    /// Documents applied after the start.
    pub config: String,
    /// Seed of the stand-ins.
    pub seed: u64,
    /// Level of the daemons' logs, which go to files.
    pub log_level: String,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            daemons: 3,
            engines: 2,
            services: 1,
            slots: 8,
            costs: EngineCosts::default(),
            timing: FAST_TIMING.into(),
            journal: String::new(),
            config: PROFILES.into(),
            seed: 1,
            log_level: "info".into(),
        }
    }
}

/// Timing for tests: failures are noticed in about a second.
const FAST_TIMING: &str = "probe_ms = 200\nsuspect_ms = 1000\nlist_ms = 200\n\
                           config_list_ms = 1000\nrequest_ms = 30000\ndrain_ms = 10000\n";

/// Profiles of both users' work.
const PROFILES: &str = "
[profile urgent]
rank = 0
target_ms = 60000
budget_tokens = 1000000
floor_percent = 0

[profile background]
rank = 1
target_ms = 600000
budget_tokens = 1000000
floor_percent = 20
";

/// A daemon in a process of its own.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Name of its instance.
    pub name: String,
    /// Its data centre.
    pub centre: String,
    /// Callers' address.
    pub callers: String,
    /// Other daemons' address.
    pub peers: String,
    /// Operators' address.
    pub operators: String,
    /// Its log file.
    pub log: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

impl DaemonProcess {
    /// Process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        if let Some(id) = self.id() {
            // SAFETY: kill only takes numbers; the process is our child and
            // has not been waited for, so its id is still its own.
            unsafe { libc::kill(id as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks for a planned stop and waits for the end. Returns whether the
    /// exit status was 0.
    pub async fn terminate(&mut self) -> bool {
        self.signal(libc::SIGTERM);
        let Some(mut child) = self.child.take() else { return false };
        tokio::task::spawn_blocking(move || child.wait().is_ok_and(|status| status.success()))
            .await
            .unwrap_or(false)
    }

    /// Whether the process runs, and the end of its log.
    fn last_words(&self) -> String {
        let state = self.id().and_then(|id| fs::read_to_string(format!("/proc/{id}/stat")).ok());
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let tail = lines[lines.len().saturating_sub(LAST_LINES)..].join("\n");
        format!("process {}, log:\n{tail}", state.as_deref().unwrap_or("gone"))
    }

    /// Processor time used so far.
    pub fn cpu(&self) -> Duration {
        let ticks = || -> Option<u64> {
            let stat = fs::read_to_string(format!("/proc/{}/stat", self.id()?)).ok()?;
            let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
            Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
        };
        // Linux reports hundredths of a second.
        Duration::from_millis(ticks().unwrap_or(0) * 10)
    }

    /// Resident memory, in bytes.
    pub fn memory(&self) -> u64 {
        let pages = || -> Option<u64> {
            let statm = fs::read_to_string(format!("/proc/{}/statm", self.id()?)).ok()?;
            statm.split_whitespace().nth(1)?.parse().ok()
        };
        pages().unwrap_or(0) * 4096
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Everything that runs together.
pub struct Fleet {
    /// The platform.
    pub platform: FakePlatform,
    /// Engines `e0`, `e1`, …
    pub engines: Vec<FakeEngine>,
    /// Replicas `s0`, `s1`, … of the service `orders`.
    pub services: Vec<FakeService>,
    /// Daemons `a0`, `a1`, …
    pub daemons: Vec<DaemonProcess>,
    /// What callers and services see.
    pub log: EventLog,
    settings: FleetSettings,
    starter: Starter,
    folder: PathBuf,
    keep: bool,
    stop: CancellationToken,
}

impl Fleet {
    /// Starts a fleet whose files are in a new folder, and waits until all
    /// daemons are ready.
    pub async fn start(starter: Starter, settings: FleetSettings) -> Self {
        let stop = CancellationToken::new();
        let folder = new_folder();
        let log = EventLog::default();
        let platform = FakePlatform::start(settings.seed, stop.clone()).await;
        let mut engines = Vec::new();
        for index in 0..settings.engines {
            let fenced = index % 2 == 0;
            engines.push(FakeEngine::start(settings.costs.clone(), fenced, stop.clone()).await);
        }
        let mut services = Vec::new();
        for _ in 0..settings.services {
            services.push(FakeService::start(log.clone(), stop.clone()).await);
        }
        let mut fleet = Fleet {
            platform,
            engines,
            services,
            daemons: Vec::new(),
            log,
            settings,
            starter,
            folder,
            keep: false,
            stop,
        };
        fleet.list_upstreams();
        for index in 0..fleet.settings.daemons {
            fleet.add_daemon(index);
        }
        let documents = fleet.documents();
        fleet.apply(&documents).await;
        fleet.wait_ready().await;
        let count = documents.lines().filter(|line| line.starts_with('[')).count();
        fleet.wait_in_force(count).await;
        fleet
    }

    fn list_upstreams(&self) {
        let engines = self.engines.iter().map(|engine| ("e", engine.address));
        let services = self.services.iter().map(|service| ("s", service.address));
        for (kind, address) in engines.chain(services) {
            let index = match kind {
                "e" => self.engines.iter().position(|engine| engine.address == address),
                _ => self.services.iter().position(|service| service.address == address),
            };
            let index = index.unwrap_or(0);
            let centre = CENTRES[index % CENTRES.len()];
            let name = format!("{kind}{index}");
            self.platform.list_instance(&name, "upstream", centre, &address.to_string(), "live");
        }
    }

    /// The documents that the fleet starts with.
    fn documents(&self) -> String {
        let mut text = self.settings.config.clone();
        for (index, engine) in self.engines.iter().enumerate() {
            let fenced = if index % 2 == 0 { "yes" } else { "no" };
            text.push_str(&format!(
                "\n[upstream e{index}]\nkind = engine\naddress = {}\ndata_centre = {}\n\
                 models = m1\nslots = {}\nfenced = {fenced}\n",
                engine.address,
                CENTRES[index % CENTRES.len()],
                self.settings.slots,
            ));
        }
        for (index, service) in self.services.iter().enumerate() {
            text.push_str(&format!(
                "\n[upstream s{index}]\nkind = service\naddress = {}\ndata_centre = {}\n\
                 service = orders\nslots = 64\n",
                service.address,
                CENTRES[index % CENTRES.len()],
            ));
        }
        for customer in CUSTOMERS {
            let digest = blake3::hash(format!("key-{customer}").as_bytes()).to_hex();
            text.push_str(&format!("\n[customer {customer}]\nkeys = {digest}\n"));
        }
        text
    }

    /// Starts daemon number `index` on new ports.
    pub fn add_daemon(&mut self, index: usize) {
        let name = format!("a{index}");
        let centre = CENTRES[index % CENTRES.len()].to_owned();
        let [callers, peers, operators] = [(); 3].map(|()| free_address());
        let settings = self.folder.join(format!("{name}.ini"));
        let log = self.folder.join(format!("{name}.log"));
        let text = format!(
            "[instance]\nname = {name}\ndata_centre = {centre}\n\
             [listen]\ncallers = {callers}\npeers = {peers}\noperators = {operators}\n\
             [platform]\naddress = {}\ntimeout_ms = 1000\n\
             [journal]\n{}\n[timing]\n{}\n[security]\npeer_key = fleet-secret\n\
             [log]\nlevel = {}\nfile = {}\n",
            self.platform.address,
            self.settings.journal,
            self.settings.timing,
            self.settings.log_level,
            log.display(),
        );
        fs::write(&settings, text).expect("settings file");
        let mut daemon =
            DaemonProcess { name, centre, callers, peers, operators, log, settings, child: None };
        self.list_daemon(&daemon);
        daemon.child = Some(spawn(&self.starter, &daemon.settings));
        self.daemons.push(daemon);
    }

    /// Puts a daemon on the platform's list.
    pub fn list_daemon(&self, daemon: &DaemonProcess) {
        let platform = &self.platform;
        platform.list_instance(&daemon.name, "entry", &daemon.centre, &daemon.peers, "live");
    }

    /// Starts a daemon again, on its old ports.
    pub fn restart(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.kill();
        daemon.child = Some(spawn(&self.starter, &daemon.settings));
        let daemon = &self.daemons[index];
        self.list_daemon(daemon);
    }

    /// Applies documents through the first daemon that answers.
    pub async fn apply(&self, text: &str) {
        let client = Client::default();
        let give_up = time::Instant::now() + READY_TIMEOUT;
        while time::Instant::now() < give_up {
            for daemon in &self.daemons {
                let request = Request::post(format!("http://{}/config", daemon.operators))
                    .header("x-gg-force", "yes")
                    .body(text.to_owned().into())
                    .expect("request");
                let reply = client.call(request, Duration::from_secs(20)).await;
                if reply.is_ok_and(|reply| reply.status.is_success()) {
                    return;
                }
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no daemon accepted the configuration; see {}", self.folder.display());
    }

    /// Waits until every running daemon is ready and knows all others.
    pub async fn wait_ready(&self) {
        let give_up = time::Instant::now() + READY_TIMEOUT;
        for daemon in self.daemons.iter().filter(|daemon| daemon.child.is_some()) {
            while !is_ready(&daemon.operators).await {
                let late = time::Instant::now() >= give_up;
                assert!(!late, "{} is not ready: {}", daemon.name, daemon.last_words());
                time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits until every daemon has so many documents in force. They are
    /// accepted one after the other, and a daemon that is ready may not have
    /// heard of the last ones yet.
    async fn wait_in_force(&self, documents: usize) {
        let give_up = time::Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            while documents_in_force(&daemon.operators).await < documents {
                let late = time::Instant::now() >= give_up;
                assert!(!late, "{} is not configured: {}", daemon.name, daemon.last_words());
                time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// A caller of a customer, spread over the running daemons.
    pub fn caller(&self, customer: &str) -> CallerClient {
        let running = self.daemons.iter().filter(|daemon| daemon.child.is_some());
        let daemons = running.map(|daemon| daemon.callers.clone()).collect();
        CallerClient::new(daemons, &format!("key-{customer}"))
    }

    /// A caller of a customer that uses one daemon only.
    pub fn caller_of(&self, customer: &str, index: usize) -> CallerClient {
        CallerClient::new(vec![self.daemons[index].callers.clone()], &format!("key-{customer}"))
    }

    /// Leaves settings and logs behind when the fleet is dropped.
    pub fn keep_files(&mut self) {
        self.keep = true;
    }

    /// Folder with settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        self.stop.cancel();
        if !self.keep && !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

async fn is_ready(operators: &str) -> bool {
    get(operators, "ready").await.is_some()
}

async fn documents_in_force(operators: &str) -> usize {
    let body = get(operators, "versions").await.unwrap_or_default();
    let versions: Vec<serde_json::Value> = serde_json::from_slice(&body).unwrap_or_default();
    versions.len()
}

/// Body of a good answer of a daemon's operators' interface.
async fn get(operators: &str, path: &str) -> Option<Bytes> {
    let request = Request::get(format!("http://{operators}/{path}")).body(Default::default());
    let reply = Client::default().call(request.ok()?, Duration::from_secs(1)).await.ok()?;
    reply.status.is_success().then_some(reply.body)
}

/// Held while a port is tried and while a process starts: a process that is
/// being started holds copies of all open sockets until its program runs, and
/// with them a port that is just being tried in another thread.
static STARTING: Mutex<()> = Mutex::new(());

fn starting() -> MutexGuard<'static, ()> {
    STARTING.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Starts a process while no port is tried; returns when its program runs.
pub fn start_process(command: &mut Command) -> io::Result<Child> {
    let _starting = starting();
    command.spawn()
}

fn spawn(starter: &Starter, settings: &Path) -> Child {
    let mut command = Command::new(&starter.program);
    command
        .args(&starter.arguments)
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::inherit());
    start_process(&mut command).expect("daemon process")
}

fn new_folder() -> PathBuf {
    let name = format!("greengagefork-{}-{:08x}", std::process::id(), rand::random::<u32>());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("folder for a fleet's files");
    folder
}

/// Ports for daemons, below those that the system gives to connections, which
/// could take one before its daemon listens.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// A loopback address that was free a moment ago, handed out only once by
/// this process, so that a daemon that is down keeps its ports.
pub fn free_address() -> String {
    static NEXT: LazyLock<AtomicU16> = LazyLock::new(|| AtomicU16::new(rand::random_range(PORTS)));
    loop {
        let port = PORTS.start + NEXT.fetch_add(1, Ordering::Relaxed) % (PORTS.end - PORTS.start);
        let address = format!("127.0.0.1:{port}");
        let _starting = starting();
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
}
