//! Stand-in of a replica: streams turns and answers calls, and records each run.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http::{Message, read_request, write_response},
    record::Record,
};

/// Events of a turn, and the pause between two of them.
pub const TURN_EVENTS: u32 = 10;
const EVENT_PAUSE: Duration = Duration::from_millis(4);

/// Work of a call, as in the users' tables.
const CALL_TIME: Duration = Duration::from_millis(13);

/// A request that the replica has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
}

#[derive(Clone)]
pub struct Replica {
    pub name: String,
    pub address: SocketAddr,
    pub service: String,
    zone: String,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Replica {
    pub fn start(name: &str, address: &str, service: &str, zone: &str, record: &Record) -> Self {
        let listener = TcpListener::bind(address).expect("the replica can listen");
        let replica = Replica {
            name: name.into(),
            address: listener.local_addr().expect("an address"),
            service: service.into(),
            zone: zone.into(),
            runs: Arc::default(),
            record: record.clone(),
        };
        let server = replica.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(socket));
            }
        });
        replica
    }

    /// The replica's entry in the store.
    pub fn entry(&self, state: &str) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "capacity": 16, "state": state, "cold-left-ms": 0, "sequence": 1,
            "born": 1_700_000_000_000_u64,
        })
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("lock").clone()
    }

    pub fn has_run(&self, id: &str) -> bool {
        self.runs.lock().expect("lock").iter().any(|run| run.id == id)
    }

    fn serve(&self, mut socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut reader = BufReader::new(socket.try_clone()?);
        while let Some(request) = read_request(&mut reader)? {
            self.answer(&request, &mut socket)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, socket: &mut TcpStream) -> io::Result<()> {
        let id = request.header("request-id").to_owned();
        let target = request.header("target-instance");
        if !target.is_empty() && target != self.name {
            let headers = format!("Instance-Id: {}\r\nNot-Executed: 1\r\n", self.name);
            return write_response(socket, "421 Misdirected Request", &headers, b"");
        }
        self.record.line(&format!("run request={id} replica={}", self.name));
        let run = Run { id: id.clone(), at: Instant::now() };
        self.runs.lock().expect("lock").push(run);
        let headers = format!("Request-Id: {id}\r\nServer-Signature: {}.{id}\r\n", self.name);
        if !request.word(1).starts_with("/turn/") {
            thread::sleep(CALL_TIME);
            let body = format!("done {id}");
            return write_response(socket, "200 OK", &headers, body.as_bytes());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        socket.write_all(head.as_bytes())?;
        for event in 1..=TURN_EVENTS {
            thread::sleep(EVENT_PAUSE);
            let text = format!("id: {event}\ndata: {id}-{event}\n\n");
            socket.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        socket.write_all(b"0\r\n\r\n")
    }
}
