//! Stand-in for a model engine: batches continuously, caches prefixes in
//! limited memory, streams, and fails on demand.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use gg_http::{Body, Limits, json_response, read_body};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::mpsc, time};
use tokio_util::sync::CancellationToken;

/// A message with this text takes the engine down.
pub const CRASH_MARK: &str = "CRASH-ENGINE";

/// A message with this text is never answered.
pub const HANG_MARK: &str = "HANG-ENGINE";

/// Costs of the engine, in virtual time that tests set small.
#[derive(Clone, Debug)]
pub struct EngineCosts {
    /// Time between tokens of a single sequence.
    pub token: Duration,
    /// Added to it by each further sequence in the batch.
    pub per_sequence: Duration,
    /// Prompt tokens computed in a millisecond.
    pub prefill_per_ms: f64,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// Tokens sent in one event.
    pub chunk: u64,
    /// Time that the engine is down after a crash.
    pub restart: Duration,
}

impl Default for EngineCosts {
    fn default() -> Self {
        EngineCosts {
            token: Duration::from_micros(500),
            per_sequence: Duration::from_micros(50),
            prefill_per_ms: 100.0,
            cache_tokens: 200_000,
            chunk: 4,
            restart: Duration::from_millis(500),
        }
    }
}

/// What an engine did so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineStats {
    /// Calls answered whole.
    pub calls: u64,
    /// Prompt tokens of those calls.
    pub prompt_tokens: u64,
    /// Those found in the cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Crashes.
    pub crashes: u64,
    /// Calls that ended early because the other side went away.
    pub abandoned: u64,
    /// Most sequences in the batch at a time.
    pub peak: u32,
}

#[derive(Debug, Default)]
struct Cache {
    held: IndexMap<String, u64>,
}

#[derive(Debug)]
struct Shared {
    costs: EngineCosts,
    cache: Mutex<Cache>,
    /// Tokens worked on for each program, lost tries included.
    spent: Mutex<IndexMap<String, u64>>,
    stats: Mutex<EngineStats>,
    batch: AtomicU32,
    leaving: AtomicBool,
    epoch: AtomicU32,
    fence: Mutex<u64>,
    fenced: bool,
    models: Mutex<Vec<String>>,
    prefill: tokio::sync::Mutex<f64>,
    life: Mutex<CancellationToken>,
}

