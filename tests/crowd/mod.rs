//! Clients that send large or endless bodies and keep their connections open, and
//! what they make a process hold.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::{
    fs, io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{Mutex, MutexGuard},
    task::JoinSet,
    time,
};

/// Requests that each client sends, one after another, if its connections are closed.
const ROUNDS: usize = 3;

/// Pause of a client whose connection was closed.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// A client that can write nothing for this long has sent what it could.
const BLOCKED_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time until every client of a crowd has sent its first request.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval between two looks at the memory of a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Bytes that are written at a time.
const WRITE_BYTES: usize = 64 << 10;

/// Tests of one file run one at a time, as each loads the machine.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Waits until no other test of the file runs.
pub async fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().await
}

/// How the body of a request is framed.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// With this content length, whatever is sent of it.
    Length(usize),
    /// In chunks of this size.
    Chunks(usize),
    /// Not at all, as the head doesn't end.
    OpenHead,
}

/// A request as its client sends it.
#[derive(Clone, Debug)]
pub struct Upload {
    /// Request line and headers, without those of the framing.
    pub head: String,
    pub framing: Framing,
    /// Content that is sent.
    pub body: Arc<[u8]>,
    /// Whether the last chunk follows the content of a chunked body.
    pub is_ended: bool,
    /// Whether the client reads the response.
    pub is_read: bool,
}

impl Upload {
    /// Writes the request, as far as the server takes it.
    async fn write(&self, socket: &mut TcpStream) -> io::Result<()> {
        let framing = match self.framing {
            Framing::Length(length) => format!("content-length: {length}"),
            Framing::Chunks(_) => "transfer-encoding: chunked".to_owned(),
            Framing::OpenHead => return write(socket, self.head.as_bytes()).await,
        };
        write(socket, format!("{}{framing}\r\n\r\n", self.head).as_bytes()).await?;
        match self.framing {
            Framing::Length(_) => {
                for piece in self.body.chunks(WRITE_BYTES) {
                    write(socket, piece).await?;
                }
            }
            Framing::Chunks(size) => {
                let mut encoded = Vec::new();
                for chunk in self.body.chunks(size) {
                    encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                    encoded.extend_from_slice(chunk);
                    encoded.extend_from_slice(b"\r\n");
                    if encoded.len() >= WRITE_BYTES {
                        write(socket, &encoded).await?;
                        encoded.clear();
                    }
                }
                if self.is_ended {
                    encoded.extend_from_slice(b"0\r\n\r\n");
                }
                write(socket, &encoded).await?;
            }
            Framing::OpenHead => {}
        }
        Ok(())
    }
}

impl Upload {
    /// Sends the request on a connection of its own. Returns the status of the response.
    pub async fn status(&self, address: SocketAddr) -> String {
        match send(address, self).await {
            Ok(mut socket) => status(&mut socket).await,
            Err(err) => err.kind().to_string(),
        }
    }
}

