//! Stand-in of the platform's store: objects with revisions, pages, watches and
//! conditional writes. It loses nothing, and answers every call unless it is down.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::http::{Message, read_request, write_response};

/// Objects on a page of a list.
const PAGE_ITEMS: usize = 500;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    /// All changes: revision, kind, object, and whether it was removed.
    changes: Vec<(u64, String, Value, bool)>,
    /// Changes to make while a list of this kind is between two pages.
    between_pages: Option<BetweenPages>,
    /// The store is down until then: it leaves every call unanswered.
    down_until: Option<Instant>,
}

/// Changes to make while a list is between two pages.
struct BetweenPages {
    kind: String,
    /// Made as soon as a page was read.
    first: Option<Change>,
    /// Made before the next page is read.
    others: Vec<Change>,
}

/// A change of an object by the operator or a replica.
#[derive(Clone)]
pub struct Change {
    pub kind: String,
    pub name: String,
    /// `None` removes the object.
    pub spec: Option<Value>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("the store can listen");
        let address = listener.local_addr().expect("an address");
        let state = State { revision: 1, ..State::default() };
        let store = Store { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let server = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(socket));
            }
        });
        store
    }

    /// Writes the spec of an object as the operator or a replica would.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.change(&Change { kind: kind.into(), name: name.into(), spec: Some(spec) });
    }

    pub fn change(&self, change: &Change) {
        let (state, changed) = &*self.state;
        state.lock().expect("lock").change(change);
        changed.notify_all();
    }

    /// Changes an object, and is down from then on for this time. Answers that are
    /// due meanwhile are lost, those to watches that wait for the change too, and a
    /// channel on which one was lost returns nothing further.
    pub fn change_and_go_down(&self, change: &Change, time: Duration) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("lock");
        state.change(change);
        state.down_until = Some(Instant::now() + time);
        drop(state);
        changed.notify_all();
    }

    fn is_down(&self) -> bool {
        let down_until = self.state.0.lock().expect("lock").down_until;
        down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Makes the first change as soon as a page of a list of `kind` was read that is
    /// not the last one, and the others before the next page is read.
    pub fn change_between_pages(&self, kind: &str, first: Change, others: Vec<Change>) {
        let changes = BetweenPages { kind: kind.into(), first: Some(first), others };
        self.state.0.lock().expect("lock").between_pages = Some(changes);
    }

    /// Whether the changes of [`Store::change_between_pages`] were made.
    pub fn has_changed_between_pages(&self) -> bool {
        self.state.0.lock().expect("lock").between_pages.is_none()
    }

    pub fn status(&self, kind: &str, name: &str) -> Value {
        let state = self.state.0.lock().expect("lock");
        state
            .objects
            .get(&key(kind, name))
            .map(|object| object["status"].clone())
            .unwrap_or_default()
    }

    pub fn spec(&self, kind: &str, name: &str) -> Value {
        let state = self.state.0.lock().expect("lock");
        state.objects.get(&key(kind, name)).map(|object| object["spec"].clone()).unwrap_or_default()
    }

    fn serve(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let Ok(reading) = socket.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(request)) = read_request(&mut reader) {
            thread::sleep(ANSWER_TIME);
            if self.is_down() {
                return keep_silent(reader);
            }
            let (status, body) = self.answer(&request);
            if self.is_down() {
                return keep_silent(reader);
            }
            let headers = "Content-Type: application/json\r\n";
            if write_response(&mut socket, status, headers, body.to_string().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, Value) {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return ("404 Not Found", Value::Null);
        };
        let parts: Vec<&str> = path.split('/').collect();
        let parameter = |name: &str| {
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)
        };
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let (state, changed) = &*self.state;
        match (request.word(0), parts.as_slice()) {
            ("GET", [kind]) => match parameter("watch") {
                Some((_, from)) => {
                    let wait =
                        parameter("wait-ms").and_then(|(_, ms)| ms.parse().ok()).unwrap_or(0);
                    self.watch(kind, from.parse().unwrap_or(0), Duration::from_millis(wait))
                }
                None => {
                    let after = parameter("after").map_or("", |(_, after)| after);
                    let page = state.lock().expect("lock").page(kind, after);
                    changed.notify_all();
                    ("200 OK", page)
                }
            },
            ("GET", [kind, name]) => {
                match state.lock().expect("lock").objects.get(&key(kind, name)) {
                    Some(object) => ("200 OK", object.clone()),
                    None => ("404 Not Found", Value::Null),
                }
            }
            (method, parts) => {
                let answer = state.lock().expect("lock").write(method, parts, &body);
                changed.notify_all();
                answer
            }
        }
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (&'static str, Value) {
        let (state, changed) = &*self.state;
        let until = Instant::now() + wait;
        let mut state = state.lock().expect("lock");
        loop {
            let events = state.events(kind, from);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return ("200 OK", json!({"events": events, "as-of": state.revision}));
            }
            state = changed.wait_timeout(state, left).expect("lock").0;
        }
    }
}

