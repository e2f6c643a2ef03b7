//! Settings of one daemon.

use std::{cell::RefCell, time::Duration};

use gg_protocol::{Name, ids::is_name};
use ini::Ini;

use crate::{Fault, Faults, section::Section};

/// Annotated sample of a settings file.
pub const SAMPLE: &str = include_str!("sample.ini");

/// Sections that a settings file may have.
const SECTIONS: [&str; 7] =
    ["instance", "listen", "platform", "journal", "timing", "security", "log"];

/// Everything that a daemon learns from its settings.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// Name of the instance that the daemon runs on.
    pub instance: Name,
    /// Data centre that the instance stands in.
    pub centre: Name,
    /// Folder for bulk data; empty on instances without a disk.
    pub data: String,
    /// Threads that carry out the daemon's tasks.
    pub workers: usize,
    /// Where the daemon listens.
    pub listen: ListenSettings,
    /// `ip:port` of the platform.
    pub platform: String,
    /// Longest wait for an answer of the platform.
    pub platform_timeout: Duration,
    /// Mean time between the beginnings of two journal commits, at least.
    pub commit_interval: Duration,
    /// Most journal bytes that wait for the platform.
    pub backlog_bytes: usize,
    /// Intervals and timeouts.
    pub timing: TimingSettings,
    /// Key that daemons show each other.
    pub peer_key: String,
    /// BLAKE3 digests, in hex, of the operators' keys.
    pub operator_keys: Vec<String>,
    /// Logs and metrics.
    pub log: LogSettings,
}

/// Addresses and limits of the listeners.
#[derive(Clone, Debug, PartialEq)]
pub struct ListenSettings {
    /// For callers.
    pub callers: String,
    /// For other daemons.
    pub peers: String,
    /// For operators.
    pub operators: String,
    /// Most connections of callers.
    pub connections: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request's head to arrive.
    pub head_timeout: Duration,
}

impl Default for ListenSettings {
    fn default() -> Self {
        ListenSettings {
            callers: "127.0.0.1:7100".into(),
            peers: "127.0.0.1:7101".into(),
            operators: "127.0.0.1:7102".into(),
            connections: 4096,
            body_bytes: 8 << 20,
            head_timeout: Duration::from_secs(10),
        }
    }
}

/// Intervals and timeouts.
#[derive(Clone, Debug, PartialEq)]
pub struct TimingSettings {
    /// Longest time that a caller's request may take.
    pub request: Duration,
    /// Longest wait of a turn for the one before it.
    pub order_wait: Duration,
    /// Time between two rounds of probes.
    pub probe: Duration,
    /// Peers probed in a round.
    pub probe_peers: usize,
    /// Time without an answer after which a peer is suspected.
    pub suspect: Duration,
    /// Time between two reads of the platform's list of instances.
    pub list: Duration,
    /// Time between two listings of the whole configuration.
    pub config_list: Duration,
    /// Longest time that a planned stop waits for requests under way.
    pub drain: Duration,
    /// Time that an ended program stays readable.
    pub retain: Duration,
}

impl Default for TimingSettings {
    fn default() -> Self {
        TimingSettings {
            request: Duration::from_secs(120),
            order_wait: Duration::from_secs(5),
            probe: Duration::from_secs(1),
            probe_peers: 1,
            suspect: Duration::from_secs(3),
            list: Duration::from_secs(1),
            config_list: Duration::from_secs(5),
            drain: Duration::from_secs(30),
            retain: Duration::from_secs(60),
        }
    }
}

/// Logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: String,
    /// File to write to; standard output if empty.
    pub file: String,
    /// `ip:port` of a statsd server; none if empty.
    pub statsd: String,
    /// `ip:port` on which metrics are read as text; none if empty.
    pub metrics: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            level: "info".into(),
            file: String::new(),
            statsd: String::new(),
            metrics: String::new(),
        }
    }
}

impl Default for DaemonSettings {
    fn default() -> Self {
        DaemonSettings {
            instance: "instance".into(),
            centre: "centre".into(),
            data: String::new(),
            workers: 2,
            listen: ListenSettings::default(),
            platform: "127.0.0.1:7000".into(),
            platform_timeout: Duration::from_secs(2),
            commit_interval: Duration::from_millis(30),
            backlog_bytes: 64 << 20,
            timing: TimingSettings::default(),
            peer_key: String::new(),
            operator_keys: Vec::new(),
            log: LogSettings::default(),
        }
    }
}

impl DaemonSettings {
    /// Reads settings from the text of `file`; all faults at once.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let ini = match Ini::load_from_str(text) {
            Ok(ini) => ini,
            Err(err) => return Err(Faults(vec![syntax_fault(file, &err)])),
        };
        let faults = RefCell::new(Vec::new());
        check_sections(file, &ini, &SECTIONS, &faults);
        let section = |name| Section::new(file, name, ini.section(Some(name)), &faults);
        let settings = read(&section);
        let faults = faults.into_inner();
        if faults.is_empty() { Ok(settings) } else { Err(Faults(faults)) }
    }
}

