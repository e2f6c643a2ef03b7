//! Options of connections between instances.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time,
};

/// Time without traffic after which a connection is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection counts as broken.
const PROBES: u32 = 2;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 512;

/// Has a connection that went silent fail within a few seconds.
pub(crate) fn prepare(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(PROBE_INTERVAL * (PROBES + 1)))
}

/// Connects to another instance.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    prepare(&socket)?;
    Ok(socket)
}

/// Listens on `address`.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
