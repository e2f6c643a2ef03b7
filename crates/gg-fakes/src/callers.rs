//! Caller client: plain HTTP requests to the callers' interface, distributed
//! round-robin over the daemons as a load balancer would.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use gg_http::{Client, HttpError, Reply};
use http::{Method, Request, header};
use http_body_util::BodyExt;
use serde_json::{Value, json};

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(120);

/// Result of a call, as the caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// The call succeeded.
    Done(ChatReply),
    /// The daemon responded with an error.
    Refused {
        /// HTTP status code.
        status: u16,
        /// Stable error code.
        code: String,
        /// Whether the request was executed: `no`, `yes` or `unknown`.
        ran: String,
        /// Delay after which to retry, in seconds.
        retry_after: Option<f64>,
    },
    /// No complete response arrived: the connection failed or the request timed out.
    Disconnected(String),
}

/// Response to a successful call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChatReply {
    /// Program of the request.
    pub program: String,
    /// Turn of the request.
    pub turn: u32,
    /// Generated text, or the action that a service echoed.
    pub text: String,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens charged.
    pub total_tokens: u64,
}

/// A client that uses the API key of one customer.
#[derive(Clone, Debug)]
pub struct CallerClient {
    daemons: Arc<Vec<String>>,
    next: Arc<AtomicUsize>,
    key: String,
    client: Client,
}

impl CallerClient {
    /// Creates a client that distributes its requests over `daemons`.
    pub fn new(daemons: Vec<String>, key: &str) -> Self {
        CallerClient {
            daemons: Arc::new(daemons),
            next: Arc::new(AtomicUsize::new(rand::random_range(0..1024))),
            key: key.into(),
            client: Client::default(),
        }
    }

    /// Chooses the next daemon.
    fn next_daemon(&self) -> &str {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        &self.daemons[index % self.daemons.len()]
    }

    /// Sends a request with extra headers to the next daemon.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: String,
    ) -> Result<Reply, HttpError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.next_daemon()))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        self.client.call(request.body(Bytes::from(body))?, TIMEOUT).await
    }

    /// Starts a program under a profile and returns its identifier.
    pub async fn start(&self, profile: &str, parent: Option<&str>) -> Result<String, CallResult> {
        let mut headers = vec![("x-gg-profile", profile.to_owned())];
        headers.extend(parent.map(|parent| ("x-gg-parent", parent.to_owned())));
        let reply = self.send(Method::POST, "/v1/programs", &headers, String::new()).await;
        let body = success_body(reply)?;
        Ok(body["program"].as_str().unwrap_or_default().to_owned())
    }

    /// Sends a model turn that appends one message to the history.
    pub async fn turn(&self, program: &str, turn: u32, content: &str, generate: u64) -> CallResult {
        let headers = [
            ("x-gg-program", program.to_owned()),
            ("x-gg-turn", turn.to_string()),
            ("x-gg-append", "yes".to_owned()),
        ];
        let body = json!({
            "model": "m1",
            "messages": [{"role": "user", "content": content}],
            "max_tokens": generate,
        });
        let path = "/v1/chat/completions";
        let reply = self.send(Method::POST, path, &headers, body.to_string()).await;
        parse(reply, |body| body["choices"][0]["message"]["content"].as_str().unwrap_or("").into())
    }

    /// Sends a model turn and reads the streamed response. Returns the times to the
    /// first data and to the end, or a description of the error.
    pub async fn stream(
        &self,
        program: &str,
        turn: u32,
        content: &str,
        generate: u64,
    ) -> Result<StreamTimes, String> {
        let began = Instant::now();
        let body = json!({
            "model": "m1",
            "messages": [{"role": "user", "content": content}],
            "max_tokens": generate,
            "stream": true,
        });
        let request = Request::post(format!("http://{}/v1/chat/completions", self.next_daemon()))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header("x-gg-program", program)
            .header("x-gg-turn", turn)
            .header("x-gg-append", "yes")
            .body(Bytes::from(body.to_string()))
            .map_err(|err| err.to_string())?;
        read_stream(&self.client, request, began).await
    }

    /// Calls a service within a program.
    pub async fn service(&self, program: &str, turn: u32, service: &str, body: &str) -> CallResult {
        let headers = [("x-gg-program", program.to_owned()), ("x-gg-turn", turn.to_string())];
        let path = format!("/v1/services/{service}/call");
        let reply = self.send(Method::POST, &path, &headers, body.to_owned()).await;
        parse(reply, |body| body["action"].as_str().unwrap_or("").into())
    }

    /// Reads a program.
    pub async fn read(&self, program: &str) -> Result<Value, CallResult> {
        let path = format!("/v1/programs/{program}");
        success_body(self.send(Method::GET, &path, &[], String::new()).await)
    }

    /// Ends a program.
    pub async fn end(&self, program: &str) -> Result<Value, CallResult> {
        let path = format!("/v1/programs/{program}");
        success_body(self.send(Method::DELETE, &path, &[], String::new()).await)
    }
}

