//! Word of contents that end servers, between entry hosts.
//!
//! Each content has hosts that count it, two in each zone, the same by everyone's leases. A host
//! that sees a server end tells them; once it is more than one server, they tell the other hosts
//! of their zone. So a server's end costs messages by the zones, and only what goes on ending
//! servers reaches every host. What was not taken over is told again until it is.

use std::collections::HashSet;
use std::net::SocketAddr;

use futures::future::join_all;
use futures::{StreamExt, stream};
use guavaspread_fleet::{
    Backoff, ContentNote, HostLease, KnownContent, Passage, SavedContents, counters,
};
use guavaspread_model::ContentId;
use tokio::sync::Notify;

use crate::border::StoreError;
use crate::follow;
use crate::message::{CrashNews, CrashReply};
use crate::prelude::*;
use crate::state::Entry;

/// Where news comes from, in log lines.
const PEER: &str = "by a peer's word";
/// Before the store is written to again that did not answer as asked.
const SAVE_PAUSE: Duration = Duration::from_millis(1_500);
/// Before hosts are told again that did not answer: at first, and at most, so that one that was
/// cut off hears soon after.
const TELL_PAUSE: Duration = Duration::from_millis(500);
const TELL_PAUSE_MAX: Duration = Duration::from_millis(2_000);
/// Between two looks at what has been forgotten since.
const KEEP_PAUSE: Duration = Duration::from_secs(30);
/// What is remembered of who was told what, before contents that were forgotten are left out.
const TOLD_MAX: usize = 16_384;
/// How old the list of hosts may be when they are told: one that started since asks by itself.
const HOSTS_FRESH_FOR: Duration = Duration::from_secs(3);
/// Hosts that are told at once: each may take a connection.
const TOLD_AT_ONCE: usize = 16;
/// Contents in one message.
const NOTES_MAX: usize = 256;
/// Hosts that one which has started asks what they know.
const ASKED_AT_START: usize = 4;
/// How long a host that has started may take to ask them, before it serves.
const LEARN_TIMEOUT: Duration = Duration::from_millis(1_000);
const LEARN_POLL: Duration = Duration::from_millis(10);
/// How long a request waits to learn whether its own last attempt ended a server.
const DOUBT_TIMEOUT: Duration = Duration::from_millis(450);
/// Hosts that are asked for a trial, one after the other.
const JUDGES: usize = 2;
/// For how long content is refused when no host grants or denies its trial.
const NO_JUDGE_PAUSE: Duration = Duration::from_secs(5);

/// Tracks what this host has told others.
#[derive(Default)]
pub(crate) struct Word {
    changed: Notify,
    unsaved: Notify,
    probed: Notify,
    /// What each host was told of a content: the revision here.
    told: RefCell<HashMap<(Arc<str>, ContentId), u64>>,
    settled: RefCell<Settled>,
    /// What the store has.
    saved: RefCell<SavedContents>,
    /// Whether other hosts were asked what they know.
    has_learnt: Cell<bool>,
    /// When the list of hosts was last asked for.
    looked_at: Cell<Option<Duration>>,
}

/// Spares a look at who was told what.
#[derive(Default)]
struct Settled {
    /// The hosts there were.
    hosts: Vec<Arc<str>>,
    /// Contents of which all of them have heard that have to, with the revision here.
    contents: HashMap<ContentId, u64>,
}

impl Word {
    /// Takes over that there is something to tell.
    pub(crate) fn on_change(&self) {
        self.changed.notify_one();
        self.unsaved.notify_one();
    }

    /// Takes over that a probe has ended.
    pub(crate) fn on_probed(&self) {
        self.probed.notify_waiters();
    }

    /// Tells whether other hosts were asked what they know, if there are any.
    pub(crate) fn has_learnt(&self) -> bool {
        self.has_learnt.get()
    }

    fn is_told(&self, holder: &Arc<str>, known: &KnownContent) -> bool {
        let told = self.told.borrow();
        told.get(&(holder.clone(), known.content)).is_some_and(|told| *told >= known.revision)
    }

    fn is_settled(&self, known: &KnownContent) -> bool {
        self.settled.borrow().contents.get(&known.content) == Some(&known.revision)
    }

    /// Takes over that a host has started anew and knows nothing.
    fn forget_host(&self, holder: &str) {
        self.told.borrow_mut().retain(|(other, _), _| &**other != holder);
        self.settled.borrow_mut().contents.clear();
    }

