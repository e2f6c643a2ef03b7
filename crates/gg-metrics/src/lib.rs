//! Counters, gauges and latency histograms, written through cadence and read
//! as text in the exposition format of Prometheus.
//!
//! ```
//! use gg_metrics::{Metrics, Registry};
//!
//! let registry = Registry::default();
//! let metrics = Metrics::new(&registry);
//! metrics.count("requests", &[("status", "200")]);
//! assert!(registry.render().contains("greengagefork_requests{status=\"200\"} 1"));
//! ```

mod metrics;
mod registry;
mod server;

pub use metrics::Metrics;
pub use registry::Registry;
pub use server::serve_metrics;
