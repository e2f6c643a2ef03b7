//! The page of a report: a table and plots by second.

use std::fmt::Write as _;

use super::report::{Day, Ending, rows};

const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 200.0;

/// Colour of each ending, in the order of [`Ending::ALL`].
const COLOURS: [&str; 5] = ["#2a9d4a", "#aaaaaa", "#d62728", "#9467bd", "#e69f00"];

/// A page that needs no other file.
pub(crate) fn html(day: &Day) -> String {
    let mut page = String::from(
        "<!doctype html>\n<meta charset=\"utf-8\">\n<title>Requests</title>\n\
         <style>body{font-family:sans-serif}td,th{padding:2px 10px;text-align:right}</style>\n",
    );
    page.push_str("<h1>Requests by kind and rank</h1>\n<table>\n");
    for row in rows(day) {
        let cells: String = row.iter().map(|cell| format!("<td>{}</td>", escape(cell))).collect();
        page.push_str(&format!("<tr>{cells}</tr>\n"));
    }
    page.push_str("</table>\n<h2>Endings by second</h2>\n");
    page.push_str(&endings_plot(day));
    page.push_str(
        "<h2>Time to the head of an answer by second, 50th and 95th of 100, in ms</h2>\n",
    );
    page.push_str(&latency_plot(day));
    page.push_str("<h2>Reasons</h2>\n<table>\n");
    for (reason, count) in &day.reasons {
        page.push_str(&format!("<tr><td>{}</td><td>{count}</td></tr>\n", escape(reason)));
    }
    page.push_str("</table>\n");
    page
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// First second of the logs, and how many there are.
fn span(day: &Day) -> (u64, f64) {
    let first = day.seconds.keys().next().copied().unwrap_or(0);
    let last = day.seconds.keys().next_back().copied().unwrap_or(first);
    (first, (last - first + 1) as f64)
}

/// Bars of how many requests ended in each way.
fn endings_plot(day: &Day) -> String {
    let (first, count) = span(day);
    let all = day.seconds.values().map(|group| group.endings.values().sum::<u64>());
    let most = all.max().unwrap_or(1).max(1) as f64;
    let width = WIDTH / count;
    let mut svg = begin();
    for (second, group) in &day.seconds {
        let x = (second - first) as f64 * width;
        let mut y = HEIGHT;
        for (ending, colour) in Ending::ALL.into_iter().zip(COLOURS) {
            let height = HEIGHT * group.count(ending) as f64 / most;
            y -= height;
            // Writing into a string does not fail.
            let _ = writeln!(
                svg,
                "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{:.1}\" height=\"{height:.1}\" \
                 fill=\"{colour}\"/>",
                width * 0.9
            );
        }
    }
    svg.push_str("</svg>\n<p>");
    for (ending, colour) in Ending::ALL.into_iter().zip(COLOURS) {
        let _ = write!(svg, "<span style=\"color:{colour}\">■</span> {} ", ending.as_str());
    }
    let _ = writeln!(svg, "; at most {most} a second</p>");
    svg
}

/// Lines of two quantiles.
fn latency_plot(day: &Day) -> String {
    let (first, count) = span(day);
    let most = day.seconds.values().map(|group| group.quantile(0.95)).max().unwrap_or(1).max(1);
    let mut svg = begin();
    for (share, colour) in [(0.5, "#1f77b4"), (0.95, "#d62728")] {
        let points: Vec<String> = day
            .seconds
            .iter()
            .map(|(second, group)| {
                let x = (second - first) as f64 * WIDTH / count;
                let y = HEIGHT * (1.0 - group.quantile(share) as f64 / most as f64);
                format!("{x:.1},{y:.1}")
            })
            .collect();
        let _ = writeln!(
            svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\"/>",
            points.join(" ")
        );
    }
    let _ = writeln!(svg, "</svg>\n<p>at most {most} ms</p>");
    svg
}

fn begin() -> String {
    format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
         style=\"border-bottom:1px solid #888\">\n"
    )
}
