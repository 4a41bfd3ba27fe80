//! Whether responses that end with their connection are complete, by the evidence on their servers.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::server;
use guavaspread_fleet::{
    EndAction, EndEvidence, ResponseEnd, ResponseEnds, Server, ServerChange, ServerStanding,
    ServerState,
};
use test_case::test_case;

const ENDED_AT: Duration = Duration::from_millis(10_000);
const WAIT_UNTIL: Duration = Duration::from_millis(11_800);

const ACCEPTS: EndAction = EndAction::Complete(EndEvidence::Accepts);
const LATER_BYTES: EndAction = EndAction::Complete(EndEvidence::LaterBytes);
const LEFT: EndAction = EndAction::Complete(EndEvidence::Left);
const WAIT: EndAction = EndAction::WaitUntil(WAIT_UNTIL);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn draining(remaining: Option<Duration>) -> Server {
    Server { state: ServerState::Draining { remaining }, ..server("a") }
}

/// What happens to a server and to this host's responses from it.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A response is under way.
    Opened,
    /// The row tells that the server leaves.
    Draining,
    ShortNotice,
    /// A response tells that the server leaves.
    Notice,
    /// The row is removed, and rows may have expired in an outage or not.
    Removed {
        is_expiry_ruled_out: bool,
    },
    /// The server says that it leaves when it is asked.
    LeavesWhenAsked,
    /// A newer incarnation is listed.
    Replaced,
    /// Another response ends with its connection, and is no longer open.
    OtherEnded,
    /// Another response is visibly cut off.
    OtherCut,
    /// The response in question ends.
    Ended,
    /// The server accepts a connection that was opened now.
    Accepts,
    /// Bytes of another response arrive that were waited for this long.
    Bytes {
        awaited: u64,
    },
}

use Event::{
    Accepts, Bytes, Draining, Ended, LeavesWhenAsked, Notice, Opened, OtherCut, OtherEnded,
    Removed, Replaced, ShortNotice,
};

const REMOVED: Event = Removed { is_expiry_ruled_out: true };

/// Applies the events at their times, in ms; returns what is decided at the last one's.
fn action(events: &[(u64, Event)]) -> EndAction {
    let mut ends = ResponseEnds::default();
    let mut listed = Some(server("a"));
    let mut now = Duration::ZERO;
    for (at, event) in events {
        now = ms(*at);
        let mut change = |change: ServerChange, is_expiry_ruled_out| {
            ends.on_server_change(&change, is_expiry_ruled_out, now);
        };
        match event {
            Opened => ends.on_response_opened(&server("a")),
            Draining | ShortNotice => {
                let remaining = matches!(event, ShortNotice).then_some(ms(2_000));
                listed = Some(draining(remaining));
                change(ServerChange::Draining(Arc::new(draining(remaining))), true);
            }
            Removed { is_expiry_ruled_out } => {
                let removed = listed.take().unwrap();
                change(ServerChange::Removed(Arc::new(removed)), *is_expiry_ruled_out);
            }
            Replaced => listed = Some(Server { started_at_ms: 2, ..server("a") }),
            OtherEnded => {
                ends.on_check_started(&server("a"), now);
                ends.on_response_closed(&server("a"), true);
                ends.on_check_ended(&server("a"));
            }
            OtherCut => {
                ends.on_response_cut(&server("a"), now);
                ends.on_response_closed(&server("a"), false);
            }
            LeavesWhenAsked => ends.on_leaving_when_asked(&server("a"), ms(2_000), now),
            Ended => {
                assert_eq!(now, ENDED_AT);
                ends.on_check_started(&server("a"), now);
                ends.on_response_closed(&server("a"), true);
            }
            Notice => ends.on_notice(&server("a"), now),
            Accepts => ends.on_accepted(&server("a"), now),
            Bytes { awaited } => {
                ends.on_awaited_bytes(&server("a"), now - ms(*awaited), now);
            }
        }
    }
    let end = ResponseEnd { at: ENDED_AT, wait_until: WAIT_UNTIL };
    ends.next_action((&server("a"), listed.as_ref()), end, now)
}

#[test_case(&[(0, Opened), (10_000, Ended), (10_000, Accepts)] => ACCEPTS; "alive")]
#[test_case(&[(0, Opened), (10_000, Ended)] => EndAction::BreakOff; "crashed")]
#[test_case(&[(0, Opened), (10_000, Ended), (10_000, Accepts), (10_001, Replaced)]
    => EndAction::BreakOff; "another incarnation accepts")]
#[test_case(&[(0, Opened), (9_900, Draining), (10_000, Ended), (10_000, Accepts)] => ACCEPTS;
    "drains")]
#[test_case(&[(0, Opened), (0, ShortNotice), (10_000, Ended), (10_000, Accepts)] => ACCEPTS;
    "has time left")]
#[test_case(&[(0, Opened), (0, ShortNotice), (10_000, Ended)] => EndAction::BreakOff;
    "its time is over")]
