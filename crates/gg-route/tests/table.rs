//! Route lookup and weighted service selection.

use std::time::Duration;

use gg_route::{Account, Configuration, Retention, Route, RouteKind, RouteTable, Service};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        rank: 0,
        backends: vec![("app".into(), 1)],
        attempts: 2,
        retention: Retention::default(),
        stores_turns: false,
        is_resumable: false,
        is_sticky: false,
        is_public: false,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(Configuration {
        version: 7,
        routes,
        services: vec![Service {
            name: "app".into(),
            connections: 10,
            event_tokens: 0,
            cache_tokens: 0,
        }],
        ..Configuration::default()
    })
}

#[test]
fn longest_prefix_wins() {
    let table = table(vec![
        route("all", "a.example", "/"),
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    let name = |host, path| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(name("a.example", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/x/y").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/xy/1").as_deref(), Some("all"));
    assert_eq!(name("b.example", "/x/y/1"), None);
    assert_eq!(name("c.example", "/"), None);
    assert_eq!(name("a.example", "no-slash"), None);
}

#[test]
fn account_rank_goes_first() {
    let route = Route { rank: 4, ..route("r", "a.example", "/") };
    let account = |rank| Account { name: "a".into(), keys: Vec::new(), rank, rate: None };
    assert_eq!(route.rank_for(None), 4);
    assert_eq!(route.rank_for(Some(&account(None))), 4);
    assert_eq!(route.rank_for(Some(&account(Some(0)))), 0);
}

#[test]
fn services_are_drawn_by_weight() {
    let split = Route {
        backends: vec![("new".into(), 1), ("none".into(), 0), ("old".into(), 3)],
        ..route("split", "a.example", "/")
    };
    let mut counts = [0, 0];
    for draw in 0..400 {
        match split.backend(draw).map(|name| &**name) {
            Some("new") => counts[0] += 1,
            Some("old") => counts[1] += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(counts, [100, 300]);
}