async fn write(socket: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let written = time::timeout(BLOCKED_TIMEOUT, socket.write_all(bytes)).await;
    written.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Clients that send uploads at the same time and keep their connections open until
/// the value is dropped.
pub struct Crowd {
    clients: usize,
    settled: Arc<AtomicUsize>,
    statuses: Arc<Mutex<Vec<String>>>,
    _tasks: JoinSet<()>,
}

impl Crowd {
    /// Starts a client for each upload, sent to the address beside it.
    pub fn start(uploads: Vec<(SocketAddr, Upload)>) -> Self {
        let settled = Arc::new(AtomicUsize::new(0));
        let statuses: Arc<Mutex<Vec<String>>> = Arc::default();
        let clients = uploads.len();
        let mut tasks = JoinSet::new();
        for (address, upload) in uploads {
            let (settled, statuses) = (settled.clone(), statuses.clone());
            let client = async move {
                for round in 0..ROUNDS {
                    let sent = send(address, &upload).await;
                    if round == 0 {
                        settled.fetch_add(1, Ordering::Relaxed);
                    }
                    let mut socket = match sent {
                        Ok(socket) => socket,
                        Err(err) => {
                            statuses.lock().await.push(err.kind().to_string());
                            time::sleep(RECONNECT_DELAY).await;
                            continue;
                        }
                    };
                    if !upload.is_read {
                        return std::future::pending().await;
                    }
                    let status = status(&mut socket).await;
                    statuses.lock().await.push(status);
                    // Reads until the server closes the connection.
                    let _ = socket.read_to_end(&mut Vec::new()).await;
                    time::sleep(RECONNECT_DELAY).await;
                }
            };
            tasks.spawn(client);
        }
        Crowd { clients, settled, statuses, _tasks: tasks }
    }

    /// Waits until every client has sent what the server took of its first request,
    /// and `listeners` have read it.
    pub async fn settled(&self, listeners: &[SocketAddr]) {
        let all = async {
            while self.settled.load(Ordering::Relaxed) < self.clients
                || listeners.iter().any(|listener| unread_bytes(*listener) > 0)
            {
                time::sleep(SAMPLE_INTERVAL).await;
            }
        };
        time::timeout(SETTLE_TIMEOUT, all).await.expect("the clients send their requests");
    }

    /// How often each status was received so far.
    pub async fn summary(&self) -> String {
        let mut statuses = self.statuses.lock().await.clone();
        statuses.sort();
        let mut counted: Vec<(String, usize)> = Vec::new();
        for status in statuses {
            match counted.last_mut() {
                Some((last, count)) if *last == status => *count += 1,
                _ => counted.push((status, 1)),
            }
        }
        format!("{counted:?}")
    }
}

/// Sends an upload. Returns the connection unless the server has reset it.
async fn send(address: SocketAddr, upload: &Upload) -> io::Result<TcpStream> {
    let mut socket = TcpStream::connect(address).await?;
    match upload.write(&mut socket).await {
        // The client holds on to a connection whose server reads no further.
        Err(err) if err.kind() != io::ErrorKind::TimedOut => Err(err),
        _ => Ok(socket),
    }
}

/// Status of the response that a client gets, `closed` without one.
async fn status(socket: &mut TcpStream) -> String {
    let mut line = Vec::new();
    while line.len() < "HTTP/1.1 200".len() {
        match socket.read_buf(&mut line).await {
            Ok(0) | Err(_) => return "closed".into(),
            Ok(_) => {}
        }
    }
    String::from_utf8_lossy(&line[9..12]).into_owned()
}

/// Watches the memory of a process.
pub struct MemoryWatch {
    id: u32,
    peak: Arc<AtomicU64>,
    _task: JoinSet<()>,
}

impl MemoryWatch {
    /// Watches the process with this id. Bytes that have arrived on its `listener` and
    /// have not been read count as its memory.
    pub fn start(id: u32, listener: SocketAddr) -> Self {
        let peak = Arc::new(AtomicU64::new(0));
        let mut task = JoinSet::new();
        let watched = peak.clone();
        task.spawn(async move {
            loop {
                let used = memory(id, "VmRSS:").unwrap_or(0) + unread_bytes(listener);
                watched.fetch_max(used, Ordering::Relaxed);
                time::sleep(SAMPLE_INTERVAL).await;
            }
        });
        MemoryWatch { id, peak, _task: task }
    }

    /// The most memory that the process was seen to use, in bytes. Fails if the
    /// process has ended.
    pub fn peak(&self) -> u64 {
        let resident = memory(self.id, "VmHWM:").expect("the process lives");
        resident.max(self.sampled_peak())
    }

    /// The most memory that the process was seen to use so far, in bytes, whether or not it
    /// has ended.
    pub fn sampled_peak(&self) -> u64 {
        self.peak.load(Ordering::Relaxed)
    }

    /// Descriptors that the process has open.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.id)).expect("the process lives").count()
    }
}

/// A line of the memory statistics of a process, in bytes.
fn memory(id: u32, name: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    let kilobytes: u64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kilobytes << 10)
}

/// Bytes that have arrived on connections to `listener` and have not been read.
fn unread_bytes(listener: SocketAddr) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let port = format!(":{:04X}", listener.port());
    let unread = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, _remote, state) = (fields.next()?, fields.next()?, fields.next()?);
        // The queue of a listening socket counts connections, not bytes.
        let is_connection = local.ends_with(&port) && state != "0A";
        let (_, queue) = fields.next().filter(|_| is_connection)?.split_once(':')?;
        u64::from_str_radix(queue, 16).ok()
    });
    unread.sum()
}
