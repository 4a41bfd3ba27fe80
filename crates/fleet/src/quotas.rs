//! Grants of requests within organisations' quotas.
//!
//! A quota applies to all entry hosts together. One host, the organisation's issuer, keeps its
//! bucket and is asked for each request, so that neither the number of hosts nor their shares of
//! the requests matter. Each zone has a keeper, which pings the issuer. When a zone's pings stop,
//! the issuer keeps back the zone's part of the rate, and a little later the keeper grants that
//! part to the hosts of its zone. The parts add up to the limit, whichever hosts are lost or
//! partitioned.
//!
//! A request is granted while the bucket is not empty and may put it into debt: with a check of the
//! whole size, small requests would leave no room for large ones.

use std::collections::BTreeSet;

use guavaspread_model::rendezvous_score;

use crate::lease::HostLease;
use crate::organisations::Quota;
use crate::prelude::*;

/// Interval of a keeper's pings.
pub const QUOTA_PING_INTERVAL: Duration = Duration::from_millis(400);
/// After this long without a ping, the issuer keeps back a zone's part. It covers two lost pings.
const CUT_OFF_TIME: Duration = Duration::from_millis(1_000);
/// After this long without a reply, a keeper grants its zone's part: later than the issuer keeps it
/// back, by a ping's interval, so that both never grant it.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_400);
/// What a keeper may grant before that, in time of the whole rate. Callers of a zone that has just
/// been cut off would otherwise all be refused.
const RESERVE_TIME: Duration = Duration::from_millis(50);
/// The longest time after which a refused caller is asked to return.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(8);
/// The maximum number of organisations whose buckets a host keeps.
const BUCKETS_MAX: usize = 8_192;
/// Keepers that a host may ask in its zone.
const KEEPERS_MAX: usize = 2;

/// The answer to a request within a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request may be sent.
    Granted,
    /// The quota has room again after this time.
    Refused(Duration),
}

/// The hosts that keep an organisation's quota, as the hosts of one zone see them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaHosts {
    /// The issuer, and the host that follows it when it is lost.
    pub issuers: Vec<HostLease>,
    /// The zone's keepers, in the order in which they are asked.
    pub keepers: Vec<HostLease>,
    /// The zones that have a keeper.
    pub kept_zones: BTreeSet<Arc<str>>,
    /// The number of zones with entry hosts.
    pub zone_count: u32,
    /// The number of entry hosts.
    pub host_count: u32,
}

impl QuotaHosts {
    /// Selects the hosts for an organisation: those with the fastest links, as an issuer is asked by
    /// all others.
    pub fn select(organisation: &str, zone: &str, hosts: &[HostLease]) -> Self {
        let mut ranked: Vec<&HostLease> = hosts.iter().collect();
        ranked.sort_by_cached_key(|host| {
            let score = rendezvous_score(organisation, &host.holder);
            std::cmp::Reverse((host.link_mbps, score, host.holder.clone()))
        });
        let zones: BTreeSet<&Arc<str>> = hosts.iter().map(|host| &host.zone).collect();
        let keepers = ranked.iter().skip(1).filter(|host| *host.zone == *zone).take(KEEPERS_MAX);
        QuotaHosts {
            issuers: ranked.iter().take(2).copied().cloned().collect(),
            keepers: keepers.copied().cloned().collect(),
            kept_zones: ranked.iter().skip(1).map(|host| host.zone.clone()).collect(),
            zone_count: zones.len() as u32,
            host_count: hosts.len() as u32,
        }
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    /// What may be granted now; negative after a large request.
    level: f64,
    refilled_at: Duration,
    /// When the requests refused so far have found room.
    booked_until: Duration,
}

impl Bucket {
    fn empty(now: Duration) -> Self {
        Bucket { level: 0.0, refilled_at: now, booked_until: now }
    }

    fn refill(&mut self, rate: f64, capacity: f64, now: Duration) {
        let time = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        self.level = (self.level + rate * time.as_secs_f64()).min(capacity);
    }

