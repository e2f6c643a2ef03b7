//! Settings of gateway and ledger instances, and the choice of the settings of a
//! process.

use std::{cell::RefCell, net::SocketAddr, path::PathBuf, time::Duration};

use gg_protocol::{DirectoryBounds, Name};
use ini::Ini;

use crate::{
    AccountSettings, DaemonSettings, Fault, Faults, KeyValue, accounts::read_accounts,
    daemon::syntax_fault, section::Section,
};

/// Sections that the settings of a gateway or ledger may have.
const SECTIONS: [&str; 6] = ["instance", "directory", "gateway", "ledger", "accounts", "log"];

/// Instances start within a third of a second of each other, and a busy host
/// takes a while to run them.
const REGISTRATION_WAIT: Duration = Duration::from_millis(1_500);

/// Three heartbeats; a needless change of the layout costs only a copy of the
/// partition.
const IDLE_REPLACE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Longer than a restart takes: a restarted member is available again, with its data
/// on disk, before another instance could copy it.
const BUSY_REPLACE_TIMEOUT: Duration = Duration::from_secs(8);

/// Largest bound on how soon the directory is followed, in ms.
const BOUND_MAX_MS: f64 = 3_600_000.0;

/// Time in which withdrawn keys are refused, unless the settings have one.
const REVOCATION: Duration = Duration::from_secs(5);

/// Connection to the platform's directory.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectorySettings {
    /// Address, as `ip:port`.
    pub address: String,
    /// Timeout of a request.
    pub timeout: Duration,
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub instance: Name,
    /// Data centre of the instance.
    pub centre: Name,
    /// Address for clients.
    pub clients: SocketAddr,
    /// Address on which the platform queries the readiness of the gateway.
    pub ready: SocketAddr,
    /// Address on which connections of other gateways to replicas are carried, if
    /// they are.
    pub tunnels: Option<SocketAddr>,
    /// Maximum number of open client connections.
    pub connections: usize,
    /// Memory that clients may make the process hold, in bytes.
    pub client_memory: usize,
    /// Maximum time from SIGTERM to the exit of the process.
    pub stop_timeout: Duration,
    /// Whether this is the first start of the whole deployment.
    pub is_first_start: bool,
    /// Whether new and recovered replicas get their share of the requests by how
    /// they answer, instead of at once.
    pub paces_replicas: bool,
    /// Bounds for client accounts.
    pub accounts: AccountSettings,
    /// Bounds on how soon the directory is followed.
    pub bounds: DirectoryBounds,
    /// Address of the metrics listener, if metrics are served.
    pub metrics: Option<SocketAddr>,
}

/// Settings of a ledger instance.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerSettings {
    /// Name of the instance.
    pub instance: Name,
    /// Data centre of the instance.
    pub centre: Name,
    /// Address for gateways and other ledger instances.
    pub listen: SocketAddr,
    /// Folder of the ledger's log.
    pub folder: PathBuf,
    /// Number of disks that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Whether this is the first start of the whole deployment.
    pub is_first_start: bool,
    /// Time to wait for all ledger instances to register before the first layout is
    /// written.
    pub registration_wait: Duration,
    /// Time without a response after which a member is replaced by an idle
    /// instance.
    pub idle_timeout: Duration,
    /// Time without a response after which a member is replaced by an instance that
    /// holds other partitions.
    pub busy_timeout: Duration,
    /// Size of the log below which no segment is removed, in bytes.
    pub checkpoint_bytes: u64,
    /// Size of the disk, in bytes.
    pub disk_bytes: u64,
    /// Maximum memory for turns and accounts, in bytes.
    pub memory_limit: usize,
    /// Maximum memory for large requests and replies, in bytes.
    pub frame_memory: usize,
    /// Bounds for client accounts.
    pub accounts: AccountSettings,
    /// Bounds on how soon the directory is followed.
    pub bounds: DirectoryBounds,
    /// Address of the metrics listener, if metrics are served.
    pub metrics: Option<SocketAddr>,
}

/// Share of a ledger instance's memory that turns and accounts may use. The rest
/// is for connection buffers and for partition copies in transfer.
const CONTENT_MEMORY_PERCENT: usize = 50;

/// Share of a ledger instance's memory that large requests and replies may use.
const FRAME_MEMORY_PERCENT: usize = 25;

/// Settings of one process, by its role.
#[derive(Clone, Debug, PartialEq)]
pub enum Settings {
    /// A daemon, which runs all roles in one process.
    Daemon(Box<DaemonSettings>),
    /// A gateway.
    Gateway(GatewaySettings, DirectorySettings, crate::LogSettings),
    /// A ledger instance.
    Ledger(LedgerSettings, DirectorySettings, crate::LogSettings),
}

