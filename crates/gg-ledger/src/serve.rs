//! Handles requests from clients and other instances.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use gg_http::{Reservation, configure_socket};
use gg_platform::{AnswerReport, Kind, MirrorUpdate};
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
    AccountReport, Chain, LogEntry, Node, Opener, PartitionEntry, TurnRecord,
    chains::{Lookup, loaded},
    protocol::{
        FRAME_MAX_BYTES, FrameWriter, LARGE_FRAME_BYTES, Op, Reply, ReplyBody, Request,
        RequestDecoder, RequestFrame, TEXT_MAX_BYTES, codec, decode_request, encode_reply,
        write_frames,
    },
    pull::PullSource,
};

/// Number of replies that may wait for a slow client. Its further requests are
/// delayed.
const REPLIES_MAX: usize = 16;

/// Copies of a large request that exist at a time: its frame or the encoded entries, its
/// text, and the entries that are written with one sync.
const FRAME_COPIES: usize = 3;

/// Copies of a chain that exist at a time: its texts, the chain and the reply.
const CHAIN_COPIES: usize = 3;

/// Usual size of the read buffer of a connection, in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Delay after a failed accept, usually caused by too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections and serves each in a task of its own.
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
    if let Err(err) = configure_socket(&socket) {
        log::warn!("event=socket_failed error={err}");
        return;
    }
    let (reader, writer) = socket.into_split();
    let (replies, queued) = mpsc::channel(REPLIES_MAX);
    let writing = tokio::spawn(write_replies(FramedWrite::new(writer, codec()), queued));
    let mut reader = FramedRead::new(reader, RequestDecoder::new());
    let mut memory = None;
    while let Some(Ok(frame)) = reader.next().await {
        let frame = match frame {
            // Further requests of the connection wait with it.
            RequestFrame::Announced(length) => {
                memory = Some(node.memory().reserve_patiently(FRAME_COPIES * length).await);
                continue;
            }
            RequestFrame::Whole(frame) => frame,
        };
        match decode_request(&frame) {
            Ok(request) => {
                drop(frame);
                handle(&node, request, memory.take(), &replies).await;
            }
            Err(err) => {
                log::warn!("event=bad_frame error={err}");
                break;
            }
        }
        let buffer = reader.read_buffer_mut();
        if buffer.is_empty() && buffer.capacity() > LARGE_FRAME_BYTES {
            // It keeps the size of the largest frame otherwise.
            *buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
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
            // The reading half detects that the client has disconnected.
            return;
        }
    }
}

