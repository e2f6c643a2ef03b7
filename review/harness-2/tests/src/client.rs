//! Stand-in of a client: sends one turn on a channel of its own and counts the events.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
    time,
};

/// A turn of a program.
#[derive(Clone, Debug)]
pub struct Turn<'a> {
    pub id: &'a str,
    pub program: &'a str,
    pub session: &'a str,
    pub previous: Option<&'a str>,
    pub budget: u32,
    /// Most tokens that the turn generates.
    pub output: u32,
    pub input: &'a [u8],
    /// The client leaves after this many events.
    pub leaves_after: Option<u32>,
    /// When the program should have ended.
    pub aim: Instant,
    /// Address from which the client connects.
    pub caller: Ipv4Addr,
}

/// What a client got for a turn.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub events: u32,
    /// Whether the answer came to its end.
    pub is_whole: bool,
    pub text: String,
    /// Time after which the client may try again.
    pub retry: Option<Duration>,
}

/// The time that a client waits, as it tells in its request.
pub const DEADLINE: Duration = Duration::from_millis(4_000);

/// Sends a turn to a gateway. A connection that fails ends the answer.
pub async fn send(gateway: SocketAddr, turn: &Turn<'_>) -> Answer {
    let mut answer = Answer::default();
    let exchange = exchange(gateway, turn, &mut answer);
    // The client leaves at its deadline, and what it got until then counts.
    let _ = time::timeout(DEADLINE + Duration::from_millis(500), exchange).await;
    answer
}

async fn exchange(gateway: SocketAddr, turn: &Turn<'_>, answer: &mut Answer) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((turn.caller, 0).into())?;
    let mut socket = socket.connect(gateway).await?;
    socket.set_nodelay(true)?;
    let previous = turn.previous.map(|id| format!("Previous-Turn: {id}\r\n")).unwrap_or_default();
    let head = format!(
        "POST /turn/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {}\r\nProgram-Id: {}\r\n\
         Session-Id: {}\r\nRequest-Deadline: {}\r\nProgram-Deadline: {}\r\nToken-Budget: {}\r\nToken-Count: 10,{}\r\n\
         {previous}Content-Length: {}\r\n\r\n",
        turn.id,
        turn.program,
        turn.session,
        DEADLINE.as_millis(),
        turn.aim.saturating_duration_since(Instant::now()).as_millis(),
        turn.budget,
        turn.output,
        turn.input.len()
    );
    socket.write_all(head.as_bytes()).await?;
    socket.write_all(turn.input).await?;
    let mut bytes = Vec::new();
    loop {
        if socket.read_buf(&mut bytes).await? == 0 {
            return Ok(());
        }
        answer.read(&bytes);
        if answer.is_whole || turn.leaves_after.is_some_and(|events| answer.events >= events) {
            return Ok(());
        }
    }
}

impl Answer {
    /// Reads all that has arrived so far.
    fn read(&mut self, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { return };
        self.status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        let is_chunked = head.to_ascii_lowercase().contains("transfer-encoding: chunked");
        self.retry = head.lines().find_map(|line| {
            let line = line.to_ascii_lowercase();
            let seconds: f64 = line.strip_prefix("retry-after: ")?.parse().ok()?;
            Duration::try_from_secs_f64(seconds).ok()
        });
        self.events = body.matches("\ndata: ").count() as u32;
        self.is_whole = match is_chunked {
            true => body.ends_with("0\r\n\r\n"),
            false => {
                let length = head.lines().find_map(|line| {
                    line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok()
                });
                length.is_some_and(|length: usize| body.len() >= length)
            }
        };
        self.text = body.chars().take(300).collect();
    }
}
