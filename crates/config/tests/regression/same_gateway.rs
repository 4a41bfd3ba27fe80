//! A proposal took another one, through the same gateway, for its own when its write had failed.

use std::time::Duration;

use guavaspread_config::{Proposal, ProposalTimes, Step};
use guavaspread_model::{Change, Config, Name};

#[test]
fn proposal_does_not_adopt_its_neighbour() {
    let (mut first, mut second) = (proposal(1), proposal(2));
    let now = Duration::from_secs(1);
    let Step::Stage { head, .. } = first.on_head(Default::default(), None, now) else {
        unreachable!("an empty table takes a change")
    };
    second.on_head(Default::default(), None, now);
    // The second one's write never arrived, and it reads back what the first one wrote.
    assert_eq!(second.on_head(head, Some(1), now), Step::ReadHead);
}

fn proposal(token: u64) -> Proposal {
    let organisation = Name::new(&format!("organisation-{token}")).unwrap();
    let changes = vec![Change::CreateOrganisation { organisation }];
    let gateway = Name::new("sapporo-0").unwrap();
    Proposal::new(gateway, token, changes, &Config::default(), ProposalTimes::default()).unwrap()
}
