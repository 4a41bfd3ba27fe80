//! The limits of callers' connections and the timing of feeds.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::time::Duration;

use guavaspread_fleet::{CallerConnection, ConnectionAction, FeedTiming, RequestLimits};
use test_case::test_case;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limits(idle_ms: u64, header_ms: u64, header_bytes_max: usize) -> RequestLimits {
    RequestLimits {
        idle_timeout: ms(idle_ms),
        header_timeout: ms(header_ms),
        header_bytes_max,
        ..RequestLimits::default()
    }
}

#[test]
fn each_phase_of_a_connection_has_its_limit() {
    let limits = limits(15_000, 3_000, 100);
    let mut connection = CallerConnection::new(100, ms(0));
    assert_eq!(connection.next_action(&limits, ms(1)), ConnectionAction::KeepUntil(ms(15_000)));
    connection.on_bytes(ms(10));
    connection.on_bytes(ms(2_000));
    assert_eq!(connection.next_action(&limits, ms(3_009)), ConnectionAction::KeepUntil(ms(3_010)));
    connection.on_request();
    // A request is served however long it takes.
    let action = connection.next_action(&limits, ms(60_000));
    assert_eq!(action, ConnectionAction::KeepUntil(ms(75_000)));
    connection.on_bytes(ms(60_000));
    connection.on_response_end(ms(61_000));
    let action = connection.next_action(&limits, ms(75_999));
    assert_eq!(action, ConnectionAction::KeepUntil(ms(76_000)));
    assert_eq!(connection.next_action(&limits, ms(76_000)), ConnectionAction::Close);
    // A head that began before the close is waited for.
    let action = connection.next_action(&limits, ms(76_000));
    assert_eq!(action, ConnectionAction::KeepUntil(ms(79_000)));
    assert_eq!(connection.next_action(&limits, ms(79_000)), ConnectionAction::Abort);
}

#[test_case(limits(500, 3_000, 100), ConnectionAction::Close; "idle for too long now")]
#[test_case(limits(90_000, 3_000, 100), ConnectionAction::KeepUntil(ms(90_000)); "may idle longer")]
#[test_case(limits(15_000, 3_000, 101), ConnectionAction::Close; "heads may be too large for it")]
fn the_limits_in_force_apply_to_an_idle_connection(
    limits: RequestLimits,
    expected: ConnectionAction,
) {
    let mut connection = CallerConnection::new(100, ms(0));
    assert_eq!(connection.next_action(&limits, ms(1_000)), expected);
}

#[test]
fn a_request_is_served_before_its_connection_closes_for_larger_heads() {
    let mut connection = CallerConnection::new(100, ms(0));
    connection.on_request();
    let larger = limits(15_000, 3_000, 101);
    assert_eq!(connection.next_action(&larger, ms(1)), ConnectionAction::Close);
    assert_eq!(connection.next_action(&larger, ms(1)), ConnectionAction::KeepUntil(ms(15_001)));
}

#[test_case([800, 2_000], 1_500, [800, 700]; "the wait is shortened first")]
#[test_case([1_450, 2_000], 1_500, [1_400, 100]; "then the interval")]
#[test_case([0, 2_000], 1_500, [0, 1_500]; "no interval")]
#[test_case([1_200, 700], 2_500, [1_200, 700]; "within the bound")]
#[test_case([6_000, 0], 1_500, [1_500, 0]; "no wait")]
fn a_feed_is_read_within_a_bound(
    [interval, wait]: [u64; 2],
    sum_max: u64,
    [bounded_interval, bounded_wait]: [u64; 2],
) {
    let timing = FeedTiming { interval: ms(interval), wait: ms(wait) };
    let expected = FeedTiming { interval: ms(bounded_interval), wait: ms(bounded_wait) };
    assert_eq!(timing.bounded(ms(sum_max), ms(100)), expected);
}
