//! Stand-in of a client, which opens a connection for each request.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::{
    http::{Message, read_response},
    record::Record,
};

/// Time that a client waits, in ms, as in the users' tables.
pub const DEADLINE_MS: u64 = 4_000;

/// Host of all routes.
pub const HOST: &str = "app.example";

/// A turn of a program.
#[derive(Clone, Copy, Debug)]
pub struct Turn<'a> {
    pub program: &'a str,
    pub previous: Option<&'a str>,
    pub budget: u64,
    /// Most tokens that the turn may generate.
    pub most: u64,
    /// Size of its input.
    pub input_bytes: usize,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if the connection ended before the head of an answer.
    pub status: u16,
    /// What arrived of the body.
    pub body: String,
    pub is_whole: bool,
}

impl Answer {
    /// Whether it is a whole success.
    pub fn is_served(&self) -> bool {
        self.status == 200 && self.is_whole
    }

    /// Number of events that arrived.
    pub fn events(&self) -> u64 {
        self.body.matches("\n\n").count() as u64
    }
}

pub struct Client {
    record: Record,
    next: AtomicU64,
}

impl Client {
    pub fn new(record: &Record) -> Self {
        Client { record: record.clone(), next: AtomicU64::new(1) }
    }

    /// An unused request id.
    pub fn id(&self) -> String {
        format!("{:016x}", 0x5eed_0000_0000_0000 + self.next.fetch_add(1, Ordering::Relaxed))
    }

    pub fn turn(&self, gateway: SocketAddr, id: &str, turn: Turn<'_>) -> Answer {
        let mut headers = format!(
            "Program-Id: {}\r\nSession-Id: {}-s\r\nProgram-Deadline: 60000\r\nToken-Budget: {}\r\n\
             Token-Count: 40,{}\r\n",
            turn.program, turn.program, turn.budget, turn.most
        );
        if let Some(previous) = turn.previous {
            headers.push_str(&format!("Previous-Turn: {previous}\r\n"));
        }
        let input = format!("{:<1$}", format!("[input of {id}]"), turn.input_bytes);
        self.send(gateway, "POST", "/turn/x", id, &headers, &input)
    }

    pub fn send(
        &self,
        gateway: SocketAddr,
        method: &str,
        path: &str,
        id: &str,
        headers: &str,
        body: &str,
    ) -> Answer {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
             Request-Deadline: {DEADLINE_MS}\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let sent = headers.replace("\r\n", " ");
        self.record.line(&format!("sent request={id} to={gateway} {method} {path} {sent}"));
        let response = exchange(gateway, &[head.as_bytes(), body.as_bytes()].concat());
        let (message, is_whole) = response.unwrap_or_default();
        let answer = Answer {
            status: message.word(1).parse().unwrap_or(0),
            body: String::from_utf8_lossy(&message.body).into_owned(),
            is_whole,
        };
        self.record.line(&format!(
            "answered request={id} status={} whole={is_whole} events={}",
            answer.status,
            answer.events()
        ));
        answer
    }
}

fn exchange(gateway: SocketAddr, request: &[u8]) -> Option<(Message, bool)> {
    let mut socket = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)).ok()?;
    socket.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS))).ok()?;
    socket.write_all(request).ok()?;
    read_response(&mut BufReader::new(socket))
}
