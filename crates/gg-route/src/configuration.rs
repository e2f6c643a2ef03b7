//! Routes, services and limits of one configuration version.

use std::time::Duration;

use gg_protocol::Name;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each client attempt.
    AtMostOnce,
    /// A stream of events; runs at most once as well, unless its route says
    /// that it may be resumed.
    Stream,
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        self == RouteKind::Idempotent
    }

    /// Text used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RouteKind::Idempotent => "idempotent",
            RouteKind::AtMostOnce => "at_most_once",
            RouteKind::Stream => "stream",
        }
    }
}

/// How long programs' accounts, and turns where they are kept, stay after
/// their last use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Retention(pub Duration);

impl Retention {
    /// In milliseconds, as messages and the log hold it.
    pub fn as_millis(self) -> u32 {
        u32::try_from(self.0.as_millis()).unwrap_or(u32::MAX)
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name given by the operators.
    pub name: Name,
    /// Host that requests name.
    pub host: Name,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time in which an answer is on time.
    pub target: Duration,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Services with their weights.
    pub backends: Vec<(Name, u32)>,
    /// Most replicas that one client attempt may be sent to.
    pub attempts: u32,
    /// How long what is kept of a program stays after its last use.
    pub retention: Retention,
    /// Whether turns are kept, so that later ones carry only their new input.
    /// Programs have accounts on either kind of route.
    pub keeps_turns: bool,
    /// Whether a stream may be resumed after the last event that arrived, also
    /// at another replica.
    pub is_resumable: bool,
    /// Whether requests that concern one object go to the replica that
    /// handled it before.
    pub is_sticky: bool,
}

impl Route {
    /// Whether a request may be sent again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        self.kind.is_repeatable() || (self.kind == RouteKind::Stream && self.is_resumable)
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name given by the operators.
    pub name: Name,
    /// Connections that one replica takes from all callers together.
    pub connections: u32,
    /// Tokens that one stream event stands for; 0 if it is no model service.
    pub event_tokens: u32,
    /// Prompt tokens that one replica keeps, those of running requests
    /// included; 0 if it is not known.
    pub kept_tokens: u64,
}

/// What a client may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; grows with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on clients.
    pub limits: ClientLimits,
}
