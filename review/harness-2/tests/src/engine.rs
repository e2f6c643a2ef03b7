//! Stand-in of a model replica: streams events at a steady pace, echoes the request's id,
//! stops when its caller leaves and rejects requests that are meant for another replica.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::sync::CancellationToken;

/// Tokens that each event stands for.
pub const EVENT_TOKENS: u32 = 20;

/// Start time that the entry names, in Unix milliseconds.
const BORN: u64 = 1_700_000_000_000;

/// A turn that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// Events that were written to the caller.
    pub events: u32,
    pub is_whole: bool,
    is_running: bool,
}

/// A replica that runs in the process of the case.
#[derive(Clone, Debug)]
pub struct Engine {
    pub name: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    /// Pause between two events.
    pace: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Cancelled when the replica crashes.
    crash: CancellationToken,
    /// Start time that the entry names, in Unix milliseconds.
    born: u64,
}

impl Engine {
    pub async fn start(name: &str, zone: &'static str, pace: Duration) -> io::Result<Self> {
        Engine::start_at("127.0.0.1:0", name, zone, pace, BORN).await
    }

    /// Starts a replica at an address, as when it is back after a crash.
    pub async fn start_at(
        address: &str,
        name: &str,
        zone: &'static str,
        pace: Duration,
        born: u64,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let engine = Engine {
            name: name.into(),
            zone,
            address: listener.local_addr()?,
            pace,
            runs: Arc::default(),
            crash: CancellationToken::new(),
            born,
        };
        let server = engine.clone();
        tokio::spawn(engine.crash.clone().run_until_cancelled_owned(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move {
                    let crash = server.crash.clone();
                    // A connection ends with an error when its caller leaves.
                    let _ = crash.run_until_cancelled(server.serve(socket)).await;
                });
            }
        }));
        Ok(engine)
    }

    /// Stops to listen and closes all connections.
    pub fn crash(&self) {
        self.crash.cancel();
    }

    /// Names of the turns that are running.
    pub fn running_turns(&self) -> Vec<String> {
        let runs = self.runs.lock().expect("lock");
        runs.iter().filter(|run| run.is_running).map(|run| run.id.clone()).collect()
    }

    /// The replica's entry in the store.
    pub fn entry(&self, service: &str) -> Value {
        json!({
            "service": service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "capacity": 32, "state": "ready", "cold-left-ms": 0,
            "sequence": 1, "born": self.born,
        })
    }

    /// Turns that were run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("lock").clone()
    }

    async fn serve(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let (mut reader, mut writer) = socket.into_split();
        let mut buffer = Vec::new();
        loop {
            let Some(request) = read_request(&mut reader, &mut buffer).await? else {
                return Ok(());
            };
            let id = request.header("request-id").to_owned();
            if request.header("target-instance") != self.name {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\n\
                     Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(text.as_bytes()).await?;
                continue;
            }
            let output = request.header("token-count").split(',').nth(1).unwrap_or("0");
            let output: u32 = output.trim().parse().unwrap_or(0);
            let index = self.begin(&id);
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: {}.1\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                self.name
            );
            writer.write_all(head.as_bytes()).await?;
            for event in 1..=output.div_ceil(EVENT_TOKENS) {
                let mut byte = [0];
                tokio::select! {
                    () = time::sleep(self.pace) => {}
                    // The caller sends nothing before the answer has ended.
                    _ = reader.read(&mut byte) => {
                        self.runs.lock().expect("lock")[index].is_running = false;
                        return Ok(());
                    }
                }
                let text = format!("id: {event}\ndata: {id}-{event}\n\n");
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                writer.write_all(chunk.as_bytes()).await?;
                self.runs.lock().expect("lock")[index].events = event;
            }
            writer.write_all(b"0\r\n\r\n").await?;
            let mut runs = self.runs.lock().expect("lock");
            (runs[index].is_whole, runs[index].is_running) = (true, false);
        }
    }

    fn begin(&self, id: &str) -> usize {
        let mut runs = self.runs.lock().expect("lock");
        let run = Run { id: id.into(), events: 0, is_whole: false, is_running: true };
        runs.push(run);
        runs.len() - 1
    }
}

struct Request {
    headers: Vec<(String, String)>,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

async fn read_request(
    reader: &mut (impl AsyncReadExt + Unpin),
    buffer: &mut Vec<u8>,
) -> io::Result<Option<Request>> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if reader.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let headers: Vec<(String, String)> = head
        .lines()
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    while buffer.len() < end + length {
        if reader.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    buffer.drain(..end + length);
    Ok(Some(Request { headers }))
}
