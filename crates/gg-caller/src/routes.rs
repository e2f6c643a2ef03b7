//! Routing of requests by method and path.

use gg_http::{Body, HeldBody, ServerLimits, json_response, read_body};
use gg_protocol::{
    Call, Code, Failure, Name, ProgramId, ServiceCall, StartReply, StartRequest, StepEvent,
    StepRequest, ids::is_name,
};
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::mpsc;

use crate::{
    Backend, CallerSettings,
    chat::{ReplyFormat, done_response, missing_answer, respond, with_turn},
    errors::{bad_request, body_failure, failure_response, memory_failure},
    json_memory::parsed_bytes,
    request::{ChatRequest, RequestContext},
};

/// Copies of a call that a daemon holds at a time at most: as it was parsed, in the
/// prompt, in the request to the engine and in the record of the turn.
const COPIES: usize = 4;

const PROGRAM_HELP: &str = "start a program with POST /v1/programs, or omit x-gg-program";

/// Handles one request.
pub(crate) async fn handle<B: Backend>(
    backend: B,
    settings: CallerSettings,
    request: Request<Incoming>,
) -> Response<Body> {
    if request.uri().path() == "/health" {
        return json_response(StatusCode::OK, &json!({"status": "ok"}));
    }
    let routed = route(&backend, &settings, request).await;
    routed.unwrap_or_else(|failure| failure_response(&failure))
}

async fn route<B: Backend>(
    backend: &B,
    settings: &CallerSettings,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let customer = authenticate(backend, request.headers())?;
    let context = RequestContext::read(request.headers(), settings.max_duration)?;
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let handler = RequestHandler { backend, customer, context, limits: &settings.limits };
    match (&method, segments.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => handler.chat(request).await,
        (&Method::POST, ["v1", "programs"]) => handler.start().await,
        (&Method::GET, ["v1", "programs", id]) => handler.read(id).await,
        (&Method::DELETE, ["v1", "programs", id]) => handler.end(id).await,
        (&Method::GET, ["v1", "programs", id, "turns", turn]) => handler.turn(id, turn).await,
        (&Method::POST, ["v1", "services", service, rest @ ..]) => {
            handler.service(service, rest.join("/"), request).await
        }
        _ => Err(Failure::unexecuted(Code::NotFound, format!("no route for {method} {path}"))
            .help("see the README for the paths of the callers' interface")),
    }
}

/// Retry delay for callers that arrive before any configuration is loaded: long
/// enough for several reads of the platform.
const UNCONFIGURED_RETRY_MS: u64 = 300;

fn authenticate<B: Backend>(backend: &B, headers: &HeaderMap) -> Result<Name, Failure> {
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    key.and_then(|key| backend.customer(key.trim())).ok_or_else(|| {
        if !backend.is_configured() {
            let message = "no configuration is known yet";
            return Failure::unexecuted(Code::PlatformUnavailable, message)
                .retry_in(UNCONFIGURED_RETRY_MS);
        }
        Failure::unexecuted(Code::Unauthorized, "the key is missing or not valid")
            .help("send Authorization: Bearer KEY with a key of your account")
    })
}

struct RequestHandler<'a, B> {
    backend: &'a B,
    customer: Name,
    context: RequestContext,
    limits: &'a ServerLimits,
}

impl<B: Backend> RequestHandler<'_, B> {
    async fn chat(self, request: Request<Incoming>) -> Result<Response<Body>, Failure> {
        let body = read_body(request, self.limits).await;
        let HeldBody { content, memory } = body.map_err(|err| body_failure(&err))?;
        let parsed: usize = COPIES * parsed_bytes(content.iter().flatten().copied());
        memory.grow(parsed).await.map_err(memory_failure)?;
        let bytes = content.to_bytes();
        drop(content);
        let ChatRequest { call, stream, include_usage } =
            ChatRequest::read(&bytes, self.context.append)?;
        drop(bytes);
        let model = call.model.clone();
        let reply = ReplyFormat { model, stream, include_usage, _memory: memory };
        let program = self.program_or_new().await?;
        let events = self.step(program.clone(), Call::Chat(call), stream);
        Ok(respond(reply, program, events).await)
    }

    async fn service(
        self,
        service: &str,
        path: String,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Failure> {
        let body = read_body(request, self.limits).await;
        let HeldBody { content, memory } = body.map_err(|err| body_failure(&err))?;
        memory.grow(COPIES * content.len()).await.map_err(memory_failure)?;
        let body = String::from_utf8(content.to_bytes().into())
            .map_err(|_| bad_request("body is not UTF-8", "send text or JSON"))?;
        if !is_name(service) {
            return Err(bad_request(
                "the service's name is not valid",
                "POST /v1/services/NAME/PATH",
            ));
        }
        let call = ServiceCall {
            service: service.into(),
            path,
            body,
            idempotent: self.context.idempotent,
        };
        let program = self.program_or_new().await?;
        let mut events = self.step(program.clone(), Call::Service(call), false);
        while let Some(event) = events.recv().await {
            match event {
                StepEvent::Begun { .. } | StepEvent::Text { .. } => {}
                StepEvent::Done { turn, answer } => {
                    return Ok(with_turn(done_response(&program, turn, &answer), &program, turn));
                }
                StepEvent::Failed(failure) => return Ok(failure_response(&failure)),
            }
        }
        Ok(missing_answer())
    }

    fn step(&self, program: ProgramId, call: Call, stream: bool) -> mpsc::Receiver<StepEvent> {
        self.backend.step(StepRequest {
            program,
            customer: self.customer.clone(),
            turn: self.context.turn,
            key: self.context.key.clone(),
            deadline_ms: self.context.deadline_ms,
            stream,
            call,
        })
    }

    /// Returns the program named in the headers, or starts one for a single
    /// turn.
    async fn program_or_new(&self) -> Result<ProgramId, Failure> {
        match &self.context.program {
            Some(program) => Ok(program.clone()),
            None => Ok(self.new_program(true).await?.program),
        }
    }

    async fn new_program(&self, single: bool) -> Result<StartReply, Failure> {
        let Some(profile) = self.context.profile.clone() else {
            return Err(bad_request(
                "header x-gg-profile is missing",
                "set it to the profile to run under",
            ));
        };
        let request = StartRequest {
            customer: self.customer.clone(),
            profile,
            parent: self.context.parent.clone(),
            key: self.context.key.clone(),
            single,
        };
        self.backend.start(request).await
    }

    async fn start(self) -> Result<Response<Body>, Failure> {
        let reply = self.new_program(false).await?;
        Ok(json_response(StatusCode::CREATED, &reply))
    }

    async fn read(self, id: &str) -> Result<Response<Body>, Failure> {
        let view = self.backend.read(program_id(id)?, self.customer.clone()).await?;
        Ok(json_response(StatusCode::OK, &view))
    }

    async fn end(self, id: &str) -> Result<Response<Body>, Failure> {
        self.backend.end(program_id(id)?, self.customer.clone()).await?;
        Ok(json_response(StatusCode::OK, &json!({"ended": id})))
    }

    async fn turn(self, id: &str, turn: &str) -> Result<Response<Body>, Failure> {
        let program = program_id(id)?;
        let turn = turn
            .parse()
            .map_err(|_| bad_request("the turn is not a number", "turns count from 0"))?;
        let answer = self.backend.turn(program.clone(), self.customer.clone(), turn).await?;
        Ok(with_turn(done_response(&program, turn, &answer), &program, turn))
    }
}

fn program_id(text: &str) -> Result<ProgramId, Failure> {
    text.parse().map_err(|_| bad_request("the program's identifier is not valid", PROGRAM_HELP))
}
