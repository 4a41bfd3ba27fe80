//! Stand-in for the platform: a transactional table, a host list and a rate-limited weight store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use guavaspread_model::Host;
use guavaspread_store::{CommitReceipt, Conflict, Row, Transaction};
use ntex::time::sleep;
use ntex::web::types::{Json, Query, State};
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};

use crate::server;

/// Capacity of the weight store.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct PlatformSpec {
    /// Loads that the store admits in a second.
    pub loads_per_second: f64,
    /// Maximum number of concurrent loads at full speed.
    pub loads_at_full_speed: u32,
    /// Duration of one load at full speed, in milliseconds.
    pub load_ms: u32,
    /// Loads in flight across all servers beyond which each load takes proportionally longer.
    pub transit_max: u32,
}

impl Default for PlatformSpec {
    fn default() -> Self {
        PlatformSpec {
            loads_per_second: 3.0,
            loads_at_full_speed: 2,
            load_ms: 250,
            transit_max: 16,
        }
    }
}

/// Faults that the platform injects.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the table rejects every call.
    pub table_down: bool,
    /// Number of the next commits that are applied but answered with an error.
    pub lose_answers: u32,
    /// Latency added to each table call, in milliseconds.
    pub delay_ms: u32,
    /// Whether weight loads fail.
    pub loads_fail: bool,
    /// Factor by which each weight load takes longer; 0 and 1 change nothing.
    pub load_factor: u32,
}

/// Counters of the calls that the platform served.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PlatformStats {
    /// Number of reads of the table and of the host list.
    pub reads: u64,
    /// Number of table commits that were applied.
    pub commits: u64,
    /// Number of weight loads.
    pub loads: u64,
}

#[derive(Default)]
struct Table {
    rows: BTreeMap<String, Row>,
    revision: u64,
}

struct Inner {
    spec: PlatformSpec,
    table: Table,
    hosts: Vec<Host>,
    faults: Faults,
    stats: PlatformStats,
    loads_in_flight: u32,
    /// Tokens left in the bucket that limits the rate of loads; negative if loads wait.
    load_tokens: f64,
    load_tokens_at: Instant,
}

/// Stand-in for the platform's services.
#[derive(Clone)]
pub struct PlatformStandIn {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

#[derive(Deserialize)]
struct PrefixQuery {
    prefix: String,
}

impl PlatformStandIn {
    /// Creates a platform that lists `hosts`.
    pub fn new(spec: PlatformSpec, hosts: Vec<Host>) -> Self {
        let inner = Inner {
            spec,
            table: Table::default(),
            hosts,
            faults: Faults::default(),
            stats: PlatformStats::default(),
            loads_in_flight: 0,
            load_tokens: spec.loads_per_second,
            load_tokens_at: Instant::now(),
        };
        PlatformStandIn { inner: Arc::new(Mutex::new(inner)) }
    }

    /// Starts serving on `address` and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn spawn(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = server::bind(address)?;
        let bound = listener.local_addr()?;
        let this = self.clone();
        server::spawn("platform", listener, move |cfg| this.configure(cfg))?;
        Ok(bound)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.lock().hosts = hosts;
    }

    /// Returns the counters of served calls.
    pub fn stats(&self) -> PlatformStats {
        self.lock().stats
    }

    /// Returns the value of a table row.
    pub fn value(&self, key: &str) -> Option<String> {
        self.lock().table.rows.get(key).map(|row| row.value.clone())
    }

