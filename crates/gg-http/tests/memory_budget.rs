//! What a server does while the memory for its clients is used up.

use std::net::SocketAddr;

use bytes::Bytes;
use gg_http::{HttpError, MemoryBudget, ServerLimits, read_body, serve};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

/// Size of a large body: two fit into the part of the budget that large ones may use.
const LARGE_BYTES: usize = 1 << 20;

/// Size of a body that large ones have to leave room for.
const SMALLER_BYTES: usize = 100 << 10;

const BUDGET_BYTES: usize = 3 << 20;

/// Starts a server whose requests take `hold` until they are answered.
async fn start(connections: usize, hold: CancellationToken) -> (SocketAddr, MemoryBudget) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    let limits = ServerLimits {
        connections,
        memory: MemoryBudget::new(BUDGET_BYTES),
        ..ServerLimits::default()
    };
    let budget = limits.memory.clone();
    let handler = {
        let limits = limits.clone();
        move |request: Request<Incoming>| {
            let (limits, hold) = (limits.clone(), hold.clone());
            async move {
                let is_held = request.uri().path() == "/held";
                let body = read_body(request, &limits).await;
                if is_held {
                    hold.cancelled().await;
                }
                let mut response = Response::new(Full::new(Bytes::new()));
                *response.status_mut() = match body {
                    Ok(_) => StatusCode::OK,
                    Err(HttpError::NoMemory) => StatusCode::SERVICE_UNAVAILABLE,
                    Err(_) => StatusCode::BAD_REQUEST,
                };
                response
            }
        }
    };
    tokio::spawn(serve(listener, limits, CancellationToken::new(), handler));
    (address, budget)
}

/// Sends `sent` of the `length` bytes of a body.
async fn send(address: SocketAddr, path: &str, length: usize, sent: usize) -> TcpStream {
    let mut socket = TcpStream::connect(address).await.expect("connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: server\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.expect("head is sent");
    socket.write_all(&vec![b'x'; sent]).await.expect("body is sent");
    socket
}

/// Status of the response.
async fn status(mut socket: TcpStream) -> String {
    let mut response = Vec::new();
    socket.read_to_end(&mut response).await.expect("the response is read");
    let text = String::from_utf8_lossy(&response);
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Sends whole bodies until one is served.
async fn send_until_served(address: SocketAddr, length: usize) {
    loop {
        match status(send(address, "/", length, length).await).await.as_str() {
            "200" => return,
            refused => assert_eq!(refused, "503"),
        }
    }
}

/// Bodies that don't come to their end give way to those that do, and are refused.
#[tokio::test]
async fn stalled_bodies() {
    let (address, _) = start(100, CancellationToken::new()).await;
    let mut stalled = Vec::new();
    for _ in 0..2 {
        stalled.push(send(address, "/", LARGE_BYTES, LARGE_BYTES - 1).await);
    }
    send_until_served(address, LARGE_BYTES).await;
    send_until_served(address, LARGE_BYTES).await;
    let mut refused = 0;
    for mut socket in stalled {
        // One that was not given up is completed.
        let _ = socket.write_all(b"x").await;
        refused += usize::from(status(socket).await == "503");
    }
    assert!(refused > 0, "no stalled body gave way");
}

/// Requests that were read don't give way to others, and leave room for smaller ones.
#[tokio::test]
async fn held_bodies() {
    let hold = CancellationToken::new();
    let (address, budget) = start(100, hold.clone()).await;
    let mut held = Vec::new();
    for _ in 0..2 {
        held.push(send(address, "/held", LARGE_BYTES, LARGE_BYTES).await);
    }
    while budget.bytes() < 2 * LARGE_BYTES {
        tokio::task::yield_now().await;
    }
    let refused = status(send(address, "/", LARGE_BYTES, LARGE_BYTES).await).await;
    assert_eq!(refused, "503");
    let smaller = status(send(address, "/", SMALLER_BYTES, SMALLER_BYTES).await).await;
    assert_eq!(smaller, "200");
    send_until_served(address, 1 << 10).await;
    hold.cancel();
    for socket in held {
        assert_eq!(status(socket).await, "200");
    }
}

/// New connections displace those whose requests don't come to their end.
#[tokio::test]
async fn stalled_connections() {
    const CONNECTIONS: usize = 4;
    let (address, _) = start(CONNECTIONS, CancellationToken::new()).await;
    let mut stalled = Vec::new();
    for number in 0..2 * CONNECTIONS {
        let mut socket = TcpStream::connect(address).await.expect("connection");
        // Some don't complete their heads, some their bodies, some send nothing.
        let sent = ["POST / HT", "POST / HTTP/1.1\r\nhost: s\r\ncontent-length: 9\r\n\r\n", ""];
        socket.write_all(sent[number % sent.len()].as_bytes()).await.expect("sent");
        stalled.push(socket);
    }
    send_until_served(address, 1 << 10).await;
}
