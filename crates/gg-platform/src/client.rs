//! HTTP client of the platform.

use std::time::Duration;

use bytes::Bytes;
use gg_http::{Client, Reply};
use http::{Method, Request, StatusCode, header};

use crate::{Changes, InstanceInfo, Listing, Object, ObjectStore, PlatformError, When};

/// Address and timeouts of the platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address of the platform as `ip:port`.
    pub address: String,
    /// Maximum time to wait for a response.
    pub timeout: Duration,
    /// Maximum time that a watch waits for a change.
    pub watch_wait: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        PlatformSettings {
            address: "127.0.0.1:7000".into(),
            timeout: Duration::from_secs(2),
            watch_wait: Duration::from_secs(20),
        }
    }
}

/// Client of the platform. Clones share the same connections.
#[derive(Clone, Debug)]
pub struct Platform {
    settings: PlatformSettings,
    client: Client,
}

impl Platform {
    /// Creates a client with the given settings. It connects on first use.
    pub fn new(settings: PlatformSettings) -> Self {
        Platform { settings, client: Client::default() }
    }

    /// Waits for changes after `revision` to objects whose keys begin with `prefix`.
    pub async fn watch(&self, prefix: &str, revision: u64) -> Result<Changes, PlatformError> {
        let wait = self.settings.watch_wait;
        let path = format!("/watch?prefix={prefix}&after={revision}&wait_ms={}", wait.as_millis());
        let request = self.request(Method::GET, &path).body(Bytes::new())?;
        let reply = self.client.call(request, wait + self.settings.timeout).await?;
        expect_ok(&reply)?;
        Ok(reply.json()?)
    }

    /// Returns the platform's list of instances together with its version, or
    /// `None` if the version is still `known`. The list may be out of date.
    pub async fn instances(
        &self,
        known: Option<u64>,
    ) -> Result<Option<(u64, Vec<InstanceInfo>)>, PlatformError> {
        let mut request = self.request(Method::GET, "/instances");
        if let Some(known) = known {
            request = request.header(header::IF_NONE_MATCH, known);
        }
        let reply = self.send(request.body(Bytes::new())?).await?;
        if reply.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        expect_ok(&reply)?;
        let version = version(&reply).ok_or_else(missing_version)?;
        Ok(Some((version, reply.json()?)))
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        let address = &self.settings.address;
        Request::builder().method(method).uri(format!("http://{address}{path}"))
    }

    async fn send(&self, request: Request<Bytes>) -> Result<Reply, PlatformError> {
        let reply = self.client.call(request, self.settings.timeout).await?;
        if reply.status.is_server_error() {
            let text = format!("status {}", reply.status);
            return Err(PlatformError::Unavailable(text));
        }
        Ok(reply)
    }
}

impl ObjectStore for Platform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let request = self.request(Method::GET, &format!("/objects/{key}"));
        let reply = self.send(request.body(Bytes::new())?).await?;
        match reply.status {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => {
                let version = version(&reply).ok_or_else(missing_version)?;
                Ok(Some(Object { version, body: reply.body }))
            }
            status => Err(PlatformError::Refused(status.as_u16())),
        }
    }

    async fn put(&self, key: &str, body: Bytes, when: When) -> Result<u64, PlatformError> {
        let request = self.request(Method::PUT, &format!("/objects/{key}"));
        let request = match when {
            When::Absent => request.header(header::IF_NONE_MATCH, "*"),
            When::Version(version) => request.header(header::IF_MATCH, version),
        };
        let reply = self.send(request.body(body)?).await?;
        match reply.status {
            StatusCode::OK | StatusCode::CREATED => version(&reply).ok_or_else(missing_version),
            StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict(version(&reply))),
            status => Err(PlatformError::Refused(status.as_u16())),
        }
    }

    async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let request = self.request(Method::DELETE, &format!("/objects/{key}"));
        let reply = self.send(request.body(Bytes::new())?).await?;
        match reply.status {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            status => Err(PlatformError::Refused(status.as_u16())),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let request = self.request(Method::GET, &format!("/list?prefix={prefix}"));
        let reply = self.send(request.body(Bytes::new())?).await?;
        expect_ok(&reply)?;
        Ok(reply.json()?)
    }
}

fn version(reply: &Reply) -> Option<u64> {
    reply.header("etag")?.trim_matches('"').parse().ok()
}

fn missing_version() -> PlatformError {
    PlatformError::Unavailable("response has no valid version header".into())
}

fn expect_ok(reply: &Reply) -> Result<(), PlatformError> {
    match reply.status {
        StatusCode::OK => Ok(()),
        status => Err(PlatformError::Refused(status.as_u16())),
    }
}
