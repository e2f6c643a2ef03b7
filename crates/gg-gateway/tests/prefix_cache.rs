//! What replicas are believed to keep of prompts.

use std::time::{Duration, Instant};

use gg_gateway::{KeptParts, Programs};
use gg_route::Part;

fn prompt(parts: &[(&str, u32)]) -> Vec<Part> {
    parts.iter().map(|(id, tokens)| Part { id: (*id).into(), tokens: *tokens }).collect()
}

#[test]
fn longest_run() {
    let mut kept = KeptParts::default();
    let first = prompt(&[("shared", 1_000), ("a", 200)]);
    assert_eq!(kept.unread(&first, 100_000), 1_200);
    kept.note(&first, 100_000, 1);
    let next = prompt(&[("shared", 1_000), ("a", 200), ("b", 50)]);
    assert_eq!(kept.unread(&next, 100_000), 50);
    let other = prompt(&[("shared", 1_000), ("c", 30), ("a", 200)]);
    assert_eq!(kept.unread(&other, 100_000), 230, "what follows an unread part is read again");
}

/// The last part of a line's prompt keeps its name and grows.
#[test]
fn grown_part() {
    let mut kept = KeptParts::default();
    kept.note(&prompt(&[("shared", 1_000), ("line", 200)]), 100_000, 1);
    let grown = prompt(&[("shared", 1_000), ("line", 700)]);
    assert_eq!(kept.unread(&grown, 100_000), 500);
    let branch = prompt(&[("shared", 1_000), ("line", 700), ("helper", 40)]);
    assert_eq!(kept.unread(&branch, 100_000), 540);
}

/// Of 1,000 tokens that are kept, those not used for longest go first.
#[test]
fn least_used_goes() {
    let mut kept = KeptParts::default();
    for part in ["a", "b", "x", "a"] {
        kept.note(&prompt(&[(part, 300)]), 1_000, 1);
    }
    kept.note(&prompt(&[("y", 500)]), 1_000, 1);
    assert_eq!(kept.unread(&prompt(&[("a", 300)]), 1_000), 0, "it was used again");
    assert_eq!(kept.unread(&prompt(&[("b", 300)]), 1_000), 300);
}

#[test]
fn others_read_too() {
    let mut kept = KeptParts::default();
    kept.note(&prompt(&[("a", 100)]), 1_000, 8);
    kept.note(&prompt(&[("b", 100)]), 1_000, 8);
    kept.note(&prompt(&[("c", 100)]), 1_000, 8);
    assert_eq!(kept.unread(&prompt(&[("a", 100)]), 1_000), 100, "eight gateways filled it");
}

/// What is remembered does not grow with the prompts that were read.
#[test]
fn bounded() {
    let mut kept = KeptParts::default();
    for turn in 0..50_000 {
        kept.note(&prompt(&[("shared", 10), (&format!("t{turn}"), 1)]), u64::MAX, 1);
    }
    assert_eq!(kept.unread(&prompt(&[("shared", 10)]), u64::MAX), 0);
    let remembered = (0..50_000)
        .filter(|turn| kept.unread(&prompt(&[(&format!("t{turn}"), 1)]), u64::MAX) == 0)
        .count();
    assert!(remembered <= 1_024, "{remembered}");
}

#[test]
fn programs() {
    let (mut programs, now) = (Programs::default(), Instant::now());
    programs.note(&"p".into(), now);
    assert!(programs.is_under_way("p", now + Duration::from_secs(30)));
    assert!(!programs.is_under_way("p", now + Duration::from_secs(61)));
    assert!(!programs.is_under_way("q", now));
    for other in 0..20_000 {
        programs.note(&format!("o{other}").as_str().into(), now);
    }
    assert!(!programs.is_under_way("p", now), "those noted first go first");
    assert!(programs.is_under_way("o19999", now));
}
