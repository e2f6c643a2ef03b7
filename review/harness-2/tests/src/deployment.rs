//! A small deployment: ledger instances and gateways as processes, started with the commands
//! and the templates of the deploy file, and the platform's store.

use std::{
    fs,
    net::{SocketAddr, TcpListener as StdListener},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};
use tokio_util::sync::CancellationToken;

use crate::{Failure, engine::EVENT_TOKENS, store::FakeStore};

/// Data centres, each with one ledger instance.
pub const ZONES: [&str; 3] = ["gp-a", "gp-b", "gp-c"];

/// Bounds and sizes of a small site.
const FIELDS: [(&str, &str); 11] = [
    ("bounds.config-apply-ms", "2000"),
    ("bounds.drain-ms", "2000"),
    ("bounds.contact-ms", "3000"),
    ("heartbeat-ms", "1200"),
    ("bounds.strict-revoke", ""),
    ("bounds.revoke-ms", ""),
    ("bounds.grace-s", "8"),
    ("bounds.quota-window-s", ""),
    ("bounds.quota-overage", ""),
    ("bounds.quota-slack", ""),
    ("limits.disk-mb", "470"),
];

/// Memory of a machine, in MB.
const GATEWAY_MEMORY_MB: u64 = 110;
pub const LEDGER_MEMORY_MB: u64 = 130;

/// Seconds for which turns are retained.
pub const RETENTION_S: u64 = 60;

/// Time from SIGTERM to SIGKILL, `grace-s`.
const GRACE: Duration = Duration::from_secs(8);

/// Time for all processes to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A process of the project.
#[derive(Debug)]
pub struct Process {
    pub name: String,
    role: &'static str,
    /// Fields of its settings that only this process has.
    fields: Vec<(String, String)>,
    files: TempDir,
    /// Disk, of ledger instances.
    pub disk: Option<TempDir>,
    child: Option<Child>,
    pub ready: Option<SocketAddr>,
    pub clients: Option<SocketAddr>,
}

