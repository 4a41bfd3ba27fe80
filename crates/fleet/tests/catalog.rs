//! The choice of the route and the service of a request.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::collections::HashMap;
use std::time::Duration;

use guavaspread_fleet::{Catalog, RequestClass, RequestLimits, Route, Target};
use test_case::test_case;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        class: RequestClass::Safe,
        resumable: false,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        pause_objective: None,
        priority: 0,
        attempts_max: 2,
        is_public: false,
        targets: vec![Target { service: "booking".into(), weight: 1.0 }],
    }
}

fn catalog() -> Catalog {
    let routes = vec![
        route("all", "a.example", "/x/"),
        route("part", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ];
    Catalog::new(3, RequestLimits::default(), Vec::new(), routes)
}

#[test_case("a.example", "/x/1" => Some("all".to_owned()); "short prefix")]
#[test_case("a.example", "/x/y/1" => Some("part".to_owned()); "longest prefix wins")]
#[test_case("a.example", "/x/y" => Some("all".to_owned()); "a prefix ends with its slash")]
#[test_case("a.example", "/z/" => None; "no prefix")]
#[test_case("b.example", "/x/1" => None; "another host's prefix")]
#[test_case("c.example", "/x/1" => None; "unknown host")]
fn chooses_the_route_with_the_longest_prefix(host: &str, path: &str) -> Option<String> {
    catalog().find_route(host, path).map(|route| route.name.to_string())
}

#[test]
fn requests_are_divided_by_weight() {
    let mut route = route("split", "a.example", "/");
    route.targets = vec![
        Target { service: "old".into(), weight: 90.0 },
        Target { service: "new".into(), weight: 10.0 },
    ];
    let mut counts: HashMap<String, u32> = HashMap::new();
    for n in 0..10_000 {
        let service = route.pick_service(&format!("{n:016x}")).unwrap().to_string();
        *counts.entry(service).or_default() += 1;
    }
    assert!((800..1_200).contains(&counts["new"]), "{counts:?}");
}

#[test]
fn a_request_id_always_gets_the_same_service() {
    let mut route = route("split", "a.example", "/");
    route.targets.push(Target { service: "new".into(), weight: 1.0 });
    let first = route.pick_service("9c41d07be2a35f68").cloned();
    assert_eq!(route.pick_service("9c41d07be2a35f68").cloned(), first);
}

#[test]
fn a_route_without_targets_has_no_service() {
    let mut route = route("none", "a.example", "/");
    route.targets.clear();
    assert_eq!(route.pick_service("1"), None);
}
