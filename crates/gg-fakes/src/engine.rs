//! Fake model engine: batches continuously, caches prefixes in limited memory,
//! streams answers, and fails on demand.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use gg_http::{Body, ServerLimits, json_response, read_body};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::mpsc, time};
use tokio_util::sync::CancellationToken;

/// A message that contains this text crashes the engine.
pub const CRASH_MARKER: &str = "CRASH-ENGINE";

/// A message that contains this text is never answered.
pub const HANG_MARKER: &str = "HANG-ENGINE";

/// Simulated costs of the engine. Tests choose small durations.
#[derive(Clone, Debug)]
pub struct EngineCosts {
    /// Time between tokens of a single sequence.
    pub token: Duration,
    /// Time that each further sequence in the batch adds between tokens.
    pub per_sequence: Duration,
    /// Prompt tokens computed per millisecond.
    pub prefill_per_ms: f64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Tokens per stream event.
    pub chunk: u64,
    /// Downtime after a crash.
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

/// Counters of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineStats {
    /// Calls that completed.
    pub calls: u64,
    /// Prompt tokens of the completed calls.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Crashes.
    pub crashes: u64,
    /// Calls that ended early, because the client disconnected or a call crashed the
    /// engine.
    pub abandoned: u64,
    /// Maximum number of sequences in the batch.
    pub peak: u32,
}

#[derive(Debug, Default)]
struct Cache {
    prefixes: IndexMap<String, u64>,
}

#[derive(Debug)]
struct Shared {
    costs: EngineCosts,
    cache: Mutex<Cache>,
    /// Tokens processed for each program, including failed attempts.
    spent: Mutex<IndexMap<String, u64>>,
    stats: Mutex<EngineStats>,
    batch: AtomicU32,
    draining: AtomicBool,
    epoch: AtomicU32,
    fence: Mutex<u64>,
    fenced: bool,
    models: Mutex<Vec<String>>,
    prefill: tokio::sync::Mutex<f64>,
    incarnation: Mutex<CancellationToken>,
}

