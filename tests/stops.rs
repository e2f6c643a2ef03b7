//! Planned stops of a gateway under load, as a process of its own.

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

/// Clients that send without a pause.
const CLIENTS: usize = 8;

/// Requests that a client sends on one connection.
const ON_CONNECTION: usize = 6;

/// End of the last chunk of a stream, and of an answer with a length.
const ENDS: [&str; 2] = ["0\r\n\r\n", "/x"];

/// Sends one request and reads its whole answer; `false` if the connection
/// ended before that.
async fn exchange(socket: &mut TcpStream, path: &str, id: &str) -> io::Result<bool> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: app.example\r\nrequest-id: {id}\r\n\
         request-deadline: 3000\r\ncontent-length: 1\r\n\r\nx"
    );
    socket.write_all(head.as_bytes()).await?;
    let mut answer = Vec::new();
    loop {
        if socket.read_buf(&mut answer).await? == 0 {
            return Ok(false);
        }
        let text = String::from_utf8_lossy(&answer);
        if ENDS.iter().any(|end| text.ends_with(end)) {
            return Ok(true);
        }
    }
}

/// Sends requests until no connection is taken any more; returns those that
/// were answered whole.
async fn load(address: SocketAddr, client: usize, answered: Arc<Mutex<HashSet<String>>>) {
    let mut number = 0;
    while let Ok(mut socket) = TcpStream::connect(address).await {
        for _ in 0..ON_CONNECTION {
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

/// Whatever reached a replica before or during the stop is answered whole;
/// connections that are in use go on until the process ends.
#[tokio::test]
async fn nothing_is_cut() {
    let processes = Processes::start(1, 1).await;
    let (replica, address) = (&processes.replicas[0], processes.clients[0]);
    let answered = Arc::new(Mutex::new(HashSet::new()));
    let clients: Vec<_> =
        (0..CLIENTS).map(|client| tokio::spawn(load(address, client, answered.clone()))).collect();
    eventually("the load has begun", || async { replica.runs().len() > 100 }).await;
    let before = replica.runs().len();
    processes.programs[LEDGERS].signal(libc::SIGTERM);
    for client in clients {
        client.await.expect("a client ends");
    }
    let answered = answered.lock().expect("lock");
    let runs = replica.runs();
    let cut: Vec<_> = runs.iter().filter(|run| !answered.contains(&run.id)).collect();
    assert!(cut.is_empty(), "{cut:?}");
    assert!(runs.len() > before + 100, "it served on while it stopped");
}
