//! Organisations and their keys.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::time::Duration;

use guavaspread_fleet::{
    Caller, Catalog, KEY_BYTES_MAX, Organisation, Organisations, Quota, QuotaTolerance, QuotaUnit,
    RequestClass, RequestLimits, Route, Target, UnusedKey,
};
use test_case::test_case;

fn organisation(name: &str) -> Organisation {
    Organisation { name: name.into(), priority: None, quota: None }
}

fn organisations(listed: &[(&str, &[&str])]) -> (Organisations, Vec<UnusedKey>) {
    let listed = listed.iter().map(|(name, keys)| (organisation(name), keys.iter().copied()));
    Organisations::new([7; 16], listed)
}

fn name_of(organisations: &Organisations, key: &str) -> Option<Arc<str>> {
    organisations.find(key.as_bytes()).map(|organisation| organisation.name.clone())
}

#[test]
fn a_key_names_its_organisation() {
    let (organisations, unused) =
        organisations(&[("north", &["k-1", "k-2", "k-1"]), ("North", &["K-1"]), ("none", &[])]);
    assert_eq!(unused, []);
    for (key, name) in [("k-1", "north"), ("k-2", "north"), ("K-1", "North")] {
        assert_eq!(name_of(&organisations, key).as_deref(), Some(name));
    }
    for key in ["", "k-3", "k-1 ", "none", &"x".repeat(KEY_BYTES_MAX + 1)] {
        assert_eq!(name_of(&organisations, key), None);
    }
}

#[test]
fn odd_keys_name_nobody_and_the_others_hold() {
    let long = "x".repeat(KEY_BYTES_MAX + 1);
    let (organisations, unused) =
        organisations(&[("a", &["shared-1", "", "own"]), ("b", &["shared-1", &long, "b"])]);
    let ambiguous = UnusedKey::Ambiguous("a".into(), "b".into());
    let expected = [UnusedKey::Empty("a".into()), ambiguous, UnusedKey::TooLong("b".into())];
    assert_eq!(unused, expected);
    assert!(unused.iter().all(|key| !key.to_string().contains("shared-1")));
    assert_eq!(name_of(&organisations, "shared-1"), None);
    assert_eq!(name_of(&organisations, "own").as_deref(), Some("a"));
    assert_eq!(name_of(&organisations, "b").as_deref(), Some("b"));
}

/// Neither a dump of the configuration nor a message with it tells a key.
#[test]
fn a_key_is_in_no_dump() {
    let (organisations, _) = organisations(&[("a", &["secret-key"])]);
    assert!(!format!("{organisations:?}").contains("secret-key"));
    let (other, _) = Organisations::new([8; 16], [(organisation("a"), ["secret-key"])]);
    assert_ne!(organisations, other);
    assert_eq!(name_of(&other, "secret-key").as_deref(), Some("a"));
}

#[test_case(false, Some("k"), "organisation"; "with a key")]
#[test_case(false, Some("x"), "unknown"; "with an unknown key")]
#[test_case(false, None, "unknown"; "without a key")]
#[test_case(true, Some("k"), "anonymous"; "a public route")]
#[test_case(true, None, "anonymous"; "a public route without a key")]
fn a_caller_is_identified_on_a_route(is_public: bool, key: Option<&str>, expected: &str) {
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        class: RequestClass::Safe,
        resumable: false,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_secs(1),
        pause_objective: None,
        priority: 0,
        attempts_max: 1,
        is_public,
        targets: vec![Target { service: "s".into(), weight: 1.0 }],
    };
    let plain = Catalog::new(1, RequestLimits::default(), Vec::new(), vec![route.clone()]);
    assert_eq!(plain.identify(&route, key.map(str::as_bytes)), Caller::Anonymous);
    let catalog = plain.with_organisations(organisations(&[("a", &["k"])]).0);
    let found = match catalog.identify(&route, key.map(str::as_bytes)) {
        Caller::Anonymous => "anonymous",
        Caller::Organisation(organisation) if &*organisation.name == "a" => "organisation",
        Caller::Organisation(_) => "another organisation",
        Caller::Unknown => "unknown",
    };
    assert_eq!(found, expected);
}

/// A setting in tokens, and a quota in requests.
#[test_case(110_000.0, 2.0; "a slack beyond the quota")]
#[test_case(9.0, 1.1; "a slack in requests")]
fn a_tolerance_raises_the_rate_within_bounds(slack: f64, factor_max: f64) {
    let quota = Quota { unit: QuotaUnit::Requests, rate_per_s: 10.0, burst: 10.0 };
    let tolerance = QuotaTolerance { window: Duration::from_secs(8), overage: 0.0, slack };
    let raised = quota.with_tolerance(&tolerance);
    assert!(raised.rate_per_s > 10.0 && raised.rate_per_s <= 10.0 * factor_max, "{raised:?}");
    assert_eq!(quota.with_tolerance(&QuotaTolerance::default()), quota);
}
