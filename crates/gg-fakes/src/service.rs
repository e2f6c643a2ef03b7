//! Stand-in for a tool or plain service that counts what it carries out.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use gg_http::{Body, Limits, json_response, read_body};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use tokio::{net::TcpListener, time};
use tokio_util::sync::CancellationToken;

use crate::{Event, EventLog};

/// A body with this text is carried out and never answered.
pub const HANG_MARK: &str = "HANG-SERVICE";

#[derive(Debug, Default)]
struct State {
    delay: Duration,
    executed: HashMap<String, u32>,
}

/// A service that runs in this process and is reached over loopback.
#[derive(Clone, Debug)]
pub struct FakeService {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    log: EventLog,
}

impl FakeService {
    /// Starts a service that writes what it carries out to `log`; it runs
    /// until `stop` is cancelled.
    pub async fn start(log: EventLog, stop: CancellationToken) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
        let address = listener.local_addr().expect("bound address");
        let service = FakeService { address, state: Arc::default(), log };
        let handler = {
            let service = service.clone();
            move |request| service.clone().handle(request)
        };
        tokio::spawn(gg_http::serve(listener, Limits::default(), stop, handler));
        service
    }

    /// Time that each call takes.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// How often the call with this body was carried out.
    pub fn executed(&self, body: &str) -> u32 {
        self.lock().executed.get(body).copied().unwrap_or(0)
    }

    /// Calls carried out in all.
    pub fn total(&self) -> u32 {
        self.lock().executed.values().sum()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let body = read_body(request.into_body(), &Limits::default()).await.unwrap_or_default();
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
        if body.contains(HANG_MARK) {
            time::sleep(Duration::from_secs(3600)).await;
        }
        json_response(StatusCode::OK, &json!({"action": body, "count": count}))
    }
}