    /// Takes over which hosts there are; with others, everything is looked at anew.
    fn on_hosts(&self, hosts: &[&HostLease], contents: &HashSet<ContentId>) {
        let mut settled = self.settled.borrow_mut();
        if settled.hosts.iter().ne(hosts.iter().map(|host| &host.holder)) {
            settled.hosts = hosts.iter().map(|host| host.holder.clone()).collect();
            settled.contents.clear();
            let known: HashSet<&Arc<str>> = settled.hosts.iter().collect();
            self.told.borrow_mut().retain(|(host, _), _| known.contains(host));
        }
        if self.told.borrow().len() > TOLD_MAX {
            self.told.borrow_mut().retain(|(_, content), _| contents.contains(content));
            settled.contents.retain(|content, _| contents.contains(content));
        }
    }
}

impl Entry {
    /// Takes over that a content has run to its end.
    pub(crate) fn on_whole(&self, content: ContentId) {
        if self.quarantine.borrow().is_empty() {
            return;
        }
        if self.quarantine.borrow_mut().on_whole(content, self.clock.now()) {
            log::info!("content {content} ran to its end; the servers' ends no longer count");
            self.word.on_change();
        }
    }

    /// Takes over what a peer knows of contents, and answers with what it does not.
    pub(crate) fn on_crash_news(&self, news: CrashNews) -> CrashReply {
        let now = self.clock.now();
        let mut reply = CrashReply { number: news.number, ..CrashReply::default() };
        self.take_over(&news.notes, PEER);
        if let Some(content) = news.trial {
            reply.is_granted = self.grant_trial(content);
        }
        let quarantine = self.quarantine.borrow();
        if let Some(host) = &news.new_host {
            self.word.forget_host(host);
            self.word.on_change();
            let for_all = quarantine.contents().filter(|known| known.is_for_all);
            let notes = for_all.filter_map(|known| quarantine.note(known.content, now));
            reply.notes = notes.take(NOTES_MAX).collect();
        } else {
            let more = news.notes.iter().filter(|note| quarantine.knows_more(note));
            reply.notes = more.filter_map(|note| quarantine.note(note.content, now)).collect();
        }
        reply
    }

    /// Takes over what hosts wrote to the store.
    pub(crate) fn on_saved(&self, notes: &[ContentNote]) {
        for note in notes {
            self.word.saved.borrow_mut().on_read(note.content);
        }
        self.take_over(notes, "by the store");
    }

    fn take_over(&self, notes: &[ContentNote], source: &str) {
        let mut is_news = false;
        for note in notes {
            let merged = self.quarantine.borrow_mut().merge(note, self.clock.now());
            if merged {
                self.log_hold(note.content, source);
            }
            is_news |= merged;
        }
        if is_news {
            self.word.on_change();
        }
    }

    fn grant_trial(&self, content: ContentId) -> bool {
        let is_granted = self.quarantine.borrow_mut().grant_trial(content, self.clock.now());
        if is_granted {
            log::info!("content {content} is let through once, to see whether servers still end");
            self.metrics.trials.inc();
            self.word.on_change();
        }
        is_granted
    }

    /// Writes whether a content is held.
    pub(crate) fn log_hold(&self, content: ContentId, source: &str) {
        let quarantine = self.quarantine.borrow();
        let ends = quarantine.ends(content);
        match quarantine.passage(content, self.clock.now()) {
            Passage::Held(left) => {
                let left_s = left.as_secs();
                log::warn!("content {content} is held for {left_s} s: {ends} ends, known {source}");
            }
            Passage::Open | Passage::Trial => {
                log::info!("content {content} is not held: {ends} ends, known {source}");
            }
        }
    }

    /// Returns the metrics as text.
    pub(crate) fn metrics_text(&self) -> String {
        let held = self.quarantine.borrow().held(self.clock.now());
        self.metrics.contents_held.set(held as i64);
        self.metrics.text()
    }
}

/// Waits until it is known whether a content's last server ended, if servers have ended under it
/// or that was not its first.
pub(crate) async fn await_probe(entry: &Entry, content: ContentId, sent: u32) {
    let until = entry.clock.now() + DOUBT_TIMEOUT;
    loop {
        let probed = entry.word.probed.notified();
        tokio::pin!(probed);
        probed.as_mut().enable();
        let now = entry.clock.now();
        let is_worth_it = sent > 1 || entry.quarantine.borrow().ends(content) > 0;
        if !is_worth_it || now >= until || !entry.endings.borrow().is_in_doubt(content) {
            return;
        }
        // Without word of a probe the doubt is looked at all the same.
        let _ = tokio::time::timeout(until - now, probed).await;
    }
}

