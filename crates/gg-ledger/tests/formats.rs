//! Logs and messages of 735404d: later versions read them, and write what it
//! reads.

mod support;

use std::{
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use gg_ledger::{
    CreditLimit, CreditRequest, CreditUse, LedgerError, LimitReport, LogFile, OpenRequest,
    PartitionEntry, PermitReply, PermitRequest, PollTunnels, RequestFingerprint, TunnelOffer,
};
use gg_protocol::OverloadStats;
use support::{
    Single, WAIT_TIMEOUT, connect, free_address, key, record,
    recorded::{
        self, Body, Entry, KEEP_MS, Op, Permit, Reply, Request, contents, decode_entry, program_in,
    },
    request, settings, start_single,
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{self, Instant},
};
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    sync::CancellationToken,
};

/// Largest frame that 735404d reads, in bytes.
const FRAME_MAX_BYTES: usize = 16 << 20;

/// More segments than an instance keeps.
const SEGMENTS: usize = 70;

/// Position of a kind of message that no version has.
const UNKNOWN_KIND: u8 = 100;

type Connection = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(socket: TcpStream) -> Connection {
    let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_codec();
    Framed::new(socket, codec)
}

async fn start(folder: &Path) -> Single {
    start_single(settings(free_address(), folder, usize::MAX)).await
}

/// The recorded statistics.
fn stats() -> OverloadStats {
    OverloadStats { started: 9.5, late: 1.0, timed: 8.0, slow: 2.0, in_flight: 4.0, reporters: 1.0 }
}

fn deadline() -> Instant {
    Instant::now() + WAIT_TIMEOUT
}

/// The text of a recorded chain.
fn text(turns: usize) -> Vec<u8> {
    let texts = [
        "first text. ".to_owned(),
        "second text. ".repeat(300),
        "third text \u{1f980} ".repeat(100),
    ];
    texts[..turns].concat().into_bytes()
}

/// Entries of all segments, as 735404d reads them.
fn entries(folder: &Path) -> Vec<(u16, Entry)> {
    let segments = recorded::segments(folder);
    let contents = segments.iter().flat_map(|(_, segment)| contents(segment));
    contents.map(decode_entry).collect()
}

/// Each kind of entry is recorded, and means the same now.
#[test]
fn recorded_entries() {
    let disk = recorded::disk();
    let mut kinds = Vec::new();
    for (name, segment) in recorded::segments(disk.path()) {
        for content in contents(&segment) {
            let old = decode_entry(content);
            assert_eq!(postcard::to_allocvec(&old).expect("encoded"), content, "{name}: {old:?}");
            let new: PartitionEntry = postcard::from_bytes(content).expect("an entry");
            let again = postcard::to_allocvec(&new).expect("encoded");
            assert!(again.starts_with(content), "{name}: {old:?}");
            kinds.push(content[1]);
        }
    }
    kinds.sort_unstable();
    kinds.dedup();
    assert_eq!(kinds, (0..8).collect::<Vec<u8>>());
}

#[tokio::test]
async fn recorded_chains() {
    let disk = recorded::disk();
    let recorded = recorded::segments(disk.path());
    let Single { ledger, node, .. } = &start(disk.path()).await;
    assert_eq!(node.disk(), recorded::DISK);
    assert_eq!(node.len(), (6, 2), "turns and accounts");
    let (program, other) = (program_in(0), program_in(1));
    for (turn, program, history, needs_history) in [
        ("turn-1", &program, text(1), false),
        ("turn-3", &program, text(3), false),
        ("turn-3", &other, text(3), true),
        ("branch", &program, [&text(2)[..], b"branch"].concat(), false),
        ("no-budget", &other, vec![0xff, 0, 0x80], false),
        ("regained", &program_in(2), b"after the drop".to_vec(), false),
    ] {
        let next = OpenRequest { budget: None, ..request(program, "next", Some(turn)) };
        let opened = ledger.open(&next, deadline()).await.expect(turn);
        assert_eq!(opened.history, history, "{turn}");
        assert_eq!(opened.upstream.as_deref(), Some("replica-3"), "{turn}");
        assert_eq!(opened.needs_history, needs_history, "{turn}");
    }
    let dropped = request(&program_in(2), "next", Some("dropped"));
    let result = ledger.open(&dropped, deadline()).await;
    assert!(matches!(result, Err(LedgerError::NoSuchTurn)), "{result:?}");
    let unchanged = recorded::segments(disk.path());
    assert_eq!(unchanged[..recorded.len()], recorded, "the recorded segments");
}

