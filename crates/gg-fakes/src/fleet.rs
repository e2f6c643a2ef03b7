//! A fleet on loopback: a platform, engines and services in this process, and
//! daemons in separate processes.

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

/// Customers of every fleet. The API key of a customer is `key-` and its name.
pub const CUSTOMERS: [&str; 2] = ["ukhozi", "nyabugogo"];

/// Names of the data centres, which instances are assigned to in rotation.
const CENTRES: [&str; 3] = ["north", "south", "west"];

/// Maximum time until a daemon is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of log lines that are shown for a daemon that doesn't become ready.
const LOG_TAIL_LINES: usize = 40;

/// Command that starts a daemon. The path of the settings file is appended to the
/// arguments.
#[derive(Clone, Debug)]
pub struct DaemonCommand {
    /// Executable to run.
    pub program: PathBuf,
    /// Arguments before the settings file.
    pub arguments: Vec<String>,
}

impl DaemonCommand {
    /// A command that runs a daemon's binary without arguments.
    pub fn binary(program: impl Into<PathBuf>) -> Self {
        DaemonCommand { program: program.into(), arguments: Vec::new() }
    }
}

/// Size and configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines, which all serve the model `m1`.
    pub engines: usize,
    /// Number of replicas of the service `orders`.
    pub services: usize,
    /// Slots of each engine.
    pub slots: u32,
    /// Simulated costs of the engines.
    pub costs: EngineCosts,
    /// Lines of the section `[timing]`.
    pub timing: String,
    /// Lines of the section `[journal]`.
    pub journal: String,
    /// Configuration documents that are applied after the start.
    pub config: String,
    /// Seed of the fake platform.
    pub seed: u64,
    /// Log level of the daemons, which log to files.
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

/// Timing for tests: failures are detected in about a second.
const FAST_TIMING: &str = "probe_ms = 200\nsuspect_ms = 1000\nlist_ms = 200\n\
                           config_list_ms = 1000\nrequest_ms = 30000\ndrain_ms = 10000\n";

/// Profiles of urgent and background work.
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

/// A daemon in a separate process.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Name of its instance.
    pub name: String,
    /// Data centre of the instance.
    pub centre: String,
    /// Address of the callers' interface.
    pub callers: String,
    /// Address for other daemons.
    pub peers: String,
    /// Address of the operators' interface.
    pub operators: String,
    /// Path of the log file.
    pub log: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

