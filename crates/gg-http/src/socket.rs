//! Socket options of connections and listeners.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time,
};

/// Idle time before the first TCP keepalive probe, and the interval between probes.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a silent connection fails,
/// on systems without [`TCP_USER_TIMEOUT`].
pub(crate) const KEEPALIVE_PROBES: u32 = 2;

/// Maximum time for which sent bytes may stay unacknowledged. On Linux it also
/// ends a silent connection once a keepalive probe is unanswered, whatever the
/// number of probes.
pub(crate) const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sets socket options so that a silent connection fails within a few seconds.
pub fn configure_socket(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Connects within `timeout`, with the options of [`configure_socket`].
pub async fn connect_socket(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let socket = time::timeout(timeout, TcpStream::connect(address)).await??;
    configure_socket(&socket)?;
    Ok(socket)
}

/// Listens on `address`; at most `backlog` connections wait to be accepted.
pub fn listen_socket(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}
