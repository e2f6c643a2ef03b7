//! Connection reuse of a server while few connections are free.

use std::convert::Infallible;

use bytes::Bytes;
use gg_http::{ServerLimits, serve};
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

type Connection = SendRequest<Full<Bytes>>;

/// Starts a server with at most six connections.
async fn start(stop: CancellationToken) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
    let address = listener.local_addr().expect("bound address");
    let limits = ServerLimits { connections: 6, ..ServerLimits::default() };
    let handler = |_: Request<_>| async { Response::new(Full::<Bytes>::default()) };
    tokio::spawn(serve(listener, limits, stop, handler));
    address
}

/// Opens a connection and sends a request on it. Returns the connection and whether
/// the response closes it.
async fn open(address: std::net::SocketAddr) -> (Connection, bool) {
    let socket = TcpStream::connect(address).await.expect("connect");
    let (mut connection, driver) = handshake(TokioIo::new(socket)).await.expect("HTTP");
    tokio::spawn(async move {
        let _ = driver.await;
        Ok::<_, Infallible>(())
    });
    let request = Request::new(Full::default());
    let response = connection.send_request(request).await.expect("response");
    let is_closing =
        response.headers().get(header::CONNECTION).is_some_and(|value| value == "close");
    (connection, is_closing)
}

#[tokio::test]
async fn closes_connections_if_few_free() {
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let address = start(stop).await;
    let mut idle = Vec::new();
    for _ in 0..2 {
        let (connection, is_closing) = open(address).await;
        assert!(!is_closing, "closed while enough connections are free");
        idle.push(connection);
    }
    // With less than half of the connections free, each is closed after its
    // response, so more clients than connections are served one after another.
    for _ in 0..9 {
        assert!(open(address).await.1, "not closed while few connections are free");
    }
    drop(idle);
}