impl Process {
    /// Starts the process; `is_first_start` is set when the whole system starts.
    pub fn start(&mut self, is_first_start: bool) -> Result<(), Failure> {
        let template = fs::read_to_string(format!("deploy/{}.ini", self.role))?;
        let (yes, no) = ("{{#bootstrap}}yes{{/bootstrap}}", "{{^bootstrap}}no{{/bootstrap}}");
        let template = template
            .replace(yes, if is_first_start { "yes" } else { "" })
            .replace(no, if is_first_start { "" } else { "no" });
        let folder = self.disk.as_ref().map(|disk| disk.path().display().to_string());
        let folder = folder.unwrap_or_default();
        let file = self.files.path().join("boot.ini");
        fs::write(&file, self.fill(&template, &folder))?;
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let role = deploy.split("[roles.").find(|part| part.starts_with(self.role));
        let run = role.and_then(|role| role.lines().find_map(|line| line.strip_prefix("run = ")));
        let run = run.ok_or("the deploy file has no such role")?.trim_matches('"');
        let run = self.fill(run, &folder);
        let mut words = run.split(' ');
        let log =
            fs::OpenOptions::new().create(true).append(true).open(self.files.path().join("log"))?;
        let mut command = Command::new(words.next().ok_or("no program")?);
        for word in words {
            match word.starts_with("/etc/") {
                true => command.arg(&file),
                false => command.arg(word),
            };
        }
        command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    fn fill(&self, text: &str, folder: &str) -> String {
        let own = self.fields.iter().map(|(name, value)| (name.as_str(), value.as_str()));
        let all = own.chain(FIELDS).chain([("data-dir", folder)]);
        all.fold(text.to_owned(), |text, (name, value)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        })
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits for the end, at most for `grace-s`.
    pub async fn stop(&mut self) {
        let Some(id) = self.id() else { return };
        // SAFETY: the process is a child that was not reaped, so the id is its own.
        unsafe { libc::kill(id as libc::pid_t, libc::SIGTERM) };
        let limit = Instant::now() + GRACE;
        while let Some(child) = &mut self.child {
            if Instant::now() > limit || child.try_wait().is_ok_and(|status| status.is_some()) {
                return self.kill();
            }
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Resident memory in bytes, without that of the program's file; `None` if the process
    /// doesn't run.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        let kilobytes: u64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
        Some(kilobytes << 10)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// All parts of a deployment; its processes end when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// Ledger instances whose loss is borne at once.
    tolerated: usize,
    pub store: FakeStore,
    pub ledgers: Vec<Process>,
    pub gateways: Vec<Process>,
    stop: CancellationToken,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Deployment {
    /// Starts the store, the ledger instances and the gateways, and waits until all gateways
    /// are ready. `entries` are the replicas of service `app`, by name.
    pub async fn start(
        tolerated: usize,
        ledgers: usize,
        gateways: usize,
        entries: &[(String, Value)],
    ) -> Result<Self, Failure> {
        let stop = CancellationToken::new();
        let store = FakeStore::start(stop.clone()).await;
        store.put("config", "main", configuration(1));
        for (name, entry) in entries {
            store.put("servers", name, entry.clone());
        }
        let mut deployment =
            Deployment { tolerated, store, ledgers: Vec::new(), gateways: Vec::new(), stop };
        for number in 0..ledgers {
            let mut ledger = deployment.process("ledger", number, LEDGER_MEMORY_MB)?;
            ledger.disk = Some(TempDir::new()?);
            ledger.start(true)?;
            deployment.ledgers.push(ledger);
        }
        for number in 0..gateways {
            let mut gateway = deployment.process("gateway", number, GATEWAY_MEMORY_MB)?;
            gateway.start(true)?;
            deployment.gateways.push(gateway);
        }
        deployment.until_ready().await?;
        Ok(deployment)
    }

    fn process(
        &self,
        role: &'static str,
        number: usize,
        memory_mb: u64,
    ) -> Result<Process, Failure> {
        let zone = ZONES[number % ZONES.len()];
        let name = format!("{role}-{zone}-{number}");
        let (clients, ready) = (free_address()?, free_address()?);
        // The port of the metrics is fixed in the templates, so each process has an address
        // of its own for it.
        let own = std::process::id();
        let host = match role {
            "ledger" => format!("127.{}.{}.{}", 1 + own % 250, 1 + own / 250 % 250, number + 1),
            _ => format!("127.{}.{}.{}", 1 + own % 250, 1 + own / 250 % 250, number + 101),
        };
        let fields = [
            ("node-name", name.clone()),
            ("zone", zone.to_owned()),
            ("provider.address", self.store.address.to_string()),
            ("listen.front", clients.to_string()),
            ("listen.ready", ready.to_string()),
            ("ip", host),
            ("port-range.0", free_address()?.port().to_string()),
            ("limits.memory-mb", memory_mb.to_string()),
            ("fault-tolerance.machines", self.tolerated.to_string()),
        ];
        let is_gateway = role == "gateway";
        Ok(Process {
            name,
            role,
            fields: fields.map(|(name, value)| (name.to_owned(), value)).into(),
            files: TempDir::new()?,
            disk: None,
            child: None,
            ready: is_gateway.then_some(ready),
            clients: is_gateway.then_some(clients),
        })
    }

    /// Adds a ledger instance with an empty disk at a new address.
    pub fn add_ledger(&mut self) -> Result<usize, Failure> {
        let mut ledger = self.process("ledger", self.ledgers.len(), LEDGER_MEMORY_MB)?;
        ledger.disk = Some(TempDir::new()?);
        ledger.start(false)?;
        self.ledgers.push(ledger);
        Ok(self.ledgers.len() - 1)
    }

    /// Waits until all gateways say that they are ready.
    pub async fn until_ready(&self) -> Result<(), Failure> {
        let limit = Instant::now() + START_TIMEOUT;
        for gateway in &self.gateways {
            while !is_ready(gateway.ready).await {
                if Instant::now() > limit {
                    return Err(format!("{} isn't ready", gateway.name).into());
                }
                time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Where clients reach a gateway.
    pub fn client_address(&self, gateway: usize) -> Result<SocketAddr, Failure> {
        self.gateways[gateway].clients.ok_or_else(|| "not a gateway".into())
    }
}

async fn is_ready(address: Option<SocketAddr>) -> bool {
    let check = async {
        let mut socket = TcpStream::connect(address?).await.ok()?;
        let request = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        socket.write_all(request.as_bytes()).await.ok()?;
        let mut head = [0; 12];
        socket.read_exact(&mut head).await.ok()?;
        Some(&head == b"HTTP/1.1 200")
    };
    time::timeout(Duration::from_secs(1), check).await.ok().flatten().unwrap_or(false)
}

/// A configuration with one route, whose turns are stored.
pub fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "turn", "hostname": "app.example", "path-prefix": "/turn/",
            "route-type": "stream", "timeout-ms": 4000, "target-latency-ms": 250, "priority": 0,
            "service": "app", "max-attempts": 2, "retain": true, "retention-s": RETENTION_S,
            "gap-aim-ms": 300, "sticky": true, "resumable": false,
        }],
        "services": [{
            "name": "app", "health-path": "/health", "max-connections": 240,
            "engine": {"event-tokens": EVENT_TOKENS, "kv-tokens": 783_000},
        }],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
        },
    })
}

/// An address that nobody listens on.
fn free_address() -> Result<SocketAddr, Failure> {
    Ok(StdListener::bind("127.0.0.1:0")?.local_addr()?)
}