/// Gateways add the account to the names of its programs and turns. What was
/// stored without one stays as it was, and no account has it.
#[tokio::test]
async fn names_with_accounts() {
    let disk = recorded::disk();
    let single = start(disk.path()).await;
    let ledger = &single.ledger;
    let (plain, owned) = (program_in(0), format!("{}§north", program_in(0)));
    assert!(!ledger.has_account(&owned.as_str().into(), deadline()).await);
    let next = request(&owned, "next§north", Some("turn-3§north"));
    let result = ledger.open(&next, deadline()).await;
    assert!(matches!(result, Err(LedgerError::NoSuchTurn)), "{result:?}");
    let stored = record("turn-3§north", None, "of north".into());
    ledger.close(&key(&owned, "turn-3§north"), Some(3), stored).await.expect("stored");
    let opened = ledger.open(&next, deadline()).await.expect("opened");
    assert_eq!(opened.history, "of north");
    let next = request(&plain, "next", Some("turn-3"));
    assert_eq!(ledger.open(&next, deadline()).await.expect("opened").history, text(3));
    drop(single);
    let is_stored = |(_, entry): &(u16, Entry)| matches!(entry, Entry::Turn(record) if record.turn == "turn-3§north");
    assert!(entries(disk.path()).iter().any(is_stored), "735404d reads the entry");
}

/// Settled, reserved, and dropped with its partition.
#[tokio::test]
async fn recorded_accounts() {
    let disk = recorded::disk();
    let ledger = &start(disk.path()).await.ledger;
    for (partition, spent) in [(0, 3 * 30 + 40 + 12 + 9), (2, 7)] {
        let program = program_in(partition);
        assert!(ledger.has_account(&program.as_str().into(), deadline()).await);
        let none_left = OpenRequest { budget: Some((1, 1)), ..request(&program, "next", None) };
        let result = ledger.open(&none_left, deadline()).await;
        assert!(matches!(result, Err(LedgerError::BudgetSpent(sum)) if sum == spent), "{result:?}");
    }
    assert!(!ledger.has_account(&program_in(1).as_str().into(), deadline()).await);
}

#[tokio::test]
async fn recorded_crashes() {
    let disk = recorded::disk();
    let ledger = &start(disk.path()).await.ledger;
    let polled = ledger.poll(&[], &Vec::new(), &PollTunnels::default()).await;
    assert_eq!(polled.len(), 1);
    let crashes = ledger.crashes();
    let fingerprint = RequestFingerprint { head: 1, body: 2, caller: 3 };
    assert_eq!((crashes.len(), crashes.count(fingerprint)), (4, 1));
}

/// A reply without what differs from run to run.
fn decode_reply(reply: &[u8]) -> Reply {
    let (id, mut body): Reply = postcard::from_bytes(reply).expect("a reply of 735404d");
    match &mut body {
        Body::Account(spent) => spent.sort(),
        Body::PullChunk(entries) => {
            entries.sort_by(|a, b| a.partial_cmp(b).expect("no floats"));
        }
        Body::Poll(_, _, _, (incarnation, _, facts), limits, _) => {
            *incarnation = 0;
            facts.iter_mut().for_each(|(_, age)| *age = 0);
            limits.iter_mut().for_each(|(_, (_, age))| *age = 0);
        }
        Body::Permit(Permit::Granted(_, wait) | Permit::Denied(wait)) => *wait = 0,
        _ => {}
    }
    (id, body)
}

fn id(frame: &[u8]) -> u64 {
    postcard::take_from_bytes(frame).expect("a number").0
}

/// Sends recorded requests one by one, and returns the replies to them.
async fn replay(connection: &mut Connection, name: &str) -> Vec<Vec<u8>> {
    let expected = recorded::replies(name);
    let mut replies = Vec::new();
    for request in recorded::requests(name) {
        let count = expected.iter().filter(|reply| id(reply) == id(&request)).count();
        connection.send(Bytes::from(request)).await.expect("sent");
        for _ in 0..count {
            let reply = time::timeout(WAIT_TIMEOUT, connection.next()).await;
            let reply = reply.expect("a reply in time").expect("a reply").expect("a frame");
            replies.push(reply.to_vec());
        }
    }
    replies
}

