//! Quotas of organisations over all hosts, while zones are cut off and hosts are lost.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use guavaspread_fleet::{
    HostLease, QUOTA_PING_INTERVAL, Quota, QuotaDecision, QuotaHosts, QuotaLedger, QuotaTolerance,
    QuotaUnit,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const SEEDS: u64 = 12_000;
const ZONES: usize = 4;
const STEP: Duration = Duration::from_millis(100);
const STEPS: usize = 300;
const NOMINAL: Quota =
    Quota { unit: QuotaUnit::Tokens { plain: 200 }, rate_per_s: 100_000.0, burst: 100_000.0 };
/// The rule: in each window, the rate and the burst and a tenth more, and this slack.
const WINDOW: Duration = Duration::from_secs(8);
const OVERAGE: f64 = 1.1;
const SLACK: f64 = 110_000.0 / 560_760.0 * 100_000.0;

fn organisation() -> Arc<str> {
    "tenant".into()
}

fn host(name: &str, zone: usize, link_mbps: u32) -> HostLease {
    HostLease {
        holder: name.into(),
        address: "10.0.0.1:1".parse().unwrap(),
        zone: format!("zone-{zone}").into(),
        link_mbps,
        until_ms: 1,
        revision: 1,
        era: 0,
    }
}

/// The issuer in zone 0, a keeper in each zone, and which zones reach the issuer.
struct Fleet {
    hosts: QuotaHosts,
    issuer: QuotaLedger,
    keepers: Vec<QuotaLedger>,
    is_cut: [bool; ZONES],
    is_frozen: bool,
    quota: Quota,
    now: Duration,
    /// The granted units and when.
    granted: VecDeque<(Duration, f64)>,
    total: f64,
}

impl Fleet {
    fn start() -> Self {
        let mut leases = vec![host("issuer", 0, 200)];
        leases.extend((0..ZONES).map(|zone| host(&format!("keeper-{zone}"), zone, 10)));
        let hosts = QuotaHosts::select("tenant", "zone-0", &leases);
        assert_eq!(&*hosts.issuers[0].holder, "issuer");
        assert_eq!((hosts.zone_count, hosts.kept_zones.len()), (4, ZONES));
        Fleet {
            hosts,
            issuer: QuotaLedger::default(),
            keepers: vec![QuotaLedger::default(); ZONES],
            is_cut: [false; ZONES],
            is_frozen: false,
            quota: NOMINAL.with_tolerance(&QuotaTolerance {
                window: WINDOW,
                overage: OVERAGE - 1.0,
                slack: SLACK,
            }),
            now: Duration::from_secs(100),
            granted: VecDeque::new(),
            total: 0.0,
        }
    }

    fn reaches(&self, zone: usize) -> bool {
        !self.is_cut[zone] && !self.is_frozen
    }

    fn ping(&mut self) {
        for zone in 0..ZONES {
            let quota = (&organisation(), &self.quota);
            self.keepers[zone].on_ping_sent(&organisation(), self.now);
            if self.reaches(zone) {
                let name: Arc<str> = format!("zone-{zone}").into();
                self.issuer.on_ping(quota, &self.hosts, &name, self.now);
                self.keepers[zone].on_pong(quota, &self.hosts, self.now);
            }
        }
    }

    fn request(&mut self, zone: usize, cost: f64) -> QuotaDecision {
        let organisation = organisation();
        let quota = (&organisation, &self.quota);
        let decision = match self.reaches(zone) {
            true => self.issuer.issue(quota, &self.hosts, cost, self.now),
            false => self.keepers[zone].keep(quota, &self.hosts, cost, self.now),
        };
        if decision == QuotaDecision::Granted {
            self.granted.push_back((self.now, cost));
            self.total += cost;
        }
        decision
    }

    /// Returns what was granted in the last window.
    fn window(&mut self) -> f64 {
        while self.granted.front().is_some_and(|(at, _)| *at + WINDOW <= self.now) {
            self.granted.pop_front();
        }
        self.granted.iter().map(|(_, cost)| cost).sum()
    }

    fn disturb(&mut self, rng: &mut ChaCha8Rng) {
        let zone = rng.random_range(0..ZONES);
        match rng.random_range(0..6) {
            0..=2 => self.is_cut[zone] ^= true,
            3 => self.keepers[zone] = QuotaLedger::default(),
            4 => self.issuer = QuotaLedger::default(),
            _ => self.is_frozen ^= true,
        }
    }

    fn step(&mut self, n: usize) {
        self.now += STEP;
        let ping_steps = (QUOTA_PING_INTERVAL.as_millis() / STEP.as_millis()) as usize;
        if n.is_multiple_of(ping_steps) {
            self.ping();
        }
    }
}

