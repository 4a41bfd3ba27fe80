//! Sample deployments of the playground.

use clap::ValueEnum;
use guavaspread_model::{AdapterVersion, Change, KeyHash, Name, Priority, RequestClass, Result};
use guavaspread_standins::PlatformSpec;

/// Sample deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Deployment {
    /// Job centres across Hokkaido: chats, drafts and bookings.
    KitaShigoto,
    /// Traffic management crews in central Czechia: notices, rules and rosters.
    DopravniSmeny,
}

/// Size of one availability zone of a sample deployment.
pub(crate) struct Zone {
    pub(crate) name: &'static str,
    pub(crate) entry_hosts: usize,
    pub(crate) engines: usize,
    pub(crate) service_servers: usize,
}

const fn zone(
    name: &'static str,
    entry_hosts: usize,
    engines: usize,
    service_servers: usize,
) -> Zone {
    Zone { name, entry_hosts, engines, service_servers }
}

const KITA_SHIGOTO: &[Zone] = &[
    zone("sapporo", 3, 3, 1),
    zone("asahikawa", 2, 3, 1),
    zone("hakodate", 2, 2, 1),
    zone("kushiro", 2, 2, 1),
];

const DOPRAVNI_SMENY: &[Zone] =
    &[zone("praha", 3, 4, 1), zone("kladno", 2, 3, 1), zone("kolin", 2, 3, 1)];

impl Deployment {
    /// Returns the availability zones.
    pub(crate) fn zones(self) -> &'static [Zone] {
        match self {
            Deployment::KitaShigoto => KITA_SHIGOTO,
            Deployment::DopravniSmeny => DOPRAVNI_SMENY,
        }
    }

    /// Returns the name of the organisation.
    pub(crate) fn organisation(self) -> &'static str {
        match self {
            Deployment::KitaShigoto => "kita-shigoto",
            Deployment::DopravniSmeny => "dopravni-smeny",
        }
    }

    /// Returns the name of the service that runs beside the engines.
    pub(crate) fn service(self) -> &'static str {
        match self {
            Deployment::KitaShigoto => "booking",
            Deployment::DopravniSmeny => "rostering",
        }
    }

    /// Returns the preset of the placement policy.
    pub(crate) fn preset(self) -> &'static str {
        match self {
            Deployment::KitaShigoto => "stalls-first",
            Deployment::DopravniSmeny => "batches-first",
        }
    }

    /// Returns the capacity of the weight store.
    pub(crate) fn platform_spec(self) -> PlatformSpec {
        let loads_per_second = match self {
            Deployment::KitaShigoto => 3.0,
            Deployment::DopravniSmeny => 7.0,
        };
        PlatformSpec { loads_per_second, ..PlatformSpec::default() }
    }

    /// Returns the changes that declare the organisation, its classes, routes and adapters.
    pub(crate) fn changes(self, key: &str, adapters: u32) -> Result<Vec<Change>> {
        let organisation = Name::new(self.organisation())?;
        let service = Name::new(self.service())?;
        let mut changes = vec![
            Change::CreateOrganisation { organisation: organisation.clone() },
            Change::AddKey { organisation: organisation.clone(), hash: KeyHash::of(key) },
            class("chat", true, 10, 30_000, Priority::Interactive)?,
            class("draft", true, 5, 120_000, Priority::Draft)?,
            class("overnight", true, 2, 600_000, Priority::Overnight)?,
            class("confirm", false, 40, 10_000, Priority::Interactive)?,
            class("check", true, 10, 5_000, Priority::Interactive)?,
        ];
        for (path, class) in [("/confirm", "confirm"), ("/check", "check")] {
            changes.push(Change::DeclareRoute {
                service: service.clone(),
                path: path.to_owned(),
                class: Name::new(class)?,
            });
        }
        for index in 0..adapters {
            let adapter = Name::new(&format!("office-{index:04}"))?;
            let class = ["chat", "draft", "overnight"][index as usize % 3];
            changes.push(Change::RegisterAdapter {
                organisation: organisation.clone(),
                adapter: adapter.clone(),
                base: Name::new("base")?,
                class: Some(Name::new(class)?),
            });
            let adapter = AdapterVersion::new(organisation.clone(), adapter, 1);
            changes.push(Change::RegisterVersion { adapter });
        }
        Ok(changes)
    }
}

fn class(
    name: &str,
    repeatable: bool,
    worth: u32,
    deadline_ms: u32,
    priority: Priority,
) -> Result<Change> {
    let policy = RequestClass { repeatable, worth, deadline_ms, priority };
    Ok(Change::DeclareClass { class: Name::new(name)?, policy })
}