/// Compares replies to the recorded ones, as 735404d decodes both.
fn assert_replies(name: &str, replies: &[Vec<u8>]) {
    let decode = |replies: &[Vec<u8>]| replies.iter().map(|reply| decode_reply(reply)).collect();
    let mut expected: Vec<Reply> = decode(&recorded::replies(name));
    let mut found: Vec<Reply> = decode(replies);
    // Replies to different requests may arrive in another order.
    expected.sort_by_key(|(id, _)| *id);
    found.sort_by_key(|(id, _)| *id);
    assert_eq!(found, expected, "{name}");
}

async fn dial(single: &Single) -> Connection {
    framed(TcpStream::connect(single.address).await.expect("connected"))
}

#[tokio::test]
async fn recorded_requests() {
    let disk = recorded::disk();
    let single = start(disk.path()).await;
    let mut first = dial(&single).await;
    assert_replies("gateway-1", &replay(&mut first, "gateway-1").await);
    let mut second = dial(&single).await;
    let poll = &recorded::requests("gateway-1")[1];
    let deadline = deadline();
    loop {
        // The offer of the first gateway expires unless it has just polled.
        first.send(Bytes::from(poll.clone())).await.expect("sent");
        first.next().await.expect("a reply").expect("a frame");
        let replies = replay(&mut second, "gateway-2").await;
        let offers = |reply: &Vec<u8>| match decode_reply(reply).1 {
            Body::Poll(.., offers) => offers.len(),
            _ => 0,
        };
        if replies.iter().any(|reply| offers(reply) == 1) || Instant::now() > deadline {
            assert_replies("gateway-2", &replies);
            break;
        }
    }
}

#[tokio::test]
async fn recorded_pull() {
    let disk = recorded::disk();
    let single = start(disk.path()).await;
    assert_replies("instance", &replay(&mut dial(&single).await, "instance").await);
}

#[tokio::test]
async fn recorded_full() {
    let disk = recorded::disk();
    let single = start_single(settings(free_address(), disk.path(), 0)).await;
    assert_replies("full", &replay(&mut dial(&single).await, "full").await);
}

/// What a run appends to the log, and a checkpoint of it, are read by 735404d.
#[tokio::test]
async fn written_log() {
    let disk = recorded::disk();
    let before = entries(disk.path());
    let program = program_in(0);
    let close = async |single: &Single, turn: &str, previous: &str| {
        let stored = record(turn, Some(previous), format!("{turn} text"));
        single.ledger.close(&key(&program, turn), Some(3), stored).await.expect("stored");
    };
    let single = start(disk.path()).await;
    let kept =
        OpenRequest { keep_ms: Some(KEEP_MS), ..request(&program, "turn-4", Some("turn-3")) };
    single.ledger.open(&kept, deadline()).await.expect("opened");
    close(&single, "turn-4", "turn-3").await;
    drop(single);
    let after = entries(disk.path());
    assert_eq!(after[..before.len()], before);
    let turn = |name: &str, previous: &str| {
        let text = format!("{name} text").into_bytes();
        let (turn, previous) = (name.to_owned(), Some(previous.to_owned()));
        let upstream = "replica".to_owned();
        (0, Entry::Turn(recorded::Record { turn, previous, text, upstream, keep_ms: 60_000 }))
    };
    let reserve = |turn: &str| (0, Entry::Reserve(program.clone(), turn.into(), 10));
    let settle = |turn: &str| (0, Entry::Settle(program.clone(), turn.into(), 3));
    // Each segment begins with what has to be known of partitions.
    let (heads, written): (Vec<_>, Vec<_>) = after[before.len()..]
        .iter()
        .cloned()
        .partition(|(_, entry)| matches!(entry, Entry::Epoch(_) | Entry::Retention(_)));
    assert_eq!(written, [reserve("turn-4"), settle("turn-4"), turn("turn-4", "turn-3")]);
    assert_eq!(after[before.len()..][..heads.len()], heads);

    // Each start begins a segment; the oldest of too many are removed.
    for _ in 0..SEGMENTS {
        LogFile::open(disk.path(), |_| ()).expect("open");
    }
    let single = start_single(settings(free_address(), disk.path(), usize::MAX)).await;
    close(&single, "turn-5", "turn-4").await;
    close(&single, "turn-6", "turn-5").await;
    let deadline = deadline();
    while recorded::segments(disk.path()).iter().any(|(name, _)| name == "00000002.log") {
        assert!(Instant::now() < deadline, "the segment stays");
        time::sleep(Duration::from_millis(10)).await;
    }
    drop(single);
    let expected = [after, vec![settle("turn-5"), turn("turn-5", "turn-4")]].concat();
    let expected = [expected, vec![settle("turn-6"), turn("turn-6", "turn-5")]].concat();
    assert_eq!(effective(entries(disk.path())), effective(expected));
}