    fn take(&mut self, cost: f64, rate: f64, now: Duration) -> QuotaDecision {
        if self.level > 0.0 {
            self.level -= cost;
            return QuotaDecision::Granted;
        }
        let time_of = |amount: f64| {
            let seconds = (amount / rate).clamp(0.0, RETRY_AFTER_MAX.as_secs_f64());
            Duration::from_secs_f64(if seconds.is_nan() { 0.0 } else { seconds })
        };
        // Callers that are refused one after the other are asked back one after the other.
        let room_at = self.booked_until.max(now + time_of(-self.level));
        self.booked_until = (room_at + time_of(cost)).min(now + RETRY_AFTER_MAX);
        QuotaDecision::Refused(room_at.saturating_sub(now))
    }
}

#[derive(Clone, Debug)]
struct Issued {
    bucket: Bucket,
    /// When the keeper of each zone pinged last.
    pinged_at: BTreeMap<Arc<str>, Duration>,
    granted: f64,
    refused: u64,
}

impl Issued {
    /// Returns the part of the rate that this host may grant.
    fn part(&self, hosts: &QuotaHosts, now: Duration) -> f64 {
        let is_cut_off =
            |zone: &&Arc<str>| self.pinged_at.get(*zone).is_none_or(|at| now >= *at + CUT_OFF_TIME);
        let cut_off = hosts.kept_zones.iter().filter(is_cut_off).count() as f64;
        (1.0 - cut_off / f64::from(hosts.zone_count.max(1))).max(0.0)
    }

    /// Refills the bucket; returns the rate. After a suspension of this host, the pings are old and
    /// the time counts for nothing.
    fn refill(&mut self, quota: &Quota, hosts: &QuotaHosts, now: Duration) -> f64 {
        let rate = quota.rate_per_s * self.part(hosts, now);
        self.bucket.refill(rate, quota.burst.max(reserve(quota)), now);
        rate
    }
}

#[derive(Clone, Debug)]
struct Kept {
    bucket: Bucket,
    /// When the issuer last replied to a ping; at first, when the keeper began.
    replied_at: Duration,
}

/// What a keeper may save up.
fn reserve(quota: &Quota) -> f64 {
    quota.rate_per_s * RESERVE_TIME.as_secs_f64()
}

/// The parts of organisations' quotas that one host grants.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    issued: HashMap<Arc<str>, Issued>,
    kept: HashMap<Arc<str>, Kept>,
    alone: HashMap<Arc<str>, Bucket>,
}

/// What an issuer granted and refused since it began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaUse {
    /// The units granted.
    pub granted: f64,
    /// The requests refused.
    pub refused: u64,
}

impl QuotaLedger {
    fn issued(&mut self, organisation: &Arc<str>, now: Duration) -> &mut Issued {
        bound(&mut self.issued, organisation);
        self.issued.entry(organisation.clone()).or_insert_with(|| Issued {
            bucket: Bucket::empty(now),
            pinged_at: BTreeMap::new(),
            granted: 0.0,
            refused: 0,
        })
    }

    fn kept(&mut self, organisation: &Arc<str>, now: Duration) -> &mut Kept {
        bound(&mut self.kept, organisation);
        let fresh = || Kept { bucket: Bucket::empty(now), replied_at: now };
        self.kept.entry(organisation.clone()).or_insert_with(fresh)
    }

    /// Decides on a request as the organisation's issuer.
    pub fn issue(
        &mut self,
        (organisation, quota): (&Arc<str>, &Quota),
        hosts: &QuotaHosts,
        cost: f64,
        now: Duration,
    ) -> QuotaDecision {
        let issued = self.issued(organisation, now);
        let rate = issued.refill(quota, hosts, now);
        let decision = issued.bucket.take(cost, rate, now);
        match decision {
            QuotaDecision::Granted => issued.granted += cost,
            QuotaDecision::Refused(_) => issued.refused += 1,
        }
        decision
    }

