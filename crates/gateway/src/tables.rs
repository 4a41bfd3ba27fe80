//! Builds the tables that operators query.

use guavaspread_model::Priority;
use guavaspread_query::{Cell, Source, Table};
use guavaspread_wire::{BackendStatus, StatusReply};

use crate::prelude::*;
use crate::routing_state::RoutingState;

/// Builds the table of a query's source.
pub(crate) fn table(source: Source, routing: &RoutingState, status: &[StatusReply]) -> Table {
    let config = routing.snapshot.config_view.config.clone().unwrap_or_default();
    match source {
        Source::Organisations => organisations(&config),
        Source::Adapters => adapters(&config),
        Source::Classes => classes(&config),
        Source::Services => services(&config),
        Source::Hosts => hosts(routing, &config),
        Source::Zones => zones(routing),
        Source::Backends => backends(status),
        Source::Owners => owners(routing),
        Source::Loaded => loaded(status),
        Source::Waiting => waiting(status),
        Source::Refused => refused(status),
        Source::Revisions => revisions(routing, status),
    }
}

/// Returns whether the table of a source needs the dispatchers' status replies.
pub(crate) fn needs_status(source: Source) -> bool {
    match source {
        Source::Backends
        | Source::Loaded
        | Source::Waiting
        | Source::Refused
        | Source::Revisions => true,
        Source::Organisations
        | Source::Adapters
        | Source::Classes
        | Source::Services
        | Source::Hosts
        | Source::Zones
        | Source::Owners => false,
    }
}

fn text_cell(value: impl ToString) -> Cell {
    Cell::Text(value.to_string())
}

fn yes_no_cell(value: bool) -> Cell {
    Cell::from(if value { "yes" } else { "no" })
}

fn organisations(config: &Config) -> Table {
    let mut table = Table::new(&["organisation", "keys", "adapters"]);
    for (name, org) in &config.organisations {
        let (keys, adapters) = (org.keys.len() as u32, org.adapters.len() as u32);
        table.push(vec![text_cell(name), keys.into(), adapters.into()]);
    }
    table
}

fn adapters(config: &Config) -> Table {
    let mut table = Table::new(&["adapter", "organisation", "base", "class", "version", "pinned"]);
    for (organisation, org) in &config.organisations {
        for (name, adapter) in &org.adapters {
            for version in &adapter.versions {
                let adapter_version =
                    AdapterVersion::new(organisation.clone(), name.clone(), *version);
                table.push(vec![
                    text_cell(adapter_version),
                    text_cell(organisation),
                    text_cell(&adapter.base),
                    adapter.class.as_ref().map_or(Cell::from("-"), text_cell),
                    (*version).into(),
                    yes_no_cell(adapter.pinned == Some(*version)),
                ]);
            }
        }
    }
    table
}

fn classes(config: &Config) -> Table {
    let columns = ["class", "repeatable", "worth", "deadline-ms", "priority"];
    let mut table = Table::new(&columns);
    for (name, class) in &config.classes {
        let priority = match class.priority {
            Priority::Interactive => "interactive",
            Priority::Draft => "draft",
            Priority::Overnight => "overnight",
        };
        table.push(vec![
            text_cell(name),
            yes_no_cell(class.repeatable),
            class.worth.into(),
            class.deadline_ms.into(),
            priority.into(),
        ]);
    }
    table
}

fn services(config: &Config) -> Table {
    let mut table = Table::new(&["service", "path", "class"]);
    for (name, service) in &config.services {
        for route in &service.routes {
            table.push(vec![text_cell(name), text_cell(&route.path), text_cell(&route.class)]);
        }
    }
    table
}

fn host_kind(host: &Host) -> Cell {
    match &host.kind {
        HostKind::EntryHost => Cell::from("entry-host"),
        HostKind::Engine => Cell::from("engine"),
        HostKind::Service(name) => text_cell(name),
    }
}

fn hosts(routing: &RoutingState, config: &Config) -> Table {
    let mut table = Table::new(&["host", "zone", "kind", "address", "state"]);
    for host in routing.snapshot.hosts.iter() {
        let state = match host.state {
            _ if config.drained.contains(&host.name) => "drained",
            HostState::Live => "live",
            HostState::Leaving => "leaving",
        };
        table.push(vec![
            text_cell(&host.name),
            text_cell(&host.zone),
            host_kind(host),
            text_cell(host.address),
            state.into(),
        ]);
    }
    table
}