/// Handles one request. Only requests whose reply waits for the disk get a task
/// of their own.
async fn handle(
    node: &Node,
    request: Request,
    memory: Option<Reservation>,
    replies: &mpsc::Sender<Bytes>,
) {
    let (id, partition) = (request.id, request.partition);
    if let Some(refusal) = refusal(node, &request) {
        send_reply(replies, id, refusal).await;
        return;
    }
    match request.op {
        Op::Open { turn, reserve, keep_ms, branch, chain, continues } => {
            if !is_admitted(node, partition, &reserve, chain.is_some() || continues.is_some()) {
                node.metrics().count("opens_refused", &[("reason", "full")]);
                send_reply(replies, id, ReplyBody::Full).await;
                return;
            }
            let chain_end = continues
                .map(|turn| node.store().index(partition).chain(&turn, node.now()).missing);
            let has_gap = chain_end.flatten().is_some();
            let upstream = last_run(node, partition, &reserve, branch);
            let (report, entries) = reserve_tokens(node, partition, turn, reserve, keep_ms);
            let AccountReport { others, settled } = report;
            let body = move |chain| ReplyBody::Opened { others, chain, upstream, has_gap, settled };
            if keep_ms.is_some() {
                let unanswered = Unanswered { id, memory, replies: replies.clone() };
                reply_after_write(node, entries, body(None), unanswered);
                return;
            }
            node.enqueue(&entries);
            let lookup = chain.map(|turn| Lookup::Partition(partition, turn));
            reply_chain(node, id, lookup, replies, body).await;
        }
        Op::Close { record: Some(_), .. } if node.is_stuck() => {
            // The other members store the turn; this one will have a gap.
            node.metrics().count("closes_refused", &[]);
        }
        Op::Close { turn, settle, record, run, missed } => {
            let program = settle.as_ref().map(|(program, _)| program.clone());
            let unanswered = Unanswered { id, memory, replies: replies.clone() };
            close(node, partition, turn, settle, record, unanswered);
            if let Some(program) = &program {
                settle_missed(node, partition, program, missed);
            }
            if let Some((program, run)) = program.zip(run) {
                node.store().index(partition).record_run(&program, run);
            }
        }
        Op::Account(program) => {
            let spent = node.store().index(partition).account(&program);
            send_reply(replies, id, ReplyBody::Account(spent)).await;
        }
        Op::HasAccount(program) => {
            let is_known = node.store().index(partition).has_account(&program);
            send_reply(replies, id, ReplyBody::HasAccount(is_known)).await;
        }
        Op::Fetch(turn) => {
            let lookup = Lookup::Partition(partition, turn);
            reply_chain(node, id, Some(lookup), replies, fetched).await;
        }
        Op::Find { turn, .. } => {
            reply_chain(node, id, Some(Lookup::Any(turn)), replies, fetched).await;
        }
        Op::Ping { credit } => {
            let credit = credit.map(|request| node.issue_credit(&request));
            send_reply(replies, id, ReplyBody::Pong { credit }).await;
        }
        Op::Poll { from, known, overload, crashes, offer, wants_peers } => {
            let (updates, answers) = read_mirror(node, &known);
            let (polling_clients, overload) = node.record_poll(from.clone(), overload);
            let crashes = node.exchange_crashes(&from, crashes);
            let peers = node.exchange_offers(&from, offer, wants_peers);
            let limits = node.sample_limits();
            send_reply(
                replies,
                id,
                ReplyBody::Poll {
                    updates,
                    polling_clients,
                    overload,
                    crashes,
                    limits,
                    peers,
                    answers,
                },
            )
            .await;
        }
        Op::Mirror(known) => {
            let (updates, answers) = read_mirror(node, &known);
            send_reply(replies, id, ReplyBody::Mirror(updates, answers)).await;
        }
        Op::Permit(request) => {
            send_reply(replies, id, ReplyBody::Permit(node.issue_permit(&request))).await;
        }
        Op::ReportLimit(replica, limit) => node.observe_limit(&replica, limit),
        Op::ReportCrash(fact) => node.learn_crashes("-", &[fact]),
        Op::Status => {
            let copied = node.store().copied(partition);
            send_reply(replies, id, ReplyBody::Status { copied }).await;
        }
        Op::Pull => {
            let (node, replies) = (node.clone(), replies.clone());
            tokio::spawn(async move {
                send_partition(&node, id, partition, request.epoch, &replies).await;
            });
        }
    }
}

/// Refuses requests for another disk or with an older epoch. Adopts newer
/// epochs.
fn refusal(node: &Node, request: &Request) -> Option<ReplyBody> {
    if request.disk != node.disk() {
        return Some(ReplyBody::WrongDisk);
    }
    let mut store = node.store();
    let is_unpartitioned = is_unpartitioned(&request.op);
    let is_stale = match &request.op {
        _ if is_unpartitioned => false,
        // What a turn spent is valid in any epoch. The client sends it only once
        // and doesn't wait for a quorum.
        Op::Close { record: None, .. } => false,
        Op::Find { epochs, .. } => store.is_ahead_of(epochs),
        _ => request.epoch < store.epoch(request.partition),
    };
    if is_stale {
        return Some(ReplyBody::Stale(store.layout().clone()));
    }
    if is_unpartitioned || matches!(request.op, Op::Find { .. }) {
        return None;
    }
    // The entry that stores the epoch is written with the next sync.
    let raised = store.raise_epoch(request.partition, request.epoch);
    drop(store);
    node.enqueue(raised.as_slice());
    None
}

/// Whether a request belongs to no partition and is valid in any epoch.
fn is_unpartitioned(op: &Op) -> bool {
    match op {
        Op::Ping { .. }
        | Op::Poll { .. }
        | Op::Mirror(_)
        | Op::ReportCrash(_)
        | Op::Permit(_)
        | Op::ReportLimit(..) => true,
        Op::Open { .. }
        | Op::Close { .. }
        | Op::Account(_)
        | Op::HasAccount(_)
        | Op::Fetch(_)
        | Op::Find { .. }
        | Op::Status
        | Op::Pull => false,
    }
}

