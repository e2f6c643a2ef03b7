//! HTTP server of the operator API.

use gg_http::{Body, MemoryBudget, ServerLimits, json_response, read_body};
use gg_protocol::{Document, Name, ProgramId};
use gg_settings::parse_configuration;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{ChangeError, OperatorBackend};

/// Header that makes the daemon apply a change without checking the version of
/// the document.
pub(crate) const FORCE_HEADER: &str = "x-gg-force";

/// Serves the operator API until `stop` is cancelled. What clients make the process hold
/// counts in `memory`.
pub async fn serve<B: OperatorBackend>(
    listener: TcpListener,
    memory: MemoryBudget,
    stop: CancellationToken,
    backend: B,
) {
    let limits = ServerLimits { connections: 256, memory, ..ServerLimits::default() };
    let server_limits = limits.clone();
    let handler = move |request| handle(backend.clone(), limits.clone(), request);
    gg_http::serve(listener, server_limits, stop, handler).await;
}

async fn handle<B: OperatorBackend>(
    backend: B,
    limits: ServerLimits,
    request: Request<Incoming>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::GET, ["health"]) => return ok(&json!({"status": "ok"})),
        (&Method::GET, ["ready"]) => return readiness(backend.is_ready()),
        _ => {}
    }
    if !is_authorized(&backend, request.headers()) {
        let help = "send an operator key in the header Authorization: Bearer KEY";
        return error(StatusCode::UNAUTHORIZED, "the operator key is missing or invalid", help);
    }
    match (request.method(), parts.as_slice()) {
        (&Method::GET, ["status"]) => ok(&backend.status()),
        (&Method::GET, ["versions"]) => ok(&backend.versions()),
        (&Method::GET, ["config"]) => ok(&backend.documents()),
        (&Method::POST, ["config"]) => apply(&backend, &limits, request).await,
        (&Method::DELETE, ["config", kind, name]) => {
            let key: Name = format!("{kind}/{name}").into();
            change_document(&backend, key, Document::Removed).await
        }
        (&Method::GET, ["programs", id]) => match id.parse::<ProgramId>() {
            Ok(program) => respond(backend.read(program).await),
            Err(err) => error(StatusCode::BAD_REQUEST, &err.to_string(), ""),
        },
        (&Method::DELETE, ["programs", id]) => match id.parse::<ProgramId>() {
            Ok(program) => respond(backend.end(program).await),
            Err(err) => error(StatusCode::BAD_REQUEST, &err.to_string(), ""),
        },
        (&Method::POST, ["drain"]) => {
            backend.drain();
            ok(&json!({"draining": true}))
        }
        (method, _) => error(StatusCode::NOT_FOUND, &format!("no operation {method} {path}"), ""),
    }
}

fn is_authorized<B: OperatorBackend>(backend: &B, headers: &HeaderMap) -> bool {
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or("");
    backend.is_operator(key)
}

fn is_forced(headers: &HeaderMap) -> bool {
    headers.get(FORCE_HEADER).is_some_and(|value| value == "yes")
}

/// Applies a file of documents. Parses the whole file first and changes nothing
/// if it has faults. Then changes the documents in order and stops at the first
/// change that fails.
async fn apply<B: OperatorBackend>(
    backend: &B,
    limits: &ServerLimits,
    request: Request<Incoming>,
) -> Response<Body> {
    let forced = is_forced(request.headers());
    let body = match read_body(request, limits).await {
        Ok(body) => body.into_bytes(),
        Err(err) => return error(StatusCode::BAD_REQUEST, &err.to_string(), ""),
    };
    let text = String::from_utf8_lossy(&body);
    let documents = match parse_configuration("request", &text) {
        Ok(documents) => documents,
        Err(faults) => {
            let help = "nothing was changed; fix the faults and apply the file again";
            return error(StatusCode::BAD_REQUEST, &faults.to_string(), help);
        }
    };
    let mut accepted = Vec::new();
    for (key, draft) in documents {
        let expected = (!forced).then_some(draft.version);
        match backend.change(key.clone(), draft.document, expected).await {
            Ok(change) => accepted.push(change),
            Err(err) => return change_error(&key, &err, &accepted),
        }
    }
    ok(&accepted)
}

async fn change_document<B: OperatorBackend>(
    backend: &B,
    key: Name,
    document: Document,
) -> Response<Body> {
    match backend.change(key.clone(), document, None).await {
        Ok(accepted) => ok(&[accepted]),
        Err(err) => change_error::<()>(&key, &err, &[]),
    }
}

fn change_error<T: Serialize>(key: &str, err: &ChangeError, accepted: &[T]) -> Response<Body> {
    let (status, outcome, current) = match err {
        ChangeError::Conflict(version, current) => {
            let current = json!({"version": version, "document": current});
            (StatusCode::CONFLICT, "not accepted", current)
        }
        ChangeError::NotAccepted(_) => {
            (StatusCode::SERVICE_UNAVAILABLE, "not accepted", Value::Null)
        }
        ChangeError::Unknown(_) => (StatusCode::GATEWAY_TIMEOUT, "unknown", Value::Null),
    };
    let body = json!({
        "error": {"message": format!("{key}: {err}"), "help": "read the document again and apply the change with its current version"},
        "outcome": outcome,
        "current": current,
        "accepted": accepted,
    });
    json_response(status, &body)
}

fn readiness(is_ready: bool) -> Response<Body> {
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json_response(status, &json!({"ready": is_ready}))
}

fn ok<T: Serialize>(value: &T) -> Response<Body> {
    json_response(StatusCode::OK, value)
}

fn respond<T: Serialize>(result: Result<T, gg_protocol::Failure>) -> Response<Body> {
    match result {
        Ok(value) => ok(&value),
        Err(failure) => {
            let status = StatusCode::from_u16(failure.code.status());
            let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            error(status, &failure.message, &failure.help)
        }
    }
}

fn error(status: StatusCode, message: &str, help: &str) -> Response<Body> {
    json_response(status, &json!({"error": {"message": message, "help": help}}))
}
