//! What 735404d wrote, and its formats, frozen. Fields of messages stand in
//! tuples, which are encoded as structs are.

use std::{fs, net::SocketAddr, path::PathBuf};

use gg_ledger::{Layout, LedgerSet, Member};
use serde::{Deserialize, Serialize};
use tempfile::TempDir;

/// Identity of the recorded disk.
pub const DISK: u64 = 7_354_040_001;

/// Retention of the recorded turns in milliseconds.
pub const KEEP_MS: u32 = 24 * 3_600_000;

/// Size of the header before each entry: its length and checksum.
const HEADER_BYTES: usize = 8;

/// Size of a frame's length.
const LENGTH_BYTES: usize = 4;

#[derive(Clone, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Record {
    pub turn: String,
    pub previous: Option<String>,
    pub text: Vec<u8>,
    pub upstream: String,
    pub keep_ms: u32,
}

type Fingerprint = (u64, u64, u64);

#[derive(Clone, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Fact {
    Replied(String),
    Completed(Fingerprint),
    Crashed(Fingerprint, String),
    Refused(Fingerprint),
}

#[derive(Clone, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Entry {
    /// Program, turn and tokens.
    Reserve(String, String, u32),
    Settle(String, String, u32),
    Turn(Record),
    DropPartition,
    Epoch(u64),
    Crash(u64, String),
    Fact(Fact),
    Retention(u32),
}

/// Incarnation, last serial, and facts with their age in milliseconds.
type CrashUpdates = (u64, u64, Vec<(Fact, u64)>);

/// Service, and started, late, timed, slow, in flight and reporters.
type Overload = Vec<(String, [f32; 6])>;

/// Rate, and age in milliseconds.
type Limit = (Option<f64>, u64);

/// Instance, data centre and address.
type Offer = (String, String, SocketAddr);

/// Text, missing turn and upstream.
type Chain = (Vec<u8>, Option<String>, Option<String>);

/// Kind, revision, whether it is current, and entries, of which none are
/// recorded.
type MirrorUpdate = (u32, u64, bool, Option<Vec<()>>);

/// Instance, disk, address and data centre.
type SetMember = (String, u64, SocketAddr, String);

/// Epoch, tolerated losses, members and next members.
type Set = (u64, u64, Vec<SetMember>, Option<Vec<SetMember>>);

/// Number, partition, epoch, disk and operation.
pub type Request = (u64, u16, u64, u64, Op);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Op {
    /// Turn, reservation, retention, branch and chain.
    Open(String, Option<(String, u32)>, Option<u32>, Option<String>, Option<String>),
    /// Turn, settlement, record, and branch with its replica.
    Close(String, Option<(String, u32)>, Option<Record>, Option<(String, String)>),
    Account(String),
    HasAccount(String),
    Fetch(String),
    Find(String, Vec<u64>),
    Ping,
    Poll(String, Vec<(u32, u64)>, Overload, CrashUpdates, Option<Offer>, bool),
    Mirror(Vec<(u32, u64)>),
    ReportCrash((Fact, u64)),
    /// Replica, limit and longest wait.
    Permit((String, Limit, u32)),
    ReportLimit(String, Limit),
    Status,
    Pull,
}

/// Number and body.
pub type Reply = (u64, Body);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    Opened(u64, Option<Chain>, Option<String>),
    /// Turn, tokens, and whether it is settled.
    Account(Vec<(String, u32, bool)>),
    HasAccount(bool),
    Closed,
    Fetched(Chain),
    Pong,
    Poll(Vec<MirrorUpdate>, u32, Overload, CrashUpdates, Vec<(String, Limit)>, Vec<Offer>),
    Mirror(Vec<MirrorUpdate>),
    Permit(Permit),
    Status(Option<u64>),
    PullChunk(Vec<Entry>),
    PullDone,
    Stale(Vec<Set>),
    WrongDisk,
    Full,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Permit {
    /// Wait, and time until the next permit, in milliseconds.
    Granted(u32, u32),
    Denied(u32),
    Unlimited,
    NotIssuer,
}

fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/735404d")
}

/// A copy of the recorded disk.
pub fn disk() -> TempDir {
    let copied = TempDir::new().expect("folder");
    for entry in fs::read_dir(folder().join("log")).expect("recorded") {
        let entry = entry.expect("entry");
        fs::copy(entry.path(), copied.path().join(entry.file_name())).expect("copied");
    }
    copied
}

/// Requests of a recorded connection.
pub fn requests(name: &str) -> Vec<Vec<u8>> {
    frames(&fs::read(folder().join(format!("wire/{name}.requests"))).expect("recorded"))
}

/// Replies of a recorded connection.
pub fn replies(name: &str) -> Vec<Vec<u8>> {
    frames(&fs::read(folder().join(format!("wire/{name}.replies"))).expect("recorded"))
}

fn frames(mut bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut frames = Vec::new();
    while let Some((length, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() {
        let (content, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
        frames.push(content.to_vec());
        bytes = rest;
    }
    frames
}

/// Contents of the segments of a folder in their order, by their file names.
pub fn segments(folder: &std::path::Path) -> Vec<(String, Vec<u8>)> {
    let paths = fs::read_dir(folder).expect("folder").map(|entry| entry.expect("entry").path());
    let mut paths: Vec<_> =
        paths.filter(|path| path.extension().is_some_and(|ending| ending == "log")).collect();
    paths.sort();
    let name = |path: &PathBuf| path.file_name().expect("name").to_string_lossy().into_owned();
    paths.iter().map(|path| (name(path), fs::read(path).expect("segment"))).collect()
}

/// Contents of a segment's entries, as 735404d splits them. It reads nothing
/// that follows an incomplete, damaged or unknown entry.
pub fn contents(mut segment: &[u8]) -> Vec<&[u8]> {
    let mut contents = Vec::new();
    while let Some((header, rest)) = segment.split_first_chunk::<HEADER_BYTES>() {
        let [a, b, c, d, e, f, g, h] = *header;
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        assert!(length > 0 && length <= rest.len(), "a torn entry");
        let (content, rest) = rest.split_at(length);
        let checksum = u32::from_le_bytes([e, f, g, h]);
        assert_eq!(checksum, crc32fast::hash(content), "a damaged entry");
        contents.push(content);
        segment = rest;
    }
    assert!(segment.is_empty(), "a torn header");
    contents
}

/// An entry's content as 735404d decodes it.
pub fn decode_entry(content: &[u8]) -> (u16, Entry) {
    postcard::from_bytes(content).expect("an entry of 735404d")
}

/// An entry as it stands in a segment.
pub fn frame_entry(content: &[u8]) -> Vec<u8> {
    let (length, checksum) = (content.len() as u32, crc32fast::hash(content));
    [&length.to_le_bytes()[..], &checksum.to_le_bytes(), content].concat()
}

/// The layout at the end of the recorded log: three partitions of one member.
pub fn layout(address: SocketAddr) -> Layout {
    let set = |epoch| {
        let (instance, centre) = ("ledger-0".into(), "centre-0".into());
        let members = vec![Member { instance, disk: DISK, address, centre }];
        LedgerSet { epoch, tolerated: 0, members, next: None }
    };
    Layout { partitions: vec![set(1), set(1), set(3)] }
}

/// The first program that belongs to a partition.
pub fn program_in(partition: u16) -> String {
    let layout = layout(([127, 0, 0, 1], 7_354).into());
    let mut programs = (0..).map(|number| format!("program-{number}"));
    programs.find(|program| layout.partition(program) == partition).expect("a program")
}
