//! Counters, gauges and latency histograms, recorded through cadence and served
//! in the Prometheus text format.
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
