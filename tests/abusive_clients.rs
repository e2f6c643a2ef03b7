//! Clients of gateways that send large or endless bodies and stay: no process ends or
//! exceeds the memory of its machine, and others are served.

#[path = "../platform/tests/support/mod.rs"]
mod support;

mod crowd;
mod processes;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use crowd::{Crowd, Framing, MemoryWatch, Upload, alone};
use gg_http::Client;
use http::{Request, StatusCode};
use processes::{LEDGERS, ProcessSettings, Processes, ROUTES};
use serde_json::json;
use support::{
    Behaviour,
    deployment::{configuration, eventually},
};

/// Memory available to the smallest gateway in production, in bytes.
const GATEWAY_MEMORY_BYTES: u64 = 88 << 20;

/// Memory of a ledger instance, in MiB, less than in production.
const LEDGER_MEMORY_MB: u64 = 64;

/// Clients that send at the same time.
const CLIENTS: usize = 60;

/// Largest body that the configuration allows, in bytes.
const BODY_MAX_BYTES: usize = 4 << 20;

/// Largest request head that the configuration allows, in bytes.
const HEAD_MAX_BYTES: usize = 16 << 10;

/// One in this many clients completes its request.
const COMPLETE_EVERY: usize = 10;

/// Descriptors that a process uses for anything but connections of clients.
const OTHER_DESCRIPTORS: usize = 100;

/// Starts a deployment with bodies of up to [`BODY_MAX_BYTES`] and waits until it
/// serves requests.
async fn start(settings: ProcessSettings) -> Processes {
    start_with_heads(settings, HEAD_MAX_BYTES).await
}

/// Like [`start`], with request heads of up to `head_bytes`.
async fn start_with_heads(settings: ProcessSettings, head_bytes: usize) -> Processes {
    let processes = Processes::start_with(settings).await;
    let mut changed = configuration(2, &ROUTES);
    changed["limits"]["max-body-bytes"] = json!(BODY_MAX_BYTES);
    changed["limits"]["max-header-bytes"] = json!(head_bytes);
    processes.store.put("config", "main", changed);
    for address in &processes.clients {
        let larger_than_before = Bytes::from(vec![b'x'; 200_000]);
        eventually("the configuration is in force", async || {
            call(*address, larger_than_before.clone()).await == Some(StatusCode::OK)
        })
        .await;
    }
    processes
}

/// Sends an ordinary request on a connection of its own.
async fn call(gateway: SocketAddr, body: Bytes) -> Option<StatusCode> {
    let request = Request::post(format!("http://{gateway}/once/x"))
        .header("host", "app.example")
        .header("request-id", gg_fakes::free_address())
        .header("request-deadline", "3000")
        .body(body);
    let reply = Client::default().call(request.expect("request"), Duration::from_secs(20)).await;
    Some(reply.ok()?.status)
}

/// Sends a turn of the program `p` on a connection of its own.
async fn turn(
    gateway: SocketAddr,
    path: &str,
    id: &str,
    previous: Option<&str>,
    body: Bytes,
) -> Option<StatusCode> {
    let mut request = Request::post(format!("http://{gateway}{path}/x"))
        .header("host", "app.example")
        .header("request-id", id)
        .header("request-deadline", "4000")
        .header("program-id", "p")
        .header("session-id", "s")
        .header("token-budget", "100000000")
        .header("token-count", "10,100");
    if let Some(previous) = previous {
        request = request.header("previous-turn", previous);
    }
    let request = request.body(body).expect("request");
    let reply = Client::default().call(request, Duration::from_secs(20)).await;
    Some(reply.ok()?.status)
}

/// Sends a turn until it is served. Returns its id.
async fn served_turn(
    gateway: SocketAddr,
    path: &str,
    previous: Option<&str>,
    body: Bytes,
) -> String {
    let mut id = String::new();
    eventually(&format!("a turn of {} bytes is served on {path}", body.len()), async || {
        id = gg_fakes::free_address();
        turn(gateway, path, &id, previous, body.clone()).await == Some(StatusCode::OK)
    })
    .await;
    id
}

/// Head of a request, without its framing.
fn head(path: &str, client: usize) -> String {
    format!(
        "POST {path}/x HTTP/1.1\r\nhost: app.example\r\nrequest-id: {client}-{}\r\n\
         program-id: p-{client}\r\nsession-id: s\r\ntoken-budget: 100000000\r\n\
         token-count: 10,100\r\n",
        &path[1..]
    )
}

