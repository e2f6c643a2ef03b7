//! Calls of clients and of other instances to one instance.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use gg_http::prepare_socket;
use gg_protocol::Name;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time,
};
use tokio_util::{
    codec::{FramedRead, FramedWrite},
    sync::CancellationToken,
};

use crate::{
    Line, Node, Placed, TurnRecord,
    index::Chain,
    protocol::{Answer, Ask, FrameWriter, Reply, Request, codec, decode, encode, write_frames},
    pull,
};

/// Replies that may wait for one slow client; its further calls wait too.
const REPLIES_MAX: usize = 16;

/// Pause after a failed accept, which mostly means too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections, one task each.
pub(crate) async fn accept(node: Node, listener: TcpListener, stop: CancellationToken) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let serving = serve(node.clone(), socket);
                tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
            }
            Err(err) => {
                log::warn!("event=accept_failed error={err}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection.
async fn serve(node: Node, socket: TcpStream) {
    if let Err(err) = prepare_socket(&socket) {
        log::warn!("event=socket_failed error={err}");
        return;
    }
    let (reader, writer) = socket.into_split();
    let (replies, queued) = mpsc::channel(REPLIES_MAX);
    let writing = tokio::spawn(write_replies(FramedWrite::new(writer, codec()), queued));
    let mut reader = FramedRead::new(reader, codec());
    while let Some(Ok(frame)) = reader.next().await {
        match decode::<Request>(&frame) {
            Ok(request) => handle(&node, request, &replies).await,
            Err(err) => {
                log::warn!("event=bad_frame error={err}");
                break;
            }
        }
    }
    drop(replies);
    if let Err(err) = writing.await {
        log::error!("event=writer_failed error={err}");
    }
}

async fn write_replies(mut writer: FrameWriter, mut queued: mpsc::Receiver<Bytes>) {
    while let Some(first) = queued.recv().await {
        if write_frames(&mut writer, first, &mut queued).await.is_err() {
            // The reading half notices that the client has gone.
            return;
        }
    }
}

/// Carries out one call. Only answers that wait for the disk get a task.
async fn handle(node: &Node, request: Request, replies: &mpsc::Sender<Bytes>) {
    let (id, partition) = (request.id, request.partition);
    if let Some(refusal) = refusal(node, &request) {
        send(replies, id, refusal).await;
        return;
    }
    match request.ask {
        Ask::Open { .. } if node.is_full() => send(replies, id, Answer::Full).await,
        Ask::Open { turn, reserve, keep_ms, line, chain } => {
            let upstream = last_run(node, partition, &reserve, line);
            let opening = Opening { turn, reserve, keep_ms, chain };
            let (answer, lines) = open(node, partition, opening, upstream);
            if keep_ms.is_none() {
                node.enqueue(&lines);
                send(replies, id, answer).await;
            } else {
                send_written(node, id, lines, answer, replies);
            }
        }
        Ask::Close { turn, settle, record, run } => {
            let program = settle.as_ref().map(|(program, _)| program.clone());
            close(node, id, partition, turn, settle, record, replies);
            if let Some((program, run)) = program.zip(run) {
                node.book().index(partition).note_run(&program, run);
            }
        }
        Ask::Account(program) => {
            let spent = node.book().index(partition).account(&program);
            send(replies, id, Answer::Account(spent)).await;
        }
        Ask::HasAccount(program) => {
            let is_known = node.book().index(partition).has_account(&program);
            send(replies, id, Answer::HasAccount(is_known)).await;
        }
        Ask::Fetch(turn) => {
            let chain = node.book().index(partition).chain(&turn, Instant::now());
            send(replies, id, Answer::Fetched(chain)).await;
        }
        Ask::Find { turn, .. } => {
            let chain = node.book().find(&turn, Instant::now());
            send(replies, id, Answer::Fetched(chain)).await;
        }
        Ask::Ping => send(replies, id, Answer::Here).await,
        Ask::News { from, known, strains, crashes } => {
            let news = node.mirror().news(&known);
            let (askers, strains) = node.note_asker(from.clone(), strains);
            let crashes = node.share_crashes(&from, crashes);
            send(replies, id, Answer::News { news, askers, strains, crashes }).await;
        }
        Ask::Mirror(known) => {
            let news = node.mirror().news(&known);
            send(replies, id, Answer::Mirror(news)).await;
        }
        Ask::Crash(fact) => node.learn_crashes("-", &[fact]),
        Ask::Status => {
            let copied = node.book().copied(partition);
            send(replies, id, Answer::Status { copied }).await;
        }
        Ask::Pull => {
            let (node, replies) = (node.clone(), replies.clone());
            tokio::spawn(async move {
                send_all(&node, id, partition, request.epoch, &replies).await;
            });
        }
    }
}

/// Refuses calls for another disk and of older epochs; learns of newer ones.
fn refusal(node: &Node, request: &Request) -> Option<Answer> {
    if request.disk != node.disk() {
        return Some(Answer::OtherDisk);
    }
    let mut book = node.book();
    let is_stale = match &request.ask {
        Ask::Ping | Ask::News { .. } | Ask::Mirror(_) | Ask::Crash(_) => false,
        // What a turn spent is true in any epoch, nobody counts who holds it,
        // and it is told once.
        Ask::Close { record: None, .. } => false,
        Ask::Find { epochs, .. } => book.is_ahead_of(epochs),
        _ => request.epoch < book.epoch(request.partition),
    };
    if is_stale {
        return Some(Answer::Stale(book.layout().clone()));
    }
    let is_of_none = matches!(
        request.ask,
        Ask::Ping | Ask::News { .. } | Ask::Mirror(_) | Ask::Crash(_) | Ask::Find { .. }
    );
    if is_of_none {
        return None;
    }
    // The line that keeps the epoch follows with the next sync.
    let raised = book.raise(request.partition, request.epoch);
    drop(book);
    node.enqueue(raised.as_slice());
    None
}

/// The replica that ran the last turn of a line.
fn last_run(
    node: &Node,
    partition: u16,
    reserve: &Option<(Name, u32)>,
    line: Option<Name>,
) -> Option<Name> {
    let (program, _) = reserve.as_ref()?;
    node.book().index(partition).last_run(program, &line?)
}

/// A turn that is opened, see [`Ask::Open`].
struct Opening {
    turn: Name,
    reserve: Option<(Name, u32)>,
    keep_ms: Option<u32>,
    chain: Option<Name>,
}

/// The answer to [`Ask::Open`], and the lines to write.
fn open(
    node: &Node,
    partition: u16,
    opening: Opening,
    upstream: Option<Name>,
) -> (Answer, Vec<Placed>) {
    let Opening { turn, reserve, keep_ms, chain } = opening;
    let now = Instant::now();
    let mut others = 0;
    let mut lines = Vec::new();
    if let Some((program, tokens)) = reserve {
        let mut book = node.book();
        let index = book.index(partition);
        others = index.others(&program, &turn);
        let keep = keep_ms.filter(|keep_ms| !index.keeps_for(*keep_ms)).map(Line::Keep);
        drop(book);
        let reserve = Line::Reserve { program, turn, tokens };
        lines.extend(keep.into_iter().chain([reserve]).map(|line| (partition, line)));
        node.apply(&lines);
    }
    let chain: Option<Chain> = chain.map(|turn| node.book().index(partition).chain(&turn, now));
    (Answer::Opened { others, chain, upstream }, lines)
}

fn close(
    node: &Node,
    id: u64,
    partition: u16,
    turn: Name,
    settle: Option<(Name, u32)>,
    record: Option<TurnRecord>,
    replies: &mpsc::Sender<Bytes>,
) {
    let is_awaited = record.is_some();
    let settle = settle.map(|(program, tokens)| Line::Settle { program, turn, tokens });
    let lines = settle.into_iter().chain(record.map(Line::Turn));
    let lines: Vec<_> = lines.map(|line| (partition, line)).collect();
    node.apply(&lines);
    if !is_awaited {
        node.enqueue(&lines);
        return;
    }
    send_written(node, id, lines, Answer::Closed, replies);
}

/// Answers once lines are on disk.
fn send_written(
    node: &Node,
    id: u64,
    lines: Vec<Placed>,
    answer: Answer,
    replies: &mpsc::Sender<Bytes>,
) {
    let (node, replies) = (node.clone(), replies.clone());
    tokio::spawn(async move {
        if node.write(&lines).await {
            send(&replies, id, answer).await;
        }
    });
}

/// Sends everything of a partition. Nothing of an older epoch is acknowledged
/// from here on, also after a power loss.
async fn send_all(node: &Node, id: u64, partition: u16, epoch: u64, replies: &mpsc::Sender<Bytes>) {
    if !node.write(&[(partition, Line::Epoch(epoch))]).await {
        return;
    }
    let lines = node.book().lines(partition);
    for part in pull::parts(lines) {
        send(replies, id, Answer::Part(part)).await;
    }
    send(replies, id, Answer::PulledAll).await;
}

async fn send(replies: &mpsc::Sender<Bytes>, id: u64, answer: Answer) {
    // A failed send means that the client has gone; it asks again elsewhere.
    let _ = replies.send(encode(&Reply { id, answer })).await;
}
