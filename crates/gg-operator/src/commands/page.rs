//! HTML page of a report: a table, and plots by second.

use std::fmt::Write as _;

use super::report::{Outcome, Report, rows};

const PLOT_WIDTH_PX: f64 = 900.0;
const PLOT_HEIGHT_PX: f64 = 200.0;

/// Colour of each outcome, in the order of [`Outcome::ALL`].
const COLOURS: [&str; 5] = ["#2a9d4a", "#aaaaaa", "#d62728", "#9467bd", "#e69f00"];

/// Renders a page that loads no other files.
pub(crate) fn html(report: &Report) -> String {
    let mut page = String::from(
        "<!doctype html>\n<meta charset=\"utf-8\">\n<title>Requests</title>\n\
         <style>body{font-family:sans-serif}td,th{padding:2px 10px;text-align:right}</style>\n",
    );
    page.push_str("<h1>Requests by kind and rank</h1>\n<table>\n");
    for row in rows(report) {
        let cells: String = row.iter().map(|cell| format!("<td>{}</td>", escape(cell))).collect();
        page.push_str(&format!("<tr>{cells}</tr>\n"));
    }
    page.push_str("</table>\n<h2>Outcomes by second</h2>\n");
    page.push_str(&outcomes_plot(report));
    page.push_str(
        "<h2>Time to the head of the response by second, 50th and 95th percentile, in ms</h2>\n",
    );
    page.push_str(&latency_plot(report));
    page.push_str("<h2>Reasons</h2>\n<table>\n");
    for (reason, count) in &report.reasons {
        page.push_str(&format!("<tr><td>{}</td><td>{count}</td></tr>\n", escape(reason)));
    }
    page.push_str("</table>\n");
    page
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// First second of the logs, and the number of seconds that they span.
fn time_span(report: &Report) -> (u64, f64) {
    let first = report.seconds.keys().next().copied().unwrap_or(0);
    let last = report.seconds.keys().next_back().copied().unwrap_or(first);
    (first, (last - first + 1) as f64)
}

/// Draws a stacked bar for each second: the number of requests by outcome.
fn outcomes_plot(report: &Report) -> String {
    let (first, count) = time_span(report);
    let all = report.seconds.values().map(|group| group.outcomes.values().sum::<u64>());
    let max = all.max().unwrap_or(1).max(1) as f64;
    let width = PLOT_WIDTH_PX / count;
    let mut svg = svg_start();
    for (second, group) in &report.seconds {
        let x = (second - first) as f64 * width;
        let mut y = PLOT_HEIGHT_PX;
        for (outcome, colour) in Outcome::ALL.into_iter().zip(COLOURS) {
            let height = PLOT_HEIGHT_PX * group.count(outcome) as f64 / max;
            y -= height;
            // Writing to a string never fails.
            let _ = writeln!(
                svg,
                "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{:.1}\" height=\"{height:.1}\" \
                 fill=\"{colour}\"/>",
                width * 0.9
            );
        }
    }
    svg.push_str("</svg>\n<p>");
    for (outcome, colour) in Outcome::ALL.into_iter().zip(COLOURS) {
        let _ = write!(svg, "<span style=\"color:{colour}\">■</span> {} ", outcome.as_str());
    }
    let _ = writeln!(svg, "; maximum {max} requests a second</p>");
    svg
}

/// Draws a line for each of two latency quantiles.
fn latency_plot(report: &Report) -> String {
    let (first, count) = time_span(report);
    let max = report.seconds.values().map(|group| group.quantile(0.95)).max().unwrap_or(1).max(1);
    let mut svg = svg_start();
    for (fraction, colour) in [(0.5, "#1f77b4"), (0.95, "#d62728")] {
        let points: Vec<String> = report
            .seconds
            .iter()
            .map(|(second, group)| {
                let x = (second - first) as f64 * PLOT_WIDTH_PX / count;
                let y = PLOT_HEIGHT_PX * (1.0 - group.quantile(fraction) as f64 / max as f64);
                format!("{x:.1},{y:.1}")
            })
            .collect();
        let _ = writeln!(
            svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\"/>",
            points.join(" ")
        );
    }
    let _ = writeln!(svg, "</svg>\n<p>maximum {max} ms</p>");
    svg
}

fn svg_start() -> String {
    format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{PLOT_WIDTH_PX}\" height=\"{PLOT_HEIGHT_PX}\" \
         style=\"border-bottom:1px solid #888\">\n"
    )
}
