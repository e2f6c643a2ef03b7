//! Socket of a client: reserves memory for what is read ahead, and closes without losing
//! the last response.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{self, Sleep},
};

use crate::memory_budget::{Reservation, Stage};

/// Time for which a closed connection is read on while its client still sends.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes that are read and discarded at most from a closed connection: more than the
/// largest body that is usually allowed.
const LINGER_MAX_BYTES: usize = 16 << 20;

/// Bytes that are discarded at a time.
const DISCARD_BYTES: usize = 8 << 10;

/// Size of hyper's read buffer; a read that fills it makes it grow.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// State of a connection that its socket, its requests and its task share.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    pub(crate) memory: Reservation,
    /// Whether a request has a body that was not read to its end.
    is_unread: AtomicBool,
}

impl ConnectionState {
    pub(crate) fn new(memory: Reservation) -> Arc<Self> {
        Arc::new(ConnectionState { memory, is_unread: AtomicBool::new(false) })
    }

    pub(crate) fn set_unread(&self, is_unread: bool) {
        self.is_unread.store(is_unread, Ordering::Relaxed);
    }
}

/// Delay until memory for a larger read buffer is asked for again.
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Memory of a read buffer that grows, as a multiple of its content: its spare half, the
/// buffer that it was copied from, and those that the allocator has not returned yet.
const GROWING_FACTOR: usize = 4;

/// Socket of a client.
#[derive(Debug)]
pub(crate) struct ClientSocket {
    socket: TcpStream,
    state: Arc<ConnectionState>,
    /// Bytes of the head that is being received.
    head: usize,
    /// Bytes of the read buffer that are reserved, beyond its usual size.
    reserved: usize,
    /// Largest read buffer.
    buffer_max: usize,
    /// Runs while no memory is left for a larger read buffer.
    retry: Option<Pin<Box<Sleep>>>,
    linger: Option<Linger>,
}

/// Reads on after the sending half was closed.
#[derive(Debug)]
struct Linger {
    timer: Pin<Box<Sleep>>,
    discarded: usize,
}

impl ClientSocket {
    pub(crate) fn new(socket: TcpStream, state: Arc<ConnectionState>, buffer_max: usize) -> Self {
        ClientSocket { socket, state, head: 0, reserved: 0, buffer_max, retry: None, linger: None }
    }

    /// Reserves memory for a read of up to `bytes` bytes before it is made, unless the usual
    /// read buffer holds them as well. Heads wait for memory. Bodies are read in any case:
    /// their buffers don't grow further, and the bodies themselves are refused.
    fn poll_reserve(&mut self, cx: &mut Context<'_>, bytes: usize) -> Poll<()> {
        let memory = &self.state.memory;
        let is_body = memory.stage() == Some(Stage::Working);
        let needed = self.buffer_memory(bytes, is_body);
        while needed > self.reserved {
            let more = needed - self.reserved;
            if let Some(retry) = &mut self.retry {
                ready!(retry.as_mut().poll(cx));
            }
            if is_body {
                memory.grow_anyway(more);
            } else if !memory.try_grow_head(more) {
                self.retry = Some(Box::pin(time::sleep(RESERVE_RETRY_DELAY)));
                continue;
            }
            self.reserved = needed;
            self.retry = None;
        }
        Poll::Ready(())
    }

    /// Memory that the read buffer takes beyond its usual size if `bytes` more are read.
    fn buffer_memory(&self, bytes: usize, is_body: bool) -> usize {
        let held = (self.head + bytes).min(self.buffer_max);
        match held > READ_BUFFER_BYTES {
            true if !is_body && self.head > 0 => GROWING_FACTOR * held,
            true => held,
            false => 0,
        }
    }

    /// Records that `bytes` were read.
    fn record_read(&mut self, bytes: usize) {
        let memory = &self.state.memory;
        memory.enter_from(Stage::Idle, Stage::Receiving);
        if memory.stage() == Some(Stage::Receiving) {
            self.head += bytes;
            return;
        }
        self.head = 0;
        if self.reserved > self.buffer_max {
            // The buffer keeps its size, but no longer grows.
            memory.shrink(self.reserved - self.buffer_max);
            self.reserved = self.buffer_max;
        }
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_reserve(cx, buffer.remaining()));
        let before = buffer.filled().len();
        ready!(Pin::new(&mut this.socket).poll_read(cx, buffer))?;
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            this.record_read(bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().socket).poll_write(cx, data)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().socket).poll_write_vectored(cx, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_flush(cx)
    }

    /// Closes the sending half. If the client may still be sending, reads on, as closing
    /// a socket with unread bytes resets the connection and the response may be lost.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.socket).poll_shutdown(cx))?;
            if !this.state.is_unread.load(Ordering::Relaxed) {
                return Poll::Ready(Ok(()));
            }
            this.state.memory.enter(Stage::Closing);
        }
        let new = || Linger { timer: Box::pin(time::sleep(LINGER_TIMEOUT)), discarded: 0 };
        let linger = this.linger.get_or_insert_with(new);
        while linger.discarded < LINGER_MAX_BYTES && linger.timer.as_mut().poll(cx).is_pending() {
            let mut space = [0; DISCARD_BYTES];
            let mut buffer = ReadBuf::new(&mut space);
            let read = ready!(Pin::new(&mut this.socket).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
            linger.discarded += buffer.filled().len();
            this.state.memory.record_progress();
        }
        Poll::Ready(Ok(()))
    }
}
