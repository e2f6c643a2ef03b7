//! Answers in the chat-completions shape, whole or streamed.

use bytes::Bytes;
use gg_http::{Body, json_response};
use gg_protocol::{Answer, Failure, ProgramId, StepEvent, Usage, clock::wall_ms};
use http::{HeaderValue, Response, StatusCode, header};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::{errors::failure_response, request::ChatRequest};

/// Pieces of a streamed answer that wait for a slow caller.
const PIECES_MAX: usize = 64;

/// Header that names the program.
pub(crate) const PROGRAM_HEADER: &str = "x-gg-program";

/// Header that names the turn.
pub(crate) const TURN_HEADER: &str = "x-gg-turn";

/// Answers a chat request from a step's events.
pub(crate) async fn respond(
    request: ChatRequest,
    program: ProgramId,
    mut events: mpsc::Receiver<StepEvent>,
) -> Response<Body> {
    if !request.stream {
        return respond_whole(program, events).await;
    }
    let turn = match events.recv().await {
        Some(StepEvent::Begun { turn, .. }) => turn,
        Some(StepEvent::Failed(failure)) => {
            return with_program(failure_response(&failure), &program);
        }
        Some(StepEvent::Done { turn, answer }) => {
            return with_turn(done_response(&program, turn, &answer), &program, turn);
        }
        Some(StepEvent::Text { .. }) | None => return with_program(broken(), &program),
    };
    let (pieces, body) = mpsc::channel(PIECES_MAX);
    let id = completion_id(&program, turn);
    tokio::spawn(stream(request, id, events, pieces));
    let mut response = Response::new(Body::Stream(body));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    with_turn(response, &program, turn)
}

async fn respond_whole(
    program: ProgramId,
    mut events: mpsc::Receiver<StepEvent>,
) -> Response<Body> {
    while let Some(event) = events.recv().await {
        match event {
            StepEvent::Begun { .. } | StepEvent::Text { .. } => {}
            StepEvent::Done { turn, answer } => {
                return with_turn(done_response(&program, turn, &answer), &program, turn);
            }
            StepEvent::Failed(failure) => {
                return with_program(failure_response(&failure), &program);
            }
        }
    }
    with_program(broken(), &program)
}

/// The whole answer of a finished turn.
pub(crate) fn done_response(program: &ProgramId, turn: u32, answer: &Answer) -> Response<Body> {
    match answer {
        Answer::Failed { failure } => failure_response(failure),
        Answer::Service { status, body } => {
            let status = StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut response = Response::new(Body::from(body.clone()));
            *response.status_mut() = status;
            let headers = response.headers_mut();
            headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
            headers.insert(crate::errors::RAN_HEADER, HeaderValue::from_static("yes"));
            response
        }
        Answer::Chat { model, text, finish, usage } => {
            let body = json!({
                "id": completion_id(program, turn),
                "object": "chat.completion",
                "created": wall_ms() / 1000,
                "model": model,
                "choices": [{
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": finish,
                }],
                "usage": usage_json(*usage),
            });
            json_response(StatusCode::OK, &body)
        }
    }
}

fn completion_id(program: &ProgramId, turn: u32) -> String {
    format!("{program}/{turn}")
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.total(),
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    })
}

/// Adds the headers that name program and turn.
pub(crate) fn with_turn(
    response: Response<Body>,
    program: &ProgramId,
    turn: u32,
) -> Response<Body> {
    let mut response = with_program(response, program);
    response.headers_mut().insert(TURN_HEADER, HeaderValue::from(turn));
    response
}

fn with_program(mut response: Response<Body>, program: &ProgramId) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(&program.to_string()) {
        response.headers_mut().insert(PROGRAM_HEADER, value);
    }
    response
}

/// The step's events ended without a last one.
pub(crate) fn broken() -> Response<Body> {
    failure_response(&broken_failure())
}

fn broken_failure() -> Failure {
    Failure::unknown(gg_protocol::Code::Internal, "the step ended without an answer")
        .help("ask again with the same turn or idempotency key")
}

/// Writes events as server-sent events until the last one.
async fn stream(
    request: ChatRequest,
    id: String,
    mut events: mpsc::Receiver<StepEvent>,
    pieces: mpsc::Sender<Bytes>,
) {
    let chunk = Chunk { id, model: request.call.model, created: wall_ms() / 1000 };
    let mut first = true;
    let mut sent = 0;
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            () = pieces.closed() => return,
        };
        let data = match event {
            Some(StepEvent::Begun { .. }) => continue,
            Some(StepEvent::Text { at, text }) => {
                let delta = chunk.text(&text, std::mem::take(&mut first));
                sent = at + text.len();
                delta
            }
            Some(StepEvent::Done { answer, .. }) => {
                chunk.end(&answer, sent, first, request.include_usage)
            }
            Some(StepEvent::Failed(failure)) => sse(&failure.to_json()),
            None => sse(&broken_failure().to_json()),
        };
        let last = !data.text;
        if pieces.send(data.bytes).await.is_err() || last {
            return;
        }
    }
}

/// A piece of the stream; only text may be followed by more.
struct Piece {
    bytes: Bytes,
    text: bool,
}

fn sse(value: &Value) -> Piece {
    Piece { bytes: Bytes::from(format!("data: {value}\n\n")), text: false }
}

/// What all chunks of an answer share.
struct Chunk {
    id: String,
    model: String,
    created: u64,
}

impl Chunk {
    fn value(&self, delta: Value, finish: Value) -> Value {
        json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        })
    }

    fn text(&self, text: &str, first: bool) -> Piece {
        let delta = match first {
            true => json!({"role": "assistant", "content": text}),
            false => json!({"content": text}),
        };
        Piece { text: true, ..sse(&self.value(delta, Value::Null)) }
    }

    /// What follows the `sent` bytes of text that went out already.
    fn end(&self, answer: &Answer, sent: usize, first: bool, include_usage: bool) -> Piece {
        let Answer::Chat { text, finish, usage, .. } = answer else {
            return match answer {
                Answer::Failed { failure } => sse(&failure.to_json()),
                _ => sse(&broken_failure().to_json()),
            };
        };
        let mut out = String::new();
        let rest = text.get(sent..).unwrap_or("");
        if !rest.is_empty() || first {
            let piece = self.text(rest, first);
            out.push_str(&String::from_utf8_lossy(&piece.bytes));
        }
        out.push_str(&format!("data: {}\n\n", self.value(json!({}), json!(finish))));
        if include_usage {
            let mut value = self.value(json!({}), Value::Null);
            value["choices"] = json!([]);
            value["usage"] = usage_json(*usage);
            out.push_str(&format!("data: {value}\n\n"));
        }
        out.push_str("data: [DONE]\n\n");
        Piece { bytes: Bytes::from(out), text: false }
    }
}
