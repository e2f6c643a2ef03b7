//! Settings of gateway and ledger instances.

use std::{cell::RefCell, net::SocketAddr, path::PathBuf, time::Duration};

use gg_protocol::Name;
use ini::Ini;

use crate::{DaemonSettings, Fault, Faults, daemon::syntax_fault, section::Section};

/// Sections that a gateway's or ledger's settings may have.
const SECTIONS: [&str; 5] = ["instance", "directory", "gateway", "ledger", "log"];

/// Instances start within a third of a second of each other, on busy machines
/// that take a while to run them.
const FOUNDING_WAIT: Duration = Duration::from_millis(1_500);

/// Three heartbeats; a needless change costs a copy, no more.
const IDLE_PATIENCE: Duration = Duration::from_millis(1_200);

/// Longer than a restart takes, as the member would be back with its disk
/// before another one has copied it.
const BUSY_PATIENCE: Duration = Duration::from_secs(8);

/// How the platform's directory is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectorySettings {
    /// `ip:port`.
    pub address: String,
    /// Longest wait for an answer.
    pub timeout: Duration,
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub instance: Name,
    /// Data centre that it stands in.
    pub centre: Name,
    /// Where clients connect.
    pub clients: SocketAddr,
    /// Where the platform asks whether the gateway is ready.
    pub ready: SocketAddr,
    /// Most connections of clients.
    pub connections: usize,
    /// Time from SIGTERM to the end of the process, at most.
    pub grace: Duration,
    /// Whether the whole deployment starts for the first time.
    pub is_founding: bool,
    /// Where metrics are read as text, if anywhere.
    pub metrics: Option<SocketAddr>,
}

/// Settings of a ledger instance.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerSettings {
    /// Name of the instance.
    pub instance: Name,
    /// Data centre that it stands in.
    pub centre: Name,
    /// Where gateways and other ledger instances connect.
    pub listen: SocketAddr,
    /// Folder of the log.
    pub folder: PathBuf,
    /// Disks that may be lost at once.
    pub tolerated: usize,
    /// Whether the whole deployment starts for the first time.
    pub is_founding: bool,
    /// Wait for all ledger instances to register before the first layout.
    pub founding_wait: Duration,
    /// Time without an answer after which an idle instance takes a member's
    /// place.
    pub idle_patience: Duration,
    /// The same for an instance that holds other partitions.
    pub busy_patience: Duration,
    /// Bytes of log after which it is written anew.
    pub checkpoint_bytes: u64,
    /// Bytes that turns and accounts may take in memory.
    pub content_bytes: usize,
    /// Where metrics are read as text, if anywhere.
    pub metrics: Option<SocketAddr>,
}

/// Share of a ledger machine's memory that turns and accounts may take. The
/// rest holds buffers of its connections and copies of partitions on their way.
const CONTENT_PERCENT: usize = 50;

/// Settings of one process, by the part that it plays.
#[derive(Clone, Debug, PartialEq)]
pub enum Settings {
    /// Everything in one daemon.
    Daemon(Box<DaemonSettings>),
    /// A gateway.
    Gateway(GatewaySettings, DirectorySettings, crate::LogSettings),
    /// A ledger instance.
    Ledger(LedgerSettings, DirectorySettings, crate::LogSettings),
}

impl Settings {
    /// Reads settings from the text of `file`; all faults at once. The
    /// section `gateway` or `ledger` tells what the process plays.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let ini = match Ini::load_from_str(text) {
            Ok(ini) => ini,
            Err(err) => return Err(Faults(vec![syntax_fault(file, &err)])),
        };
        let is_gateway = ini.section(Some("gateway")).is_some();
        let is_ledger = ini.section(Some("ledger")).is_some();
        if !is_gateway && !is_ledger {
            return DaemonSettings::parse(file, text).map(Box::new).map(Settings::Daemon);
        }
        let faults = RefCell::new(Vec::new());
        crate::daemon::check_sections(file, &ini, &SECTIONS, &faults);
        if is_gateway && is_ledger {
            faults.borrow_mut().push(Fault {
                file: file.into(),
                section: "ledger".into(),
                key: String::new(),
                value: String::new(),
                allowed: "either a section gateway or a section ledger".into(),
            });
        }
        let section = |name| Section::new(file, name, ini.section(Some(name)), &faults);
        let directory = read_directory(section("directory"));
        let log = crate::daemon::read_log(section("log"));
        let instance = section("instance");
        let name = crate::daemon::instance_name(&instance, "name");
        let centre = crate::daemon::instance_name(&instance, "data_centre");
        instance.finish();
        let settings = if is_gateway {
            let mut gateway = read_gateway(section("gateway"), name, centre);
            gateway.metrics = log.metrics.parse().ok();
            Settings::Gateway(gateway, directory, log)
        } else {
            let mut ledger = read_ledger(section("ledger"), name, centre);
            ledger.metrics = log.metrics.parse().ok();
            Settings::Ledger(ledger, directory, log)
        };
        let faults = faults.into_inner();
        if faults.is_empty() { Ok(settings) } else { Err(Faults(faults)) }
    }
}

fn read_directory(section: Section<'_>) -> DirectorySettings {
    let address = section.required("address", "an IP address and port");
    let timeout = section.millis("timeout_ms", Duration::from_millis(1_000), 50, 60_000);
    section.finish();
    DirectorySettings { address, timeout }
}

fn read_gateway(section: Section<'_>, instance: Name, centre: Name) -> GatewaySettings {
    let gateway = GatewaySettings {
        instance,
        centre,
        clients: section.socket("clients"),
        ready: section.socket("ready"),
        connections: section.number("connections", 2_000, 1, 65_536),
        grace: Duration::from_secs_f64(section.number("grace_s", 8.0, 1.0, 600.0)),
        is_founding: section.flag("founding", false),
        metrics: None,
    };
    section.finish();
    gateway
}

/// Bytes that turns and accounts may take on a machine of `memory_mb`, 0 if it
/// has no bound.
fn content_bytes(memory_mb: usize) -> usize {
    match memory_mb {
        0 => usize::MAX,
        mb => (mb << 20) / 100 * CONTENT_PERCENT,
    }
}

fn read_ledger(section: Section<'_>, instance: Name, centre: Name) -> LedgerSettings {
    let ledger = LedgerSettings {
        instance,
        centre,
        listen: section.socket("listen"),
        folder: section.required("folder", "a folder on the disk").into(),
        tolerated: section.number("tolerated", 1, 0, 8),
        is_founding: section.flag("founding", false),
        founding_wait: section.millis("founding_wait_ms", FOUNDING_WAIT, 0, 600_000),
        idle_patience: section.millis("idle_patience_ms", IDLE_PATIENCE, 500, 600_000),
        busy_patience: section.millis("busy_patience_ms", BUSY_PATIENCE, 500, 600_000),
        checkpoint_bytes: section.number("checkpoint_bytes", 128 << 20, 1 << 20, 1 << 40),
        content_bytes: content_bytes(section.number("memory_mb", 0, 0, 1 << 30)),
        metrics: None,
    };
    section.finish();
    ledger
}