fn zones(routing: &RoutingState) -> Table {
    let mut table = Table::new(&["zone", "entry-hosts", "engines", "service-servers"]);
    let hosts = &routing.snapshot.hosts;
    let names: std::collections::BTreeSet<&Name> = hosts.iter().map(|host| &host.zone).collect();
    for zone in names {
        let count = |wanted: fn(&HostKind) -> bool| {
            hosts.iter().filter(|h| h.zone == *zone && wanted(&h.kind)).count() as u32
        };
        table.push(vec![
            text_cell(zone),
            count(|kind| *kind == HostKind::EntryHost).into(),
            count(|kind| *kind == HostKind::Engine).into(),
            count(|kind| matches!(kind, HostKind::Service(_))).into(),
        ]);
    }
    table
}

fn backend_statuses(status: &[StatusReply]) -> impl Iterator<Item = &BackendStatus> {
    status.iter().flat_map(|reply| &reply.backends)
}

fn owner_cell(backend: &BackendStatus) -> Cell {
    backend.owner.as_ref().map_or(Cell::from("-"), text_cell)
}

fn backends(status: &[StatusReply]) -> Table {
    let mut table = Table::new(&["backend", "owner", "fence", "running", "waiting", "loaded"]);
    for backend in backend_statuses(status) {
        table.push(vec![
            text_cell(&backend.host),
            owner_cell(backend),
            Cell::Number(backend.fence as f64),
            backend.running.into(),
            backend.waiting.into(),
            (backend.loaded.len() as u32).into(),
        ]);
    }
    table
}

fn owners(routing: &RoutingState) -> Table {
    let mut table = Table::new(&["backend", "zone", "dispatcher", "open", "load"]);
    for engine in &routing.engines {
        table.push(vec![
            text_cell(&engine.host),
            text_cell(&engine.zone),
            engine.dispatcher_address.map_or(Cell::from("-"), text_cell),
            yes_no_cell(engine.is_accepting),
            engine.digest.as_ref().map_or(0, |digest| u32::from(digest.load)).into(),
        ]);
    }
    table
}

fn loaded(status: &[StatusReply]) -> Table {
    let mut table = Table::new(&["backend", "adapter", "running", "demand"]);
    for backend in backend_statuses(status) {
        for adapter in &backend.loaded {
            table.push(vec![
                text_cell(&backend.host),
                text_cell(&adapter.adapter),
                adapter.running.into(),
                Cell::Number(adapter.demand.into()),
            ]);
        }
    }
    table
}

fn waiting(status: &[StatusReply]) -> Table {
    let mut table = Table::new(&["backend", "owner", "waiting"]);
    for backend in backend_statuses(status).filter(|backend| backend.waiting > 0) {
        table.push(vec![text_cell(&backend.host), owner_cell(backend), backend.waiting.into()]);
    }
    table
}

fn refused(status: &[StatusReply]) -> Table {
    let mut table = Table::new(&["entry-host", "code", "meaning", "count"]);
    for reply in status {
        for refused in &reply.refused {
            table.push(vec![
                text_cell(&reply.entry_host),
                u32::from(refused.code.number()).into(),
                refused.code.title().into(),
                Cell::Number(refused.count as f64),
            ]);
        }
    }
    table
}

fn revisions(routing: &RoutingState, status: &[StatusReply]) -> Table {
    let mut table = Table::new(&["entry-host", "zone", "revision"]);
    for reply in status {
        table.push(vec![
            text_cell(&reply.entry_host),
            text_cell(&reply.zone),
            Cell::Number(reply.revision as f64),
        ]);
    }
    let missing = routing.snapshot.hosts.iter().filter(|host| {
        host.is_entry_host() && !status.iter().any(|reply| reply.entry_host == host.name)
    });
    for host in missing {
        table.push(vec![text_cell(&host.name), text_cell(&host.zone), Cell::from("no answer")]);
    }
    table
}
