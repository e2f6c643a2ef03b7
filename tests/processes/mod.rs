//! Runs gateways and ledgers as separate processes, next to fakes of the store
//! and of the replicas.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::{
    fs::OpenOptions,
    net::SocketAddr,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
};

use gg_fakes::start_process;
use tempfile::TempDir;
use tokio_util::sync::CancellationToken;

use crate::support::{
    FakeReplica, FakeStore,
    deployment::{configuration, eventually},
};

/// Number of ledger processes in a deployment.
pub const LEDGERS: usize = 3;

/// Names of the configured routes, see `configuration`.
pub const ROUTES: [&str; 5] = ["call", "once", "turn", "whole", "resume"];

/// A gateway or ledger process that can be killed and started again.
pub struct ServerProcess {
    settings: String,
    child: Option<Child>,
}

impl ServerProcess {
    pub fn start(&mut self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_greengageforkd"));
        let child = start_process(command.arg(&self.settings).stdout(self.output()));
        self.child = Some(child.expect("start process"));
    }

    /// Returns the log output: a file in the folder that `GG_TEST_LOGS` names, or
    /// nothing if it isn't set.
    fn output(&self) -> Stdio {
        let Ok(folder) = std::env::var("GG_TEST_LOGS") else { return Stdio::null() };
        let name = Path::new(&self.settings).file_stem().expect("settings file has a name");
        let path = Path::new(&folder).join(name).with_extension("log");
        let file = OpenOptions::new().create(true).append(true).open(path);
        file.expect("open log file").into()
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process is a child that has not been reaped, so its id is
            // still valid.
            unsafe { libc::kill(child.id() as libc::pid_t, signal) };
        }
    }

    /// Id of the running process.
    pub fn id(&self) -> u32 {
        self.child.as_ref().expect("process is running").id()
    }

    /// Exit status of the process, `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut().expect("process was started");
        child.try_wait().expect("state of child process")
    }

    /// Returns the peak resident memory of the process, in bytes.
    pub fn memory_peak(&self) -> u64 {
        let id = self.id();
        let status =
            std::fs::read_to_string(format!("/proc/{id}/status")).expect("read process status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kilobytes.and_then(|number| number.trim().parse::<u64>().ok()).expect("VmHWM is a number")
            << 10
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            child.wait().expect("reap child process");
        }
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Settings of the processes of a deployment.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Time in which gateways stop, in seconds.
    pub grace_s: u32,
    /// Further lines of the section `[gateway]`.
    pub gateway: String,
    /// Further lines of the section `[ledger]`.
    pub ledger: String,
}

impl Default for ProcessSettings {
    fn default() -> Self {
        ProcessSettings {
            gateways: 1,
            replicas: 1,
            grace_s: 8,
            gateway: String::new(),
            ledger: String::new(),
        }
    }
}

/// A deployment of processes, stopped when the value is dropped. `servers` holds
/// the ledgers first, then the gateways.
pub struct Processes {
    pub store: FakeStore,
    pub replicas: Vec<FakeReplica>,
    pub clients: Vec<SocketAddr>,
    pub servers: Vec<ServerProcess>,
    pub folders: Vec<TempDir>,
    _settings: TempDir,
    stop: CancellationToken,
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Processes {
    pub async fn start(gateways: usize, replicas: usize) -> Self {
        let settings = ProcessSettings { gateways, replicas, ..ProcessSettings::default() };
        Processes::start_with(settings).await
    }

    /// Like [`Processes::start`], with gateways that stop within `grace_s` seconds.
    pub async fn start_with_grace(gateways: usize, replicas: usize, grace_s: u32) -> Self {
        let settings =
            ProcessSettings { gateways, replicas, grace_s, ..ProcessSettings::default() };
        Processes::start_with(settings).await
    }

    /// Starts a deployment and waits until its ledgers are members of the layout.
    pub async fn start_with(settings: ProcessSettings) -> Self {
        let ProcessSettings { gateways, replicas, grace_s, gateway, ledger } = settings;
        let stop = CancellationToken::new();
        let store = FakeStore::start(stop.clone()).await;
        let mut listed = Vec::new();
        for number in 0..replicas {
            let replica = FakeReplica::start(&format!("r-{number}"), stop.clone()).await;
            store.put("servers", &replica.name, replica.entry("app", "ready"));
            listed.push(replica);
        }
        store.put("config", "main", configuration(1, &ROUTES));
        let files = TempDir::new().expect("create folder");
        let folders: Vec<TempDir> =
            (0..LEDGERS).map(|_| TempDir::new().expect("create folder")).collect();
        let mut servers = Vec::new();
        let mut clients = Vec::new();
        for number in 0..LEDGERS + gateways {
            let mut text = format!("[directory]\naddress = {}\ntimeout_ms = 300\n", store.address);
            let part = match folders.get(number) {
                Some(folder) => format!(
                    "[instance]\nname = ledger-{number}\ndata_centre = {}\n[ledger]\n\
                     listen = {}\nfolder = {}\nfounding = yes\nfounding_wait_ms = 300\n\
                     idle_patience_ms = 700\n{ledger}",
                    ["a", "b", "c"][number],
                    free_address(),
                    folder.path().display()
                ),
                None => {
                    clients.push(free_address());
                    format!(
                        "[instance]\nname = gateway-{number}\ndata_centre = a\n[gateway]\n\
                         clients = {}\nready = {}\ntunnels = {}\ngrace_s = {grace_s}\n\
                         {gateway}",
                        clients[number - LEDGERS],
                        free_address(),
                        free_address()
                    )
                }
            };
            text.push_str(&part);
            let path = files.path().join(format!("{number}.ini"));
            std::fs::write(&path, text).expect("write settings");
            let settings = path.to_string_lossy().into_owned();
            let mut server = ServerProcess { settings, child: None };
            server.start();
            servers.push(server);
        }
        wait_for_layout(&store).await;
        Processes { store, replicas: listed, clients, servers, folders, _settings: files, stop }
    }
}

fn free_address() -> SocketAddr {
    gg_fakes::free_address().parse().expect("valid address")
}

/// Waits until every registered disk is a member of the layout and no layout
/// change is in progress.
pub async fn wait_for_layout(store: &FakeStore) {
    eventually("the layout has all members", async || {
        let Some((layout, _)) = store.get("gg-ledgers", "layout") else { return false };
        let set = &layout["partitions"][0];
        let members = set["members"].as_array().cloned().unwrap_or_default();
        let registered =
            (0..LEDGERS).filter_map(|n| store.get("gg-ledgers", &format!("ledger-{n}")));
        let disks: Vec<_> = registered.map(|(spec, _)| spec["member"]["disk"].clone()).collect();
        set["next"].is_null()
            && disks.len() == LEDGERS
            && disks.iter().all(|disk| members.iter().any(|member| member["disk"] == *disk))
    })
    .await;
}
