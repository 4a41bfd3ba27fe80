//! Guards against a proposal that, after its write failed, mistakes the staged change of another
//! proposal through the same gateway for its own.

use std::time::Duration;

use guavaspread_config::{Proposal, ProposalAction, ProposalTimeouts};
use guavaspread_model::{Change, Config, Name};

#[test]
fn proposal_does_not_adopt_the_staged_change_of_another() {
    let (mut first, mut second) = (proposal(1), proposal(2));
    let now = Duration::from_secs(1);
    let ProposalAction::Stage { head, .. } = first.on_head(Default::default(), None, now) else {
        unreachable!("a proposal to an empty table stages its change")
    };
    second.on_head(Default::default(), None, now);
    // The write of the second proposal was lost, and it reads the head that the first one wrote.
    assert_eq!(second.on_head(head, Some(1), now), ProposalAction::ReadHead);
}

fn proposal(token: u64) -> Proposal {
    let organisation = Name::new(&format!("organisation-{token}")).unwrap();
    let changes = vec![Change::CreateOrganisation { organisation }];
    let gateway = Name::new("sapporo-0").unwrap();
    Proposal::new(gateway, token, changes, &Config::default(), ProposalTimeouts::default()).unwrap()
}
