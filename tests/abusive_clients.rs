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
use support::deployment::{configuration, eventually};

/// Memory available to the smallest gateway in production, in bytes.
const GATEWAY_MEMORY_BYTES: u64 = 88 << 20;

/// Memory of a ledger instance, in MiB, less than in production.
const LEDGER_MEMORY_MB: u64 = 64;

/// Clients that send at the same time.
const CLIENTS: usize = 60;

/// Largest body that the configuration allows, in bytes.
const BODY_MAX_BYTES: usize = 4 << 20;

/// One in this many clients completes its request.
const COMPLETE_EVERY: usize = 10;

/// Descriptors that a process uses for anything but connections of clients.
const OTHER_DESCRIPTORS: usize = 100;

/// Starts a deployment with bodies of up to [`BODY_MAX_BYTES`] and waits until it
/// serves requests.
async fn start(settings: ProcessSettings) -> Processes {
    let processes = Processes::start_with(settings).await;
    let mut changed = configuration(2, &ROUTES);
    changed["limits"]["max-body-bytes"] = json!(BODY_MAX_BYTES);
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
    Upload { head: head(path, client), framing, body: vec![b'x'; sent].into(), is_ended }
}

/// Sends uploads to the gateway and checks what has to hold meanwhile and afterwards.
async fn attack(
    processes: &Processes,
    description: &str,
    connections: usize,
    upload: impl Fn(usize) -> Upload,
) {
    let gateway = processes.clients[0];
    let watch = MemoryWatch::start(processes.servers[LEDGERS].id(), gateway);
    let uploads = (0..CLIENTS).map(|client| (gateway, upload(client)));
    let crowd = Crowd::start(uploads.collect());
    crowd.settled(&[gateway]).await;
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
        Upload { head: head("/once", client), framing, body, is_ended: false }
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

/// Many turns of legal size at several gateways, which ledger instances store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_turns() {
    const GATEWAYS: usize = 3;
    let _alone = alone().await;
    let settings = ProcessSettings {
        gateways: GATEWAYS,
        ledger: format!("memory_mb = {LEDGER_MEMORY_MB}\n"),
        ..ProcessSettings::default()
    };
    let processes = start(settings).await;
    let uploads = (0..CLIENTS).map(|client| {
        let framing = Framing::Length(BODY_MAX_BYTES);
        let gateway = processes.clients[client % GATEWAYS];
        (gateway, upload("/turn", client, framing, BODY_MAX_BYTES))
    });
    let crowd = Crowd::start(uploads.collect());
    crowd.settled(&processes.clients).await;
    for gateway in &processes.clients {
        eventually("a request is served beside the crowd", async || {
            call(*gateway, Bytes::from_static(b"question")).await == Some(StatusCode::OK)
        })
        .await;
    }
    println!("large turns: {}", crowd.summary().await);
    drop(crowd);
    for (number, server) in processes.servers.iter().enumerate() {
        let peak = server.memory_peak();
        println!("large turns: process {number}, peak {} MB", peak >> 20);
        let bound = if number < LEDGERS { LEDGER_MEMORY_MB << 20 } else { GATEWAY_MEMORY_BYTES };
        assert!(peak < bound, "process {number} used {peak} bytes");
    }
}