#[test_case(&[(0, Opened), (0, ShortNotice), (10_000, Ended), (10_050, REMOVED)]
    => EndAction::BreakOff; "its time is over, and its row is removed")]
#[test_case(&[(0, Opened), (0, Draining), (0, ShortNotice), (10_000, Ended), (10_050, REMOVED)]
    => EndAction::BreakOff; "at short notice after all")]
#[test_case(&[(0, Opened), (0, ShortNotice), (0, Notice), (10_000, Ended), (10_050, REMOVED)]
    => EndAction::BreakOff; "at short notice, as a response does not tell")]
#[test_case(&[(0, Opened), (0, Notice), (10_000, Ended), (10_050, REMOVED)] => LEFT;
    "exits after its last response, as another one announced")]
#[test_case(&[(0, Opened), (0, REMOVED), (10_000, Ended)] => EndAction::BreakOff;
    "crashed after its row had expired")]
#[test_case(&[(0, Opened), (0, REMOVED), (10_000, Ended), (10_000, Accepts)] => ACCEPTS;
    "serves on without a row")]
#[test_case(&[(0, Opened), (0, Draining), (7_000, REMOVED), (10_000, Ended)]
    => EndAction::BreakOff; "drains, and crashed after its row had expired")]
#[test_case(&[(0, Opened), (10_000, Ended), (10_050, REMOVED)] => EndAction::BreakOff;
    "crashed, and its row is removed")]
#[test_case(&[(0, Opened), (9_001, Draining), (10_000, Ended)] => WAIT; "leaves")]
#[test_case(&[(0, Opened), (9_001, Draining), (10_000, Ended), (10_050, REMOVED)] => LEFT;
    "exits after its last response")]
#[test_case(&[(0, Opened), (9_001, Draining), (9_950, REMOVED), (10_000, Ended)] => LEFT;
    "the removal is noticed before the end")]
#[test_case(&[(0, Opened), (9_001, Draining), (10_000, Ended),
    (10_050, Removed { is_expiry_ruled_out: false })] => EndAction::BreakOff;
    "the row may have expired in an outage")]
#[test_case(&[(0, Opened), (9_001, Draining), (10_000, Ended), (11_800, Bytes { awaited: 0 })]
    => EndAction::BreakOff; "crashed while it left")]
#[test_case(&[(0, Opened), (0, Draining), (10_000, Ended)] => WAIT; "has been leaving for long")]
#[test_case(&[(0, Opened), (0, Draining), (10_000, Ended), (11_800, Bytes { awaited: 0 })]
    => EndAction::BreakOff; "crashed after it had been leaving for long")]
#[test_case(&[(0, Opened), (0, Opened), (0, Draining), (9_995, OtherCut), (10_000, Ended),
    (10_050, REMOVED)] => EndAction::BreakOff; "exits with requests in flight")]
#[test_case(&[(0, Opened), (0, Opened), (0, Draining), (10_000, Ended), (10_005, OtherCut),
    (10_050, REMOVED)] => EndAction::BreakOff; "exits with requests in flight, the end seen first")]
#[test_case(&[(0, Opened), (0, Opened), (0, Draining), (9_900, OtherCut), (10_000, Ended),
    (10_050, REMOVED)] => LEFT; "exits after another response was cut off")]
#[test_case(&[(0, Opened), (0, Opened), (0, Draining), (10_000, OtherEnded), (10_000, Ended),
    (10_050, REMOVED)] => LEFT; "exits after its last two responses")]
fn a_response_is_complete_only_with_evidence(events: &[(u64, Event)]) -> EndAction {
    action(events)
}

/// A server whose row was removed says that it leaves, and serves for `drain-ms` at least.
#[test_case(9_000, &[] => EndAction::WaitUntil(ms(10_020)); "others may end at this moment")]
#[test_case(9_000, &[(10_020, Bytes { awaited: 0 })] => LEFT; "none did")]
#[test_case(9_000, &[(10_019, OtherEnded), (10_020, Bytes { awaited: 0 })]
    => EndAction::BreakOff; "another one did")]
#[test_case(9_000, &[(10_005, OtherCut), (10_020, Bytes { awaited: 0 })] => EndAction::BreakOff;
    "another one was cut off")]
#[test_case(9_000, &[(10_019, OtherEnded), (10_019, Accepts)] => ACCEPTS; "it serves on")]
#[test_case(9_001, &[(10_020, Bytes { awaited: 0 })] => WAIT; "too early for its exit")]
#[test_case(9_000, &[(10_019, OtherEnded), (10_020, Replaced)] => EndAction::BreakOff; "replaced")]
fn a_server_without_a_row_tells_whether_it_leaves(
    asked_at: u64,
    events: &[(u64, Event)],
) -> EndAction {
    let start = [
        (0, Opened),
        (0, Opened),
        (asked_at, REMOVED),
        (asked_at, LeavesWhenAsked),
        (10_000, Ended),
    ];
    action(&[&start, events].concat())
}

