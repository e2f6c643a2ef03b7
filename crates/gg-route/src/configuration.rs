//! Routes, services and client limits of one configuration version.

use std::time::Duration;

use gg_protocol::Name;

use crate::Account;

/// Delivery semantics of a route, which determine whether its requests may be
/// repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may be executed any number of times.
    Idempotent,
    /// A request is executed at most once per client attempt.
    AtMostOnce,
    /// A stream of events. It is executed at most once as well, unless its
    /// route allows resumption.
    Stream,
}

impl RouteKind {
    /// Whether a request may be sent again if it may have been executed.
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

/// How long the account of a program, and its turns on routes that record them,
/// are retained after their last use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Retention(pub Duration);

impl Retention {
    /// The duration in milliseconds, as used in messages and in the log.
    pub fn as_millis(self) -> u32 {
        u32::try_from(self.0.as_millis()).unwrap_or(u32::MAX)
    }
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name given by the operators.
    pub name: Name,
    /// Host that requests must name.
    pub host: Name,
    /// Path prefix; starts and ends with a slash.
    pub prefix: Name,
    /// Delivery semantics.
    pub kind: RouteKind,
    /// Maximum time from the arrival of a request to the end of its response.
    /// Clients can set a shorter deadline.
    pub timeout: Duration,
    /// Latency objective: a response within this time is on time.
    pub target: Duration,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Services with their weights.
    pub backends: Vec<(Name, u32)>,
    /// Maximum number of replicas that one client attempt may be sent to.
    pub attempts: u32,
    /// How long the state of a program is retained after its last use.
    pub retention: Retention,
    /// Whether turns are recorded, so that later turns carry only their new
    /// input. Programs have accounts whether or not turns are recorded.
    pub stores_turns: bool,
    /// Whether a stream may be resumed after the last received event,
    /// including on another replica.
    pub is_resumable: bool,
    /// Whether all gateways prefer the same replica for requests that refer to
    /// the same object.
    pub is_sticky: bool,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Rank of a request that runs for `account`: the account's if it has one,
    /// else the route's.
    pub fn rank_for(&self, account: Option<&Account>) -> u8 {
        account.and_then(|account| account.rank).unwrap_or(self.rank)
    }

    /// Whether a request may be sent again if it may have been executed.
    pub fn is_repeatable(&self) -> bool {
        self.kind.is_repeatable() || (self.kind == RouteKind::Stream && self.is_resumable)
    }
}

/// A service that routes refer to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name given by the operators.
    pub name: Name,
    /// Maximum number of connections to one replica from all gateways together.
    pub connections: u32,
    /// Number of tokens per stream event; 0 if the service is not a model
    /// service.
    pub event_tokens: u32,
    /// Capacity of one replica's prefix cache in prompt tokens, including
    /// those of running requests; 0 if unknown.
    pub cache_tokens: u64,
}

/// Size and time limits for client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle.
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

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; increases with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits for client requests.
    pub limits: ClientLimits,
    /// All client accounts. Without any, requests need no key and none is
    /// looked at.
    pub accounts: Vec<Account>,
}
