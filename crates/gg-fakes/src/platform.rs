//! Fake platform: versioned objects, watches and the list of instances, with
//! injected faults.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use gg_http::{Body, HeldBody, ServerLimits, json_response, read_body};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{net::TcpListener, sync::watch, time};
use tokio_util::sync::CancellationToken;

use crate::Random;

/// Maximum number of changes that are retained for watches.
const CHANGES_MAX: usize = 100_000;

/// Maximum size of an object.
const OBJECT_MAX_BYTES: usize = 1 << 20;

/// Faults to inject.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Delay added to each call.
    pub delay: Duration,
    /// Whether calls fail without taking effect.
    pub outage: bool,
    /// Whether calls during an outage hang instead of failing immediately.
    pub hang: bool,
    /// Probability that the response to a successful write is lost.
    pub lost_writes: f64,
    /// Probability that a watch leaves out a change, drawn each time that the watch
    /// reads the changes. With 1, no event is ever delivered.
    pub drop_events: f64,
    /// Delay until an update of the list of instances is visible.
    pub list_lag: Duration,
}

/// Counters of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Reads of objects.
    pub gets: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Listings.
    pub lists: u64,
    /// Watch requests, each counted once regardless of how long it waits.
    pub watches: u64,
    /// Reads of the list of instances.
    pub instances: u64,
    /// Successful writes whose response was lost.
    pub lost: u64,
    /// Calls refused during an outage.
    pub refused: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Instance {
    name: String,
    kind: String,
    centre: String,
    address: String,
    state: String,
}

#[derive(Debug)]
struct State {
    objects: BTreeMap<String, (u64, Bytes)>,
    revision: u64,
    changes: VecDeque<(u64, String, bool)>,
    instances: Vec<(time::Instant, Vec<Instance>)>,
    faults: Faults,
    counts: CallCounts,
    random: Random,
}

/// A platform that runs in this process and listens on loopback.
#[derive(Clone, Debug)]
pub struct FakePlatform {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl FakePlatform {
    /// Starts a platform, which runs until `stop` is cancelled.
    pub async fn start(seed: u64, stop: CancellationToken) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("failed to read the bound address");
        let state = State {
            objects: BTreeMap::new(),
            revision: 0,
            changes: VecDeque::new(),
            instances: vec![(time::Instant::now(), Vec::new())],
            faults: Faults::default(),
            counts: CallCounts::default(),
            random: Random::new(seed),
        };
        let platform = FakePlatform {
            address,
            state: Arc::new(Mutex::new(state)),
            changed: watch::Sender::new(0),
        };
        let handler = {
            let platform = platform.clone();
            move |request| platform.clone().handle(request)
        };
        tokio::spawn(gg_http::serve(listener, ServerLimits::default(), stop, handler));
        platform
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the counters of calls.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }

    /// Adds an instance to the list, or replaces its entry.
    pub fn add_instance(&self, name: &str, kind: &str, centre: &str, address: &str, state: &str) {
        let instance = Instance {
            name: name.into(),
            kind: kind.into(),
            centre: centre.into(),
            address: address.into(),
            state: state.into(),
        };
        self.update_list(|list| {
            list.retain(|known| known.name != name);
            list.push(instance);
        });
    }

    /// Removes an instance from the list.
    pub fn remove_instance(&self, name: &str) {
        self.update_list(|list| list.retain(|known| known.name != name));
    }

