//! A caller: plain HTTP against the callers' interface, one daemon after the
//! other as a balancer would choose them.

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

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(120);

/// What a caller was told.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// The answer.
    Done(ChatReply),
    /// A final negative answer.
    Refused {
        /// HTTP status.
        status: u16,
        /// Stable code.
        code: String,
        /// `no`, `yes` or `unknown`.
        ran: String,
        /// When to come back, in seconds.
        retry_after: Option<f64>,
    },
    /// The connection was refused or broke.
    Broken(String),
}

/// An answer as a caller sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChatReply {
    /// Program that it belongs to.
    pub program: String,
    /// Turn that it belongs to.
    pub turn: u32,
    /// Generated text, or a service's body.
    pub text: String,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens charged.
    pub total_tokens: u64,
}

/// A caller with the key of one customer.
#[derive(Clone, Debug)]
pub struct CallerClient {
    daemons: Arc<Vec<String>>,
    next: Arc<AtomicUsize>,
    key: String,
    client: Client,
}

impl CallerClient {
    /// A caller that spreads its requests over `daemons`.
    pub fn new(daemons: Vec<String>, key: &str) -> Self {
        CallerClient {
            daemons: Arc::new(daemons),
            next: Arc::new(AtomicUsize::new(rand::random_range(0..1024))),
            key: key.into(),
            client: Client::default(),
        }
    }

    /// The daemon that the balancer chooses next.
    fn daemon(&self) -> &str {
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
            .uri(format!("http://{}{path}", self.daemon()))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        self.client.call(request.body(Bytes::from(body))?, TIMEOUT).await
    }

    /// Starts a program under a profile and returns its identifier.
    pub async fn start(&self, profile: &str, parent: Option<&str>) -> Result<String, Told> {
        let mut headers = vec![("x-gg-profile", profile.to_owned())];
        headers.extend(parent.map(|parent| ("x-gg-parent", parent.to_owned())));
        let reply = self.send(Method::POST, "/v1/programs", &headers, String::new()).await;
        let body = accept(reply)?;
        Ok(body["program"].as_str().unwrap_or_default().to_owned())
    }

    /// Sends a model turn with new messages only.
    pub async fn turn(&self, program: &str, turn: u32, content: &str, generate: u64) -> Told {
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
        told(reply, |body| body["choices"][0]["message"]["content"].as_str().unwrap_or("").into())
    }

    /// Sends a model turn and reads its stream. Returns the times to the
    /// first text and to the end, or what went wrong.
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
        let request = Request::post(format!("http://{}/v1/chat/completions", self.daemon()))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header("x-gg-program", program)
            .header("x-gg-turn", turn)
            .header("x-gg-append", "yes")
            .body(Bytes::from(body.to_string()))
            .map_err(|err| err.to_string())?;
        read_stream(&self.client, request, began).await
    }

    /// Calls a service within a program.
    pub async fn service(&self, program: &str, turn: u32, service: &str, body: &str) -> Told {
        let headers = [("x-gg-program", program.to_owned()), ("x-gg-turn", turn.to_string())];
        let path = format!("/v1/services/{service}/call");
        let reply = self.send(Method::POST, &path, &headers, body.to_owned()).await;
        told(reply, |body| body["action"].as_str().unwrap_or("").into())
    }

    /// Reads a program.
    pub async fn read(&self, program: &str) -> Result<Value, Told> {
        let path = format!("/v1/programs/{program}");
        accept(self.send(Method::GET, &path, &[], String::new()).await)
    }

    /// Ends a program.
    pub async fn end(&self, program: &str) -> Result<Value, Told> {
        let path = format!("/v1/programs/{program}");
        accept(self.send(Method::DELETE, &path, &[], String::new()).await)
    }
}

/// Times of a streamed answer.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimes {
    /// From the request to the first text.
    pub first: Duration,
    /// From the request to the end.
    pub whole: Duration,
}

/// Sends a request for a streamed completion and reads it to its end.
pub async fn read_stream(
    client: &Client,
    request: Request<Bytes>,
    began: Instant,
) -> Result<StreamTimes, String> {
    let response = client.open(request, TIMEOUT).await.map_err(|err| err.to_string())?;
    let status = response.status();
    let mut body = response.into_body();
    let mut first = None;
    let mut last = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| err.to_string())?;
        let Some(data) = frame.data_ref() else { continue };
        first.get_or_insert_with(|| began.elapsed());
        last.clear();
        last.extend_from_slice(&data[data.len().saturating_sub(END_MARK.len())..]);
    }
    match (first, last == END_MARK) {
        (Some(first), true) => Ok(StreamTimes { first, whole: began.elapsed() }),
        _ => Err(format!("status {status}, ended with {:?}", String::from_utf8_lossy(&last))),
    }
}

/// Last bytes of a whole stream.
const END_MARK: &[u8] = b"data: [DONE]\n\n";

fn accept(reply: Result<Reply, HttpError>) -> Result<Value, Told> {
    match reply {
        Err(err) => Err(Told::Broken(err.to_string())),
        Ok(reply) if reply.status.is_success() => Ok(reply.json().unwrap_or_default()),
        Ok(reply) => Err(refused(&reply)),
    }
}

fn refused(reply: &Reply) -> Told {
    let body: Value = reply.json().unwrap_or_default();
    let error = &body["error"];
    Told::Refused {
        status: reply.status.as_u16(),
        code: error["code"].as_str().unwrap_or_default().into(),
        ran: error["ran"].as_str().unwrap_or_default().into(),
        retry_after: error["retry_after"].as_f64(),
    }
}

fn told(reply: Result<Reply, HttpError>, text: impl Fn(&Value) -> String) -> Told {
    let reply = match reply {
        Err(err) => return Told::Broken(err.to_string()),
        Ok(reply) if !reply.status.is_success() => return refused(&reply),
        Ok(reply) => reply,
    };
    let body: Value = reply.json().unwrap_or_default();
    let turn = reply.header("x-gg-turn").and_then(|turn| turn.parse().ok());
    Told::Done(ChatReply {
        program: reply.header("x-gg-program").unwrap_or_default().into(),
        turn: turn.unwrap_or_default(),
        text: text(&body),
        prompt_tokens: body["usage"]["prompt_tokens"].as_u64().unwrap_or(0),
        total_tokens: body["usage"]["total_tokens"].as_u64().unwrap_or(0),
    })
}
