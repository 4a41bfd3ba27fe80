//! Many hosts and servers that crash when they reject too many requests in a second.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use guavaspread_fleet::{
    LoadReport, NamedLimit, Pick, Placement, PlacementKey, RejectionNotice, Server, ServerState,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Time between a host and a server, one way.
const TRANSIT_MS: u64 = 2;
const SERVICE_TIME_MS: u64 = 400;
const SLOTS: usize = 8;
/// Requests that wait at a server, before and after `CONTACT_MS` of brittleness.
const QUEUE: usize = 8;
const BRITTLE_QUEUE: usize = 2;
const BRITTLE_AT_MS: u64 = 5_000;
const CONTACT_MS: u64 = 3_000;
const COUNTED_FROM_MS: u64 = BRITTLE_AT_MS + CONTACT_MS;
const END_MS: u64 = 30_000;
const RESTART_MS: u64 = 3_000;

fn server(id: &str) -> Server {
    Server {
        id: id.into(),
        service: "booking".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "north".into(),
        slots: SLOTS as u32,
        state: ServerState::Ready,
        started_at_ms: 1,
        software: None,
        models: Vec::new(),
    }
}

fn at(now_ms: u64) -> Duration {
    Duration::from_millis(now_ms)
}

/// A request of a host.
#[derive(Clone, Copy)]
struct Sent {
    host: usize,
    key: PlacementKey,
    sent_ms: u64,
}

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Served,
    Rejected,
    /// The server is down.
    Lost,
}

struct SimServer {
    row: Server,
    running: Vec<(u64, Sent)>,
    queue: VecDeque<Sent>,
    rejected_at: VecDeque<u64>,
    up_at: u64,
}

impl SimServer {
    fn new(n: usize) -> Self {
        SimServer {
            row: server(&format!("i-{n}")),
            running: Vec::new(),
            queue: VecDeque::new(),
            rejected_at: VecDeque::new(),
            up_at: 0,
        }
    }

    fn report(&self) -> LoadReport {
        let (running, waiting) = (self.running.len() as u32, self.queue.len() as u32);
        LoadReport { running, waiting, slots: SLOTS as u32 }
    }

    /// Ends the runs that are due and returns their requests.
    fn finish(&mut self, now: u64) -> Vec<Sent> {
        let (ended, running) = self.running.drain(..).partition(|(until, _)| *until <= now);
        self.running = running;
        let ended: Vec<(u64, Sent)> = ended;
        for _ in 0..ended.len() {
            let next = self.queue.pop_front();
            self.running.extend(next.map(|next| (now + SERVICE_TIME_MS, next)));
        }
        ended.into_iter().map(|(_, sent)| sent).collect()
    }

    /// Admits a request; returns the outcome if that is known at once.
    fn admit(&mut self, sent: Sent, now: u64) -> Option<Outcome> {
        let queue_max = if now >= COUNTED_FROM_MS { BRITTLE_QUEUE } else { QUEUE };
        if now < self.up_at {
            return Some(Outcome::Lost);
        }
        if self.running.len() < SLOTS {
            self.running.push((now + SERVICE_TIME_MS, sent));
            return None;
        }
        if self.queue.len() < queue_max {
            self.queue.push_back(sent);
            return None;
        }
        self.rejected_at.push_back(now);
        self.rejected_at.retain(|at| at + 1_000 > now);
        Some(Outcome::Rejected)
    }

    fn crash(&mut self, now: u64) {
        let row = Server { started_at_ms: self.row.started_at_ms + 1, ..self.row.clone() };
        *self = SimServer { row, up_at: now + RESTART_MS, ..SimServer::new(0) };
    }
}

/// Hosts that share no queue, and the servers that they use.
struct Sim {
    hosts: Vec<Placement>,
    servers: Vec<SimServer>,
    /// The rejections per second that the servers name.
    limit: f64,
    /// Whether the servers state their load.
    has_reports: bool,
    arriving: VecDeque<(u64, usize, Sent)>,
    replies: VecDeque<(u64, usize, Sent, Outcome, LoadReport)>,
    offered: usize,
    served: usize,
    falls: usize,
}

