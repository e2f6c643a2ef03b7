//! Connections of a listener while they are scarce.

use std::convert::Infallible;

use bytes::Bytes;
use gg_http::{Limits, serve};
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

type Connection = SendRequest<Full<Bytes>>;

/// A listener for six connections.
async fn start(stop: CancellationToken) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
    let address = listener.local_addr().expect("bound address");
    let limits = Limits { connections: 6, ..Limits::default() };
    let handler = |_: Request<_>| async { Response::new(Full::<Bytes>::default()) };
    tokio::spawn(serve(listener, limits, stop, handler));
    address
}

/// A connection that has got one answer; whether the answer ends it.
async fn open(address: std::net::SocketAddr) -> (Connection, bool) {
    let socket = TcpStream::connect(address).await.expect("a connection");
    let (mut connection, driver) = handshake(TokioIo::new(socket)).await.expect("HTTP");
    tokio::spawn(async move {
        let _ = driver.await;
        Ok::<_, Infallible>(())
    });
    let request = Request::new(Full::default());
    let answer = connection.send_request(request).await.expect("an answer");
    let is_over = answer.headers().get(header::CONNECTION).is_some_and(|value| value == "close");
    (connection, is_over)
}

#[tokio::test]
async fn idle_ones_make_room() {
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let address = start(stop).await;
    let mut kept = Vec::new();
    for _ in 0..2 {
        let (connection, is_over) = open(address).await;
        assert!(!is_over, "there is room");
        kept.push(connection);
    }
    // With fewer than half of them free, each ends with its answer; more
    // clients than there are connections get one after the other.
    for _ in 0..9 {
        assert!(open(address).await.1, "connections are scarce");
    }
    drop(kept);
}
