//! Planned stop of a gateway process under load.

#[path = "../platform/tests/support/mod.rs"]
mod support;

mod processes;

use std::{
    collections::HashSet,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use processes::{LEDGERS, Processes};
use support::{Behaviour, deployment::eventually};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Concurrent clients that send requests without a pause.
const CLIENTS: usize = 8;

/// Requests that a client sends on one connection before it opens another.
const REQUESTS_PER_CONNECTION: usize = 6;

/// Last bytes of a complete response: the final chunk of a stream, or the end of
/// a replica's or a gateway's body with a content length.
const RESPONSE_ENDS: [&str; 3] = ["0\r\n\r\n", "/x", "}}"];

/// Sends one request and reads the response; returns `false` if the connection
/// ends before the response is complete.
async fn exchange(socket: &mut TcpStream, path: &str, id: &str) -> io::Result<bool> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: app.example\r\nrequest-id: {id}\r\n\
         request-deadline: 3000\r\ncontent-length: 1\r\n\r\nx"
    );
    socket.write_all(head.as_bytes()).await?;
    let mut response = Vec::new();
    loop {
        if socket.read_buf(&mut response).await? == 0 {
            return Ok(false);
        }
        let text = String::from_utf8_lossy(&response);
        if RESPONSE_ENDS.iter().any(|end| text.ends_with(end)) {
            return Ok(true);
        }
    }
}

/// Sends requests until the gateway refuses connections, and adds the ids of
/// those with a complete response to `answered`.
async fn run_client(address: SocketAddr, client: usize, answered: Arc<Mutex<HashSet<String>>>) {
    let mut number = 0;
    while let Ok(mut socket) = TcpStream::connect(address).await {
        for _ in 0..REQUESTS_PER_CONNECTION {
            number += 1;
            let id = format!("{client}-{number}");
            let path = ["/once/x", "/whole/x"][number % 2];
            match exchange(&mut socket, path, &id).await {
                Ok(true) => answered.lock().expect("lock").insert(id),
                _ => break,
            };
        }
    }
}

/// Every request that reaches a replica before or during the stop gets a complete
/// response; connections in use are served until the process exits.
#[tokio::test]
async fn stop_completes_requests() {
    let processes = Processes::start(1, 1).await;
    let (replica, address) = (&processes.replicas[0], processes.clients[0]);
    let answered = Arc::new(Mutex::new(HashSet::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| tokio::spawn(run_client(address, client, answered.clone())))
        .collect();
    eventually("requests reach the replica", || async { replica.runs().len() > 100 }).await;
    let before = replica.runs().len();
    processes.servers[LEDGERS].signal(libc::SIGTERM);
    for client in clients {
        client.await.expect("client task completes");
    }
    let answered = answered.lock().expect("lock");
    let runs = replica.runs();
    let incomplete: Vec<_> = runs.iter().filter(|run| !answered.contains(&run.id)).collect();
    assert!(incomplete.is_empty(), "requests without a complete response: {incomplete:?}");
    assert!(runs.len() > before + 100, "connections in use were not served during the stop");
}

/// Stop timeout that leaves some requests less time than their deadline.
const SHORT_GRACE_S: u32 = 5;

/// Pause between the clients of a stop that is slow.
const CLIENT_PAUSE: Duration = Duration::from_millis(120);

/// Requests that come at any moment of a stop, on connections in use before, and
/// take up to longer than what is left of it: each that reaches a replica gets a
/// complete answer, and no later one is accepted.
#[tokio::test]
async fn stop_answers_slow_requests() {
    let processes = Processes::start_with_grace(1, 1, SHORT_GRACE_S).await;
    let (replica, address) = (&processes.replicas[0], processes.clients[0]);
    let answered = Arc::new(Mutex::new(HashSet::new()));
    let probe = run_client(address, usize::MAX, answered.clone());
    let probe = tokio::spawn(probe);
    eventually("requests reach the replica", || async { !replica.runs().is_empty() }).await;
    probe.abort();
    answered.lock().expect("lock").extend(replica.runs().into_iter().map(|run| run.id));
    let mut clients = Vec::new();
    for client in 0..usize::try_from(SHORT_GRACE_S * 8).expect("a small number") {
        // As long as the longest deadline, and shorter.
        replica.set_behaviour(Behaviour::Slow([300, 1_500, 3_700][client % 3]));
        clients.push(tokio::spawn(run_client(address, client, answered.clone())));
        tokio::time::sleep(CLIENT_PAUSE).await;
        if client == 8 {
            processes.servers[LEDGERS].signal(libc::SIGTERM);
        }
    }
    for client in clients {
        client.await.expect("client task completes");
    }
    let answered = answered.lock().expect("lock");
    let runs = replica.runs();
    let incomplete: Vec<_> = runs.iter().filter(|run| !answered.contains(&run.id)).collect();
    assert!(incomplete.is_empty(), "requests without a complete response: {incomplete:?}");
}
