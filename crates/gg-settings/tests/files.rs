//! Parsing of settings and configuration files.

use std::time::Duration;

use gg_protocol::{DirectoryBounds, Document, Profile, Rank};
use gg_settings::{
    AccountSettings, DaemonSettings, KeyValue, RateSettings, SAMPLE, Settings, parse_configuration,
    print_document,
};
use proptest::prelude::*;

#[test]
fn sample_matches_defaults() {
    let settings = DaemonSettings::parse("sample.ini", SAMPLE).expect("no faults");
    let default = DaemonSettings::default();
    assert_eq!(settings.timing, default.timing);
    assert_eq!(settings.listen, default.listen);
    assert_eq!(settings.commit_interval, default.commit_interval);
}

#[test]
fn settings_report_all_faults() {
    let text = "[instance]\nname = a b\ndata_centre = north\n\
                [listen]\ncallers = here\nconnections = 0\n\
                [security]\npeer_key = x\n[timing]\nprobes = 5\n[extra]\nx = 1\n";
    let faults = DaemonSettings::parse("bad.ini", text).expect_err("faults").0;
    let found_keys: Vec<String> =
        faults.iter().map(|fault| format!("{}/{}", fault.section, fault.key)).collect();
    for expected in
        ["instance/name", "listen/callers", "listen/connections", "timing/probes", "extra/"]
    {
        assert!(found_keys.iter().any(|key| key == expected), "{expected} not in {found_keys:?}");
    }
    assert!(faults.iter().all(|fault| fault.file == "bad.ini" && !fault.allowed.is_empty()));
}

/// Operators change the configuration, so without keys only this machine may
/// reach them.
#[test]
fn open_operator_api_stays_local() {
    let parse = |operators: &str, keys: &str| {
        let text = format!(
            "[instance]\nname = a\ndata_centre = north\n[listen]\noperators = {operators}\n\
             [security]\npeer_key = x\noperator_keys = {keys}\n"
        );
        DaemonSettings::parse("a.ini", &text)
    };
    let digest = "0".repeat(64);
    for local in ["127.0.0.1:7102", "[::1]:7102"] {
        assert!(parse(local, "").is_ok(), "{local}");
    }
    for open in ["0.0.0.0:7102", "10.1.0.4:7102", "[::]:7102"] {
        assert!(parse(open, &digest).is_ok(), "{open}");
        let faults = parse(open, "").expect_err("faults").0;
        let [fault] = &faults[..] else { panic!("{faults:?}") };
        assert_eq!((&*fault.section, &*fault.key), ("security", "operator_keys"));
        assert!(fault.allowed.contains(open), "{fault:?}");
    }
}

#[test]
fn configuration_reports_faults() {
    let text = "[profile x]\nrank = 9\n[upstream y]\naddress = nowhere\n[ghost z]\n";
    let faults = parse_configuration("c.ini", text).expect_err("faults").0;
    assert_eq!(faults.len(), 3, "{faults:?}");
}

/// Settings of client accounts that a template leaves empty are off.
#[test]
fn account_settings() {
    let parse = |accounts: &str| {
        let text = format!(
            "[instance]\nname = a\ndata_centre = north\n[directory]\naddress = 127.0.0.1:1\n\
             [gateway]\nclients = 127.0.0.1:2\nready = 127.0.0.1:3\n{accounts}"
        );
        match Settings::parse("a.ini", &text) {
            Ok(Settings::Gateway(gateway, ..)) => Ok(gateway.accounts),
            Ok(other) => panic!("{other:?}"),
            Err(faults) => Err(faults.0),
        }
    };
    let off = Ok(AccountSettings::default());
    assert_eq!(parse(""), off);
    let empty = "[accounts]\nrate_window_s =\nrate_overage =\nrate_slack =\n";
    assert_eq!(parse(empty), off);
    let rate = RateSettings { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };
    let all = "[accounts]\nrate_window_s = 5\nrate_overage = 0.1\nrate_slack = 20\n";
    let expected = AccountSettings { rate: Some(rate) };
    assert_eq!(parse(all), Ok(expected));
    for wrong in ["rate_overage = x", "rate_slack = -1", "rate_window_s = -1"] {
        let faults = parse(&format!("[accounts]\n{wrong}\n")).expect_err(wrong);
        assert_eq!((faults.len(), &*faults[0].section), (1, "accounts"), "{faults:?}");
    }
}

