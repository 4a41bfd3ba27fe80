//! Until when a request may begin on an older version of its adapter.

use std::time::Duration;

use guavaspread_fleet::{AdapterId, AdapterVersions};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// `version_ms` of the sites, less the time in which a host learns of a version.
const BEGIN_MAX: Duration = ms(3_000);

fn adapter() -> AdapterId {
    AdapterId { model: "base".into(), adapter: "a1".into() }
}

#[test]
fn the_newest_version_has_no_limit() {
    let mut versions = AdapterVersions::default();
    assert_eq!(versions.begin_by(&adapter(), 0), None);
    assert!(versions.on_version(&adapter(), 3, ms(0)));
    assert_eq!(versions.begin_by(&adapter(), 3), None);
    assert!(versions.begin_by(&adapter(), 2).is_some());
    assert_eq!(versions.newest(&adapter()), 3);
}

#[test]
fn an_older_or_known_version_changes_nothing() {
    let mut versions = AdapterVersions::default();
    assert!(versions.on_version(&adapter(), 3, ms(0)));
    let before = versions.begin_by(&adapter(), 1);
    assert!(!versions.on_version(&adapter(), 3, ms(900)));
    assert!(!versions.on_version(&adapter(), 2, ms(900)));
    assert_eq!(versions.begin_by(&adapter(), 1), before);
}

/// Guards against a limit that moves on with each further version.
#[test]
fn a_further_version_postpones_nothing() {
    let mut versions = AdapterVersions::default();
    versions.on_version(&adapter(), 1, ms(0));
    for version in 2..100 {
        versions.on_version(&adapter(), version, ms(version * 500));
        for older in 1..version {
            let superseded_at = ms((older + 1) * 500);
            let begin_by = versions.begin_by(&adapter(), older).unwrap_or(Duration::MAX);
            assert!(begin_by <= superseded_at + BEGIN_MAX, "{older} of {version}: {begin_by:?}");
        }
    }
}