/// Latencies of a streamed response.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimes {
    /// Time from the request to the first data.
    pub first: Duration,
    /// Time from the request to the end of the stream.
    pub total: Duration,
}

/// Sends a request for a streamed completion and reads the stream to its end. Fails
/// unless the stream is complete.
pub async fn read_stream(
    client: &Client,
    request: Request<Bytes>,
    began: Instant,
) -> Result<StreamTimes, String> {
    let response = client.open(request, TIMEOUT).await.map_err(|err| err.to_string())?;
    let status = response.status();
    let mut body = response.into_body();
    let mut first = None;
    let mut tail = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| err.to_string())?;
        let Some(data) = frame.data_ref() else { continue };
        first.get_or_insert_with(|| began.elapsed());
        tail.clear();
        tail.extend_from_slice(&data[data.len().saturating_sub(STREAM_END.len())..]);
    }
    match (first, tail == STREAM_END) {
        (Some(first), true) => Ok(StreamTimes { first, total: began.elapsed() }),
        _ => Err(format!("status {status}, ended with {:?}", String::from_utf8_lossy(&tail))),
    }
}

/// Last bytes of a complete stream.
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

fn success_body(reply: Result<Reply, HttpError>) -> Result<Value, CallResult> {
    match reply {
        Err(err) => Err(CallResult::Disconnected(err.to_string())),
        Ok(reply) if reply.status.is_success() => Ok(reply.json().unwrap_or_default()),
        Ok(reply) => Err(refusal(&reply)),
    }
}

fn refusal(reply: &Reply) -> CallResult {
    let body: Value = reply.json().unwrap_or_default();
    let error = &body["error"];
    CallResult::Refused {
        status: reply.status.as_u16(),
        code: error["code"].as_str().unwrap_or_default().into(),
        ran: error["ran"].as_str().unwrap_or_default().into(),
        retry_after: error["retry_after"].as_f64(),
    }
}

fn parse(reply: Result<Reply, HttpError>, text: impl Fn(&Value) -> String) -> CallResult {
    let reply = match reply {
        Err(err) => return CallResult::Disconnected(err.to_string()),
        Ok(reply) if !reply.status.is_success() => return refusal(&reply),
        Ok(reply) => reply,
    };
    let body: Value = reply.json().unwrap_or_default();
    let turn = reply.header("x-gg-turn").and_then(|turn| turn.parse().ok());
    CallResult::Done(ChatReply {
        program: reply.header("x-gg-program").unwrap_or_default().into(),
        turn: turn.unwrap_or_default(),
        text: text(&body),
        prompt_tokens: body["usage"]["prompt_tokens"].as_u64().unwrap_or(0),
        total_tokens: body["usage"]["total_tokens"].as_u64().unwrap_or(0),
    })
}
