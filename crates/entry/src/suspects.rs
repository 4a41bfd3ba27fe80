//! Finds out whether a server ended when a request's connection to it broke.

use guavaspread_fleet::{AfterBreak, Break, Ending, Evidence, Probe, Server, Standing};
use guavaspread_model::ContentId;
use http::StatusCode;

use crate::channel::ask_once;
use crate::metrics::EndedBy;
use crate::prelude::*;
use crate::state::Entry;

/// How long a server may take to answer a probe: one that lives answers behind what it runs.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl Entry {
    /// Takes over that a request's connection to a server was lost.
    pub(crate) fn on_broken(self: &Rc<Self>, server: &Arc<Server>, content: ContentId, how: Break) {
        let now = self.clock.now();
        let known = self.roster.borrow().get(&server.id).cloned();
        // What is known of it now counts, not what was when it was sent the request.
        let current = known.filter(|known| known.born == server.born);
        let is_leaving = self.standing(current.as_ref().unwrap_or(server)) == Standing::Leaving;
        let next = self.endings.borrow_mut().on_broken(server, is_leaving, (content, how), now);
        match next {
            AfterBreak::Ended(ending) => self.on_endings(vec![ending]),
            AfterBreak::Probe => {
                tokio::task::spawn_local(probe(self.clone(), server.clone()));
            }
            AfterBreak::Wait => {}
            AfterBreak::Planned => {
                log::info!("server {} left as announced, under content {content}", server.id);
            }
        }
    }

    /// Takes over that another server answered at a server's address.
    pub(crate) fn on_other_server(&self, server: &Server) {
        let endings = self.endings.borrow_mut().on_other(server, self.clock.now());
        self.on_endings(endings);
    }

    /// Takes over that servers ended under requests.
    pub(crate) fn on_endings(&self, endings: Vec<Ending>) {
        let now = self.clock.now();
        for ending in endings {
            let Ending { content, server, born, evidence } = &ending;
            let evidence = evidence_name(*evidence);
            self.metrics.servers_ended.get_or_create(&EndedBy { evidence }).inc();
            let is_news = self.quarantine.borrow_mut().on_end(&ending, now);
            let count = self.quarantine.borrow().ends(*content);
            log::warn!(
                "server {server} of {born} ended under content {content}: {evidence}; {count} in all"
            );
            if is_news {
                self.word.on_change();
                self.log_hold(*content, "here");
            }
        }
    }
}

fn evidence_name(evidence: Evidence) -> &'static str {
    match evidence {
        Evidence::Refused => "refused",
        Evidence::Replaced => "replaced",
        Evidence::Restarted => "restarted",
        Evidence::RowGone => "row-gone",
    }
}

/// Probes a server, again and again while it is in doubt or further connections to it break.
async fn probe(entry: Rc<Entry>, server: Arc<Server>) {
    let mut due_at = Some(entry.clock.now());
    while let Some(at) = due_at {
        tokio::time::sleep(at.saturating_sub(entry.clock.now())).await;
        let began = entry.clock.now();
        let found = look_at(&entry, &server).await;
        log::info!("server {} was probed after a connection broke: {found:?}", server.id);
        let now = entry.clock.now();
        let (endings, again) = entry.endings.borrow_mut().on_probe(&server, found, began, now);
        entry.on_endings(endings);
        entry.word.on_probed();
        due_at = again;
    }
}

async fn look_at(entry: &Entry, server: &Server) -> Probe {
    let path = {
        let catalog = entry.catalog.borrow();
        let service = catalog.as_ref().and_then(|catalog| catalog.service(&server.service));
        service.map_or_else(|| "/".into(), |service| service.health_path.clone())
    };
    let req = entry.borders.dialect.probe(server, &path);
    let asked = tokio::time::timeout(PROBE_TIMEOUT, ask_once(server.address, req)).await;
    match asked {
        Ok(Ok(Ok(head))) => {
            let answer = entry.borders.dialect.answer(head.status, &head.headers);
            let is_other = head.status == StatusCode::MISDIRECTED_REQUEST
                || answer.is_other_server(&server.id);
            if is_other { Probe::Other } else { Probe::Same }
        }
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => Probe::Refused,
        Ok(Ok(Err(_)) | Err(_)) | Err(_) => Probe::Silent,
    }
}