    /// Records the ping of a zone's keeper at the issuer.
    pub fn on_ping(
        &mut self,
        (organisation, quota): (&Arc<str>, &Quota),
        hosts: &QuotaHosts,
        zone: &Arc<str>,
        now: Duration,
    ) {
        let issued = self.issued(organisation, now);
        // The time before counts by what was known then.
        issued.refill(quota, hosts, now);
        issued.pinged_at.insert(zone.clone(), now);
    }

    /// Decides on a request as the keeper of a zone whose hosts don't reach the issuer.
    pub fn keep(
        &mut self,
        (organisation, quota): (&Arc<str>, &Quota),
        hosts: &QuotaHosts,
        cost: f64,
        now: Duration,
    ) -> QuotaDecision {
        let kept = self.kept(organisation, now);
        let rate = kept.refill(quota, hosts, now);
        kept.bucket.take(cost, rate, now)
    }

    /// Records that a keeper pings; before its first ping, it has no part.
    pub fn on_ping_sent(&mut self, organisation: &Arc<str>, now: Duration) {
        self.kept(organisation, now);
    }

    /// Records the issuer's reply to a keeper's ping.
    pub fn on_pong(
        &mut self,
        (organisation, quota): (&Arc<str>, &Quota),
        hosts: &QuotaHosts,
        now: Duration,
    ) {
        let kept = self.kept(organisation, now);
        kept.refill(quota, hosts, now);
        kept.replied_at = now;
    }

    /// Decides on a request at a host that reaches no other.
    pub fn grant_alone(
        &mut self,
        (organisation, quota): (&Arc<str>, &Quota),
        hosts: &QuotaHosts,
        cost: f64,
        now: Duration,
    ) -> QuotaDecision {
        bound(&mut self.alone, organisation);
        let bucket = self.alone.entry(organisation.clone()).or_insert_with(|| Bucket::empty(now));
        let part = 1.0 / f64::from(hosts.host_count.max(1));
        let rate = quota.rate_per_s * part;
        bucket.refill(rate, reserve(quota) * part, now);
        bucket.take(cost, rate, now)
    }

    /// Returns the cost of a request that the issuer granted and that has not run.
    pub fn give_back(&mut self, organisation: &Arc<str>, cost: f64) {
        if let Some(issued) = self.issued.get_mut(organisation) {
            issued.bucket.level += cost;
            issued.granted -= cost;
        }
    }

    /// Returns what this host granted and refused as an issuer, by organisation.
    pub fn uses(&self) -> impl Iterator<Item = (&Arc<str>, QuotaUse)> {
        self.issued.iter().map(|(organisation, issued)| {
            (organisation, QuotaUse { granted: issued.granted, refused: issued.refused })
        })
    }

    /// Removes the buckets of organisations that have no quota any more.
    pub fn retain(&mut self, has_quota: impl Fn(&str) -> bool) {
        self.issued.retain(|organisation, _| has_quota(organisation));
        self.kept.retain(|organisation, _| has_quota(organisation));
        self.alone.retain(|organisation, _| has_quota(organisation));
    }
}

impl Kept {
    /// Refills the bucket while the issuer is out of reach; returns the rate.
    fn refill(&mut self, quota: &Quota, hosts: &QuotaHosts, now: Duration) -> f64 {
        let rate = quota.rate_per_s / f64::from(hosts.zone_count.max(1));
        let takes_over_at = self.replied_at + TAKEOVER_TIME;
        self.bucket.refilled_at = self.bucket.refilled_at.max(takes_over_at.min(now));
        self.bucket.refill(rate, reserve(quota), now);
        rate
    }
}

/// Makes room for an organisation. A bucket that is lost begins empty again.
fn bound<V>(buckets: &mut HashMap<Arc<str>, V>, organisation: &Arc<str>) {
    if buckets.len() >= BUCKETS_MAX && !buckets.contains_key(organisation) {
        buckets.clear();
    }
}
