//! Command-line subcommands that work on local files: `trace`, `check` and `report`.

use std::{fs, process::Command};

/// Runs the binary with these arguments; returns its exit status and combined
/// output.
fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_greengagefork")).args(arguments).output();
    let output = output.expect("run command");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

/// Writes a temporary file and returns its path.
fn write_file(name: &str, content: &str) -> String {
    let folder = std::env::temp_dir().join(format!("gg-commands-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("create folder");
    let path = folder.join(name);
    fs::write(&path, content).expect("write file");
    path.to_string_lossy().into_owned()
}

#[test]
fn trace_sorts_by_time() {
    let first = write_file(
        "a.log",
        "time_ms=30 level=warn instance=g-1 event=failed request=abc reason=no answer came\n\
         time_ms=10 level=info instance=g-1 event=hedged request=other replica=r-9\n",
    );
    let second = write_file(
        "b.log",
        "  12.3 g-2 time_ms=20 level=info instance=g-2 event=hedged request=abc replica=r-2\n\
         line without key-value pairs\n",
    );
    let (status, text) = run(&["trace", "abc", &first, &second]);
    assert_eq!(status, Some(0), "{text}");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[1].contains("g-2") && lines[1].contains("replica=r-2"), "{text}");
    assert!(lines[2].contains("10") && lines[2].contains("reason=no answer came"), "{text}");
    let (status, text) = run(&["--json", "trace", "abc", &first, &second]);
    let events: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    assert_eq!((status, events[0]["instance"].as_str()), (Some(0), Some("g-2")));
    assert_eq!(run(&["trace", "nobody", &first]).0, Some(2));
}

#[test]
fn check_reports_all_faults() {
    let good = "[instance]\nname = a\ndata_centre = x\n[directory]\naddress = 127.0.0.1:1\n\
                [gateway]\nclients = 127.0.0.1:2\nready = 127.0.0.1:3\n";
    let path = write_file("good.ini", good);
    assert_eq!(run(&["check", &path]), (Some(0), format!("{path}: no faults\n")));
    let bad = good.replace("clients = 127.0.0.1:2", "clients = nowhere\ncolour = red");
    let (status, text) = run(&["check", &write_file("bad.ini", &bad)]);
    assert_eq!(status, Some(2));
    assert!(
        text.contains("nowhere") && text.contains("colour"),
        "all faults are reported at once: {text}"
    );
    let both = format!("{good}[ledger]\nlisten = 127.0.0.1:4\nfolder = /x\n");
    assert_eq!(run(&["check", &write_file("both.ini", &both)]).0, Some(2));
}

#[test]
fn report_counts_outcomes() {
    let log = write_file(
        "day.log",
        "time_ms=1000 level=info instance=g-1 event=answered request=a kind=stream rank=0 ms=20\n\
         time_ms=1100 level=info instance=g-1 event=answered request=b kind=stream rank=0 ms=40\n\
         time_ms=2000 level=warn instance=g-1 event=failed request=c kind=stream rank=2 ms=1 \
         reason=overloaded: full (ran: no)\n\
         time_ms=2500 level=warn instance=g-1 event=failed request=d kind=stream rank=2 ms=9 \
         reason=upstream_failed: the replica disconnected (ran: unknown)\n\
         time_ms=2600 level=info instance=g-1 event=placed request=e replica=r-1\n",
    );
    let page = write_file("day.html", "");
    let (status, text) = run(&["--json", "report", "--page", &page, &log]);
    let report: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    assert_eq!(status, Some(0), "{text}");
    let (urgent, other) = (&report["kinds"][0], &report["kinds"][1]);
    assert_eq!((urgent["answered"].as_u64(), urgent["p95_ms"].as_u64()), (Some(2), Some(40)));
    assert_eq!((other["refused"].as_u64(), other["failed"].as_u64()), (Some(1), Some(1)));
    assert_eq!(report["reasons"]["refused overloaded"].as_u64(), Some(1));
    let page = fs::read_to_string(page).expect("read page");
    assert!(page.contains("<svg") && page.contains("refused overloaded"), "{page}");
    assert_eq!(run(&["report", &write_file("empty.log", "nothing\n")]).0, Some(2));
}