/// Decides whether a content may be sent to servers; [`Passage::Trial`] stands for a trial that
/// was granted.
pub(crate) async fn pass(entry: &Rc<Entry>, content: ContentId) -> Passage {
    let passage = entry.quarantine.borrow().passage(content, entry.clock.now());
    match passage {
        Passage::Open | Passage::Held(_) => passage,
        Passage::Trial => match ask_trial(entry, content).await {
            Ok(()) => Passage::Trial,
            Err(left) => Passage::Held(left),
        },
    }
}

/// Asks for a trial of a content whose hold has run out; `Err` tells how long to refuse it.
async fn ask_trial(entry: &Rc<Entry>, content: ContentId) -> Result<(), Duration> {
    let judges = judges(entry, content);
    for (holder, address) in judges {
        if holder == entry.holder {
            return if entry.grant_trial(content) { Ok(()) } else { Err(left(entry, content)) };
        }
        let note = entry.quarantine.borrow().note(content, entry.clock.now());
        let notes = note.into_iter().collect();
        let news = CrashNews { notes, trial: Some(content), ..CrashNews::default() };
        let Some(reply) = entry.peers.tell(address, news, entry.clock).await else {
            log::warn!("{holder} was not asked for a trial of content {content}: no answer");
            continue;
        };
        entry.take_over(&reply.notes, PEER);
        return if reply.is_granted { Ok(()) } else { Err(left(entry, content)) };
    }
    Err(NO_JUDGE_PAUSE)
}

fn left(entry: &Entry, content: ContentId) -> Duration {
    match entry.quarantine.borrow().passage(content, entry.clock.now()) {
        Passage::Held(left) => left,
        Passage::Open | Passage::Trial => NO_JUDGE_PAUSE,
    }
}

/// Lists the hosts that may grant a content's trial: the first that count it, and the first of
/// this zone, which may be cut off.
fn judges(entry: &Entry, content: ContentId) -> Vec<(Arc<str>, SocketAddr)> {
    let zone = entry.cfg.borrow().zone.clone();
    let leases = entry.leases.borrow();
    let counters = counters(content, leases.hosts_as_read());
    let of_zone = counters.iter().find(|host| host.zone == zone);
    let mut judges: Vec<(Arc<str>, SocketAddr)> = Vec::new();
    for host in counters.iter().take(JUDGES).chain(of_zone) {
        if judges.iter().all(|(holder, _)| *holder != host.holder) {
            judges.push((host.holder.clone(), host.address));
        }
    }
    judges
}

/// Tells other hosts of contents until the process ends.
pub(crate) async fn spread(entry: Rc<Entry>) {
    // A store or hosts that don't answer must not keep this host from serving.
    let learning = tokio::time::timeout(LEARN_TIMEOUT, learn(&entry)).await;
    if learning.is_err() {
        log::warn!("no other host said under which contents servers ended");
    }
    entry.word.has_learnt.set(true);
    let mut backoff = Backoff::new(TELL_PAUSE, TELL_PAUSE_MAX);
    loop {
        let changed = entry.word.changed.notified();
        if tell_all(&entry).await {
            backoff.on_success();
            changed.await;
        } else {
            // Hosts that did not answer are told again.
            let _ = tokio::time::timeout(backoff.on_failure(), changed).await;
        }
    }
}

/// Keeps in the store what has to outlast all hosts, until the process ends.
pub(crate) async fn keep(entry: Rc<Entry>) {
    loop {
        let unsaved = entry.word.unsaved.notified();
        let pause = match save(&entry).await {
            Ok(()) => KEEP_PAUSE,
            Err(e) => {
                log::warn!("the store was not told of contents: {e}");
                tokio::time::sleep(SAVE_PAUSE).await;
                continue;
            }
        };
        // Without a change some may have been forgotten.
        let _ = tokio::time::timeout(pause, unsaved).await;
    }
}

/// Writes to the store what has to outlast all hosts.
async fn save(entry: &Entry) -> Result<(), StoreError> {
    let now = entry.clock.now();
    let (written, removed, notes, shown_ms) = {
        let (quarantine, leases) = (entry.quarantine.borrow(), entry.leases.borrow());
        let Some(shown_ms) = leases.shown_ms(now) else { return Ok(()) };
        let hosts: Vec<&HostLease> = leases.hosts_as_read().collect();
        let mut saved = entry.word.saved.borrow_mut();
        let hosts = || hosts.iter().copied();
        let written = saved.due(&entry.holder, quarantine.contents(), hosts());
        let removed = saved.outdated(&entry.holder, &quarantine, hosts());
        let notes: Vec<ContentNote> =
            written.iter().filter_map(|known| quarantine.note(known.content, now)).collect();
        (written, removed, notes, shown_ms)
    };
    if written.is_empty() && removed.is_empty() {
        return Ok(());
    }
    entry.borders.store.write_contents(&notes, shown_ms, &removed).await?;
    entry.word.saved.borrow_mut().on_written(&written, &removed);
    Ok(())
}

