//! The platform: a transactional table, a host list and a rate-limited weight store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use guavaspread_model::Host;
use guavaspread_store::{Committed, Conflict, Row, Transaction};
use ntex::time::sleep;
use ntex::web::types::{Json, Query, State};
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};

use crate::server;

/// Sizes the weight store.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct PlatformSpec {
    /// Loads that the store allows in a second.
    pub loads_per_second: f64,
    /// Loads at once at full speed.
    pub loads_at_full_speed: u32,
    /// How long one load takes at full speed, in milliseconds.
    pub load_ms: u32,
    /// Loads in transit across all servers beyond which each takes proportionally longer.
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

/// Tells the platform how to fail.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the table refuses every call.
    pub table_down: bool,
    /// How many of the next commits take effect without an answer.
    pub lose_answers: u32,
    /// How long each table call takes, in milliseconds.
    pub delay_ms: u32,
    /// Whether the next weight loads fail.
    pub loads_fail: bool,
    /// By how much each weight load is slowed down; 0 and 1 leave it.
    pub load_factor: u32,
}

/// Counts what the platform served.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PlatformStats {
    /// Reads of the table and of the host list.
    pub reads: u64,
    /// Table commits that took effect.
    pub commits: u64,
    /// Weight loads.
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
    loading: u32,
    load_credit: f64,
    load_credit_at: Instant,
}

/// Stands in for the platform's services.
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
    /// Makes a platform that lists `hosts`.
    pub fn new(spec: PlatformSpec, hosts: Vec<Host>) -> Self {
        let inner = Inner {
            spec,
            table: Table::default(),
            hosts,
            faults: Faults::default(),
            stats: PlatformStats::default(),
            loading: 0,
            load_credit: spec.loads_per_second,
            load_credit_at: Instant::now(),
        };
        PlatformStandIn { inner: Arc::new(Mutex::new(inner)) }
    }

    /// Serves on `address` and returns the address bound.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub fn spawn(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = server::bind(address)?;
        let bound = listener.local_addr()?;
        let this = self.clone();
        server::spawn("platform", listener, move |cfg| this.configure(cfg))?;
        Ok(bound)
    }

    /// Changes how the platform fails.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.lock().hosts = hosts;
    }

    /// Returns what was served.
    pub fn stats(&self) -> PlatformStats {
        self.lock().stats
    }

    /// Returns the value of a row.
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

    /// Waits out the table's delay; tells whether the table answers.
    async fn table_up(&self) -> bool {
        let faults = self.lock().faults;
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms.into())).await;
        }
        !faults.table_down
    }

    /// Admits one weight load and returns how long it takes.
    fn start_load(&self) -> Duration {
        let mut inner = self.lock();
        let now = Instant::now();
        let rate = inner.spec.loads_per_second;
        let earned = now.duration_since(inner.load_credit_at).as_secs_f64() * rate;
        inner.load_credit = (inner.load_credit + earned).min(rate) - 1.0;
        inner.load_credit_at = now;
        let owed = Duration::from_secs_f64((-inner.load_credit / rate).max(0.0));
        inner.loading += 1;
        inner.stats.loads += 1;
        let crowding = (f64::from(inner.loading) / f64::from(inner.spec.loads_at_full_speed))
            .max(f64::from(inner.loading) / f64::from(inner.spec.transit_max))
            .max(1.0);
        let factor = crowding * f64::from(inner.faults.load_factor.max(1));
        owed + Duration::from_millis(inner.spec.load_ms.into()).mul_f64(factor)
    }
}

async fn row(this: State<PlatformStandIn>, query: Query<KeyQuery>) -> HttpResponse {
    if !this.table_up().await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let mut inner = this.lock();
    inner.stats.reads += 1;
    HttpResponse::Ok().json(&inner.table.rows.get(&query.key))
}

async fn rows(this: State<PlatformStandIn>, query: Query<PrefixQuery>) -> HttpResponse {
    if !this.table_up().await {
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
    if !this.table_up().await {
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
    HttpResponse::Ok().json(&Committed { revision })
}

async fn hosts(this: State<PlatformStandIn>) -> HttpResponse {
    this.lock().stats.reads += 1;
    HttpResponse::Ok().json(&this.lock().hosts)
}

async fn weights(this: State<PlatformStandIn>) -> HttpResponse {
    let took = this.start_load();
    sleep(took).await;
    let mut inner = this.lock();
    inner.loading = inner.loading.saturating_sub(1);
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