proptest! {
    /// A printed document parses to the same document and version.
    #[test]
    fn profiles_round_trip(
        rank in 0_u8..8,
        target_ms in 1_u64..1_000_000,
        budget_tokens in 1_u64..1_000_000_000,
        floor_percent in 0_u8..=50,
        refuse_unrecorded in any::<bool>(),
        version in any::<u64>(),
    ) {
        let profile = Profile {
            rank: Rank(rank),
            target_ms,
            budget_tokens,
            floor_percent,
            refuse_unrecorded,
            ..Profile::default()
        };
        let document = Document::Profile(profile);
        let text = print_document("profile/x", &document, version);
        let drafts = parse_configuration("x", &text).expect("no faults");
        let draft = &drafts["profile/x"];
        prop_assert_eq!(&draft.document, &document);
        prop_assert_eq!(draft.version, version);
    }

    /// The parsers do not panic on any text.
    #[test]
    fn parsers_never_panic(text in "[\\[\\]a-z0-9 =;\\n\\\\\"]{0,300}") {
        let _ = DaemonSettings::parse("x", &text);
        let _ = parse_configuration("x", &text);
    }
}

/// Keys of the command line take the place of the file's; those without a value are
/// left out, and wrong ones are faults like any.
#[test]
fn keys_of_command_line() {
    let text = "[instance]\nname = a\ndata_centre = north\n\
                [directory]\naddress = 127.0.0.1:1\napply_ms = 900\n\
                [gateway]\nclients = 127.0.0.1:2\nready = 127.0.0.1:3\n";
    let parse = |keys: &[&str]| {
        let keys: Vec<KeyValue> = keys.iter().map(|key| key.parse().expect("a key")).collect();
        Settings::parse_with("a.ini", text, &keys)
    };
    let bounds = |keys: &[&str]| match parse(keys) {
        Ok(Settings::Gateway(gateway, ..)) => gateway.bounds,
        other => panic!("{other:?}"),
    };
    let ms = Duration::from_millis;
    let default = DirectoryBounds { apply: ms(900), ..DirectoryBounds::default() };
    assert_eq!(bounds(&[]), default);
    assert_eq!(bounds(&["directory.apply_ms=", "directory.strict_revocation="]), default);
    let set =
        ["directory.apply_ms=4000", "directory.drain_ms=2500.5", "directory.recovery_ms=5000"];
    let set = [&set[..], &["directory.revocation_ms=6000", "directory.renewal_ms=1500"]].concat();
    let lax = DirectoryBounds {
        apply: ms(4_000),
        drain: Duration::from_micros(2_500_500),
        recovery: ms(5_000),
        renewal: ms(1_500),
        revocation: None,
    };
    assert_eq!(bounds(&set), lax);
    let strict = [&set[..], &["directory.strict_revocation=true"]].concat();
    assert_eq!(bounds(&strict), DirectoryBounds { revocation: Some(ms(6_000)), ..lax });
    for fault in ["directory.apply_ms=soon", "directory.apply=1", "other.key=1"] {
        let faults = parse(&[fault]).expect_err(fault).0;
        assert_eq!(faults.len(), 1, "{fault}: {faults:?}");
    }
    for text in ["apply_ms=1", "directory.apply_ms", ".key=1", "directory.=1"] {
        assert!(text.parse::<KeyValue>().is_err(), "{text}");
    }
}

/// What clients may make a process hold follows from the memory of its machine.
#[test]
fn memory_of_machine() {
    let gateway = |line: &str| {
        let text = format!(
            "[instance]\nname = g\ndata_centre = a\n[directory]\naddress = 10.0.0.1:80\n\
             [gateway]\nclients = 10.0.0.2:80\nready = 10.0.0.2:81\n{line}\n"
        );
        match Settings::parse("gateway.ini", &text).expect("no faults") {
            Settings::Gateway(settings, ..) => settings.client_memory >> 20,
            other => panic!("not a gateway: {other:?}"),
        }
    };
    assert_eq!(gateway(""), gateway("memory_mb = 88"));
    assert_eq!(gateway("memory_mb = 110") - gateway("memory_mb = 88"), 22);
    assert!(gateway("memory_mb = 32") > 0);
    let daemon = DaemonSettings::default();
    let larger = DaemonSettings { memory_bytes: daemon.memory_bytes + (1 << 20), ..daemon.clone() };
    assert_eq!(larger.caller_memory() - daemon.caller_memory(), 1 << 20);
    let reserved = DaemonSettings { memory_bytes: 1 << 20, ..daemon };
    assert!(reserved.caller_memory() > 0);
}