/// Asks hosts that have been up for longer what they know.
async fn learn(entry: &Rc<Entry>) {
    while entry.leases.borrow().revision().is_none() {
        tokio::time::sleep(LEARN_POLL).await;
    }
    let zone = entry.cfg.borrow().zone.clone();
    let mut hosts: Vec<HostLease> = {
        let leases = entry.leases.borrow();
        let others = leases.hosts_as_read().filter(|host| host.holder != entry.holder);
        others.cloned().collect()
    };
    hosts.sort_by_key(|host| host.zone != zone);
    hosts.truncate(ASKED_AT_START);
    let asking = hosts.iter().map(|host| {
        let new_host = Some(entry.holder.clone());
        let news = CrashNews { new_host, ..CrashNews::default() };
        entry.peers.tell(host.address, news, entry.clock)
    });
    for reply in join_all(asking).await.into_iter().flatten() {
        entry.take_over(&reply.notes, PEER);
    }
}

/// Tells each host what it has to hear; returns whether all have taken it over.
async fn tell_all(entry: &Rc<Entry>) -> bool {
    let are_told = tell_untold(entry).await;
    // The store may take its time, or be away: hosts that are known hear first.
    if look_for_hosts(entry).await { tell_untold(entry).await } else { are_told }
}

async fn tell_untold(entry: &Rc<Entry>) -> bool {
    let telling = stream::iter(untold(entry)).map(|(host, known)| tell(entry, host, known));
    let told: Vec<bool> = telling.buffer_unordered(TOLD_AT_ONCE).collect().await;
    !told.contains(&false)
}

/// Reads which hosts there are, if something is to be told and nobody has read them lately:
/// without a free engine nobody does.
async fn look_for_hosts(entry: &Rc<Entry>) -> bool {
    let now = entry.clock.now();
    let is_fresh = entry.word.looked_at.get().is_some_and(|at| now < at + HOSTS_FRESH_FOR);
    if is_fresh || entry.quarantine.borrow().is_empty() {
        return false;
    }
    entry.word.looked_at.set(Some(now));
    let after = entry.leases.borrow().revision();
    follow::read_leases(entry, after).await;
    true
}

async fn tell(entry: &Rc<Entry>, host: HostLease, known: Vec<KnownContent>) -> bool {
    let now = entry.clock.now();
    let notes = {
        let quarantine = entry.quarantine.borrow();
        known.iter().filter_map(|known| quarantine.note(known.content, now)).collect()
    };
    let news = CrashNews { notes, ..CrashNews::default() };
    let Some(reply) = entry.peers.tell(host.address, news, entry.clock).await else {
        log::debug!("{} was not told of {} contents: no answer", host.holder, known.len());
        return false;
    };
    for known in known {
        entry.word.told.borrow_mut().insert((host.holder.clone(), known.content), known.revision);
    }
    entry.take_over(&reply.notes, PEER);
    true
}

/// Lists the hosts that have to hear of contents, and of which.
fn untold(entry: &Entry) -> Vec<(HostLease, Vec<KnownContent>)> {
    let leases = entry.leases.borrow();
    let hosts: Vec<&HostLease> = leases.hosts_as_read().collect();
    let zone = entry.cfg.borrow().zone.clone();
    let mut untold: HashMap<Arc<str>, (HostLease, Vec<KnownContent>)> = HashMap::new();
    let contents: Vec<KnownContent> = entry.quarantine.borrow().contents().collect();
    entry.word.on_hosts(&hosts, &contents.iter().map(|known| known.content).collect());
    for known in contents {
        if entry.word.is_settled(&known) {
            continue;
        }
        let mut is_settled = true;
        let counters = counters(known.content, hosts.iter().copied());
        let counts = counters.iter().any(|host| host.holder == entry.holder);
        let of_zone = |host: &&HostLease| counts && known.is_for_all && host.zone == zone;
        let counting = counters.iter().copied().filter(|_| known.is_own);
        for host in counting.chain(hosts.iter().copied().filter(of_zone)) {
            if host.holder == entry.holder || entry.word.is_told(&host.holder, &known) {
                continue;
            }
            is_settled = false;
            let (_, contents) =
                untold.entry(host.holder.clone()).or_insert_with(|| (host.clone(), Vec::new()));
            if contents.len() < NOTES_MAX && !contents.contains(&known) {
                contents.push(known);
            }
        }
        if is_settled {
            entry.word.settled.borrow_mut().contents.insert(known.content, known.revision);
        }
    }
    untold.into_values().collect()
}
