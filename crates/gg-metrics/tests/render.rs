//! Rendering of metrics as text.

use gg_metrics::{Metrics, Registry};

fn lines(registry: &Registry) -> Vec<String> {
    registry.render().lines().map(str::to_owned).collect()
}

#[test]
fn renders_counters_and_gauges() {
    let registry = Registry::default();
    let metrics = Metrics::new(&registry);
    metrics.count("requests", &[("kind", "stream"), ("status", "200")]);
    metrics.count("requests", &[("kind", "stream"), ("status", "200")]);
    metrics.count("requests", &[("kind", "stream"), ("status", "503")]);
    metrics.gauge("load", 7, &[]);
    metrics.gauge("load", 3, &[]);
    let expected = [
        "# TYPE greengagefork_load gauge",
        "greengagefork_load 3",
        "# TYPE greengagefork_requests counter",
        "greengagefork_requests{kind=\"stream\",status=\"200\"} 2",
        "greengagefork_requests{kind=\"stream\",status=\"503\"} 1",
    ];
    assert_eq!(lines(&registry), expected);
}

#[test]
fn renders_histograms() {
    let registry = Registry::default();
    let metrics = Metrics::new(&registry);
    for micros in [900, 30_000, 40_000_000] {
        metrics.time("wait", micros, &[("rank", "0")]);
    }
    let lines = lines(&registry);
    let expect_line = |line: &str| assert!(lines.iter().any(|known| known == line), "{lines:#?}");
    expect_line("# TYPE greengagefork_wait_seconds histogram");
    expect_line("greengagefork_wait_seconds_bucket{rank=\"0\",le=\"0.001\"} 1");
    expect_line("greengagefork_wait_seconds_bucket{rank=\"0\",le=\"0.05\"} 2");
    expect_line("greengagefork_wait_seconds_bucket{rank=\"0\",le=\"30\"} 2");
    expect_line("greengagefork_wait_seconds_bucket{rank=\"0\",le=\"+Inf\"} 3");
    expect_line("greengagefork_wait_seconds_count{rank=\"0\"} 3");
}