/// Upload of a client whose body has `sent` bytes. All but some clients omit the end.
fn upload(path: &str, client: usize, framing: Framing, sent: usize) -> Upload {
    let is_ended = client.is_multiple_of(COMPLETE_EVERY);
    let sent = match framing {
        Framing::Length(length) if is_ended => length,
        _ => sent,
    };
    Upload {
        head: head(path, client),
        framing,
        body: vec![b'x'; sent].into(),
        is_ended,
        is_read: true,
    }
}

/// Clients that send uploads to the first gateway, and what is checked meanwhile and
/// afterwards.
struct Attack<'a> {
    description: &'a str,
    gateway: SocketAddr,
    watch: MemoryWatch,
    crowd: Crowd,
}

impl<'a> Attack<'a> {
    /// Starts the clients and waits until the gateway has read what they send.
    async fn start(
        processes: &Processes,
        description: &'a str,
        upload: impl Fn(usize) -> Upload,
    ) -> Self {
        let gateway = processes.clients[0];
        let watch = MemoryWatch::start(processes.servers[LEDGERS].id(), gateway);
        let uploads = (0..CLIENTS).map(|client| (gateway, upload(client)));
        let crowd = Crowd::start(uploads.collect());
        crowd.settled(&[gateway]).await;
        Attack { description, gateway, watch, crowd }
    }

    /// Checks what has to hold, and ends the clients.
    async fn check(self, connections: usize) {
        let Attack { description, gateway, watch, crowd } = self;
        eventually("a request is served beside the crowd", async || {
            call(gateway, Bytes::from_static(b"question")).await == Some(StatusCode::OK)
        })
        .await;
        let descriptors = watch.descriptors();
        let summary = crowd.summary().await;
        drop(crowd);
        eventually("a request is served after the crowd", async || {
            call(gateway, Bytes::from_static(b"question")).await == Some(StatusCode::OK)
        })
        .await;
        let peak = watch.peak();
        println!("{description}: peak {} MB, {descriptors} descriptors, {summary}", peak >> 20);
        assert!(peak < GATEWAY_MEMORY_BYTES, "{description}: the gateway used {peak} bytes");
        assert!(
            descriptors < connections + OTHER_DESCRIPTORS,
            "{description}: the gateway used {descriptors} descriptors"
        );
    }
}

async fn attack(
    processes: &Processes,
    description: &str,
    connections: usize,
    upload: impl Fn(usize) -> Upload,
) {
    Attack::start(processes, description, upload).await.check(connections).await;
}

/// Many bodies of legal size at once, sent whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies() {
    let _alone = alone().await;
    let processes = start(ProcessSettings::default()).await;
    for path in ["/once", "/resume"] {
        attack(&processes, &format!("whole bodies {path}"), CLIENTS, |client| {
            upload(path, client, Framing::Length(BODY_MAX_BYTES), BODY_MAX_BYTES)
        })
        .await;
    }
}

/// Many bodies of legal size at once, most without their last byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies() {
    let _alone = alone().await;
    let processes = start(ProcessSettings::default()).await;
    attack(&processes, "unfinished bodies", CLIENTS, |client| {
        upload("/once", client, Framing::Length(BODY_MAX_BYTES), BODY_MAX_BYTES - 1)
    })
    .await;
}

/// Many chunked bodies in large chunks, most without their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks() {
    let _alone = alone().await;
    let processes = start(ProcessSettings::default()).await;
    attack(&processes, "large chunks", CLIENTS, |client| {
        upload("/once", client, Framing::Chunks(64 << 10), BODY_MAX_BYTES - 1)
    })
    .await;
}

/// Many chunked bodies in chunks of a byte, most without their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tiny_chunks() {
    let _alone = alone().await;
    let processes = start(ProcessSettings::default()).await;
    attack(&processes, "tiny chunks", CLIENTS, |client| {
        upload("/once", client, Framing::Chunks(1), 200_000)
    })
    .await;
}

/// Bodies far over the limit whose size is not announced.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_chunks() {
    let _alone = alone().await;
    let processes = start(ProcessSettings::default()).await;
    attack(&processes, "endless chunks", CLIENTS, |client| {
        upload("/once", client, Framing::Chunks(64 << 10), 5 * BODY_MAX_BYTES)
    })
    .await;
}