/// A server that had announced that it leaves serves on after its row was removed.
#[test_case(Draining; "the row was removed early")]
#[test_case(Notice; "a response announced it")]
fn a_server_that_serves_on_without_its_row_finishes(announcement: Event) {
    let events = [(0, Opened), (5_000, announcement), (7_000, REMOVED), (7_001, LeavesWhenAsked)];
    let end = [(10_000, Ended), (10_020, Bytes { awaited: 0 })];
    assert_eq!(action(&[&events[..], &end].concat()), LEFT);
    assert_eq!(action(&[&events[..3], &end].concat()), EndAction::BreakOff);
}

/// A server is asked once, and only if a response may end with its connection.
#[test]
fn a_server_without_a_row_is_asked_once() {
    let mut ends = ResponseEnds::default();
    ends.on_response_opened(&server("a"));
    assert!(!ends.should_ask(&server("a")));
    ends.on_unframed_head(&server("a"));
    assert!(ends.should_ask(&server("a")) && !ends.should_ask(&server("a")));
    ends.on_server_change(&ServerChange::Started(Arc::new(server("a"))), true, ms(1));
    assert!(ends.should_ask(&server("a")));
    let short = Arc::new(draining(Some(ms(2_000))));
    ends.on_server_change(&ServerChange::Started(Arc::new(server("a"))), true, ms(2));
    ends.on_server_change(&ServerChange::Draining(short), true, ms(2));
    assert!(!ends.should_ask(&server("a")));
}

/// Another response of the process tells by bytes that were sent after the end.
#[test_case(&[(10_030, Bytes { awaited: 30 })] => WAIT; "sent before the end, as far as is known")]
#[test_case(&[(10_280, Bytes { awaited: 31 })] => WAIT; "waited for since just before that")]
#[test_case(&[(10_280, Bytes { awaited: 30 })] => LATER_BYTES; "sent after the end")]
#[test_case(&[(10_900, Bytes { awaited: 19 })] => WAIT; "that may have arrived before the end")]
#[test_case(&[(10_280, Bytes { awaited: 30 }), (10_281, OtherEnded)] => LATER_BYTES; "and its end")]
#[test_case(&[(10_003, OtherEnded)] => EndAction::BreakOff; "that ends in the same moment")]
#[test_case(&[(10_100, OtherEnded)] => EndAction::BreakOff; "that ends soon")]
#[test_case(&[(10_100, REMOVED)] => WAIT; "of a server without a row")]
#[test_case(&[(11_800, Bytes { awaited: 0 })] => EndAction::BreakOff; "that falls silent")]
fn another_response_shows_that_the_server_is_alive(events: &[(u64, Event)]) -> EndAction {
    let start = [(0, Opened), (0, Opened), (10_000, Ended)];
    action(&[&start, events].concat())
}

#[test]
fn a_departure_is_known_until_the_server_is_listed_again() {
    let mut ends = ResponseEnds::default();
    let standing =
        |ends: &ResponseEnds, listed: Option<&Server>| ends.standing(&server("a"), listed);
    assert_eq!(standing(&ends, Some(&server("a"))), ServerStanding::Serving);
    assert_eq!(standing(&ends, None), ServerStanding::Unlisted);
    ends.on_server_change(&ServerChange::Draining(Arc::new(draining(None))), true, ms(10));
    assert_eq!(standing(&ends, Some(&draining(None))), ServerStanding::Leaving);
    ends.on_server_change(&ServerChange::Removed(Arc::new(draining(None))), true, ms(400));
    assert_eq!(standing(&ends, None), ServerStanding::Left);
    let short = ServerStanding::LeavingAtShortNotice;
    assert_eq!(standing(&ends, Some(&draining(Some(ms(1))))), short);
    let newer = Server { started_at_ms: 2, ..server("a") };
    assert_eq!(standing(&ends, Some(&newer)), ServerStanding::Replaced);
    ends.on_server_change(&ServerChange::Started(Arc::new(server("a"))), true, ms(2_000));
    assert_eq!(standing(&ends, Some(&server("a"))), ServerStanding::Serving);
    assert_eq!(standing(&ends, None), ServerStanding::Unlisted);
}

/// A server that announces in a response that it leaves, before its row does.
#[test]
fn a_notice_is_an_announcement() {
    let mut ends = ResponseEnds::default();
    ends.on_notice(&server("a"), ms(10));
    assert_eq!(ends.standing(&server("a"), Some(&server("a"))), ServerStanding::Leaving);
}

#[test]
fn checks_are_counted_until_they_end() {
    let mut ends = ResponseEnds::default();
    ends.on_response_opened(&server("a"));
    ends.on_check_started(&server("a"), ms(1));
    ends.on_response_closed(&server("a"), false);
    assert!(ends.has_checks() && !ends.awaits_departure());
    ends.on_notice(&server("a"), ms(2));
    assert!(ends.awaits_departure());
    ends.on_check_ended(&server("a"));
    assert!(!ends.has_checks() && !ends.awaits_departure());
}
