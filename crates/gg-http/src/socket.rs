//! Options of connections and listeners.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time,
};

/// Time without traffic after which a connection is probed; one that went
/// silent is found after [`PROBES`] more of them.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection counts as broken.
pub(crate) const PROBES: u32 = 2;

/// Longest time that sent bytes may stay unacknowledged.
pub(crate) const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(3);

/// Has a connection that went silent fail within a few seconds.
pub fn prepare_socket(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}

/// Connects within `timeout`; the connection fails soon when it goes silent.
pub async fn connect_socket(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let socket = time::timeout(timeout, TcpStream::connect(address)).await??;
    prepare_socket(&socket)?;
    Ok(socket)
}

/// Listens on `address`; `backlog` connections may wait to be accepted.
pub fn listen_socket(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}