/// An engine that runs in this process and is reached over loopback.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeEngine {
    /// Starts an engine; it runs until `stop` is cancelled.
    pub async fn start(costs: EngineCosts, fenced: bool, stop: CancellationToken) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
        let address = listener.local_addr().expect("bound address");
        let shared = Shared {
            costs,
            cache: Mutex::default(),
            spent: Mutex::default(),
            stats: Mutex::default(),
            batch: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            epoch: AtomicU32::new(1),
            fence: Mutex::new(0),
            fenced,
            models: Mutex::default(),
            prefill: tokio::sync::Mutex::new(0.0),
            life: Mutex::new(stop.child_token()),
        };
        let engine = FakeEngine { address, shared: Arc::new(shared) };
        tokio::spawn(engine.clone().live(listener, stop));
        engine
    }

    /// Serves, and starts again after each crash.
    async fn live(self, first: TcpListener, stop: CancellationToken) {
        let mut listener = Some(first);
        while !stop.is_cancelled() {
            let life = lock(&self.shared.life).clone();
            let serving = match listener.take() {
                Some(listener) => listener,
                None => match TcpListener::bind(self.address).await {
                    Ok(listener) => listener,
                    Err(_) => {
                        time::sleep(Duration::from_millis(10)).await;
                        continue;
                    }
                },
            };
            let handler = {
                let engine = self.clone();
                move |request| engine.clone().handle(request)
            };
            // A crash cuts all connections: nothing may be waited for.
            let limits = Limits { stop_timeout: Duration::ZERO, ..Limits::default() };
            gg_http::serve(serving, limits, life, handler).await;
            if !stop.is_cancelled() {
                time::sleep(self.shared.costs.restart).await;
                *lock(&self.shared.life) = stop.child_token();
                self.shared.epoch.fetch_add(1, Ordering::SeqCst);
            }
        }
    }

    /// Takes the engine down; it comes back with an empty cache.
    pub fn crash(&self) {
        lock(&self.shared.stats).crashes += 1;
        lock(&self.shared.cache).held.clear();
        self.shared.batch.store(0, Ordering::SeqCst);
        lock(&self.shared.life).cancel();
    }

    /// Has the engine refuse new calls, or take them again.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.leaving.store(leaving, Ordering::SeqCst);
    }

    /// What it did so far.
    pub fn stats(&self) -> EngineStats {
        *lock(&self.shared.stats)
    }

    /// Programs whose prefix it holds.
    pub fn held(&self) -> Vec<String> {
        lock(&self.shared.cache).held.keys().cloned().collect()
    }

    /// Tokens worked on for a program, lost tries included.
    pub fn spent(&self, program: &str) -> u64 {
        lock(&self.shared.spent).get(program).copied().unwrap_or(0)
    }

    fn spend(&self, program: &str, tokens: u64) {
        *lock(&self.shared.spent).entry(program.to_owned()).or_insert(0) += tokens;
    }

    /// Sequences in the batch now.
    pub fn batch(&self) -> u32 {
        self.shared.batch.load(Ordering::SeqCst)
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/state") => return self.state(),
            (&Method::GET, "/v1/cache/events") => return json_response(StatusCode::OK, &json!([])),
            _ => {}
        }
        let limits = Limits { body_bytes: 64 << 20, ..Limits::default() };
        let body = read_body(request.into_body(), &limits).await.unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        match path.as_str() {
            "/v1/chat/completions" => self.chat(body).await,
            "/v1/cache/release" => self.release(&body),
            "/v1/orders" => self.order(&body),
            _ => json_response(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn state(&self) -> Response<Body> {
        let state = json!({
            "epoch": self.shared.epoch.load(Ordering::SeqCst).to_string(),
            "models": *lock(&self.shared.models),
            "load": self.batch(),
            "fence": *lock(&self.shared.fence),
        });
        json_response(StatusCode::OK, &state)
    }

    fn release(&self, body: &Value) -> Response<Body> {
        let program = body["program"].as_str().unwrap_or_default();
        lock(&self.shared.cache).held.shift_remove(program);
        json_response(StatusCode::OK, &json!({"released": program}))
    }

    fn order(&self, body: &Value) -> Response<Body> {
        let fence = body["fence"].as_u64().unwrap_or(0);
        let mut known = lock(&self.shared.fence);
        if self.shared.fenced && fence < *known {
            return json_response(StatusCode::CONFLICT, &json!({"fence": *known}));
        }
        *known = fence.max(*known);
        let name = format!(
            "{}@{}",
            body["model"].as_str().unwrap_or_default(),
            body["version"].as_str().unwrap_or_default()
        );
        let mut models = lock(&self.shared.models);
        models.retain(|model| *model != name);
        if body["kind"] == "load" {
            models.push(name);
        }
        json_response(StatusCode::OK, &json!({"fence": *known}))
    }

    async fn chat(self, body: Value) -> Response<Body> {
        if self.shared.leaving.load(Ordering::SeqCst) {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "leaving"}));
        }
        let messages = body["messages"].as_array().cloned().unwrap_or_default();
        let marked = |mark: &str| {
            messages
                .last()
                .is_some_and(|last| last["content"].as_str().unwrap_or("").contains(mark))
        };
        if marked(HANG_MARK) {
            time::sleep(Duration::from_secs(3600)).await;
        }
        let crash = marked(CRASH_MARK);
        let (events, stream) = mpsc::channel(16);
        tokio::spawn(self.clone().generate(body, messages, crash, events));
        let mut response = Response::new(Body::Stream(stream));
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }

    async fn generate(
        self,
        body: Value,
        messages: Vec<Value>,
        crash: bool,
        events: mpsc::Sender<Bytes>,
    ) {
        let life = lock(&self.shared.life).clone();
        let work = self.work(body, messages, crash, &events);
        let done = tokio::select! {
            done = work => done,
            () = events.closed() => false,
            () = life.cancelled() => return,
        };
        self.leave_batch();
        if !done {
            lock(&self.shared.stats).abandoned += 1;
        }
    }

    fn leave_batch(&self) {
        let batch = &self.shared.batch;
        let _ =
            batch.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| count.checked_sub(1));
    }

    async fn work(
        &self,
        body: Value,
        messages: Vec<Value>,
        crash: bool,
        events: &mpsc::Sender<Bytes>,
    ) -> bool {
        let program = body["user"].as_str().unwrap_or_default().to_owned();
        let wanted = body["max_tokens"].as_u64().unwrap_or(16);
        let wanted = body["generate"].as_u64().unwrap_or(wanted).min(wanted);
        let prompt: u64 = messages.iter().map(tokens).sum();
        let batch = self.shared.batch.fetch_add(1, Ordering::SeqCst) + 1;
        {
            let mut stats = lock(&self.shared.stats);
            stats.peak = stats.peak.max(batch);
        }
        let cached = self.cached(&program, prompt);
        self.spend(&program, prompt);
        self.prefill(prompt - cached).await;
        if crash {
            self.crash();
            return false;
        }
        let contents = messages.iter().map(|message| message["content"].as_str().unwrap_or(""));
        let mut words = Words::new(contents);
        let mut sent = 0;
        while sent < wanted {
            let count = self.shared.costs.chunk.min(wanted - sent);
            let pace = self.pace() * count as u32;
            if !pace.is_zero() {
                time::sleep(pace).await;
            }
            let text: String = (0..count).map(|_| words.next_word()).collect();
            sent += count;
            self.spend(&program, count);
            let chunk = json!({"choices": [{"index": 0, "delta": {"content": text}}]});
            if events.send(sse(&chunk)).await.is_err() {
                return false;
            }
        }
        self.keep(&program, prompt + wanted);
        {
            let mut stats = lock(&self.shared.stats);
            stats.calls += 1;
            stats.prompt_tokens += prompt;
            stats.cached_tokens += cached;
            stats.generated += wanted;
        }
        let usage = json!({
            "prompt_tokens": prompt,
            "completion_tokens": wanted,
            "prompt_tokens_details": {"cached_tokens": cached},
        });
        let end = json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]});
        let last = json!({"choices": [], "usage": usage});
        let mut out = sse(&end).to_vec();
        out.extend_from_slice(&sse(&last));
        out.extend_from_slice(b"data: [DONE]\n\n");
        events.send(Bytes::from(out)).await.is_ok()
    }

    /// Time between tokens at the present batch size.
    fn pace(&self) -> Duration {
        let others = self.batch().saturating_sub(1);
        self.shared.costs.token + self.shared.costs.per_sequence * others
    }

    async fn prefill(&self, tokens: u64) {
        if tokens == 0 {
            return;
        }
        // One prompt is computed at a time. The timer can't sleep for less
        // than a millisecond, so short times are added up.
        let mut owed_ms = self.shared.prefill.lock().await;
        *owed_ms += tokens as f64 / self.shared.costs.prefill_per_ms;
        if *owed_ms >= 1.0 {
            time::sleep(Duration::from_secs_f64(*owed_ms / 1000.0)).await;
            *owed_ms = 0.0;
        }
    }

    fn cached(&self, program: &str, prompt: u64) -> u64 {
        let cache = lock(&self.shared.cache);
        cache.held.get(program).copied().unwrap_or(0).min(prompt)
    }

    /// Keeps a program's prefix, and drops the oldest beyond the memory.
    fn keep(&self, program: &str, tokens: u64) {
        let mut cache = lock(&self.shared.cache);
        cache.held.shift_remove(program);
        cache.held.insert(program.to_owned(), tokens);
        let mut total: u64 = cache.held.values().sum();
        while total > self.shared.costs.cache_tokens && cache.held.len() > 1 {
            if let Some((_, dropped)) = cache.held.shift_remove_index(0) {
                total -= dropped;
            }
        }
    }
}

/// Tokens of a message: four bytes each, and one for the message.
fn tokens(message: &Value) -> u64 {
    let bytes = message["content"].as_str().map_or(0, str::len);
    bytes as u64 / 4 + 1
}

/// The answer of `count` tokens that every engine gives to a conversation.
pub fn expected_answer(contents: &[String], count: u64) -> String {
    let mut words = Words::new(contents.iter().map(String::as_str));
    (0..count).map(|_| words.next_word()).collect()
}

/// Text that depends on nothing but the prompt.
struct Words(blake3::OutputReader);

impl Words {
    fn new<'a>(contents: impl Iterator<Item = &'a str>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for content in contents {
            hasher.update(content.as_bytes());
            hasher.update(&[0]);
        }
        Words(hasher.finalize_xof())
    }

    fn next_word(&mut self) -> String {
        let mut bytes = [0; 3];
        self.0.fill(&mut bytes);
        let letters = bytes.map(|byte| char::from(b'a' + byte % 26));
        format!("{}{}{} ", letters[0], letters[1], letters[2])
    }
}

fn sse(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