impl Sim {
    fn new(host_count: usize, server_count: usize, limit: f64, has_reports: bool) -> Self {
        let servers: Vec<SimServer> = (0..server_count).map(SimServer::new).collect();
        let host = |n| {
            let mut host = Placement::new("north".into());
            host.set_zone_crossing(0.2, n as u64);
            host.set_host_count(host_count);
            servers.iter().for_each(|server| host.upsert(Arc::new(server.row.clone())));
            host
        };
        Sim {
            hosts: (0..host_count).map(host).collect(),
            servers,
            limit,
            has_reports,
            arriving: VecDeque::new(),
            replies: VecDeque::new(),
            offered: 0,
            served: 0,
            falls: 0,
        }
    }

    /// A caller sends a request to a host.
    fn send(&mut self, host: usize, now: u64) {
        self.offered += usize::from(now >= COUNTED_FROM_MS);
        let pick = self.hosts[host].pick_server("booking", &[], at(now));
        if let Pick::Server(key, server) = pick {
            self.hosts[host].on_request_sent(key);
            let n = server.id[2..].parse().unwrap();
            self.arriving.push_back((now + TRANSIT_MS, n, Sent { host, key, sent_ms: now }));
        }
    }

    fn reply(&mut self, n: usize, sent: Sent, outcome: Outcome, now: u64) {
        self.served += usize::from(outcome == Outcome::Served && now >= COUNTED_FROM_MS);
        let report = self.servers[n].report();
        self.replies.push_back((now + TRANSIT_MS, n, sent, outcome, report));
    }

    fn step(&mut self, now: u64) {
        for n in 0..self.servers.len() {
            for sent in self.servers[n].finish(now) {
                self.reply(n, sent, Outcome::Served, now);
            }
        }
        while self.arriving.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, n, sent) = self.arriving.pop_front().unwrap();
            let outcome = self.servers[n].admit(sent, now);
            if let Some(outcome) = outcome {
                self.reply(n, sent, outcome, now);
            }
            let rejections = self.servers[n].rejected_at.len() as f64;
            let is_counted = outcome == Some(Outcome::Rejected) && now >= COUNTED_FROM_MS;
            if is_counted && rejections > self.limit {
                self.falls += 1;
                self.servers[n].crash(now);
                let row = Arc::new(self.servers[n].row.clone());
                self.hosts.iter_mut().for_each(|host| host.upsert(row.clone()));
            }
        }
        while self.replies.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, n, sent, outcome, report) = self.replies.pop_front().unwrap();
            self.on_reply(n, sent, outcome, report, now);
        }
    }

    fn on_reply(&mut self, n: usize, sent: Sent, outcome: Outcome, report: LoadReport, now: u64) {
        let host = &mut self.hosts[sent.host];
        host.on_request_ended(sent.key);
        if outcome == Outcome::Lost {
            host.on_unreachable(sent.key, at(now));
            return;
        }
        if self.has_reports {
            host.on_load_report(sent.key, report, at(now));
        }
        let limit = match now >= BRITTLE_AT_MS {
            true => NamedLimit::per_second(self.limit),
            false => NamedLimit::Absent,
        };
        let is_rejected = outcome == Outcome::Rejected;
        let notice = RejectionNotice { limit, is_rejected, sent_at: at(sent.sent_ms) };
        host.on_rejection_notice(&self.servers[n].row, notice, at(now));
    }
}

/// Plays `load` times the servers' capacity, spread over all hosts.
fn play(sim: &mut Sim, load: f64, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let per_ms = load * (sim.servers.len() * SLOTS) as f64 / SERVICE_TIME_MS as f64;
    for now in 0..END_MS {
        let count = per_ms as usize + usize::from(rng.random_bool(per_ms.fract()));
        for _ in 0..count {
            sim.send(rng.random_range(0..sim.hosts.len()), now);
        }
        sim.step(now);
    }
}

/// Plays three loads and asserts that few servers crash and that the given shares are served.
fn assert_few_falls(new: impl Fn() -> Sim, served_min: [f64; 3]) {
    for seed in 1..=3 {
        for (load, served_min) in [0.3, 0.8, 1.5].into_iter().zip(served_min) {
            let mut sim = new();
            play(&mut sim, load, seed);
            let served = sim.served as f64 / sim.offered as f64;
            let what = format!("{} falls, {served:.2} served at load {load}", sim.falls);
            assert!(sim.falls <= 2 + sim.servers.len() / 10 && served >= served_min, "{what}");
        }
    }
}

