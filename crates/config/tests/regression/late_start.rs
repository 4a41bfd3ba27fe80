//! Guards against a process that starts after changes were committed and never obtains a
//! configuration.

use std::time::Duration;

use guavaspread_config::{ChangeRecord, ConfigHead, Replica, ReplicaAction};
use guavaspread_model::{Change, Name};

#[test]
fn late_process_has_no_configuration_until_it_has_caught_up() {
    let mut replica = Replica::new(Duration::from_secs(1));
    let now = Duration::from_secs(5);
    let head = ConfigHead { committed: 2, highest: 2, staged: None };
    assert_eq!(replica.on_head(head, 7, now), ReplicaAction::Fetch { from: 1, to: 2 });
    assert!(replica.view(now).config.is_none());
    let records: Vec<ChangeRecord> = (1..=2).map(record).collect();
    assert_eq!(replica.on_records(&records), ReplicaAction::Nothing);
    assert_eq!(replica.view(now).config.unwrap().revision, 2);
}

fn record(revision: u64) -> ChangeRecord {
    let organisation = Name::new(&format!("organisation-{revision}")).unwrap();
    let changes = vec![Change::CreateOrganisation { organisation }];
    ChangeRecord { revision, base: revision - 1, changes }
}