impl State {
    fn change(&mut self, change: &Change) {
        let key = key(&change.kind, &change.name);
        match &change.spec {
            Some(spec) => {
                let status = self.objects.get(&key).map(|object| object["status"].clone());
                self.put(key, spec.clone(), status.unwrap_or_default());
            }
            None => {
                if let Some(object) = self.objects.remove(&key) {
                    self.revision += 1;
                    self.changes.push((self.revision, key.0, object, true));
                }
            }
        }
    }

    fn put(&mut self, key: (String, String), spec: Value, status: Value) -> Value {
        self.revision += 1;
        let created =
            self.objects.get(&key).map(|object| object["metadata"]["created-rev"].clone());
        let metadata = json!({
            "name": key.1, "revision": self.revision, "finalizers": [], "deleting": false,
            "created-rev": created.unwrap_or(self.revision.into()),
        });
        let mut object = json!({"metadata": metadata, "spec": spec, "status": status});
        // What a replica says of itself has its start at the top level.
        if let Some(born) = spec.get("born") {
            object["born"] = born.clone();
        }
        self.changes.push((self.revision, key.0.clone(), object.clone(), false));
        self.objects.insert(key, object.clone());
        object
    }

    fn page(&mut self, kind: &str, after: &str) -> Value {
        let is_next = |changes: &mut BetweenPages| {
            changes.kind == kind && changes.first.is_none() && !after.is_empty()
        };
        if let Some(BetweenPages { others, .. }) = self.between_pages.take_if(is_next) {
            others.iter().for_each(|change| self.change(change));
        }
        let of_kind =
            self.objects.iter().filter(|((found, name), _)| found == kind && &**name > after);
        let mut items: Vec<Value> = of_kind.map(|(_, object)| object.clone()).collect();
        let has_more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let page = json!({"items": items, "has-more": has_more, "as-of": self.revision});
        let waiting =
            self.between_pages.as_mut().filter(|changes| has_more && changes.kind == kind);
        if let Some(first) = waiting.and_then(|changes| changes.first.take()) {
            self.change(&first);
        }
        page
    }

    fn events(&self, kind: &str, from: u64) -> Vec<Value> {
        let newer = self.changes.iter().filter(|(at, found, ..)| *at > from && found == kind);
        newer.map(|(_, _, object, removed)| json!({"removed": removed, "object": object})).collect()
    }

    fn write(&mut self, method: &str, parts: &[&str], body: &Value) -> (&'static str, Value) {
        match (method, parts) {
            ("POST", [kind]) => {
                let key = key(kind, body["metadata"]["name"].as_str().unwrap_or(""));
                match self.objects.get(&key) {
                    Some(object) => ("409 Conflict", object.clone()),
                    None => ("200 OK", self.put(key, body["spec"].clone(), Value::Null)),
                }
            }
            ("PUT", [kind, name, rest @ ..]) => {
                let key = key(kind, name);
                let Some(known) = self.objects.get(&key).cloned() else {
                    return ("404 Not Found", Value::Null);
                };
                let expected = &body["metadata"]["revision"];
                if !expected.is_null() && *expected != known["metadata"]["revision"] {
                    return ("409 Conflict", known);
                }
                let (spec, status) = match rest {
                    ["status"] => (known["spec"].clone(), body["status"].clone()),
                    _ => (body["spec"].clone(), known["status"].clone()),
                };
                if spec == known["spec"] && status == known["status"] {
                    return ("200 OK", known);
                }
                ("200 OK", self.put(key, spec, status))
            }
            _ => ("405 Method Not Allowed", Value::Null),
        }
    }
}

/// Keeps a channel open on which an answer was lost, until the caller closes it.
fn keep_silent(mut reader: BufReader<TcpStream>) {
    while matches!(read_request(&mut reader), Ok(Some(_))) {}
}

fn key(kind: &str, name: &str) -> (String, String) {
    (kind.to_owned(), name.to_owned())
}