fn limit() -> f64 {
    (NOMINAL.rate_per_s * WINDOW.as_secs_f64() + NOMINAL.burst) * OVERAGE + SLACK
}

/// Zones are cut off and come back, keepers restart and the issuer freezes or restarts, while each
/// zone asks for several times the limit or for nothing.
#[test_case(Duration::ZERO; "at random")]
#[test_case(Duration::from_millis(1_800); "three zones flap")]
#[test_case(Duration::from_millis(6_000); "three zones are cut off for 3 s")]
fn no_window_has_more_than_the_limit(flap_period: Duration) {
    for seed in 0..SEEDS / 3 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::start();
        let mut is_asking = [true; ZONES];
        for n in 0..STEPS {
            fleet.step(n);
            if rng.random_bool(0.02) {
                fleet.disturb(&mut rng);
            }
            if rng.random_bool(0.03) {
                is_asking[rng.random_range(0..ZONES)] ^= true;
            }
            if !flap_period.is_zero() {
                let is_cut = (STEP * n as u32).as_millis() % flap_period.as_millis()
                    >= flap_period.as_millis() / 2;
                fleet.is_cut = [false, is_cut, is_cut, is_cut];
            }
            for zone in (0..ZONES).filter(|zone| is_asking[*zone]) {
                for _ in 0..rng.random_range(0..30) {
                    let cost = if rng.random_bool(0.05) { 9_200.0 } else { 700.0 };
                    fleet.request(zone, cost);
                }
            }
            let window = fleet.window();
            assert!(window <= limit(), "seed {seed}, step {n}: {window} of {}", limit());
        }
    }
}

/// Demand above the limit moves from zone to zone, and between hosts.
#[test_case(false; "all zones reach the issuer")]
#[test_case(true; "one zone is cut off")]
fn a_limit_is_used_in_full_where_demand_moves(is_cut: bool) {
    let mut fleet = Fleet::start();
    for n in 0..20 {
        fleet.step(n);
    }
    fleet.is_cut[3] = is_cut;
    let zones = if is_cut { 3 } else { ZONES };
    // The part of the zone that is cut off is kept for its own callers.
    let limit = fleet.quota.rate_per_s * zones as f64 / ZONES as f64;
    for n in 0..20 {
        fleet.step(n);
    }
    let (begin, before) = (fleet.now, fleet.total);
    let mut refused = 0;
    for n in 0..600 {
        fleet.step(n);
        for _ in 0..23 {
            refused += u32::from(fleet.request((n / 20) % zones, 700.0) != QuotaDecision::Granted);
        }
    }
    let used = (fleet.total - before) / (limit * (fleet.now - begin).as_secs_f64());
    assert!(used >= 0.95 && refused > 0, "{used} of the limit");
}

/// Below the limit nobody is refused, whatever the sizes and the zones.
#[test]
fn nobody_is_refused_below_the_limit() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut fleet = Fleet::start();
    for n in 0..20 {
        fleet.step(n);
    }
    for n in 0..2_000 {
        fleet.step(n);
        let costs = [9_200.0, 200.0, 700.0, 700.0, 700.0, 700.0];
        for cost in &costs[rng.random_range(0..3)..][..rng.random_range(0..4)] {
            let decision = fleet.request(rng.random_range(0..ZONES), *cost);
            assert_eq!(decision, QuotaDecision::Granted, "step {n}");
        }
    }
}

/// Callers beyond the limit are asked back one after the other, and each finds room then.
#[test]
fn refused_callers_return_in_order() {
    let mut fleet = Fleet::start();
    for n in 0..20 {
        fleet.step(n);
    }
    while fleet.request(0, 700.0) == QuotaDecision::Granted {}
    let waits: Vec<Duration> = (0..50)
        .map(|_| match fleet.request(0, 10_000.0) {
            QuotaDecision::Refused(wait) => wait,
            QuotaDecision::Granted => panic!("granted beyond the limit"),
        })
        .collect();
    assert!(waits.is_sorted(), "{waits:?}");
    let tenth = Duration::from_secs_f64(10_000.0 / fleet.quota.rate_per_s);
    let steps: Vec<Duration> = waits.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(steps.iter().all(|step| step.abs_diff(tenth) < Duration::from_millis(1)), "{steps:?}");
    fleet.now += waits[0] + Duration::from_millis(1);
    assert_eq!(fleet.request(0, 10_000.0), QuotaDecision::Granted);
}

#[test]
fn what_has_not_run_is_given_back() {
    let mut fleet = Fleet::start();
    for n in 0..20 {
        fleet.step(n);
    }
    while fleet.request(0, 700.0) == QuotaDecision::Granted {}
    fleet.issuer.give_back(&organisation(), 1_400.0);
    assert_eq!(fleet.request(0, 700.0), QuotaDecision::Granted);
}