pub(crate) fn syntax_fault(file: &str, err: &ini::ParseError) -> Fault {
    Fault {
        file: file.into(),
        section: String::new(),
        key: String::new(),
        value: format!("line {} column {}", err.line, err.col),
        allowed: format!("INI: {}", err.msg),
    }
}

pub(crate) fn check_sections(
    file: &str,
    ini: &Ini,
    allowed: &[&str],
    faults: &RefCell<Vec<Fault>>,
) {
    for (name, values) in ini {
        let name = name.unwrap_or("");
        if allowed.contains(&name) || (name.is_empty() && values.is_empty()) {
            continue;
        }
        let section = Section::new(file, name, None, faults);
        section.fault("", "", &format!("a section among: {}", allowed.join(", ")));
    }
}

fn read<'a>(section: &impl Fn(&'static str) -> Section<'a>) -> DaemonSettings {
    let default = DaemonSettings::default();
    let instance = section("instance");
    let name = instance_name(&instance, "name");
    let centre = instance_name(&instance, "data_centre");
    let data = instance.text_or("data", "");
    let workers = instance.number("workers", default.workers, 1, 64);
    instance.finish();
    let platform = section("platform");
    let platform_address = platform.address("address", &default.platform);
    let platform_timeout = platform.millis("timeout_ms", default.platform_timeout, 50, 60_000);
    platform.finish();
    let journal = section("journal");
    let commit_interval = journal.millis("commit_interval_ms", default.commit_interval, 0, 10_000);
    let backlog_bytes = journal.number("backlog_bytes", default.backlog_bytes, 1 << 20, 128 << 20);
    journal.finish();
    let security = section("security");
    let peer_key = security.required("peer_key", "a secret shared by all daemons");
    let operator_keys = security.list("operator_keys");
    check_digests(&security, "operator_keys", &operator_keys);
    security.finish();
    DaemonSettings {
        instance: name,
        centre,
        data,
        workers,
        listen: read_listen(section("listen")),
        platform: platform_address,
        platform_timeout,
        commit_interval,
        backlog_bytes,
        timing: read_timing(section("timing")),
        peer_key,
        operator_keys,
        log: read_log(section("log")),
    }
}

pub(crate) fn instance_name(section: &Section<'_>, key: &'static str) -> Name {
    let text = section.text_or(key, "");
    if !is_name(&text) {
        section.fault(key, &text, "a name of letters, digits, - and _, at most 64");
    }
    text.into()
}

/// Reports values that are not BLAKE3 digests in hex.
pub(crate) fn check_digests(section: &Section<'_>, key: &str, digests: &[String]) {
    for digest in digests {
        let hex = digest.len() == 64 && digest.chars().all(|c| c.is_ascii_hexdigit());
        if !hex {
            section.fault(key, digest, "BLAKE3 digests of 64 hex digits, separated by commas");
        }
    }
}

fn read_listen(section: Section<'_>) -> ListenSettings {
    let default = ListenSettings::default();
    let listen = ListenSettings {
        callers: section.address("callers", &default.callers),
        peers: section.address("peers", &default.peers),
        operators: section.address("operators", &default.operators),
        connections: section.number("connections", default.connections, 1, 65_536),
        body_bytes: section.number("body_bytes", default.body_bytes, 1024, 64 << 20),
        head_timeout: section.millis("head_timeout_ms", default.head_timeout, 100, 60_000),
    };
    section.finish();
    listen
}

fn read_timing(section: Section<'_>) -> TimingSettings {
    let default = TimingSettings::default();
    let timing = TimingSettings {
        request: section.millis("request_ms", default.request, 100, 3_600_000),
        order_wait: section.millis("order_wait_ms", default.order_wait, 0, 60_000),
        probe: section.millis("probe_ms", default.probe, 50, 60_000),
        probe_peers: section.number("probe_peers", default.probe_peers, 1, 16),
        suspect: section.millis("suspect_ms", default.suspect, 100, 60_000),
        list: section.millis("list_ms", default.list, 50, 60_000),
        config_list: section.millis("config_list_ms", default.config_list, 100, 60_000),
        drain: section.millis("drain_ms", default.drain, 0, 600_000),
        retain: section.millis("retain_ms", default.retain, 0, 86_400_000),
    };
    section.finish();
    timing
}

pub(crate) fn read_log(section: Section<'_>) -> LogSettings {
    let default = LogSettings::default();
    let log = LogSettings {
        level: section.text_or("level", &default.level),
        file: section.text_or("file", &default.file),
        statsd: section.text_or("statsd", &default.statsd),
        metrics: section.text_or("metrics", &default.metrics),
    };
    if log.level.parse::<Level>().is_err() {
        section.fault("level", &log.level, "error, warn, info, debug or trace");
    }
    for (key, address) in [("statsd", &log.statsd), ("metrics", &log.metrics)] {
        if !address.is_empty() && address.parse::<std::net::SocketAddr>().is_err() {
            section.fault(key, address, "an IP address and port, or nothing");
        }
    }
    section.finish();
    log
}

/// A log level by its name; only used to check one.
struct Level;

impl std::str::FromStr for Level {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "error" | "warn" | "info" | "debug" | "trace" => Ok(Level),
            _ => Err(()),
        }
    }
}