    fn configure(&self, cfg: &mut ServiceConfig) {
        cfg.state(self.clone())
            .state(web::types::JsonConfig::default().limit(64 * 1024 * 1024))
            .route("/table/row", web::get().to(row))
            .route("/table/rows", web::get().to(rows))
            .route("/table/commit", web::post().to(commit))
            .route("/hosts", web::get().to(hosts))
            .route("/weights", web::get().to(weights))
            .route("/standin/faults", web::post().to(faults))
            .route("/standin/hosts", web::put().to(put_hosts))
            .route("/standin/stats", web::get().to(stats));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the injected latency, then returns whether the table is available.
    async fn is_table_up(&self) -> bool {
        let faults = self.lock().faults;
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms.into())).await;
        }
        !faults.table_down
    }

    /// Admits one weight load and returns its duration, including the wait for the rate limit.
    fn start_load(&self) -> Duration {
        let mut inner = self.lock();
        let now = Instant::now();
        let rate = inner.spec.loads_per_second;
        let refill = now.duration_since(inner.load_tokens_at).as_secs_f64() * rate;
        inner.load_tokens = (inner.load_tokens + refill).min(rate) - 1.0;
        inner.load_tokens_at = now;
        let rate_delay = Duration::from_secs_f64((-inner.load_tokens / rate).max(0.0));
        inner.loads_in_flight += 1;
        inner.stats.loads += 1;
        let slowdown = (f64::from(inner.loads_in_flight)
            / f64::from(inner.spec.loads_at_full_speed))
        .max(f64::from(inner.loads_in_flight) / f64::from(inner.spec.transit_max))
        .max(1.0);
        let factor = slowdown * f64::from(inner.faults.load_factor.max(1));
        rate_delay + Duration::from_millis(inner.spec.load_ms.into()).mul_f64(factor)
    }
}

async fn row(this: State<PlatformStandIn>, query: Query<KeyQuery>) -> HttpResponse {
    if !this.is_table_up().await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let mut inner = this.lock();
    inner.stats.reads += 1;
    HttpResponse::Ok().json(&inner.table.rows.get(&query.key))
}

async fn rows(this: State<PlatformStandIn>, query: Query<PrefixQuery>) -> HttpResponse {
    if !this.is_table_up().await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let mut inner = this.lock();
    inner.stats.reads += 1;
    let from = inner.table.rows.range(query.prefix.clone()..);
    let rows: Vec<&Row> =
        from.take_while(|(key, _)| key.starts_with(&query.prefix)).map(|(_, row)| row).collect();
    HttpResponse::Ok().json(&rows)
}

async fn commit(this: State<PlatformStandIn>, tx: Json<Transaction>) -> HttpResponse {
    if !this.is_table_up().await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let mut inner = this.lock();
    let rows = &inner.table.rows;
    let failed = tx
        .conditions
        .iter()
        .find(|condition| rows.get(&condition.key).map(|row| row.revision) != condition.revision);
    if let Some(condition) = failed {
        return HttpResponse::Conflict().json(&Conflict { key: condition.key.clone() });
    }
    inner.table.revision += 1;
    let revision = inner.table.revision;
    for write in &tx.writes {
        let key = write.key.clone();
        match &write.value {
            Some(value) => {
                let row = Row { key: key.clone(), value: value.clone(), revision };
                inner.table.rows.insert(key, row);
            }
            None => {
                inner.table.rows.remove(&key);
            }
        }
    }
    inner.stats.commits += 1;
    if inner.faults.lose_answers > 0 {
        inner.faults.lose_answers -= 1;
        return HttpResponse::InternalServerError().finish();
    }
    HttpResponse::Ok().json(&CommitReceipt { revision })
}

async fn hosts(this: State<PlatformStandIn>) -> HttpResponse {
    this.lock().stats.reads += 1;
    HttpResponse::Ok().json(&this.lock().hosts)
}

async fn weights(this: State<PlatformStandIn>) -> HttpResponse {
    let duration = this.start_load();
    sleep(duration).await;
    let mut inner = this.lock();
    inner.loads_in_flight = inner.loads_in_flight.saturating_sub(1);
    match inner.faults.loads_fail {
        true => HttpResponse::ServiceUnavailable().finish(),
        false => HttpResponse::Ok().body("weights"),
    }
}

async fn faults(this: State<PlatformStandIn>, faults: Json<Faults>) -> HttpResponse {
    this.set_faults(*faults);
    HttpResponse::NoContent().finish()
}

async fn put_hosts(this: State<PlatformStandIn>, hosts: Json<Vec<Host>>) -> HttpResponse {
    this.set_hosts(hosts.into_inner());
    HttpResponse::NoContent().finish()
}

async fn stats(this: State<PlatformStandIn>) -> HttpResponse {
    HttpResponse::Ok().json(&this.stats())
}
