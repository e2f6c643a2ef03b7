//! Chat-completions responses, buffered or streamed.

use bytes::Bytes;
use gg_http::{Body, Reservation, json_response};
use gg_protocol::{Answer, Failure, ProgramId, StepEvent, Usage, clock::wall_ms};
use http::{HeaderValue, Response, StatusCode, header};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::errors::failure_response;

/// Maximum number of chunks buffered for a slow caller.
const BUFFERED_CHUNKS_MAX: usize = 64;

/// Header that carries the program's identifier.
pub(crate) const PROGRAM_HEADER: &str = "x-gg-program";

/// Header that carries the turn's number.
pub(crate) const TURN_HEADER: &str = "x-gg-turn";

/// How a chat request is answered.
#[derive(Debug)]
pub(crate) struct ReplyFormat {
    /// Requested model.
    pub(crate) model: String,
    /// Whether the answer is streamed.
    pub(crate) stream: bool,
    /// Whether the last event of a stream holds the usage.
    pub(crate) include_usage: bool,
    /// Memory of the call, held until it is answered.
    pub(crate) _memory: Reservation,
}

/// Builds the response to a chat request from a step's events.
pub(crate) async fn respond(
    reply: ReplyFormat,
    program: ProgramId,
    mut events: mpsc::Receiver<StepEvent>,
) -> Response<Body> {
    if !reply.stream {
        return respond_buffered(program, events).await;
    }
    let turn = match events.recv().await {
        Some(StepEvent::Begun { turn, .. }) => turn,
        Some(StepEvent::Failed(failure)) => {
            return with_program(failure_response(&failure), &program);
        }
        Some(StepEvent::Done { turn, answer }) => {
            return with_turn(done_response(&program, turn, &answer), &program, turn);
        }
        Some(StepEvent::Text { .. }) | None => return with_program(missing_answer(), &program),
    };
    let (chunks, body) = mpsc::channel(BUFFERED_CHUNKS_MAX);
    let id = completion_id(&program, turn);
    tokio::spawn(stream(reply, id, events, chunks));
    let mut response = Response::new(Body::Stream(body));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    with_turn(response, &program, turn)
}

async fn respond_buffered(
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
    with_program(missing_answer(), &program)
}

/// Builds the buffered response for the answer of a finished turn.
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

/// Adds the headers that carry program and turn.
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

/// Response for a step whose events ended without a final one.
pub(crate) fn missing_answer() -> Response<Body> {
    failure_response(&missing_answer_failure())
}

fn missing_answer_failure() -> Failure {
    Failure::unknown(gg_protocol::Code::Internal, "the step ended without an answer")
        .help("retry with the same turn or idempotency key")
}

/// Sends a step's events as server-sent events, up to the final one.
async fn stream(
    reply: ReplyFormat,
    id: String,
    mut events: mpsc::Receiver<StepEvent>,
    chunks: mpsc::Sender<Bytes>,
) {
    let template = ChunkTemplate { id, model: reply.model.clone(), created: wall_ms() / 1000 };
    let mut first = true;
    let mut sent = 0;
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            () = chunks.closed() => return,
        };
        let data = match event {
            Some(StepEvent::Begun { .. }) => continue,
            Some(StepEvent::Text { at, text }) => {
                let delta = template.text(&text, std::mem::take(&mut first));
                sent = at + text.len();
                delta
            }
            Some(StepEvent::Done { answer, .. }) => {
                template.end(&answer, sent, first, reply.include_usage)
            }
            Some(StepEvent::Failed(failure)) => sse(&failure.to_json()),
            None => sse(&missing_answer_failure().to_json()),
        };
        let last = !data.text;
        if chunks.send(data.bytes).await.is_err() || last {
            return;
        }
    }
}

/// A chunk of the response body. Only a text chunk may be followed by another.
struct StreamChunk {
    bytes: Bytes,
    text: bool,
}

fn sse(value: &Value) -> StreamChunk {
    StreamChunk { bytes: Bytes::from(format!("data: {value}\n\n")), text: false }
}

/// Fields shared by all chunks of a streamed answer.
struct ChunkTemplate {
    id: String,
    model: String,
    created: u64,
}

impl ChunkTemplate {
    fn value(&self, delta: Value, finish: Value) -> Value {
        json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        })
    }

    fn text(&self, text: &str, first: bool) -> StreamChunk {
        let delta = match first {
            true => json!({"role": "assistant", "content": text}),
            false => json!({"content": text}),
        };
        StreamChunk { text: true, ..sse(&self.value(delta, Value::Null)) }
    }

    /// Builds the final chunk: the text after the `sent` bytes that were already
    /// streamed, the finish reason, and the usage if requested.
    fn end(&self, answer: &Answer, sent: usize, first: bool, include_usage: bool) -> StreamChunk {
        let Answer::Chat { text, finish, usage, .. } = answer else {
            return match answer {
                Answer::Failed { failure } => sse(&failure.to_json()),
                _ => sse(&missing_answer_failure().to_json()),
            };
        };
        let mut out = String::new();
        let rest = text.get(sent..).unwrap_or("");
        if !rest.is_empty() || first {
            let chunk = self.text(rest, first);
            out.push_str(&String::from_utf8_lossy(&chunk.bytes));
        }
        out.push_str(&format!("data: {}\n\n", self.value(json!({}), json!(finish))));
        if include_usage {
            let mut value = self.value(json!({}), Value::Null);
            value["choices"] = json!([]);
            value["usage"] = usage_json(*usage);
            out.push_str(&format!("data: {value}\n\n"));
        }
        out.push_str("data: [DONE]\n\n");
        StreamChunk { bytes: Bytes::from(out), text: false }
    }
}
