//! Metric sink that aggregates the metrics of cadence and renders them as text.

use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    sync::{Arc, Mutex, MutexGuard},
};

use cadence::MetricSink;

/// Upper bounds of the histogram buckets, in microseconds.
const BUCKET_BOUNDS_MICROS: [u64; 14] = [
    1_000, 2_500, 5_000, 10_000, 25_000, 50_000, 100_000, 250_000, 500_000, 1_000_000, 2_500_000,
    5_000_000, 10_000_000, 30_000_000,
];

/// Maximum number of series; further series are ignored. Names and tags come from
/// the code of this workspace, so reaching the limit is a bug there.
const SERIES_MAX: usize = 2_000;

const MICROS_PER_SECOND: f64 = 1e6;

/// Metrics of one process. Clones share the same metrics.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    series: Arc<Mutex<BTreeMap<Key, Series>>>,
}

/// Name and labels of a series, in the format of the output.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    name: String,
    labels: String,
}

#[derive(Clone, Debug)]
enum Series {
    Counter(u64),
    Gauge(u64),
    Histogram { counts: [u64; BUCKET_BOUNDS_MICROS.len()], count: u64, micros: u64 },
}

impl MetricSink for Registry {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        match parse(metric) {
            Some((key, value, kind)) => self.record(key, value, kind),
            None => log::debug!("event=metric_unreadable metric={metric:?}"),
        }
        Ok(metric.len())
    }
}

impl Registry {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<Key, Series>> {
        self.series.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn record(&self, key: Key, value: u64, kind: &str) {
        let mut all = self.lock();
        if all.len() >= SERIES_MAX && !all.contains_key(&key) {
            return;
        }
        let series = all.entry(key).or_insert(match kind {
            "c" => Series::Counter(0),
            "g" => Series::Gauge(0),
            _ => Series::Histogram { counts: [0; BUCKET_BOUNDS_MICROS.len()], count: 0, micros: 0 },
        });
        match series {
            Series::Counter(sum) => *sum += value,
            Series::Gauge(last) => *last = value,
            Series::Histogram { counts, count, micros } => {
                *count += 1;
                *micros += value;
                if let Some(bucket) = BUCKET_BOUNDS_MICROS.iter().position(|bound| value <= *bound)
                {
                    counts[bucket] += 1;
                }
            }
        }
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let mut last = String::new();
        for (key, series) in self.lock().iter() {
            if key.name != last {
                last.clone_from(&key.name);
                let kind = match series {
                    Series::Counter(_) => "counter",
                    Series::Gauge(_) => "gauge",
                    Series::Histogram { .. } => "histogram",
                };
                let _ = writeln!(text, "# TYPE {} {kind}", key.name);
            }
            series.render(key, &mut text);
        }
        text
    }
}

impl Series {
    /// Appends the series to `text`. Writing to a string never fails.
    fn render(&self, Key { name, labels }: &Key, text: &mut String) {
        let label_set = |extra: &str| match (labels.is_empty(), extra.is_empty()) {
            (true, true) => String::new(),
            (false, true) => format!("{{{labels}}}"),
            (true, false) => format!("{{{extra}}}"),
            (false, false) => format!("{{{labels},{extra}}}"),
        };
        match self {
            Series::Counter(value) | Series::Gauge(value) => {
                let _ = writeln!(text, "{name}{} {value}", label_set(""));
            }
            Series::Histogram { counts, count, micros } => {
                let mut sum = 0;
                for (bound, in_bucket) in BUCKET_BOUNDS_MICROS.iter().zip(counts) {
                    sum += in_bucket;
                    let le = format!("le=\"{}\"", *bound as f64 / MICROS_PER_SECOND);
                    let _ = writeln!(text, "{name}_bucket{} {sum}", label_set(&le));
                }
                let _ = writeln!(text, "{name}_bucket{} {count}", label_set("le=\"+Inf\""));
                let seconds = *micros as f64 / MICROS_PER_SECOND;
                let _ = writeln!(text, "{name}_sum{} {seconds}", label_set(""));
                let _ = writeln!(text, "{name}_count{} {count}", label_set(""));
            }
        }
    }
}

/// Parses `prefix.name:value|kind|#tag:value,tag:value`.
fn parse(metric: &str) -> Option<(Key, u64, &str)> {
    let (name, rest) = metric.split_once(':')?;
    let mut fields = rest.split('|');
    let value = fields.next()?.parse().ok()?;
    let kind = fields.next()?;
    let tags = fields.find_map(|field| field.strip_prefix('#')).unwrap_or("");
    let labels = tags.split(',').filter_map(|tag| tag.split_once(':'));
    let labels: Vec<String> =
        labels.map(|(key, value)| format!("{key}=\"{}\"", value.replace('"', "'"))).collect();
    let suffix = if kind == "ms" { "_seconds" } else { "" };
    let name = format!("{}{suffix}", name.replace(['.', '-'], "_"));
    Some((Key { name, labels: labels.join(",") }, value, kind))
}
