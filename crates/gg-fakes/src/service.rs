//! Fake tool or service that counts the calls it executes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use gg_http::{Body, HeldBody, ServerLimits, json_response, read_body};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use tokio::{net::TcpListener, time};
use tokio_util::sync::CancellationToken;

use crate::{Event, EventLog};

/// A call whose body contains this text is executed and gets no response.
pub const HANG_MARKER: &str = "HANG-SERVICE";

#[derive(Debug, Default)]
struct State {
    delay: Duration,
    executed: HashMap<String, u32>,
}

/// A service that runs in this process and listens on loopback.
#[derive(Clone, Debug)]
pub struct FakeService {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    log: EventLog,
}

impl FakeService {
    /// Starts a service that records executed calls in `log`. It runs until `stop`
    /// is cancelled.
    pub async fn start(log: EventLog, stop: CancellationToken) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("failed to read the bound address");
        let service = FakeService { address, state: Arc::default(), log };
        let handler = {
            let service = service.clone();
            move |request| service.clone().handle(request)
        };
        tokio::spawn(gg_http::serve(listener, ServerLimits::default(), stop, handler));
        service
    }

    /// Sets the duration of each call.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Number of times that the call with this body was executed.
    pub fn executed(&self, body: &str) -> u32 {
        self.lock().executed.get(body).copied().unwrap_or(0)
    }

    /// Total number of executed calls.
    pub fn total(&self) -> u32 {
        self.lock().executed.values().sum()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let body = read_body(request, &ServerLimits::default())
            .await
            .map(HeldBody::into_bytes)
            .unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        let (delay, count) = {
            let mut state = self.lock();
            let count = state.executed.entry(body.clone()).or_insert(0);
            *count += 1;
            let count = *count;
            (state.delay, count)
        };
        self.log.push(Event::Executed { action: body.clone() });
        time::sleep(delay).await;
        if body.contains(HANG_MARKER) {
            time::sleep(Duration::from_secs(3600)).await;
        }
        json_response(StatusCode::OK, &json!({"action": body, "count": count}))
    }
}