/// The entries that are needed, sorted. Of retentions only the longest
/// count, so they are left out.
fn effective(entries: Vec<(u16, Entry)>) -> Vec<(u16, Entry)> {
    let is_kept = |(partition, entry): &&(u16, Entry)| {
        match entry {
        Entry::DropPartition | Entry::Crash(..) | Entry::Retention(_) => false,
        Entry::Turn(record) => record.turn != "dropped",
        Entry::Settle(_, turn, _) => turn != "dropped",
        Entry::Reserve(program, turn, _) => !entries.iter().any(|(_, other)| {
            matches!(other, Entry::Settle(owner, settled, _) if (owner, settled) == (program, turn))
        }),
        Entry::Epoch(epoch) => !entries.iter().any(|(other, entry)| {
            other == partition && matches!(entry, Entry::Epoch(newer) if newer > epoch)
        }),
        Entry::Fact(_) => true,
    }
    };
    let mut kept: Vec<_> = entries.iter().filter(is_kept).cloned().collect();
    kept.sort_by(|a, b| a.partial_cmp(b).expect("no floats"));
    kept.dedup();
    kept
}

/// A request without the ages of its facts.
fn decode_request(request: &[u8]) -> Request {
    let mut request: Request = postcard::from_bytes(request).expect("a request of 735404d");
    if let Op::Poll(_, _, _, (_, _, facts), ..) = &mut request.4 {
        facts.iter_mut().for_each(|(_, age)| *age = 0);
    }
    request
}

/// Answers one connection as 735404d answered the same requests.
async fn serve_recorded(listener: TcpListener, unknown: Arc<Mutex<Vec<Request>>>) {
    let (socket, _) = listener.accept().await.expect("accepted");
    let mut connection = framed(socket);
    let recorded: Vec<Request> =
        recorded::requests("gateway-1").iter().map(|request| decode_request(request)).collect();
    let replies: Vec<Reply> = recorded::replies("gateway-1")
        .iter()
        .map(|reply| postcard::from_bytes(reply).expect("a reply"))
        .collect();
    while let Some(Ok(frame)) = connection.next().await {
        let request = decode_request(&frame);
        let is_same = |known: &&Request| (known.1, &known.4) == (request.1, &request.4);
        let Some(known) = recorded.iter().find(is_same) else {
            unknown.lock().expect("not poisoned").push(request);
            continue;
        };
        assert_eq!((request.2, request.3), (known.2, known.3), "epoch and disk");
        for (_, body) in replies.iter().filter(|(id, _)| *id == known.0) {
            let reply = postcard::to_allocvec(&(request.0, body)).expect("encoded");
            connection.send(Bytes::from(reply)).await.expect("sent");
        }
    }
}

fn credit_request() -> CreditRequest {
    CreditRequest {
        account: "account-1".into(),
        limit: CreditLimit { version: 1, rate: 10.0, depth: 10.0, start: 1.0 },
        work: CreditUse::New,
        program: Some(1),
        count: 1,
        returned: 0,
        used: Vec::new(),
    }
}