#[test_case(1, 3, 3.0; "one host")]
#[test_case(9, 4, 3.0; "nine hosts, few servers")]
#[test_case(9, 9, 3.0; "nine hosts")]
#[test_case(9, 9, 10.0; "nine hosts, ten rejections")]
#[test_case(36, 20, 3.0; "many hosts")]
#[test_case(195, 60, 3.0; "very many hosts")]
#[test_case(195, 60, 10.0; "very many hosts, ten rejections")]
fn brittle_servers_seldom_fall_and_stay_busy(host_count: usize, server_count: usize, limit: f64) {
    assert_few_falls(|| Sim::new(host_count, server_count, limit, true), [0.9, 0.6, 0.35]);
}

#[test_case(1, 3, 3.0; "one host")]
#[test_case(9, 9, 3.0; "nine hosts")]
#[test_case(36, 20, 10.0; "many hosts, ten rejections")]
fn brittle_servers_without_reports_seldom_fall(host_count: usize, server_count: usize, limit: f64) {
    assert_few_falls(|| Sim::new(host_count, server_count, limit, false), [0.5, 0.4, 0.25]);
}

/// A response that arrives at a host of nine.
struct Step {
    limit: NamedLimit,
    is_rejected: bool,
    sent_ms: u64,
    received_ms: u64,
}

const fn step(limit: NamedLimit, is_rejected: bool, sent_ms: u64, received_ms: u64) -> Step {
    Step { limit, is_rejected, sent_ms, received_ms }
}

fn three() -> NamedLimit {
    NamedLimit::per_second(3.0)
}

#[test_case(&[] => true; "nothing heard")]
#[test_case(&[step(NamedLimit::Absent, true, 10, 20)] => true; "not brittle")]
#[test_case(&[step(three(), true, 10, 20)] => false; "rejected")]
#[test_case(&[step(three(), true, 10, 20), step(NamedLimit::Absent, false, 21, 30)] => true; "ended")]
#[test_case(&[step(three(), true, 10, 20), step(NamedLimit::Absent, false, 19, 30)] => false; "a late response")]
#[test_case(&[step(three(), true, 10, 20), step(NamedLimit::Invalid, false, 21, 30)] => false; "an invalid limit")]
#[test_case(&[step(three(), true, 10, 20), step(three(), false, 11, 30)] => false; "another request ran")]
#[test_case(&[step(NamedLimit::Invalid, true, 10, 20)] => true; "an invalid limit alone")]
#[test_case(&[step(NamedLimit::per_second(1e9), true, 10, 20)] => true; "a huge limit")]
#[test_case(&[step(NamedLimit::per_second(0.0), true, 10, 20)] => false; "a limit of zero")]
fn a_host_sends_nothing_for_a_while_after_a_rejection(steps: &[Step]) -> bool {
    let row = server("i-0");
    let mut host = Placement::new("north".into());
    host.set_host_count(9);
    host.upsert(Arc::new(row.clone()));
    for Step { limit, is_rejected, sent_ms, received_ms } in steps {
        let notice =
            RejectionNotice { limit: *limit, is_rejected: *is_rejected, sent_at: at(*sent_ms) };
        host.on_rejection_notice(&row, notice, at(*received_ms));
    }
    matches!(host.pick_server("booking", &[], at(1_000)), Pick::Server(..))
}

/// A server that restarts after a crash starts without the pause, and its room is shared.
#[test]
fn a_restarted_server_gets_a_few_requests_at_first() {
    let (mut row, other) = (server("i-0"), server("i-1"));
    let mut host = Placement::new("north".into());
    host.set_host_count(2);
    for row in [&row, &other] {
        host.upsert(Arc::new(row.clone()));
        let notice = RejectionNotice { limit: three(), is_rejected: true, sent_at: at(10) };
        host.on_rejection_notice(row, notice, at(20));
    }
    row.started_at_ms += 1;
    host.upsert(Arc::new(row));
    let mut count = 0;
    while let Pick::Server(key, server) = host.pick_server("booking", &[], at(1_000)) {
        assert_eq!(&*server.id, "i-0");
        host.on_request_sent(key);
        count += 1;
    }
    // A quarter of 8 slots and of 3 rejections, for two hosts.
    assert_eq!(count, 1);
}
