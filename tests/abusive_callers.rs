//! Callers of a daemon that send large or endless bodies and stay: the daemon lives,
//! stays within its memory, and serves others.

mod crowd;
mod support;

use std::sync::atomic::{AtomicUsize, Ordering};

use crowd::{Crowd, Framing, MemoryWatch, Upload, alone};
use futures::future::join_all;
use gg_fakes::{CallResult, EngineCosts, Fleet, FleetSettings};

/// Memory available to a daemon, in bytes.
const MEMORY_BYTES: u64 = 256 << 20;

/// Callers that send at the same time.
const CALLERS: usize = 60;

/// Callers that send bodies of many JSON values.
const JSON_CALLERS: usize = 8;

/// Largest body that the daemon's default settings allow, in bytes.
const BODY_MAX_BYTES: usize = 8 << 20;

/// Programs whose histories take more than a daemon's memory.
const PROGRAMS: usize = 200;

/// Programs that are started and not ended.
const RUNNING_PROGRAMS: usize = 360;

/// Size of a message that the token budget of a program allows, in bytes.
const STORED_BYTES: usize = 950_000;

/// One in this many callers completes its request.
const COMPLETE_EVERY: usize = 10;

/// Descriptors that a daemon uses for anything but connections of callers.
const OTHER_DESCRIPTORS: usize = 100;

const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: daemon\r\n\
                    authorization: Bearer key-ukhozi\r\nx-gg-profile: urgent\r\n\
                    content-type: application/json\r\n";

fn upload(framing: Framing, body: Vec<u8>, is_ended: bool) -> Upload {
    Upload { head: HEAD.into(), framing, body: body.into(), is_ended, is_read: true }
}

/// A call whose field `name` consists of `item` repeated, with this size in bytes.
fn json_body(name: &str, item: &str, bytes: usize) -> Vec<u8> {
    let start = format!(
        "{{\"model\": \"m1\", \"max_tokens\": 8, \"messages\": [{{\"role\": \"user\", \
         \"content\": \"hello\"}}], \"{name}\": [{item}"
    );
    let mut body = start.into_bytes();
    let next = format!(",{item}");
    while body.len() + next.len() + 2 <= bytes {
        body.extend_from_slice(next.as_bytes());
    }
    body.extend_from_slice(b"]}");
    body
}

/// A call with one message of `bytes` bytes.
fn text_call(bytes: usize) -> Upload {
    let text = "x".repeat(bytes);
    let body = format!(
        "{{\"model\": \"m1\", \"max_tokens\": 8, \"messages\": [{{\"role\": \"user\", \
         \"content\": \"{text}\"}}]}}"
    );
    upload(Framing::Length(body.len()), body.into_bytes(), true)
}

/// Whether an ordinary turn of another customer is answered.
async fn is_served(fleet: &Fleet) -> bool {
    let caller = fleet.caller("nyabugogo");
    let Ok(program) = caller.start("urgent", None).await else { return false };
    matches!(caller.turn(&program, 0, "question", 8).await, CallResult::Done(_))
}

async fn attack(description: &str, callers: usize, upload: impl Fn(usize) -> Upload) {
    let _alone = alone().await;
    // The engine reads long prompts at once, so that only the daemon is tested.
    let costs = EngineCosts { prefill_per_ms: 1e6, ..EngineCosts::default() };
    let settings = FleetSettings { daemons: 1, engines: 1, costs, ..FleetSettings::default() };
    let fleet = support::fleet(settings).await;
    let address = fleet.daemons[0].callers.parse().expect("address");
    let watch = MemoryWatch::start(fleet.daemons[0].id().expect("process"), address);
    let uploads = (0..callers).map(|caller| (address, upload(caller)));
    let crowd = Crowd::start(uploads.collect());
    crowd.settled(&[address]).await;
    let served = async || is_served(&fleet).await;
    eventually("a turn is answered beside the crowd", served).await;
    let descriptors = watch.descriptors();
    let summary = crowd.summary().await;
    drop(crowd);
    eventually("a turn is answered after the crowd", served).await;
    let peak = watch.peak();
    println!("{description}: peak {} MB, {descriptors} descriptors, {summary}", peak >> 20);
    assert!(peak < MEMORY_BYTES, "{description}: the daemon used {peak} bytes");
    assert!(
        descriptors < callers + OTHER_DESCRIPTORS,
        "{description}: the daemon used {descriptors} descriptors"
    );
}

/// Waits until `condition` returns true.
async fn eventually(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + std::time::Duration::from_secs(30);
    while !condition().await {
        assert!(tokio::time::Instant::now() < deadline, "timed out waiting: {description}");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Many bodies of legal size at once, most without their last byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_calls() {
    attack("unfinished calls", CALLERS, |caller| {
        let is_ended = caller.is_multiple_of(COMPLETE_EVERY);
        let body = vec![b' '; BODY_MAX_BYTES - usize::from(!is_ended)];
        upload(Framing::Length(BODY_MAX_BYTES), body, is_ended)
    })
    .await;
}

/// Many chunked bodies in large chunks, most without their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_in_chunks() {
    attack("calls in chunks", CALLERS, |caller| {
        let is_ended = caller.is_multiple_of(COMPLETE_EVERY);
        upload(Framing::Chunks(64 << 10), vec![b' '; BODY_MAX_BYTES - 1], is_ended)
    })
    .await;
}

/// Many chunked bodies in chunks of a byte, most without their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_in_bytes() {
    attack("calls in bytes", CALLERS, |caller| {
        let is_ended = caller.is_multiple_of(COMPLETE_EVERY);
        upload(Framing::Chunks(1), vec![b' '; 200_000], is_ended)
    })
    .await;
}