/// An engine that runs in this process and listens on loopback.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// Address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeEngine {
    /// Starts an engine, which runs until `stop` is cancelled.
    pub async fn start(costs: EngineCosts, fenced: bool, stop: CancellationToken) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("failed to read the bound address");
        let shared = Shared {
            costs,
            cache: Mutex::default(),
            spent: Mutex::default(),
            stats: Mutex::default(),
            batch: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            epoch: AtomicU32::new(1),
            fence: Mutex::new(0),
            fenced,
            models: Mutex::default(),
            prefill: tokio::sync::Mutex::new(0.0),
            incarnation: Mutex::new(stop.child_token()),
        };
        let engine = FakeEngine { address, shared: Arc::new(shared) };
        tokio::spawn(engine.clone().serve_until_stopped(listener, stop));
        engine
    }

    /// Serves requests, and restarts after each crash.
    async fn serve_until_stopped(self, first: TcpListener, stop: CancellationToken) {
        let mut listener = Some(first);
        while !stop.is_cancelled() {
            let incarnation = lock(&self.shared.incarnation).clone();
            let bound = match listener.take() {
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
            // A crash closes all connections at once, without a graceful stop.
            let limits = ServerLimits { stop_timeout: Duration::ZERO, ..ServerLimits::default() };
            gg_http::serve(bound, limits, incarnation, handler).await;
            if !stop.is_cancelled() {
                time::sleep(self.shared.costs.restart).await;
                *lock(&self.shared.incarnation) = stop.child_token();
                self.shared.epoch.fetch_add(1, Ordering::SeqCst);
            }
        }
    }

    /// Crashes the engine. It restarts with an empty cache.
    pub fn crash(&self) {
        lock(&self.shared.stats).crashes += 1;
        lock(&self.shared.cache).prefixes.clear();
        self.shared.batch.store(0, Ordering::SeqCst);
        lock(&self.shared.incarnation).cancel();
    }

    /// Sets whether the engine refuses new calls.
    pub fn set_draining(&self, draining: bool) {
        self.shared.draining.store(draining, Ordering::SeqCst);
    }

    /// Returns the counters.
    pub fn stats(&self) -> EngineStats {
        *lock(&self.shared.stats)
    }

    /// Programs that have a cached prefix.
    pub fn cached_programs(&self) -> Vec<String> {
        lock(&self.shared.cache).prefixes.keys().cloned().collect()
    }

    /// Tokens processed for a program, including failed attempts.
    pub fn spent(&self, program: &str) -> u64 {
        lock(&self.shared.spent).get(program).copied().unwrap_or(0)
    }

    fn add_spent(&self, program: &str, tokens: u64) {
        *lock(&self.shared.spent).entry(program.to_owned()).or_insert(0) += tokens;
    }

    /// Current number of sequences in the batch.
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
        let limits = ServerLimits { body_bytes: 64 << 20, ..ServerLimits::default() };
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
        lock(&self.shared.cache).prefixes.shift_remove(program);
        json_response(StatusCode::OK, &json!({"released": program}))
    }

    fn order(&self, body: &Value) -> Response<Body> {
        let fence = body["fence"].as_u64().unwrap_or(0);
        let mut current = lock(&self.shared.fence);
        if self.shared.fenced && fence < *current {
            return json_response(StatusCode::CONFLICT, &json!({"fence": *current}));
        }
        *current = fence.max(*current);
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
        json_response(StatusCode::OK, &json!({"fence": *current}))
    }

    async fn chat(self, body: Value) -> Response<Body> {
        if self.shared.draining.load(Ordering::SeqCst) {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "leaving"}));
        }
        let messages = body["messages"].as_array().cloned().unwrap_or_default();
        let has_mark = |mark: &str| {
            messages
                .last()
                .is_some_and(|last| last["content"].as_str().unwrap_or("").contains(mark))
        };
        if has_mark(HANG_MARKER) {
            time::sleep(Duration::from_secs(3600)).await;
        }
        let crash = has_mark(CRASH_MARKER);
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
        let incarnation = lock(&self.shared.incarnation).clone();
        let execute = self.execute(body, messages, crash, &events);
        let done = tokio::select! {
            done = execute => done,
            () = events.closed() => false,
            () = incarnation.cancelled() => return,
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

    async fn execute(
        &self,
        body: Value,
        messages: Vec<Value>,
        crash: bool,
        events: &mpsc::Sender<Bytes>,
    ) -> bool {
        let program = body["user"].as_str().unwrap_or_default().to_owned();
        let output_tokens = body["max_tokens"].as_u64().unwrap_or(16);
        let output_tokens = body["generate"].as_u64().unwrap_or(output_tokens).min(output_tokens);
        let prompt: u64 = messages.iter().map(tokens).sum();
        let batch = self.shared.batch.fetch_add(1, Ordering::SeqCst) + 1;
        {
            let mut stats = lock(&self.shared.stats);
            stats.peak = stats.peak.max(batch);
        }
        let cached = self.cached(&program, prompt);
        self.add_spent(&program, prompt);
        self.prefill(prompt - cached).await;
        if crash {
            self.crash();
            return false;
        }
        let contents = messages.iter().map(|message| message["content"].as_str().unwrap_or(""));
        let mut words = AnswerWords::new(contents);
        let mut sent = 0;
        while sent < output_tokens {
            let count = self.shared.costs.chunk.min(output_tokens - sent);
            let interval = self.interval() * count as u32;
            if !interval.is_zero() {
                time::sleep(interval).await;
            }
            let text: String = (0..count).map(|_| words.next_word()).collect();
            sent += count;
            self.add_spent(&program, count);
            let chunk = json!({"choices": [{"index": 0, "delta": {"content": text}}]});
            if events.send(sse(&chunk)).await.is_err() {
                return false;
            }
        }
        self.cache_prefix(&program, prompt + output_tokens);
        {
            let mut stats = lock(&self.shared.stats);
            stats.calls += 1;
            stats.prompt_tokens += prompt;
            stats.cached_tokens += cached;
            stats.generated += output_tokens;
        }
        let usage = json!({
            "prompt_tokens": prompt,
            "completion_tokens": output_tokens,
            "prompt_tokens_details": {"cached_tokens": cached},
        });
        let end = json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]});
        let last = json!({"choices": [], "usage": usage});
        let mut out = sse(&end).to_vec();
        out.extend_from_slice(&sse(&last));
        out.extend_from_slice(b"data: [DONE]\n\n");
        events.send(Bytes::from(out)).await.is_ok()
    }

    /// Interval between tokens at the current batch size.
    fn interval(&self) -> Duration {
        let others = self.batch().saturating_sub(1);
        self.shared.costs.token + self.shared.costs.per_sequence * others
    }

    async fn prefill(&self, tokens: u64) {
        if tokens == 0 {
            return;
        }
        // One prompt is computed at a time. The timer can't sleep for less
        // than a millisecond, so shorter durations are accumulated.
        let mut pending_ms = self.shared.prefill.lock().await;
        *pending_ms += tokens as f64 / self.shared.costs.prefill_per_ms;
        if *pending_ms >= 1.0 {
            time::sleep(Duration::from_secs_f64(*pending_ms / 1000.0)).await;
            *pending_ms = 0.0;
        }
    }

    fn cached(&self, program: &str, prompt: u64) -> u64 {
        let cache = lock(&self.shared.cache);
        cache.prefixes.get(program).copied().unwrap_or(0).min(prompt)
    }

    /// Caches a program's prefix, and evicts the oldest prefixes beyond the capacity.
    fn cache_prefix(&self, program: &str, tokens: u64) {
        let mut cache = lock(&self.shared.cache);
        cache.prefixes.shift_remove(program);
        cache.prefixes.insert(program.to_owned(), tokens);
        let mut total: u64 = cache.prefixes.values().sum();
        while total > self.shared.costs.cache_tokens && cache.prefixes.len() > 1 {
            if let Some((_, evicted)) = cache.prefixes.shift_remove_index(0) {
                total -= evicted;
            }
        }
    }
}

/// Token count of a message: one per four bytes, and one for the message itself.
fn tokens(message: &Value) -> u64 {
    let bytes = message["content"].as_str().map_or(0, str::len);
    bytes as u64 / 4 + 1
}

/// The answer of `count` tokens that every fake engine generates for a
/// conversation.
pub fn expected_answer(contents: &[String], count: u64) -> String {
    let mut words = AnswerWords::new(contents.iter().map(String::as_str));
    (0..count).map(|_| words.next_word()).collect()
}

/// Generator of answer text that depends only on the prompt.
struct AnswerWords(blake3::OutputReader);

impl AnswerWords {
    fn new<'a>(contents: impl Iterator<Item = &'a str>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for content in contents {
            hasher.update(content.as_bytes());
            hasher.update(&[0]);
        }
        AnswerWords(hasher.finalize_xof())
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