/// Bodies far over the limit whose size is announced.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announced_excess() {
    let _alone = alone().await;
    let processes = start(ProcessSettings::default()).await;
    attack(&processes, "announced excess", CLIENTS, |client| {
        let framing = Framing::Length(4_000_000_000);
        let body = vec![b'x'; 5 * BODY_MAX_BYTES].into();
        Upload { head: head("/once", client), framing, body, is_ended: false, is_read: true }
    })
    .await;
}

/// More clients with unfinished bodies than the gateway has connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_used_up() {
    const CONNECTIONS: usize = 40;
    let _alone = alone().await;
    let settings = ProcessSettings {
        gateway: format!("connections = {CONNECTIONS}\n"),
        ..ProcessSettings::default()
    };
    let processes = start(settings).await;
    attack(&processes, "connections used up", CONNECTIONS, |client| {
        upload("/once", client, Framing::Length(BODY_MAX_BYTES), BODY_MAX_BYTES - 1)
    })
    .await;
}

/// Many heads without their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_heads() {
    const LARGE_HEAD_BYTES: usize = 2 << 20;
    let _alone = alone().await;
    let processes = start_with_heads(ProcessSettings::default(), LARGE_HEAD_BYTES).await;
    attack(&processes, "large heads", CLIENTS, |client| {
        let mut head = format!("{}x-filler: ", head("/once", client));
        head.push_str(&"x".repeat(LARGE_HEAD_BYTES - head.len() - 1));
        let body = Vec::new().into();
        Upload { head, framing: Framing::OpenHead, body, is_ended: false, is_read: true }
    })
    .await;
}

/// Whole bodies of legal size, whose clients don't read the long responses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_responses() {
    let _alone = alone().await;
    let processes = start(ProcessSettings::default()).await;
    let replica = &processes.replicas[0];
    for path in ["/once", "/resume"] {
        let description = format!("unread responses {path}");
        replica.set_behaviour(Behaviour::Events(100_000));
        let attack = Attack::start(&processes, &description, |client| {
            let framing = Framing::Length(BODY_MAX_BYTES);
            let upload = upload(path, client, framing, BODY_MAX_BYTES);
            Upload { is_read: false, ..upload }
        });
        let attack = attack.await;
        replica.set_behaviour(Behaviour::Normal);
        attack.check(CLIENTS).await;
    }
}

/// A gateway is stopped and started again beside clients that use up its memory and don't
/// leave.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarts_beside_crowd() {
    let _alone = alone().await;
    let mut processes = start(ProcessSettings::default()).await;
    for _ in 0..2 {
        let gateway = processes.clients[0];
        let watch = MemoryWatch::start(processes.servers[LEDGERS].id(), gateway);
        let uploads = (0..CLIENTS).map(|client| {
            let framing = Framing::Length(BODY_MAX_BYTES);
            (gateway, upload("/once", client, framing, BODY_MAX_BYTES - 1))
        });
        let crowd = Crowd::start(uploads.collect());
        crowd.settled(&[gateway]).await;
        processes.servers[LEDGERS].signal(libc::SIGTERM);
        eventually("the gateway ends by itself", async || {
            let status = processes.servers[LEDGERS].exit_status();
            assert!(status.is_none_or(|status| status.success()), "{status:?}");
            status.is_some()
        })
        .await;
        let peak = watch.sampled_peak();
        println!("restarts beside crowd: peak {} MB, {}", peak >> 20, crowd.summary().await);
        assert!(peak < GATEWAY_MEMORY_BYTES, "the gateway used {peak} bytes");
        processes.servers[LEDGERS].start();
        eventually("a request is served after the restart", async || {
            call(gateway, Bytes::from_static(b"question")).await == Some(StatusCode::OK)
        })
        .await;
    }
}

