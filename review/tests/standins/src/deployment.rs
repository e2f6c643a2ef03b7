//! A small installation: three ledger machines in three zones, gateways, a store
//! and replicas, all on loopback addresses.

use std::{
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process, thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    client::{Client, HOST, Turn},
    machines::{Class, Machine},
    record::Record,
    replica::{Replica, TURN_EVENTS},
    store::Store,
};

/// Tokens that each event of a stream represents.
pub const EVENT_TOKENS: u64 = 21;

/// Tokens of a turn of the stand-ins, which is also the most that it announces.
pub const TURN_TOKENS: u64 = EVENT_TOKENS * TURN_EVENTS as u64;

/// Service of all routes.
pub const SERVICE: &str = "app";

/// Service to which a new version moves the route of calls.
pub const OTHER_SERVICE: &str = "app-2";

pub const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];

/// Longest wait for the system to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Deployment {
    pub record: Record,
    pub client: Client,
    pub store: Store,
    pub ledgers: Vec<Machine>,
    pub gateways: Vec<Machine>,
    pub replicas: Vec<Replica>,
    folder: PathBuf,
    network: u16,
}

impl Deployment {
    /// Starts everything. Ends the process with 2 if that fails.
    pub fn start(record: Record, folder: &Path, gateways: usize, replicas: usize) -> Self {
        let network = free_network();
        let store = Store::start(&address(network, 1, 8142));
        let client = Client::new(&record);
        let mut deployment = Deployment {
            record,
            client,
            store,
            ledgers: Vec::new(),
            gateways: Vec::new(),
            replicas: Vec::new(),
            folder: folder.to_owned(),
            network,
        };
        deployment.store.put("config", "main", configuration(1, SERVICE));
        for number in 0..replicas {
            deployment.add_replica(number, SERVICE);
        }
        for (number, zone) in ZONES.iter().enumerate() {
            let machine =
                deployment.machine(&format!("store-{zone}-1"), Class::Store, zone, 11 + number);
            deployment.ledgers.push(machine);
        }
        for number in 0..gateways {
            let zone = ZONES[number % ZONES.len()];
            let name = format!("front-{zone}-{}", 1 + number / ZONES.len());
            let machine = deployment.machine(&name, Class::Front, zone, 31 + number);
            deployment.gateways.push(machine);
        }
        deployment.ledgers.iter_mut().for_each(|machine| machine.start(true));
        deployment.gateways.iter_mut().for_each(|machine| machine.start(true));
        deployment.wait_ready();
        deployment
    }

    /// Starts a replica and lists it in the store.
    pub fn add_replica(&mut self, number: usize, service: &str) {
        let ip = address(self.network, 61 + number, 8500);
        let zone = ZONES[number % ZONES.len()];
        let replica = Replica::start(&format!("i-{number:04}"), &ip, service, zone, &self.record);
        self.store.put("servers", &replica.name, replica.entry("ready"));
        self.replicas.push(replica);
    }

    /// A machine at the address with this number.
    pub fn machine(&self, name: &str, class: Class, zone: &str, number: usize) -> Machine {
        let ip = ip(self.network, number);
        Machine::new(name, class, zone, &ip, self.store.address, &self.folder, &self.record)
    }

    /// Addresses of the gateways for clients.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(Machine::front).collect()
    }

    /// Waits until every gateway is ready and serves a turn.
    fn wait_ready(&self) {
        let until = Instant::now() + START_TIMEOUT;
        for machine in &self.gateways {
            while !self.is_ready(machine) || !self.serves(machine.front()) {
                if Instant::now() > until {
                    self.record.say("the system is not ready in time");
                    process::exit(2);
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        self.record.say("ready");
    }

    /// Whether the platform's readiness check succeeds.
    pub fn is_ready(&self, machine: &Machine) -> bool {
        let answer =
            self.client.send(machine.ready(), "GET", "/v1/ready", &self.client.id(), "", "");
        answer.status == 200
    }

    fn serves(&self, gateway: SocketAddr) -> bool {
        let id = self.client.id();
        let program = format!("start-{id}");
        let turn = Turn {
            program: &program,
            previous: None,
            budget: 1_000,
            most: TURN_TOKENS,
            input_bytes: 0,
        };
        self.client.turn(gateway, &id, turn).is_served()
    }
}

/// The operator's configuration, with the values of the users' pages. Calls go to
/// the service `calls`.
pub fn configuration(version: u64, calls: &str) -> Value {
    let route = |name: &str, kind: &str, retain: bool, service: &str| {
        json!({
            "name": name, "hostname": HOST, "path-prefix": format!("/{name}/"),
            "route-type": kind, "timeout-ms": 4000, "target-latency-ms": 400, "priority": 0,
            "service": service, "max-attempts": 2, "retain": retain, "retention-s": 60.0,
            "sticky": retain, "resumable": false, "gap-aim-ms": 300,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("turn", "stream", true, SERVICE),
            route("call", "idempotent", false, calls),
        ],
        "services": [
            {
                "name": SERVICE, "health-path": "/health", "max-connections": 180,
                "engine": {"capacity": 16, "kv-tokens": 589_088, "event-tokens": EVENT_TOKENS},
            },
            {"name": OTHER_SERVICE, "health-path": "/health", "max-connections": 110},
        ],
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000,
        },
    })
}

/// A part of 127.0.0.0/8 in which the ports of all machines are free.
fn free_network() -> u16 {
    let first = process::id() as u16;
    let is_free = |network: &u16| {
        let used = [(1, 8142), (11, 7380), (11, 9464), (31, 8149), (31, 8141), (31, 7380)];
        used.iter()
            .all(|(number, port)| TcpListener::bind(address(*network, *number, *port)).is_ok())
    };
    let networks = (0..1_000).map(|step| 256 + first.wrapping_add(step) % 60_000);
    let Some(network) = networks.into_iter().find(is_free) else { process::exit(2) };
    network
}

fn ip(network: u16, number: usize) -> String {
    format!("127.{}.{}.{number}", network >> 8, network & 255)
}

fn address(network: u16, number: usize, port: u16) -> String {
    format!("{}:{port}", ip(network, number))
}
