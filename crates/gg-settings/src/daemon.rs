//! Settings of one daemon.

use std::{cell::RefCell, time::Duration};

use gg_protocol::{Name, ids::is_name};
use ini::Ini;

use crate::{Fault, Faults, section::Section};

/// Annotated sample of a settings file.
pub const SAMPLE: &str = include_str!("sample.ini");

/// Sections that the settings of a daemon may have.
const SECTIONS: [&str; 7] =
    ["instance", "listen", "platform", "journal", "timing", "security", "log"];

/// Settings of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// Name of the instance that the daemon runs on.
    pub instance: Name,
    /// Data centre of the instance.
    pub centre: Name,
    /// Folder for bulk data; empty on instances without a disk.
    pub data: String,
    /// Number of worker threads.
    pub workers: usize,
    /// Memory of the machine, in bytes.
    pub memory_bytes: usize,
    /// Addresses and limits of the listeners.
    pub listen: ListenSettings,
    /// Address of the platform, as `ip:port`.
    pub platform: String,
    /// Timeout of a request to the platform.
    pub platform_timeout: Duration,
    /// Minimum mean interval between the starts of two journal commits.
    pub commit_interval: Duration,
    /// Maximum size of journal records not yet written to the platform, in bytes.
    pub backlog_bytes: usize,
    /// Intervals and timeouts.
    pub timing: TimingSettings,
    /// Secret with which daemons authenticate to each other.
    pub peer_key: String,
    /// BLAKE3 digests of the operator keys, in hex.
    pub operator_keys: Vec<String>,
    /// Logs and metrics.
    pub log: LogSettings,
}

/// Addresses and limits of the listeners.
#[derive(Clone, Debug, PartialEq)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: String,
    /// Address for other daemons.
    pub peers: String,
    /// Address for operators.
    pub operators: String,
    /// Maximum number of open caller connections.
    pub connections: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the head of a request.
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
    /// Timeout of a caller's request.
    pub request: Duration,
    /// Timeout of a turn that waits for the previous turn.
    pub order_wait: Duration,
    /// Interval between two rounds of probes.
    pub probe: Duration,
    /// Number of peers probed in each round.
    pub probe_peers: usize,
    /// Time without a response after which a peer is suspected of having failed.
    pub suspect: Duration,
    /// Interval between two reads of the platform's list of instances.
    pub list: Duration,
    /// Interval between two listings of the whole configuration.
    pub config_list: Duration,
    /// Maximum time that a planned stop waits for requests in flight.
    pub drain: Duration,
    /// Time for which an ended program stays readable.
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
    /// Least severe log level that is written.
    pub level: String,
    /// Log file; standard output if empty.
    pub file: String,
    /// Address of a statsd server, as `ip:port`; none if empty. Only daemons use it,
    /// and only if `metrics` is empty.
    pub statsd: String,
    /// Address of the metrics listener, as `ip:port`; none if empty.
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
            memory_bytes: 256 << 20,
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

/// Memory that a daemon needs for itself, in bytes: its threads, the configuration and
/// the programs without their texts.
const OWN_BYTES: usize = 48 << 20;

/// Memory for records of other daemons' journals, in bytes.
pub const COPIES_MAX_BYTES: usize = 64 << 20;

/// Memory that callers may make a daemon hold at least, in bytes, whatever else the
/// settings reserve.
const CALLERS_MIN_BYTES: usize = 16 << 20;

impl DaemonSettings {
    /// Memory that callers may make the daemon hold, in bytes.
    pub fn caller_memory(&self) -> usize {
        let reserved = OWN_BYTES + self.backlog_bytes + COPIES_MAX_BYTES;
        self.memory_bytes.saturating_sub(reserved).max(CALLERS_MIN_BYTES)
    }

    /// Parses the text of `file`; on failure returns all faults.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let ini = match Ini::load_from_str(text) {
            Ok(ini) => ini,
            Err(err) => return Err(Faults(vec![syntax_fault(file, &err)])),
        };
        DaemonSettings::read(file, &ini)
    }

    /// Reads the settings from a parsed file.
    pub(crate) fn read(file: &str, ini: &Ini) -> Result<Self, Faults> {
        let faults = RefCell::new(Vec::new());
        check_sections(file, ini, &SECTIONS, &faults);
        let section = |name| Section::new(file, name, ini.section(Some(name)), &faults);
        let settings = read_settings(&section);
        let faults = faults.into_inner();
        if faults.is_empty() { Ok(settings) } else { Err(Faults(faults)) }
    }
}

/// Converts a syntax error of the INI parser to a fault.
pub(crate) fn syntax_fault(file: &str, err: &ini::ParseError) -> Fault {
    Fault {
        file: file.into(),
        section: String::new(),
        key: String::new(),
        value: format!("line {} column {}", err.line, err.col),
        allowed: format!("INI: {}", err.msg),
    }
}

/// Records a fault for each section that is not in `allowed`.
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
        section.fault("", "", &format!("one of the sections: {}", allowed.join(", ")));
    }
}

fn read_settings<'a>(section: &impl Fn(&'static str) -> Section<'a>) -> DaemonSettings {
    let default = DaemonSettings::default();
    let instance = section("instance");
    let name = instance_name(&instance, "name");
    let centre = instance_name(&instance, "data_centre");
    let data = instance.text_or("data", "");
    let workers = instance.number("workers", default.workers, 1, 64);
    let memory_mb = instance.number("memory_mb", default.memory_bytes >> 20, 64, 1 << 20);
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
    let listen = read_listen(section("listen"));
    check_operators(&security, &listen.operators, &operator_keys);
    security.finish();
    DaemonSettings {
        instance: name,
        centre,
        data,
        workers,
        memory_bytes: memory_mb << 20,
        listen,
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
        section.fault(key, &text, "a name of at most 64 letters, digits, - and _");
    }
    text.into()
}

/// Records a fault for each value that is not a BLAKE3 digest in hex.
pub(crate) fn check_digests(section: &Section<'_>, key: &str, digests: &[String]) {
    for digest in digests {
        let hex = digest.len() == 64 && digest.chars().all(|c| c.is_ascii_hexdigit());
        if !hex {
            section.fault(key, digest, "BLAKE3 digests of 64 hex digits, separated by commas");
        }
    }
}

/// Records a fault if other machines can reach the operator API and need no key.
fn check_operators(section: &Section<'_>, operators: &str, digests: &[String]) {
    let address = operators.parse::<std::net::SocketAddr>();
    let is_local = address.map_or(true, |address| address.ip().is_loopback());
    if digests.is_empty() && !is_local {
        let allowed = format!(
            "at least one digest, as other machines can reach [listen] operators = {operators}"
        );
        section.fault("operator_keys", "", &allowed);
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
    if log.level.parse::<LevelName>().is_err() {
        section.fault("level", &log.level, "error, warn, info, debug or trace");
    }
    for (key, address) in [("statsd", &log.statsd), ("metrics", &log.metrics)] {
        if !address.is_empty() && address.parse::<std::net::SocketAddr>().is_err() {
            section.fault(key, address, "an IP address and port, or an empty value");
        }
    }
    section.finish();
    log
}

/// Name of a log level; only used to validate names.
struct LevelName;

impl std::str::FromStr for LevelName {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "error" | "warn" | "info" | "debug" | "trace" => Ok(LevelName),
            _ => Err(()),
        }
    }
}