    fn update_list(&self, change: impl FnOnce(&mut Vec<Instance>)) {
        let mut state = self.lock();
        let mut list = state.instances.last().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut list);
        state.instances.push((time::Instant::now(), list));
    }

    /// Keys that start with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        state.objects.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Total size of all objects, in bytes.
    pub fn bytes(&self) -> usize {
        self.lock().objects.values().map(|(_, body)| body.len()).sum()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let faults = self.lock().faults.clone();
        if !faults.delay.is_zero() {
            time::sleep(faults.delay).await;
        }
        if faults.outage {
            self.lock().counts.refused += 1;
            if faults.hang {
                time::sleep(Duration::from_secs(60)).await;
            }
            return unavailable();
        }
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or("").to_owned();
        if let Some(key) = path.strip_prefix("/objects/") {
            return self.object(key, request).await;
        }
        match path.as_str() {
            "/list" => self.list(&query),
            "/watch" => self.watch(&query).await,
            "/instances" => self.instances(request.headers().get(header::IF_NONE_MATCH)),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    async fn object(&self, key: &str, request: Request<Incoming>) -> Response<Body> {
        let method = request.method().clone();
        if method == Method::GET {
            return self.get(key);
        }
        let if_absent = request.headers().contains_key(header::IF_NONE_MATCH);
        let version = request
            .headers()
            .get(header::IF_MATCH)
            .and_then(|value| value.to_str().ok()?.trim_matches('"').parse::<u64>().ok());
        let limits = ServerLimits { body_bytes: OBJECT_MAX_BYTES, ..ServerLimits::default() };
        let Ok(body) = read_body(request, &limits).await.map(HeldBody::into_bytes) else {
            return empty_response(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let response = match method {
            Method::PUT => self.put(key, body, if_absent, version),
            Method::DELETE => self.delete(key),
            _ => return empty_response(StatusCode::METHOD_NOT_ALLOWED),
        };
        let mut state = self.lock();
        let probability = state.faults.lost_writes;
        if response.status().is_success() && state.random.chance(probability) {
            state.counts.lost += 1;
            return unavailable();
        }
        response
    }

    fn get(&self, key: &str) -> Response<Body> {
        let mut state = self.lock();
        state.counts.gets += 1;
        match state.objects.get(key) {
            None => empty_response(StatusCode::NOT_FOUND),
            Some((version, body)) => with_version(Response::new(body.clone().into()), *version),
        }
    }

    fn put(&self, key: &str, body: Bytes, if_absent: bool, version: Option<u64>) -> Response<Body> {
        let mut state = self.lock();
        state.counts.writes += 1;
        let current = state.objects.get(key).map(|(version, _)| *version);
        let matches = match (if_absent, version) {
            (true, _) => current.is_none(),
            (false, Some(version)) => current == Some(version),
            (false, None) => true,
        };
        if !matches {
            let refused = empty_response(StatusCode::PRECONDITION_FAILED);
            return match current {
                Some(current) => with_version(refused, current),
                None => refused,
            };
        }
        let revision = state.change(key, false);
        state.objects.insert(key.to_owned(), (revision, body));
        drop(state);
        self.changed.send_replace(revision);
        with_version(empty_response(StatusCode::OK), revision)
    }

    fn delete(&self, key: &str) -> Response<Body> {
        let mut state = self.lock();
        state.counts.writes += 1;
        if state.objects.remove(key).is_none() {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let revision = state.change(key, true);
        drop(state);
        self.changed.send_replace(revision);
        empty_response(StatusCode::NO_CONTENT)
    }

    fn list(&self, query: &str) -> Response<Body> {
        let prefix = query_parameter(query, "prefix");
        let mut state = self.lock();
        state.counts.lists += 1;
        let items = state.objects.range(prefix.clone()..);
        let items = items.take_while(|(key, _)| key.starts_with(&prefix));
        let items: Vec<_> =
            items.map(|(key, (version, _))| json!({"key": key, "version": version})).collect();
        json_response(StatusCode::OK, &json!({"revision": state.revision, "items": items}))
    }

    async fn watch(&self, query: &str) -> Response<Body> {
        let prefix = query_parameter(query, "prefix");
        let after: u64 = query_parameter(query, "after").parse().unwrap_or(0);
        let wait: u64 = query_parameter(query, "wait_ms").parse().unwrap_or(0);
        self.lock().counts.watches += 1;
        let deadline = time::Instant::now() + Duration::from_millis(wait);
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(response) = self.lock().changes_after(&prefix, after) {
                return response;
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = time::sleep_until(deadline) => {
                    let revision = self.lock().revision;
                    return json_response(
                        StatusCode::OK,
                        &json!({"revision": revision, "events": []}),
                    );
                }
            }
        }
    }

    fn instances(&self, known: Option<&HeaderValue>) -> Response<Body> {
        let mut state = self.lock();
        state.counts.instances += 1;
        let lag = state.faults.list_lag;
        let visible = state.instances.iter().rposition(|(at, _)| at.elapsed() >= lag);
        let version = visible.unwrap_or(0);
        if known.is_some_and(|known| *known == *version.to_string()) {
            return empty_response(StatusCode::NOT_MODIFIED);
        }
        let list = &state.instances[version].1;
        with_version(json_response(StatusCode::OK, list), version as u64)
    }
}

impl State {
    fn change(&mut self, key: &str, deleted: bool) -> u64 {
        self.revision += 1;
        self.changes.push_back((self.revision, key.to_owned(), deleted));
        if self.changes.len() > CHANGES_MAX {
            self.changes.pop_front();
        }
        self.revision
    }

    /// Response with the changes of keys that start with `prefix`, except for randomly
    /// dropped ones; `None` if there are none.
    fn changes_after(&mut self, prefix: &str, after: u64) -> Option<Response<Body>> {
        let drop_events = self.faults.drop_events;
        let first = self.changes.partition_point(|(version, _, _)| *version <= after);
        let mut events = Vec::new();
        for (version, key, deleted) in self.changes.range(first..) {
            if key.starts_with(prefix) && !self.random.chance(drop_events) {
                events.push(json!({"key": key, "version": version, "deleted": deleted}));
            }
        }
        if events.is_empty() {
            return None;
        }
        let body = json!({"revision": self.revision, "events": events});
        Some(json_response(StatusCode::OK, &body))
    }
}

fn query_parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
        .next()
        .unwrap_or_default()
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

fn unavailable() -> Response<Body> {
    empty_response(StatusCode::SERVICE_UNAVAILABLE)
}

fn with_version(mut response: Response<Body>, version: u64) -> Response<Body> {
    response.headers_mut().insert(header::ETAG, HeaderValue::from(version));
    response
}