/// A client asks an instance of 735404d as a client of 735404d did, and
/// understands its replies.
#[tokio::test]
async fn recorded_instance() {
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
    let address = listener.local_addr().expect("bound address");
    let unknown = Arc::default();
    let serving = serve_recorded(listener, Arc::clone(&unknown));
    tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
    let ledger = connect(address, &stop).await;
    let program = program_in(0);

    ledger.record_refusal(RequestFingerprint { head: 5, body: 6, caller: 7 });
    let offered = ([127, 0, 0, 1], 7_355).into();
    let (instance, centre) = ("gateway-1".into(), "centre-0".into());
    let offer = Some(TunnelOffer { instance, centre, address: offered });
    let overload = vec![("service-1".into(), stats())];
    let tunnels = PollTunnels { offer, wants_peers: false };
    let polled = ledger.poll(&[], &overload, &tunnels).await;
    assert_eq!(polled.len(), 1, "replies");
    assert_eq!((polled[0].clients, &polled[0].overload), (1, &overload));
    assert_eq!(ledger.crashes().len(), 5, "facts of the instance and of the client");

    let budget = Some((1_000_000, 40));
    let next = OpenRequest { budget, ..request(&program, "turn-4", Some("turn-3")) };
    let opened = ledger.open(&next, deadline()).await.expect("opened");
    assert_eq!((opened.history, opened.needs_history), (text(3).into(), false));
    let foreign = OpenRequest { budget, ..request(&program_in(1), "foreign", Some("turn-3")) };
    let opened = ledger.open(&foreign, deadline()).await.expect("opened");
    assert_eq!((opened.history, opened.needs_history), (text(3).into(), true));
    let branched =
        OpenRequest { budget, branch: Some("b".into()), ..request(&program, "run-2", None) };
    let opened = ledger.open(&branched, deadline()).await.expect("opened");
    assert_eq!(opened.upstream.as_deref(), Some("replica-4"));
    let budget = Some((100, 50));
    let refused = OpenRequest { budget, ..request(&program, "refused", None) };
    let result = ledger.open(&refused, deadline()).await;
    assert!(matches!(result, Err(LedgerError::BudgetSpent(245))), "{result:?}");

    let stored = gg_ledger::TurnRecord {
        upstream: "replica-3".into(),
        keep_ms: KEEP_MS,
        ..record("turn-4", Some("turn-3"), "fourth".into())
    };
    ledger.close(&key(&program, "turn-4"), Some(6), stored).await.expect("closed");
    let limit = LimitReport { rate: None, age_ms: 0 };
    let permit = PermitRequest { replica: "replica-2".into(), limit, max_wait_ms: 0 };
    assert_eq!(ledger.request_permit(&permit).await.0, PermitReply::Unlimited);
    assert!(ledger.has_account(&program.as_str().into(), deadline()).await);
    let credit = ledger.request_credit(recorded::DISK, credit_request()).await;
    assert_eq!(credit, None, "a ping for 735404d, which issues no credit");
    assert!(ledger.has_account(&program.as_str().into(), deadline()).await, "still connected");
    let unknown: Vec<Request> = unknown.lock().expect("not poisoned").clone();
    assert_eq!(unknown, [], "requests that 735404d did not send");
}

/// The ages of an instance's copies follow its reply. An instance of 735404d sends
/// none, which is not an age of zero.
#[tokio::test]
async fn ages_of_copies() {
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
    let address = listener.local_addr().expect("bound address");
    let ages: [Option<Vec<Option<u32>>>; 3] =
        [None, Some(vec![Some(1_500), None]), Some(vec![Some(7)])];
    let sent = ages.clone();
    tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
        let (socket, _) = listener.accept().await.expect("accepted");
        let mut connection = framed(socket);
        let mut ages = sent.iter();
        while let Some(Ok(frame)) = connection.next().await {
            let (id, _, _, _, op): Request = postcard::from_bytes(&frame).expect("a request");
            let updates = vec![(0, 9, true, None), (1, 9, true, None)];
            let reply = match op {
                Op::Ping => postcard::to_allocvec(&(id, Body::Pong)),
                _ => {
                    let none = (1, 0, Vec::new());
                    let body = Body::Poll(updates, 1, Vec::new(), none, Vec::new(), Vec::new());
                    let reply = postcard::to_allocvec(&(id, body)).expect("encoded");
                    match ages.next().expect("a poll for each reply") {
                        None => Ok(reply),
                        Some(ages) => postcard::to_extend(ages, reply),
                    }
                }
            };
            connection.send(Bytes::from(reply.expect("encoded"))).await.expect("sent");
        }
    }));
    let ledger = connect(address, &stop).await;
    for sent in ages {
        let polled = ledger.poll(&[], &Vec::new(), &PollTunnels::default()).await;
        let found: Vec<_> = polled[0].updates.iter().map(|update| update.age).collect();
        let ms = |age: Option<u32>| age.map(|ms| Duration::from_millis(ms.into()));
        let mut expected: Vec<_> = sent.unwrap_or_default().into_iter().map(ms).collect();
        expected.resize(2, None);
        assert_eq!(found, expected);
    }
}