/// Bodies far over the limit, announced or just sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn excessive_calls() {
    attack("excessive calls", CALLERS, |caller| {
        let framing = match caller.is_multiple_of(2) {
            true => Framing::Length(4_000_000_000),
            false => Framing::Chunks(64 << 10),
        };
        upload(framing, vec![b' '; 3 * BODY_MAX_BYTES], false)
    })
    .await;
}

/// Whole bodies of legal size, each with one long text.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_calls() {
    attack("whole calls", CALLERS, |_| text_call(BODY_MAX_BYTES - 200)).await;
}

/// Whole bodies that the daemon keeps as the histories of their programs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stored_calls() {
    attack("stored calls", CALLERS, |_| text_call(STORED_BYTES)).await;
}

/// Whole bodies of legal size that consist of many JSON values.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_values() {
    // An object takes far more memory than an array.
    for (item, bytes) in [("[]", BODY_MAX_BYTES), ("{\"a\":1}", BODY_MAX_BYTES / 8)] {
        attack(&format!("many values {item}"), JSON_CALLERS, |_| {
            let body = json_body("stop", item, bytes);
            upload(Framing::Length(body.len()), body, true)
        })
        .await;
    }
}

/// Callers that send one call of legal size after another, which the daemon keeps as the
/// histories of programs that have ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ended_programs() {
    let _alone = alone().await;
    let costs = EngineCosts { prefill_per_ms: 1e6, ..EngineCosts::default() };
    let settings = FleetSettings { daemons: 1, engines: 1, costs, ..FleetSettings::default() };
    let fleet = support::fleet(settings).await;
    let address = fleet.daemons[0].callers.parse().expect("address");
    let watch = MemoryWatch::start(fleet.daemons[0].id().expect("process"), address);
    let served = AtomicUsize::new(0);
    let callers = (0..JSON_CALLERS).map(|_| async {
        while served.load(Ordering::Relaxed) < PROGRAMS {
            if text_call(STORED_BYTES).status(address).await == "200" {
                served.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    join_all(callers).await;
    eventually("a turn is answered afterwards", async || is_served(&fleet).await).await;
    let peak = watch.peak();
    println!("ended programs: peak {} MB", peak >> 20);
    assert!(peak < MEMORY_BYTES, "the daemon used {peak} bytes");
}

/// Callers that start one program after another, with a long call in each, and end none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn running_programs() {
    let _alone = alone().await;
    let costs = EngineCosts { prefill_per_ms: 1e6, ..EngineCosts::default() };
    let settings = FleetSettings { daemons: 1, engines: 1, costs, ..FleetSettings::default() };
    let fleet = support::fleet(settings).await;
    let address = fleet.daemons[0].callers.parse().expect("address");
    let watch = MemoryWatch::start(fleet.daemons[0].id().expect("process"), address);
    let text = "x".repeat(STORED_BYTES);
    let callers = (0..JSON_CALLERS).map(|_| async {
        let caller = fleet.caller("ukhozi");
        for _ in 0..RUNNING_PROGRAMS / JSON_CALLERS {
            if let Ok(program) = caller.start("urgent", None).await {
                // Refusals are fine.
                let _ = caller.turn(&program, 0, &text, 8).await;
            }
        }
    });
    join_all(callers).await;
    eventually("a turn is answered afterwards", async || is_served(&fleet).await).await;
    let peak = watch.peak();
    println!("running programs: peak {} MB", peak >> 20);
    assert!(peak < MEMORY_BYTES, "the daemon used {peak} bytes");
}

/// A daemon is stopped and started again beside callers that use up its memory and don't
/// leave.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_beside_callers() {
    let _alone = alone().await;
    let settings = FleetSettings { daemons: 1, engines: 1, ..FleetSettings::default() };
    let mut fleet = support::fleet(settings).await;
    let address = fleet.daemons[0].callers.parse().expect("address");
    let watch = MemoryWatch::start(fleet.daemons[0].id().expect("process"), address);
    let uploads = (0..CALLERS).map(|_| {
        let framing = Framing::Length(BODY_MAX_BYTES);
        (address, upload(framing, vec![b' '; BODY_MAX_BYTES - 1], false))
    });
    let crowd = Crowd::start(uploads.collect());
    crowd.settled(&[address]).await;
    let terminated = fleet.daemons[0].terminate().await;
    assert!(terminated, "the daemon ended with a failure");
    let peak = watch.sampled_peak();
    println!("restart beside callers: peak {} MB, {}", peak >> 20, crowd.summary().await);
    assert!(peak < MEMORY_BYTES, "the daemon used {peak} bytes");
    fleet.restart(0);
    eventually("a turn is answered after the restart", async || is_served(&fleet).await).await;
}

/// In calm, a call at the limit is accepted: it is refused only for its program's token
/// budget.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn largest_call() {
    let _alone = alone().await;
    let settings = FleetSettings { daemons: 1, engines: 1, ..FleetSettings::default() };
    let fleet = support::fleet(settings).await;
    let address = fleet.daemons[0].callers.parse().expect("address");
    let crowd = Crowd::start(vec![(address, text_call(BODY_MAX_BYTES - 200))]);
    eventually("the call is answered", async || crowd.summary().await.contains("402")).await;
}
