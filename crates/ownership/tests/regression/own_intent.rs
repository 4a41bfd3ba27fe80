//! A process that took an engine back forgot that an unload order of its own was still on its
//! way; the owner after it then ran requests on the adapter that the order hit.

use std::time::Duration;

use guavaspread_model::{AdapterVersion, Name};
use guavaspread_ownership::{Holder, Lease, LeaseTimes, Next, OwnerRow, Role};

struct Table {
    row: Option<(OwnerRow, u64)>,
}

impl Table {
    /// Does what a lease asks for, up to its first commit that takes effect.
    fn serve(&mut self, lease: &mut Lease, now: Duration) {
        for _ in 0..4 {
            match lease.next(Some(0), now) {
                Next::Nothing => return,
                Next::Read => lease.on_row(self.row.clone(), now),
                Next::Commit { row, revision } => {
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
fn own_order_on_its_way_stays_barred_for_the_next_owner() {
    let adapter: AdapterVersion = "organisation/adapter@1".parse().unwrap();
    let (mut first, mut second) = (lease("host-1"), lease("host-0"));
    let mut table = Table { row: None };
    let mut now = Duration::from_secs(1);
    let pause = Duration::from_secs(5);
    table.serve(&mut first, now);
    first.set_busy(true);
    first.wish_evict(&adapter);
    table.serve(&mut first, now);
    // The first owner holds the grant and is paused before it sends the order.
    table.serve(&mut second, now);
    now += pause;
    table.serve(&mut second, now);
    table.serve(&mut first, now);
    now += pause;
    table.serve(&mut first, now);
    assert!(matches!(first.role(now), Role::Owner(_)));
    table.serve(&mut second, now);
    now += pause;
    table.serve(&mut second, now);
    let Role::Owner(right) = second.role(now) else { unreachable!("the second owns it again") };
    assert!(right.barred.contains(&adapter), "{right:?}");
}
