//! Parsing of request headers and bodies.

use std::time::Duration;

use gg_protocol::{
    ChatCall, Failure, Name, ProgramId, chat::DEFAULT_MAX_TOKENS, clock::wall_ms, ids::is_name,
};
use http::HeaderMap;
use serde_json::{Map, Value};

use crate::errors::bad_request;

/// Maximum length of an idempotency key.
const KEY_MAX_BYTES: usize = 200;

/// Maximum number of completion tokens that a request may ask for.
const MAX_TOKENS_MAX: u64 = 1 << 20;

/// Help text for invalid bodies. These include bodies that the JSON library
/// rejects because they are nested too deeply.
const MESSAGES_HELP: &str = "send an OpenAI-style body with model and messages";

/// Request parameters from the headers.
#[derive(Clone, Debug)]
pub(crate) struct RequestContext {
    pub(crate) profile: Option<Name>,
    pub(crate) program: Option<ProgramId>,
    pub(crate) parent: Option<ProgramId>,
    pub(crate) turn: Option<u32>,
    pub(crate) key: Option<Name>,
    pub(crate) append: bool,
    pub(crate) idempotent: bool,
    pub(crate) deadline_ms: u64,
}

impl RequestContext {
    /// Parses the headers; `max_wait` bounds the time that a request may take.
    pub(crate) fn read(headers: &HeaderMap, max_wait: Duration) -> Result<Self, Failure> {
        let wait = parse_header(headers, "x-gg-wait-ms", "a number of milliseconds")?;
        let max_wait = max_wait.as_millis() as u64;
        let wait = wait.unwrap_or(max_wait).min(max_wait);
        Ok(RequestContext {
            profile: name(headers, "x-gg-profile")?,
            program: parse_header(headers, "x-gg-program", "a program's identifier")?,
            parent: parse_header(headers, "x-gg-parent", "a program's identifier")?,
            turn: parse_header(headers, "x-gg-turn", "a turn's number")?,
            key: key(headers)?,
            append: parse_flag(headers, "x-gg-append")?,
            idempotent: parse_flag(headers, "x-gg-idempotent")?,
            deadline_ms: wall_ms() + wait,
        })
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let value = value.to_str().map_err(|_| {
        bad_request(format!("header {name} is not text"), "use visible ASCII characters")
    })?;
    Ok(Some(value.trim()))
}

fn parse_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &str,
    allowed: &str,
) -> Result<Option<T>, Failure> {
    let Some(value) = header_text(headers, name)? else { return Ok(None) };
    match value.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => {
            let message = format!("header {name} has an invalid value");
            Err(bad_request(message, &format!("expected {allowed}")))
        }
    }
}

fn name(headers: &HeaderMap, header: &str) -> Result<Option<Name>, Failure> {
    match header_text(headers, header)? {
        Some(value) if !is_name(value) => {
            let message = format!("header {header} is not a valid name");
            Err(bad_request(message, "use letters, digits, - and _, at most 64"))
        }
        value => Ok(value.map(Name::from)),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<Name>, Failure> {
    match header_text(headers, "idempotency-key")? {
        Some(value) if value.is_empty() || value.len() > KEY_MAX_BYTES => {
            Err(bad_request("header idempotency-key has a bad length", "use 1 to 200 characters"))
        }
        value => Ok(value.map(Name::from)),
    }
}

fn parse_flag(headers: &HeaderMap, header: &str) -> Result<bool, Failure> {
    match header_text(headers, header)? {
        None | Some("no" | "false") => Ok(false),
        Some("yes" | "true") => Ok(true),
        Some(_) => {
            Err(bad_request(format!("header {header} has an invalid value"), "expected yes or no"))
        }
    }
}

/// Chat request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct ChatRequest {
    pub(crate) call: ChatCall,
    pub(crate) stream: bool,
    pub(crate) include_usage: bool,
}

impl ChatRequest {
    /// Parses a chat-completions request body.
    pub(crate) fn read(body: &[u8], append: bool) -> Result<Self, Failure> {
        let mut fields: Map<String, Value> = serde_json::from_slice(body).map_err(|err| {
            bad_request(format!("body is not a JSON object: {err}"), MESSAGES_HELP)
        })?;
        let Some(Value::String(model)) = fields.remove("model") else {
            return Err(bad_request("field model is missing or not a string", MESSAGES_HELP));
        };
        let messages = match fields.remove("messages") {
            Some(Value::Array(messages)) if !messages.is_empty() => messages,
            _ => return Err(bad_request("field messages is missing or empty", MESSAGES_HELP)),
        };
        if !messages.iter().all(|message| message.get("role").is_some_and(Value::is_string)) {
            return Err(bad_request("a message has no role", MESSAGES_HELP));
        }
        if fields.get("n").is_some_and(|n| n != 1) {
            return Err(bad_request("field n is not 1", "request one choice at a time"));
        }
        let max_tokens = max_tokens(&mut fields)?;
        let stream = matches!(fields.remove("stream"), Some(Value::Bool(true)));
        let options = fields.remove("stream_options");
        let include_usage =
            options.is_some_and(|options| options["include_usage"] == Value::Bool(true));
        fields.remove("user");
        let call = ChatCall { model, messages, max_tokens, append, options: fields };
        Ok(ChatRequest { call, stream, include_usage })
    }
}

fn max_tokens(fields: &mut Map<String, Value>) -> Result<u64, Failure> {
    let current = fields.remove("max_completion_tokens");
    let legacy = fields.remove("max_tokens");
    match current.or(legacy) {
        None | Some(Value::Null) => Ok(DEFAULT_MAX_TOKENS),
        Some(value) => match value.as_u64() {
            Some(tokens) if (1..=MAX_TOKENS_MAX).contains(&tokens) => Ok(tokens),
            _ => Err(bad_request(
                "field max_tokens has an invalid value",
                "expected a whole number from 1 to 1048576",
            )),
        },
    }
}