impl DaemonProcess {
    /// Process id, if the process runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(id) = self.id() {
            // SAFETY: kill takes only integers. The process is a child that has
            // not been waited for, so its id has not been reused.
            unsafe { libc::kill(id as i32, signal) };
        }
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Requests a graceful stop and waits until the process has exited. Returns
    /// whether the exit status was 0.
    pub async fn terminate(&mut self) -> bool {
        self.signal(libc::SIGTERM);
        let Some(mut child) = self.child.take() else { return false };
        tokio::task::spawn_blocking(move || child.wait().is_ok_and(|status| status.success()))
            .await
            .unwrap_or(false)
    }

    /// State of the process and the end of its log.
    fn diagnostics(&self) -> String {
        let state = self.id().and_then(|id| fs::read_to_string(format!("/proc/{id}/stat")).ok());
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let tail = lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n");
        format!("process {}, log:\n{tail}", state.as_deref().unwrap_or("gone"))
    }

    /// CPU time used so far.
    pub fn cpu(&self) -> Duration {
        let ticks = || -> Option<u64> {
            let stat = fs::read_to_string(format!("/proc/{}/stat", self.id()?)).ok()?;
            let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
            Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
        };
        // Linux reports CPU time in ticks of 10 ms.
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

/// A running fleet.
pub struct Fleet {
    /// The platform.
    pub platform: FakePlatform,
    /// Engines `e0`, `e1`, …
    pub engines: Vec<FakeEngine>,
    /// Replicas `s0`, `s1`, … of the service `orders`.
    pub services: Vec<FakeService>,
    /// Daemons `a0`, `a1`, …
    pub daemons: Vec<DaemonProcess>,
    /// Events that callers and services observe.
    pub log: EventLog,
    settings: FleetSettings,
    daemon_command: DaemonCommand,
    folder: PathBuf,
    keep: bool,
    stop: CancellationToken,
}

impl Fleet {
    /// Starts a fleet with its files in a new folder, and waits until all daemons are
    /// ready and configured.
    pub async fn start(daemon_command: DaemonCommand, settings: FleetSettings) -> Self {
        let stop = CancellationToken::new();
        let folder = create_folder();
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
            daemon_command,
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
        fleet.wait_configured(count).await;
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
            self.platform.add_instance(&name, "upstream", centre, &address.to_string(), "live");
        }
    }

    /// The initial configuration documents.
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

    /// Starts the daemon with number `index` on new ports.
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
        fs::write(&settings, text).expect("failed to write the settings file");
        let mut daemon =
            DaemonProcess { name, centre, callers, peers, operators, log, settings, child: None };
        self.list_daemon(&daemon);
        daemon.child = Some(spawn(&self.daemon_command, &daemon.settings));
        self.daemons.push(daemon);
    }

    /// Adds a daemon to the platform's list of instances.
    pub fn list_daemon(&self, daemon: &DaemonProcess) {
        let platform = &self.platform;
        platform.add_instance(&daemon.name, "entry", &daemon.centre, &daemon.peers, "live");
    }

    /// Kills a daemon and starts it again on the same ports.
    pub fn restart(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.kill();
        daemon.child = Some(spawn(&self.daemon_command, &daemon.settings));
        let daemon = &self.daemons[index];
        self.list_daemon(daemon);
    }

    /// Applies configuration documents through the first daemon that accepts them.
    pub async fn apply(&self, text: &str) {
        let client = Client::default();
        let deadline = time::Instant::now() + READY_TIMEOUT;
        while time::Instant::now() < deadline {
            for daemon in &self.daemons {
                let request = Request::post(format!("http://{}/config", daemon.operators))
                    .header("x-gg-force", "yes")
                    .body(text.to_owned().into())
                    .expect("failed to build the request");
                let reply = client.call(request, Duration::from_secs(20)).await;
                if reply.is_ok_and(|reply| reply.status.is_success()) {
                    return;
                }
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no daemon accepted the configuration; see {}", self.folder.display());
    }

    /// Waits until every running daemon is ready.
    pub async fn wait_ready(&self) {
        let deadline = time::Instant::now() + READY_TIMEOUT;
        for daemon in self.daemons.iter().filter(|daemon| daemon.child.is_some()) {
            while !is_ready(&daemon.operators).await {
                let is_late = time::Instant::now() >= deadline;
                assert!(!is_late, "{} is not ready: {}", daemon.name, daemon.diagnostics());
                time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits until every daemon has activated this number of documents. Documents are
    /// accepted one after another, so a ready daemon may not have received the last
    /// ones yet.
    async fn wait_configured(&self, documents: usize) {
        let deadline = time::Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            while active_documents(&daemon.operators).await < documents {
                let is_late = time::Instant::now() >= deadline;
                assert!(!is_late, "{} is not configured: {}", daemon.name, daemon.diagnostics());
                time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// A caller of a customer that distributes its requests over the running daemons.
    pub fn caller(&self, customer: &str) -> CallerClient {
        let running = self.daemons.iter().filter(|daemon| daemon.child.is_some());
        let daemons = running.map(|daemon| daemon.callers.clone()).collect();
        CallerClient::new(daemons, &format!("key-{customer}"))
    }

    /// A caller of a customer that uses one daemon only.
    pub fn daemon_caller(&self, customer: &str, index: usize) -> CallerClient {
        CallerClient::new(vec![self.daemons[index].callers.clone()], &format!("key-{customer}"))
    }

    /// Keeps settings and logs when the fleet is dropped.
    pub fn keep_files(&mut self) {
        self.keep = true;
    }

    /// The folder with settings and logs.
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

async fn active_documents(operators: &str) -> usize {
    let body = get(operators, "versions").await.unwrap_or_default();
    let versions: Vec<serde_json::Value> = serde_json::from_slice(&body).unwrap_or_default();
    versions.len()
}

/// Body of a successful response of the operators' interface of a daemon.
async fn get(operators: &str, path: &str) -> Option<Bytes> {
    let request = Request::get(format!("http://{operators}/{path}")).body(Default::default());
    let reply = Client::default().call(request.ok()?, Duration::from_secs(1)).await.ok()?;
    reply.status.is_success().then_some(reply.body)
}

/// Serializes port probes and process starts. Until it executes its program, a new
/// process holds copies of all open sockets, which would include a port that another
/// thread is probing.
static START_LOCK: Mutex<()> = Mutex::new(());

fn lock_starts() -> MutexGuard<'static, ()> {
    START_LOCK.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Starts a process while no port is probed. Returns once its program runs.
pub fn start_process(command: &mut Command) -> io::Result<Child> {
    let _guard = lock_starts();
    command.spawn()
}

fn spawn(daemon_command: &DaemonCommand, settings: &Path) -> Child {
    let mut command = Command::new(&daemon_command.program);
    command
        .args(&daemon_command.arguments)
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::inherit());
    start_process(&mut command).expect("failed to start the daemon process")
}

fn create_folder() -> PathBuf {
    let name = format!("greengagefork-{}-{:08x}", std::process::id(), rand::random::<u32>());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("failed to create the folder of the fleet");
    folder
}

/// Ports for daemons, below the ephemeral range: an outgoing connection could occupy
/// an ephemeral port before its daemon listens on it.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Returns a loopback address whose port was free when probed. The process doesn't
/// return an address twice, so a stopped daemon keeps its ports.
pub fn free_address() -> String {
    static NEXT: LazyLock<AtomicU16> =
        LazyLock::new(|| AtomicU16::new(rand::random_range(PORT_RANGE)));
    loop {
        let port = PORT_RANGE.start
            + NEXT.fetch_add(1, Ordering::Relaxed) % (PORT_RANGE.end - PORT_RANGE.start);
        let address = format!("127.0.0.1:{port}");
        let _guard = lock_starts();
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
}
