//! Refusals reach clients that are still sending.

use std::time::Duration;

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

const BODY_BYTES: usize = 4 << 20;

/// Starts a server whose budget has room for `memory` bytes.
async fn start(memory: usize, stop: &CancellationToken) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    let limits = ServerLimits {
        body_bytes: 2 * BODY_BYTES,
        memory: MemoryBudget::new(memory),
        ..ServerLimits::default()
    };
    let handler = {
        let limits = limits.clone();
        move |request: Request<Incoming>| {
            let limits = limits.clone();
            async move {
                let status = match read_body(request, &limits).await {
                    Ok(_) => StatusCode::OK,
                    Err(HttpError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
                    Err(_) => StatusCode::SERVICE_UNAVAILABLE,
                };
                let mut response = Response::new(Full::new(Bytes::new()));
                *response.status_mut() = status;
                response
            }
        }
    };
    tokio::spawn(serve(listener, limits, stop.clone(), handler));
    TcpStream::connect(address).await.expect("connection")
}

/// Sends a body of `length` bytes in full, then reads the response.
async fn send_all(mut socket: TcpStream, length: usize) -> String {
    let head = format!(
        "POST / HTTP/1.1\r\nhost: server\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.expect("head is sent");
    let piece = vec![b'x'; 64 << 10];
    for _ in 0..length / piece.len() {
        socket.write_all(&piece).await.expect("body is sent");
    }
    let mut response = Vec::new();
    socket.read_to_end(&mut response).await.expect("the response is read");
    String::from_utf8_lossy(&response).lines().next().unwrap_or_default().to_owned()
}

/// A client that sends its whole body before it reads gets the refusal, whenever the
/// server decided on it.
#[tokio::test]
async fn refusal_arrives() {
    let stop = CancellationToken::new();
    // More than ever fits, more than is allowed, and what fits.
    for (memory, length, status) in [
        (BODY_BYTES, BODY_BYTES, "413"),
        (1 << 30, 3 * BODY_BYTES, "413"),
        (2 * BODY_BYTES, BODY_BYTES, "200"),
    ] {
        let socket = start(memory, &stop).await;
        let response = tokio::time::timeout(Duration::from_secs(30), send_all(socket, length));
        let response = response.await.expect("a response");
        assert!(response.contains(status), "memory {memory}, body {length}: {response:?}");
    }
    stop.cancel();
}
