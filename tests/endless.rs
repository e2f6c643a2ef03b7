//! Faulty replicas that send headers, bodies, streams or events without end:
//! clients must not receive them as complete responses, and the gateway's
//! memory must stay bounded.

#[path = "../platform/tests/support/mod.rs"]
mod support;

mod processes;

use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use gg_http::Client;
use http::{Request, StatusCode};
use processes::{LEDGERS, Processes};
use support::{Behaviour, deployment::eventually};

/// Memory available to the smallest gateway in production.
const MEMORY_MAX_BYTES: u64 = 88 << 20;

/// Requests sent concurrently.
const CONCURRENT_REQUESTS: usize = 60;

/// Sends a request through the gateway and returns the status and body length
/// of a complete response.
async fn send(
    processes: &Processes,
    client: &Client,
    path: &str,
    id: String,
) -> Option<(StatusCode, usize)> {
    let request = Request::post(format!("http://{}{path}", processes.clients[0]))
        .header("host", "app.example")
        .header("request-id", id)
        .header("request-deadline", "3000")
        .header("token-count", "10,100")
        .body(Bytes::from_static(b"question"));
    let reply = client.call(request.expect("valid request"), Duration::from_secs(20)).await.ok()?;
    Some((reply.status, reply.body.len()))
}

/// Concurrent requests to a replica with each endless fault use bounded memory,
/// no response appears complete, and later requests are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_responses() {
    let processes = Processes::start(1, 1).await;
    let replica = &processes.replicas[0];
    let client = Client::default();
    let is_served = async || {
        let id = gg_fakes::free_address();
        matches!(send(&processes, &client, "/call/x", id).await, Some((StatusCode::OK, _)))
    };
    eventually("a call is served", is_served).await;
    for (fault, path) in [
        (Behaviour::EndlessHead, "/call/x"),
        (Behaviour::EndlessBody, "/call/x"),
        (Behaviour::EndlessBody, "/once/x"),
        (Behaviour::EndlessRefusal, "/once/x"),
        (Behaviour::EndlessStream, "/turn/x"),
        (Behaviour::EndlessEvent, "/turn/x"),
        (Behaviour::EndlessInterim, "/call/x"),
        (Behaviour::EndlessInterim, "/turn/x"),
        (Behaviour::EndlessTrailers, "/call/x"),
        (Behaviour::EndlessTrailers, "/turn/x"),
        (Behaviour::EndlessExtension, "/call/x"),
        (Behaviour::EndlessExtension, "/turn/x"),
        // The response itself is complete, so it may be forwarded.
        (Behaviour::EndlessRest, "/once/x"),
    ] {
        replica.set_behaviour(fault);
        let sending = (0..CONCURRENT_REQUESTS).map(|number| {
            send(&processes, &client, path, format!("{fault:?}-{}-{number}", &path[1..5]))
        });
        let responses = join_all(sending).await;
        let complete = responses.iter().flatten().filter(|(status, _)| status.is_success()).count();
        if fault != Behaviour::EndlessRest {
            assert_eq!(complete, 0, "{fault:?} {path}: responses that appear complete");
        }
        replica.set_behaviour(Behaviour::Normal);
        eventually("a call is served again", is_served).await;
        let peak = processes.servers[LEDGERS].memory_peak();
        println!("{fault:?} {path}: peak {} MB", peak >> 20);
        assert!(peak < MEMORY_MAX_BYTES, "{fault:?} {path}: the gateway used {peak} bytes");
    }
}