/// The replica that ran the last turn of a conversation branch.
fn last_run(
    node: &Node,
    partition: u16,
    reserve: &Option<(Name, u32)>,
    branch: Option<Name>,
) -> Option<Name> {
    let (program, _) = reserve.as_ref()?;
    node.store().index(partition).last_run(program, &branch?)
}

/// Whether an instance that is nearly full may open a turn. A turn that
/// continues a stored one belongs to a program in progress.
fn is_admitted(
    node: &Node,
    partition: u16,
    reserve: &Option<(Name, u32)>,
    continues_turn: bool,
) -> bool {
    let has_spent = |(program, _): &(Name, u32)| node.store().index(partition).has_spent(program);
    let is_in_progress = continues_turn || reserve.as_ref().is_some_and(has_spent);
    node.admits(if is_in_progress { Opener::InProgress } else { Opener::NewProgram })
}

/// Reserves tokens of a program. Returns a report on its other turns, and the
/// entries to write.
fn reserve_tokens(
    node: &Node,
    partition: u16,
    turn: Name,
    reserve: Option<(Name, u32)>,
    keep_ms: Option<u32>,
) -> (AccountReport, Vec<PartitionEntry>) {
    let Some((program, tokens)) = reserve else { return Default::default() };
    let mut store = node.store();
    let index = store.index(partition);
    let report = index.report(&program, &turn);
    let retention = keep_ms.filter(|keep_ms| !index.retains_for(*keep_ms)).map(LogEntry::Retention);
    drop(store);
    let reserve = LogEntry::Reserve { program, turn, tokens };
    let entries = retention.into_iter().chain([reserve]);
    let entries: Vec<_> = entries.map(|entry| (partition, entry)).collect();
    node.apply(&entries);
    (report, entries)
}

/// Settles turns of a program that ended while this instance was down or slow.
fn settle_missed(node: &Node, partition: u16, program: &Name, mut missed: Vec<(Name, u32)>) {
    // Sent again with a later turn.
    if node.is_stuck() {
        return;
    }
    {
        let mut store = node.store();
        let index = store.index(partition);
        missed.retain(|(turn, tokens)| index.lacks(program, turn, *tokens));
    }
    let settle =
        |(turn, tokens)| (partition, LogEntry::Settle { program: program.clone(), turn, tokens });
    let entries: Vec<_> = missed.into_iter().map(settle).collect();
    node.apply(&entries);
    node.enqueue(&entries);
}

/// Reply to a request for a chain; none is sent of a chain that is too long.
fn fetched(chain: Option<Chain>) -> ReplyBody {
    chain.map_or(ReplyBody::Full, ReplyBody::Fetched)
}

/// Directory updates since these revisions, and when the directory has answered.
fn read_mirror(node: &Node, known: &[(Kind, u64)]) -> (Vec<MirrorUpdate>, Option<AnswerReport>) {
    let (mirror, now) = (node.mirror(), Instant::now());
    (mirror.updates(known, now), mirror.answer_report(now))
}

/// Sends the reply that holds a chain, or that there is none or it is too long.
/// Other replies aren't delayed while its
/// texts are read from the log. There is no reply if that fails, so that the
/// client asks the other members.
async fn reply_chain(
    node: &Node,
    id: u64,
    lookup: Option<Lookup>,
    replies: &mpsc::Sender<Bytes>,
    body: impl FnOnce(Option<Chain>) -> ReplyBody + Send + 'static,
) {
    let Some(lookup) = lookup else {
        send_reply(replies, id, body(None)).await;
        return;
    };
    let stored = node.look_up(&lookup);
    if stored.bytes() > TEXT_MAX_BYTES {
        log::warn!("event=chain_too_long lookup={lookup:?} bytes={}", stored.bytes());
        send_reply(replies, id, body(None)).await;
        return;
    }
    if stored.bytes() <= LARGE_FRAME_BYTES
        && let Some(chain) = loaded(&stored)
    {
        send_reply(replies, id, body(Some(chain))).await;
        return;
    }
    let bytes = stored.bytes();
    let (node, replies) = (node.clone(), replies.clone());
    tokio::spawn(async move {
        let memory = match bytes > LARGE_FRAME_BYTES {
            true => Some(node.memory().reserve_patiently(CHAIN_COPIES * bytes).await),
            false => None,
        };
        let started_at = Instant::now();
        match node.read_chain(&lookup).await {
            Ok(chain) => {
                let elapsed = started_at.elapsed().as_micros() as u64;
                node.metrics().time("chain_read", elapsed, &[]);
                send_held_reply(&replies, id, body(Some(chain)), memory).await;
            }
            Err(err) => log::error!("event=chain_unreadable lookup={lookup:?} error={err}"),
        }
    });
}

