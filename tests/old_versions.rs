//! Changes that are acknowledged while a gateway process does not run.

#[path = "../platform/tests/support/mod.rs"]
mod support;

mod processes;

use std::{io, net::SocketAddr, time::Duration};

use gg_protocol::DirectoryBounds;
use processes::Processes;
use support::deployment::{configuration, eventually};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// Stops of the gateway.
const STOPS: u64 = 4;

/// Time by which a stop is longer than the bound.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Requests that wait at the gateway when it goes on.
const REQUESTS: usize = 8;

/// Sends a request of a connection that is already open.
async fn send(socket: &mut TcpStream, path: &str, id: &str) -> io::Result<()> {
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: app.example\r\nrequest-id: {id}\r\n\
         request-deadline: 4000\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await
}

/// Reads a response, and returns its status and whether the connection stays open.
async fn response(socket: &mut TcpStream) -> io::Result<(u16, bool)> {
    let mut response = Vec::new();
    loop {
        if socket.read_buf(&mut response).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = String::from_utf8_lossy(&response).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
        if length.and_then(|length| length.parse().ok()) == Some(body.len()) {
            let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
            let is_open = !head.contains("connection: close");
            return Ok((status.ok_or(io::ErrorKind::InvalidData)?, is_open));
        }
    }
}

/// Opens a connection on which a call is served.
async fn open(address: SocketAddr) -> io::Result<Option<TcpStream>> {
    let mut socket = TcpStream::connect(address).await?;
    send(&mut socket, "/call/x", "open").await?;
    let answered = response(&mut socket).await?;
    Ok((answered == (200, true)).then_some(socket))
}

/// Opens connections on which calls are served.
async fn open_all(address: SocketAddr) -> Vec<TcpStream> {
    eventually("the gateway serves calls", async || {
        open(address).await.is_ok_and(|socket| socket.is_some())
    })
    .await;
    let mut sockets = Vec::new();
    while sockets.len() < REQUESTS {
        sockets.extend(open(address).await.expect("response"));
    }
    sockets
}

/// A gateway that did not run for longer than the bound handles the requests that
/// arrived meanwhile with the versions that were acknowledged meanwhile.
#[tokio::test]
async fn old_version_after_stall() {
    let processes = Processes::start(1, 1).await;
    let (gateway, address) = (processes.servers.last().expect("a gateway"), processes.clients[0]);
    let bound = DirectoryBounds::default().apply;
    for stop in 1..=STOPS {
        let added = format!("added{stop}");
        let mut sockets = open_all(address).await;
        gateway.signal(libc::SIGSTOP);
        processes.store.put("config", "main", configuration(stop + 1, &["call", &added]));
        time::sleep(bound + STOP_MARGIN).await;
        let path = format!("/{added}/x");
        for (number, socket) in sockets.iter_mut().enumerate() {
            send(socket, &path, &format!("{stop}-{number}")).await.expect("send a request");
        }
        gateway.signal(libc::SIGCONT);
        for socket in &mut sockets {
            let (status, _) = response(socket).await.expect("response");
            assert_eq!(status, 200, "stop {stop}");
        }
    }
}

/// The same for a replica that began to drain meanwhile.
#[tokio::test]
async fn drained_replica_after_stall() {
    let processes = Processes::start(1, STOPS as usize + 1).await;
    let (gateway, address) = (processes.servers.last().expect("a gateway"), processes.clients[0]);
    let bound = DirectoryBounds::default().drain;
    for (stop, draining) in (0..STOPS).zip(&processes.replicas) {
        eventually("the replica is used", async || {
            let runs = draining.runs().len();
            let _ = open(address).await;
            draining.runs().len() > runs
        })
        .await;
        let mut sockets = open_all(address).await;
        gateway.signal(libc::SIGSTOP);
        processes.store.put("servers", &draining.name, draining.entry("app", "draining"));
        time::sleep(bound + STOP_MARGIN).await;
        for (number, socket) in sockets.iter_mut().enumerate() {
            let id = format!("drained-{stop}-{number}");
            send(socket, "/call/x", &id).await.expect("send a request");
        }
        gateway.signal(libc::SIGCONT);
        for socket in &mut sockets {
            response(socket).await.expect("response");
        }
        let late = draining.runs().iter().any(|run| run.id.starts_with(&format!("drained-{stop}")));
        assert!(!late, "stop {stop}");
    }
}