impl Settings {
    /// Parses the text of `file`; on failure returns all faults. A section
    /// `gateway` or `ledger` selects the role of the process; without one, it is a
    /// daemon.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        Settings::parse_with(file, text, &[])
    }

    /// Like [`Settings::parse`], with keys that don't come from the file.
    pub fn parse_with(file: &str, text: &str, keys: &[KeyValue]) -> Result<Self, Faults> {
        let mut ini = match Ini::load_from_str(text) {
            Ok(ini) => ini,
            Err(err) => return Err(Faults(vec![syntax_fault(file, &err)])),
        };
        keys.iter().for_each(|key| key.set_in(&mut ini));
        let is_gateway = ini.section(Some("gateway")).is_some();
        let is_ledger = ini.section(Some("ledger")).is_some();
        if !is_gateway && !is_ledger {
            return DaemonSettings::read(file, &ini).map(Box::new).map(Settings::Daemon);
        }
        let faults = RefCell::new(Vec::new());
        crate::daemon::check_sections(file, &ini, &SECTIONS, &faults);
        if is_gateway && is_ledger {
            faults.borrow_mut().push(Fault {
                file: file.into(),
                section: "ledger".into(),
                key: String::new(),
                value: String::new(),
                allowed: "only one of the sections gateway and ledger".into(),
            });
        }
        let section = |name| Section::new(file, name, ini.section(Some(name)), &faults);
        let (directory, bounds) = read_directory(section("directory"));
        let log = crate::daemon::read_log(section("log"));
        let instance = section("instance");
        let name = crate::daemon::instance_name(&instance, "name");
        let centre = crate::daemon::instance_name(&instance, "data_centre");
        instance.finish();
        let accounts = read_accounts(section("accounts"));
        let settings = if is_gateway {
            let mut gateway = read_gateway(section("gateway"), name, centre);
            gateway.accounts = accounts;
            gateway.bounds = bounds;
            gateway.metrics = log.metrics.parse().ok();
            Settings::Gateway(gateway, directory, log)
        } else {
            let mut ledger = read_ledger(section("ledger"), name, centre);
            ledger.accounts = accounts;
            ledger.bounds = bounds;
            ledger.metrics = log.metrics.parse().ok();
            Settings::Ledger(ledger, directory, log)
        };
        let faults = faults.into_inner();
        if faults.is_empty() { Ok(settings) } else { Err(Faults(faults)) }
    }
}

fn read_directory(section: Section<'_>) -> (DirectorySettings, DirectoryBounds) {
    let address = section.required("address", "an IP address and port");
    let timeout = section.millis("timeout_ms", Duration::from_millis(1_000), 50, 60_000);
    let default = DirectoryBounds::default();
    let bound = |key, default: Duration| {
        let ms = section.number(key, default.as_secs_f64() * 1e3, 1.0, BOUND_MAX_MS);
        Duration::from_secs_f64(ms / 1e3)
    };
    let bounds = DirectoryBounds {
        apply: bound("apply_ms", default.apply),
        drain: bound("drain_ms", default.drain),
        recovery: bound("recovery_ms", default.recovery),
        renewal: bound("renewal_ms", default.renewal),
        revocation: Some(bound("revocation_ms", REVOCATION))
            .filter(|_| section.flag("strict_revocation", false)),
    };
    section.finish();
    (DirectorySettings { address, timeout }, bounds)
}

fn read_gateway(section: Section<'_>, instance: Name, centre: Name) -> GatewaySettings {
    let gateway = GatewaySettings {
        instance,
        centre,
        clients: section.required_address("clients"),
        ready: section.required_address("ready"),
        tunnels: section.optional_address("tunnels"),
        connections: section.number("connections", 2_000, 1, 65_536),
        client_memory: client_memory(section.number("memory_mb", GATEWAY_MEMORY_MB, 1, 1 << 20)),
        stop_timeout: Duration::from_secs_f64(section.number("grace_s", 8.0, 1.0, 600.0)),
        is_first_start: section.flag("founding", false),
        paces_replicas: section.flag("replica_pace", false),
        accounts: AccountSettings::default(),
        bounds: DirectoryBounds::default(),
        metrics: None,
    };
    section.finish();
    gateway
}

/// Memory of a gateway's machine, unless the settings have it: that of the smallest one
/// in production.
const GATEWAY_MEMORY_MB: usize = 88;

/// Memory of a gateway that clients don't share: 24 MiB for the process with its view of
/// the replicas, 24 MiB for buffered responses, and 12 MiB for calls that wait to be written
/// to ledger instances.
const GATEWAY_OWN_MB: usize = 60;

/// Memory that clients share at least, in MiB, however small the machine.
const CLIENTS_MIN_MB: usize = 8;

/// Returns the memory that clients may make a gateway hold, in bytes, on a machine with
/// `memory_mb` MiB of memory.
fn client_memory(memory_mb: usize) -> usize {
    memory_mb.saturating_sub(GATEWAY_OWN_MB).max(CLIENTS_MIN_MB) << 20
}

/// Returns `percent` of `memory_mb` MiB in bytes; 0 MiB mean no limit.
fn memory_share(memory_mb: usize, percent: usize) -> usize {
    match memory_mb {
        0 => usize::MAX,
        mb => (mb << 20) / 100 * percent,
    }
}

fn read_ledger(section: Section<'_>, instance: Name, centre: Name) -> LedgerSettings {
    let memory_mb = section.number("memory_mb", 0, 0, 1 << 30);
    let ledger = LedgerSettings {
        instance,
        centre,
        listen: section.required_address("listen"),
        folder: section.required("folder", "a folder on the disk").into(),
        tolerated_losses: section.number("tolerated", 1, 0, 8),
        is_first_start: section.flag("founding", false),
        registration_wait: section.millis("founding_wait_ms", REGISTRATION_WAIT, 0, 600_000),
        idle_timeout: section.millis("idle_patience_ms", IDLE_REPLACE_TIMEOUT, 500, 600_000),
        busy_timeout: section.millis("busy_patience_ms", BUSY_REPLACE_TIMEOUT, 500, 600_000),
        checkpoint_bytes: section.number("checkpoint_bytes", 128 << 20, 1 << 20, 1 << 40),
        disk_bytes: match section.number("disk_mb", 0, 0, 1 << 40) {
            0 => u64::MAX,
            mb => mb << 20,
        },
        memory_limit: memory_share(memory_mb, CONTENT_MEMORY_PERCENT),
        frame_memory: memory_share(memory_mb, FRAME_MEMORY_PERCENT),
        accounts: AccountSettings::default(),
        bounds: DirectoryBounds::default(),
        metrics: None,
    };
    section.finish();
    ledger
}