/// In calm, requests at the limits are served on each kind of route, also those that
/// continue other turns at the limits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_at_limits() {
    let _alone = alone().await;
    let processes = start(ProcessSettings::default()).await;
    let gateway = processes.clients[0];
    let body = Bytes::from(vec![b'x'; BODY_MAX_BYTES]);
    eventually("a request at the limit is served", async || {
        call(gateway, body.clone()).await == Some(StatusCode::OK)
    })
    .await;
    for path in ["/whole", "/resume"] {
        served_turn(gateway, path, None, body.clone()).await;
    }
    let first = served_turn(gateway, "/turn", None, body.clone()).await;
    let second = served_turn(gateway, "/turn", Some(&first), body.clone()).await;
    served_turn(gateway, "/turn", Some(&second), body).await;
}

/// Many turns of legal size at a few gateways, which ledger instances store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_turns() {
    large_turns_at(3).await;
}

/// Many turns of legal size at as many gateways as a small deployment has.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn turns_of_eight_gateways() {
    large_turns_at(8).await;
}

/// A ledger instance is killed and started again beside clients that fill it. Turns that were
/// acknowledged are continued.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ledger_restarts_beside_crowd() {
    const GATEWAYS: usize = 3;
    let _alone = alone().await;
    let mut processes = start(ledger_settings(GATEWAYS)).await;
    let question = Bytes::from_static(b"question");
    let mut last = served_turn(processes.clients[0], "/turn", None, question.clone()).await;
    let crowd = Crowd::start(large_turn_uploads(&processes, GATEWAYS));
    crowd.settled(&processes.clients).await;
    for restarted in 0..LEDGERS {
        let gateway = processes.clients[restarted % GATEWAYS];
        let peak = processes.servers[restarted].memory_peak();
        println!("restarts of ledger instances: {restarted}, peak {} MB", peak >> 20);
        assert!(peak < LEDGER_MEMORY_MB << 20, "instance {restarted} used {peak} bytes");
        processes.servers[restarted].kill();
        processes.servers[restarted].start();
        last = served_turn(gateway, "/turn", Some(&last), question.clone()).await;
    }
    println!("restarts of ledger instances: {}", crowd.summary().await);
    drop(crowd);
    served_turn(processes.clients[0], "/turn", Some(&last), question).await;
    check_peaks("restarts of ledger instances", &processes);
}

/// Settings of a deployment with this number of gateways whose ledger instances have little
/// memory.
fn ledger_settings(gateways: usize) -> ProcessSettings {
    let ledger = format!("memory_mb = {LEDGER_MEMORY_MB}\n");
    ProcessSettings { gateways, ledger, ..ProcessSettings::default() }
}

/// Uploads of clients whose turns are stored, spread over the gateways.
fn large_turn_uploads(processes: &Processes, gateways: usize) -> Vec<(SocketAddr, Upload)> {
    let uploads = (0..CLIENTS).map(|client| {
        let framing = Framing::Length(BODY_MAX_BYTES);
        let gateway = processes.clients[client % gateways];
        (gateway, upload("/turn", client, framing, BODY_MAX_BYTES))
    });
    uploads.collect()
}

/// Checks the memory of all processes.
fn check_peaks(description: &str, processes: &Processes) {
    for (number, server) in processes.servers.iter().enumerate() {
        let peak = server.memory_peak();
        println!("{description}: process {number}, peak {} MB", peak >> 20);
        let bound = if number < LEDGERS { LEDGER_MEMORY_MB << 20 } else { GATEWAY_MEMORY_BYTES };
        assert!(peak < bound, "process {number} used {peak} bytes");
    }
}

/// Sends large turns to `gateways` gateways. A program whose turns were acknowledged goes
/// on beside the crowd.
async fn large_turns_at(gateways: usize) {
    let _alone = alone().await;
    let processes = start(ledger_settings(gateways)).await;
    let question = Bytes::from_static(b"question");
    let first = served_turn(processes.clients[0], "/turn", None, question.clone()).await;
    let crowd = Crowd::start(large_turn_uploads(&processes, gateways));
    crowd.settled(&processes.clients).await;
    for gateway in &processes.clients {
        eventually("a request is served beside the crowd", async || {
            call(*gateway, Bytes::from_static(b"question")).await == Some(StatusCode::OK)
        })
        .await;
    }
    let last = processes.clients[gateways - 1];
    let second = served_turn(last, "/turn", Some(&first), question.clone()).await;
    println!("large turns at {gateways}: {}", crowd.summary().await);
    drop(crowd);
    served_turn(processes.clients[0], "/turn", Some(&second), question).await;
    check_peaks(&format!("large turns at {gateways}"), &processes);
}
