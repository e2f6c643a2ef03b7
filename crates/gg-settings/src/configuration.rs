//! Configuration documents as INI text, one section per document, such as
//! `[profile urgent]`.

use std::{cell::RefCell, fmt::Write};

use gg_protocol::{
    Customer, Document, Model, Name, Profile, Rank, Upstream, UpstreamKind, config::RANKS,
    ids::is_name,
};
use indexmap::IndexMap;
use ini::{Ini, Properties};

use crate::{
    Fault, Faults,
    daemon::{check_digests, syntax_fault},
    section::Section,
};

/// Upper limit of target, idle and tool times: one week.
const WEEK_MS: u64 = 7 * 24 * 3_600_000;

/// Requested change of a document.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// Requested content.
    pub document: Document,
    /// Version of the document that the change is based on; 0 for a new document.
    pub version: u64,
}

/// Parses the documents of a file. Returns them by key, such as
/// `profile/urgent`; on failure returns all faults.
pub fn parse_configuration(file: &str, text: &str) -> Result<IndexMap<Name, Draft>, Faults> {
    let ini = Ini::load_from_str(text).map_err(|err| Faults(vec![syntax_fault(file, &err)]))?;
    let faults = RefCell::new(Vec::new());
    let mut documents = IndexMap::new();
    for (title, values) in &ini {
        let title = title.unwrap_or("");
        if title.is_empty() && values.is_empty() {
            continue;
        }
        if let Some((key, draft)) = read_document(file, title, values, &faults) {
            documents.insert(key, draft);
        }
    }
    let faults = faults.into_inner();
    if faults.is_empty() { Ok(documents) } else { Err(Faults(faults)) }
}

fn read_document(
    file: &str,
    title: &str,
    values: &Properties,
    faults: &RefCell<Vec<Fault>>,
) -> Option<(Name, Draft)> {
    let section = Section::new(file, title, Some(values), faults);
    let (kind, name) = title.split_once(' ').unwrap_or((title, ""));
    let name = name.trim();
    if !is_name(name) {
        section.fault("", name, "a title [KIND NAME] with a name of letters, digits, - and _");
        return None;
    }
    let document = match kind {
        "profile" => Document::Profile(read_profile(&section)),
        "upstream" => Document::Upstream(read_upstream(&section)),
        "customer" => Document::Customer(read_customer(&section)),
        "model" => Document::Model(read_model(&section)),
        _ => {
            section.fault("", kind, "profile, upstream, customer or model");
            return None;
        }
    };
    let version = section.number("version", 0, 0, u64::MAX);
    section.finish();
    Some((format!("{kind}/{name}").into(), Draft { document, version }))
}

fn read_profile(section: &Section<'_>) -> Profile {
    let default = Profile::default();
    Profile {
        rank: Rank(section.number("rank", default.rank.0, 0, RANKS as u8 - 1)),
        target_ms: section.number("target_ms", default.target_ms, 1, WEEK_MS),
        budget_tokens: section.number("budget_tokens", default.budget_tokens, 1, 1 << 40),
        floor_percent: section.number("floor_percent", default.floor_percent, 0, 50),
        max_turns: section.number("max_turns", default.max_turns, 1, 100_000),
        max_repeats: section.number("max_repeats", default.max_repeats, 1, 10_000),
        idle_ms: section.number("idle_ms", default.idle_ms, 100, WEEK_MS),
        tool_ms: section.number("tool_ms", default.tool_ms, 10, WEEK_MS),
        refuse_unrecorded: section.flag("refuse_unrecorded", default.refuse_unrecorded),
    }
}

fn read_upstream(section: &Section<'_>) -> Upstream {
    let kind = match section.text("kind") {
        Some("engine") | None => UpstreamKind::Engine,
        Some("service") => UpstreamKind::Service,
        Some(other) => {
            section.fault("kind", other, "engine or service");
            UpstreamKind::Engine
        }
    };
    let upstream = Upstream {
        kind,
        address: section.address("address", ""),
        centre: section.text_or("data_centre", ""),
        service: section.text_or("service", ""),
        models: section.list("models"),
        fenced: section.flag("fenced", false),
        idempotent: section.flag("idempotent", false),
        slots: section.number("slots", 8, 1, 4096),
    };
    if kind == UpstreamKind::Service && !is_name(&upstream.service) {
        section.fault("service", &upstream.service, "the name of the service");
    }
    upstream
}

fn read_customer(section: &Section<'_>) -> Customer {
    let keys = section.list("keys");
    check_digests(section, "keys", &keys);
    if keys.len() > 2 {
        section.fault("keys", &keys.join(","), "at most two digests");
    }
    Customer {
        keys,
        profiles: section.list("profiles"),
        weight: section.number("weight", 1, 1, 1000),
    }
}

fn read_model(section: &Section<'_>) -> Model {
    Model { version: section.text_or("version", ""), adapters: section.list("adapters") }
}

/// Formats a document as a section that [`parse_configuration`] reads, with the
/// version that a change is based on. A removed document becomes a section with
/// only its version and a comment, which does not parse as a removal.
pub fn print_document(key: &str, document: &Document, version: u64) -> String {
    let mut text = format!("[{}]\n", key.replacen('/', " ", 1));
    let mut line = |key: &str, value: String| {
        let _ = writeln!(text, "{key} = {value}");
    };
    line("version", version.to_string());
    match document {
        Document::Profile(profile) => {
            line("rank", profile.rank.to_string());
            line("target_ms", profile.target_ms.to_string());
            line("budget_tokens", profile.budget_tokens.to_string());
            line("floor_percent", profile.floor_percent.to_string());
            line("max_turns", profile.max_turns.to_string());
            line("max_repeats", profile.max_repeats.to_string());
            line("idle_ms", profile.idle_ms.to_string());
            line("tool_ms", profile.tool_ms.to_string());
            line("refuse_unrecorded", yes_no(profile.refuse_unrecorded));
        }
        Document::Upstream(upstream) => {
            let kind = match upstream.kind {
                UpstreamKind::Engine => "engine",
                UpstreamKind::Service => "service",
            };
            line("kind", kind.into());
            line("address", upstream.address.clone());
            line("data_centre", upstream.centre.clone());
            line("service", upstream.service.clone());
            line("models", upstream.models.join(", "));
            line("fenced", yes_no(upstream.fenced));
            line("idempotent", yes_no(upstream.idempotent));
            line("slots", upstream.slots.to_string());
        }
        Document::Customer(customer) => {
            line("keys", customer.keys.join(", "));
            line("profiles", customer.profiles.join(", "));
            line("weight", customer.weight.to_string());
        }
        Document::Model(model) => {
            line("version", model.version.clone());
            line("adapters", model.adapters.join(", "));
        }
        Document::Removed => line("; removed", String::new()),
    }
    text
}

fn yes_no(flag: bool) -> String {
    if flag { "yes".into() } else { "no".into() }
}
