//! Guards against a takeover that drops an eviction in flight: a process that regained an engine
//! did not record that an unload command from its earlier ownership was still in flight, and the
//! next owner ran requests on the adapter that the command unloaded.

use std::time::Duration;

use guavaspread_model::{AdapterVersion, Name};
use guavaspread_ownership::{Holder, Lease, LeaseAction, LeaseTimes, OwnerRow, Role};

struct Table {
    row: Option<(OwnerRow, u64)>,
}

impl Table {
    /// Performs the actions of a lease until one of its commits succeeds or no action is due.
    fn perform_actions(&mut self, lease: &mut Lease, now: Duration) {
        for _ in 0..4 {
            match lease.next_action(Some(0), now) {
                LeaseAction::Nothing => return,
                LeaseAction::Read => lease.on_row_read(self.row.clone(), now),
                LeaseAction::Commit { row, revision } => {
                    if self.row.as_ref().map(|(_, revision)| *revision) != revision {
                        lease.on_conflict();
                        continue;
                    }
                    let next = revision.unwrap_or(0) + 1;
                    self.row = Some((*row, next));
                    lease.on_committed(next, now);
                    return;
                }
            }
        }
    }
}

fn lease(host: &str) -> Lease {
    let probe = ([127, 0, 0, 1], 7_000).into();
    let holder = Holder { host: Name::new(host).unwrap(), incarnation: 1, probe };
    Lease::new(holder, LeaseTimes::default())
}

#[test]
fn own_eviction_in_flight_stays_blocked_for_the_next_owner() {
    let adapter: AdapterVersion = "organisation/adapter@1".parse().unwrap();
    let (mut first, mut second) = (lease("host-1"), lease("host-0"));
    let mut table = Table { row: None };
    let mut now = Duration::from_secs(1);
    let pause = Duration::from_secs(5);
    table.perform_actions(&mut first, now);
    first.set_in_use(true);
    first.request_eviction(&adapter);
    table.perform_actions(&mut first, now);
    // The first owner has permission to unload and is paused before it sends the command.
    table.perform_actions(&mut second, now);
    now += pause;
    table.perform_actions(&mut second, now);
    table.perform_actions(&mut first, now);
    now += pause;
    table.perform_actions(&mut first, now);
    assert!(matches!(first.role(now), Role::Owner(_)));
    table.perform_actions(&mut second, now);
    now += pause;
    table.perform_actions(&mut second, now);
    let Role::Owner(permissions) = second.role(now) else {
        unreachable!("the second process owns the engine again")
    };
    assert!(permissions.blocked_adapters.contains(&adapter), "{permissions:?}");
}