/// A request whose reply waits for the disk.
struct Unanswered {
    id: u64,
    /// Memory of the request.
    memory: Option<Reservation>,
    replies: mpsc::Sender<Bytes>,
}

fn close(
    node: &Node,
    partition: u16,
    turn: Name,
    settle: Option<(Name, u32)>,
    record: Option<TurnRecord>,
    unanswered: Unanswered,
) {
    let is_awaited = record.is_some();
    // A refused turn leaves no account behind. Its reservation, if there is one,
    // arrived on the same connection before.
    let settle = settle.filter(|(program, tokens)| {
        *tokens > 0 || is_awaited || node.store().index(partition).has_account(program)
    });
    let settle = settle.map(|(program, tokens)| LogEntry::Settle { program, turn, tokens });
    let entries = settle.into_iter().chain(record.map(LogEntry::Turn));
    let entries: Vec<_> = entries.map(|entry| (partition, entry)).collect();
    node.apply(&entries);
    if !is_awaited {
        node.enqueue(&entries);
        return;
    }
    reply_after_write(node, entries, ReplyBody::Closed, unanswered);
}

/// Sends the reply once the entries are on disk, and releases the request's memory.
fn reply_after_write(
    node: &Node,
    entries: Vec<PartitionEntry>,
    body: ReplyBody,
    unanswered: Unanswered,
) {
    let node = node.clone();
    tokio::spawn(async move {
        let Unanswered { id, memory, replies } = unanswered;
        let is_written = node.write(&entries).await;
        drop((entries, memory));
        if is_written {
            send_reply(&replies, id, body).await;
        }
    });
}

/// Sends all entries of a partition. From then on no request of an older epoch
/// is acknowledged, even after a power loss.
async fn send_partition(
    node: &Node,
    id: u64,
    partition: u16,
    epoch: u64,
    replies: &mpsc::Sender<Bytes>,
) {
    if !node.write(&[(partition, LogEntry::Epoch(epoch))]).await {
        return;
    }
    let mut chunks = PullSource::new(node, partition);
    loop {
        match chunks.next_chunk(node).await {
            Ok(Some(chunk)) => send_reply(replies, id, chunk).await,
            Ok(None) => break,
            // The copy fails without its end, and the other instance repeats it.
            Err(err) => {
                log::error!("event=copy_unreadable partition={partition} error={err}");
                return;
            }
        }
    }
    send_reply(replies, id, ReplyBody::PullDone).await;
}

async fn send_reply(replies: &mpsc::Sender<Bytes>, id: u64, body: ReplyBody) {
    send_held_reply(replies, id, body, None).await;
}

/// Sends a reply whose memory is released once it was written.
async fn send_held_reply(
    replies: &mpsc::Sender<Bytes>,
    id: u64,
    body: ReplyBody,
    memory: Option<Reservation>,
) {
    let reply = encode_reply(&Reply { id, body });
    if reply.len() > FRAME_MAX_BYTES {
        // Writing it would end the connection and all other calls on it.
        log::error!("event=reply_too_long id={id} bytes={}", reply.len());
        return;
    }
    let reply = match memory {
        None => reply,
        Some(memory) => Bytes::from_owner(HeldFrame { frame: reply, _memory: memory }),
    };
    // A failed send means that the client has disconnected; it retries
    // elsewhere.
    let _ = replies.send(reply).await;
}

/// A frame with the memory that is released with it.
struct HeldFrame {
    frame: Bytes,
    _memory: Reservation,
}

impl AsRef<[u8]> for HeldFrame {
    fn as_ref(&self) -> &[u8] {
        &self.frame
    }
}