/// When the directory has answered follows the ages. An instance of 735404d tells
/// nothing of it, which is not an outage.
#[tokio::test]
async fn answers_of_directory() {
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
    let address = listener.local_addr().expect("bound address");
    let reports = [None, Some((90_000_u64, 120_u64))];
    tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
        let (socket, _) = listener.accept().await.expect("accepted");
        let mut connection = framed(socket);
        let mut reports = reports.iter();
        while let Some(Ok(frame)) = connection.next().await {
            let (id, _, _, _, op): Request = postcard::from_bytes(&frame).expect("a request");
            let reply = match op {
                Op::Ping => postcard::to_allocvec(&(id, Body::Pong)),
                _ => {
                    let none = (1, 0, Vec::new());
                    let body = Body::Poll(Vec::new(), 1, Vec::new(), none, Vec::new(), Vec::new());
                    let reply = postcard::to_allocvec(&(id, body)).expect("encoded");
                    match reports.next().expect("a poll for each reply") {
                        None => Ok(reply),
                        Some(report) => {
                            let ages: Vec<Option<u32>> = Vec::new();
                            postcard::to_extend(&(ages, report), reply)
                        }
                    }
                }
            };
            connection.send(Bytes::from(reply.expect("encoded"))).await.expect("sent");
        }
    }));
    let ledger = connect(address, &stop).await;
    for report in reports {
        let polled = ledger.poll(&[], &Vec::new(), &PollTunnels::default()).await;
        let now = Instant::now().into_std();
        let told = polled[0].answers.map(|span| span.report(now));
        assert_eq!(told.is_some(), report.is_some());
        if let (Some(told), Some((first_ms, last_ms))) = (told, report) {
            assert!(told.last_ms >= last_ms && told.first_ms <= first_ms + told.last_ms - last_ms);
        }
    }
}

/// 735404d ignores what follows a message or an entry, so fields are added there.
#[test]
fn trailing_fields() {
    for name in ["gateway-1", "gateway-2", "instance", "full"] {
        for request in recorded::requests(name) {
            let longer = [&request[..], &[UNKNOWN_KIND; 3]].concat();
            let decoded: Request = postcard::from_bytes(&longer).expect("a request");
            assert_eq!(decoded, postcard::from_bytes(&request).expect("a request"));
        }
        for reply in recorded::replies(name) {
            let longer = [&reply[..], &[UNKNOWN_KIND; 3]].concat();
            assert_eq!(decode_reply(&longer), decode_reply(&reply));
        }
    }
    let disk = recorded::disk();
    for (_, segment) in recorded::segments(disk.path()) {
        for content in contents(&segment) {
            let longer = [content, &[UNKNOWN_KIND; 3]].concat();
            assert_eq!(decode_entry(&longer), decode_entry(content));
        }
    }
}

/// An unknown operation costs its connection and no other.
#[tokio::test]
async fn unknown_operation() {
    let disk = recorded::disk();
    let single = start(disk.path()).await;
    let mut sound = dial(&single).await;
    let mut connection = dial(&single).await;
    let request = (1_u64, 0_u16, 0_u64, recorded::DISK, UNKNOWN_KIND);
    let request = postcard::to_allocvec(&request).expect("encoded");
    connection.send(Bytes::from(request)).await.expect("sent");
    let closed = time::timeout(WAIT_TIMEOUT, connection.next()).await.expect("closed in time");
    assert!(closed.is_none(), "{closed:?}");
    assert_replies("gateway-1", &replay(&mut sound, "gateway-1").await);
}

/// An unknown reply costs the connection; the client connects again.
#[tokio::test]
async fn unknown_reply() {
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
    let address = listener.local_addr().expect("bound address");
    tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
        let (socket, _) = listener.accept().await.expect("accepted");
        let mut connection = framed(socket);
        let pong = postcard::to_allocvec(&(0_u64, Body::Pong)).expect("encoded");
        connection.next().await.expect("a ping").expect("a frame");
        connection.send(Bytes::from(pong)).await.expect("sent");
        let call = connection.next().await.expect("a call").expect("a frame");
        let reply = postcard::to_allocvec(&(id(&call), UNKNOWN_KIND)).expect("encoded");
        connection.send(Bytes::from(reply)).await.expect("sent");
        assert!(connection.next().await.is_none(), "the client closes the connection");
        serve_recorded(listener, Arc::default()).await;
    }));
    let ledger = connect(address, &stop).await;
    let program = program_in(0).as_str().into();
    assert!(!ledger.has_account(&program, deadline()).await);
    let deadline = deadline();
    while !ledger.has_account(&program, deadline).await {
        assert!(Instant::now() < deadline, "no reply on a new connection");
        time::sleep(Duration::from_millis(10)).await;
    }
}
