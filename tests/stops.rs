//! Planned stop of a gateway process under load.

#[path = "../platform/tests/support/mod.rs"]
mod support;

mod processes;

use std::{
    collections::HashSet,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use processes::{LEDGERS, Processes};
use support::deployment::eventually;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Concurrent clients that send requests without a pause.
const CLIENTS: usize = 8;

/// Requests that a client sends on one connection before it opens another.
const REQUESTS_PER_CONNECTION: usize = 6;

/// Last bytes of a complete response: the final chunk of a stream, or the end of
/// a body with a content length.
const RESPONSE_ENDS: [&str; 2] = ["0\r\n\r\n", "/x"];

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
