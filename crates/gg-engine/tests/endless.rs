//! Engines that respond with bytes without end.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures::future::join_all;
use gg_engine::{Engine, EngineError, EngineEvent};
use gg_protocol::{ChatCall, ProgramId};
use serde_json::Map;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

/// Bytes that an engine sends on a connection at most, so that a client that keeps
/// them all can be tested.
const SENT_MAX: usize = 96 << 20;

/// Bytes that a client may take from all engines in a test, kept or not, with those
/// in the buffers of sockets.
const TAKEN_MAX: usize = 64 << 20;

/// Calls at a time.
const CALLS: usize = 6;

/// Timeout of a completion, longer than the bytes take.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts an engine that responds with `head` and then with `more` without end.
/// Counts the bytes that were sent.
async fn start(head: &'static str, more: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
    let address = listener.local_addr().expect("bound address");
    let sent = Arc::new(AtomicUsize::new(0));
    let counted = sent.clone();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(respond(socket, head, more, counted.clone()));
        }
    });
    (address, sent)
}

async fn respond(mut socket: TcpStream, head: &str, more: &str, sent: Arc<AtomicUsize>) {
    let mut request = vec![0; 16 << 10];
    let _ = socket.read(&mut request).await;
    let piece = more.repeat(4_000);
    let mut written = head.len();
    let mut result = socket.write_all(head.as_bytes()).await;
    while result.is_ok() && written < SENT_MAX {
        result = socket.write_all(piece.as_bytes()).await;
        written += piece.len();
        sent.fetch_add(piece.len(), Ordering::Relaxed);
    }
    // The client has to end it.
    let _ = time::timeout(TIMEOUT, socket.read(&mut request)).await;
}

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// Reads completions, at a time, until each ends; returns their errors.
async fn read_completions(address: SocketAddr) -> Vec<EngineError> {
    let call = ChatCall {
        model: "m".into(),
        messages: Vec::new(),
        max_tokens: 1_000,
        append: false,
        options: Map::new(),
    };
    let (engine, address) = (Engine::default(), address.to_string());
    let program: ProgramId = "north.1.2".parse().expect("a program id");
    let read = async || {
        let mut stream = engine.chat(&address, &call, &[], &program, TIMEOUT).await?;
        loop {
            if let EngineEvent::Done { .. } = stream.next().await? {
                return Ok(());
            }
        }
    };
    let ended = join_all((0..CALLS).map(|_| read())).await;
    ended.into_iter().map(|ended: Result<(), EngineError>| ended.expect_err("no end")).collect()
}

async fn completions_are_bounded(more: &'static str) {
    let (address, sent) = start(STREAM_HEAD, more).await;
    let errors = read_completions(address).await;
    assert!(errors.iter().all(|err| matches!(err, EngineError::Lost(_))), "{errors:?}");
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < TAKEN_MAX, "{sent} bytes of {CALLS} completions");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_event() {
    completions_are_bounded("data: more\n").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_line() {
    completions_are_bounded("more").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_empty_events() {
    completions_are_bounded("data: {\"choices\":[]}\n\n").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_text() {
    completions_are_bounded("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n").await;
}

/// Replies that are read whole are bounded together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_replies() {
    let (address, sent) = start("HTTP/1.1 200 OK\r\n\r\n", "more").await;
    let (engine, address) = (Engine::default(), address.to_string());
    let replies = join_all((0..CALLS).map(|_| engine.state(&address))).await;
    assert!(replies.iter().all(Result::is_err));
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < TAKEN_MAX, "{sent} bytes of {CALLS} replies");
}
