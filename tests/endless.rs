//! Replicas in trouble that send bytes without end: what callers get, and what
//! it costs the gateway.

#[path = "../platform/tests/support/mod.rs"]
mod support;

mod processes;

use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use gg_http::Client;
use http::{Request, StatusCode};
use processes::{LEDGERS, Processes};
use support::{Manner, deployment::eventually};

/// Memory of the smallest gateway on the users' machines, in bytes.
const MEMORY: u64 = 88 << 20;

/// Requests at a time.
const AT_ONCE: usize = 60;

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
    let reply = client.call(request.expect("request"), Duration::from_secs(20)).await.ok()?;
    Some((reply.status, reply.body.len()))
}

/// Many at once of each kind cost bounded memory, no answer looks whole, and
/// others are served after that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_answers() {
    let processes = Processes::start(1, 1).await;
    let replica = &processes.replicas[0];
    let client = Client::default();
    let is_served = async || {
        let id = gg_fakes::free_address();
        matches!(send(&processes, &client, "/call/x", id).await, Some((StatusCode::OK, _)))
    };
    eventually("a call is served", is_served).await;
    for (manner, path) in [
        (Manner::EndlessHead, "/call/x"),
        (Manner::EndlessBody, "/call/x"),
        (Manner::EndlessBody, "/once/x"),
        (Manner::EndlessRefusal, "/once/x"),
        (Manner::EndlessStream, "/turn/x"),
        (Manner::EndlessEvent, "/turn/x"),
    ] {
        replica.set_manner(manner);
        let sending = (0..AT_ONCE).map(|number| {
            send(&processes, &client, path, format!("{manner:?}-{}-{number}", &path[1..5]))
        });
        let answers = join_all(sending).await;
        let whole = answers.iter().flatten().filter(|(status, _)| status.is_success()).count();
        assert_eq!(whole, 0, "{manner:?} {path}: answers that look whole");
        replica.set_manner(Manner::Sound);
        eventually("a call is served again", is_served).await;
        let peak = processes.programs[LEDGERS].memory_peak();
        println!("{manner:?} {path}: peak {} MB", peak >> 20);
        assert!(peak < MEMORY, "{manner:?} {path}: the gateway took {peak} bytes");
    }
}
