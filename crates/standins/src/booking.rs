//! Stand-in for a booking service.
//!
//! A request to `/confirm` must not be repeated: the route counts every call, which shows a request
//! that ran twice. A request to `/check` changes nothing and may be repeated.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ntex::time::sleep;
use ntex::web::types::{Json, Path, State};
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::server;

/// Stand-in for a booking service.
#[derive(Clone, Default)]
pub struct BookingStandIn {
    /// Number of confirmations of each booking.
    confirmed: Arc<Mutex<BTreeMap<String, u32>>>,
}

#[derive(Serialize, Deserialize)]
struct ConfirmRequest {
    booking: String,
    /// Duration of the call, in milliseconds.
    #[serde(default)]
    takes_ms: u32,
}

impl BookingStandIn {
    /// Starts serving on `address` and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn spawn(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = server::bind(address)?;
        let bound = listener.local_addr()?;
        let this = self.clone();
        server::spawn("booking", listener, move |cfg| this.configure(cfg))?;
        Ok(bound)
    }

    /// Returns the number of times that a booking was confirmed.
    pub fn confirmations(&self, booking: &str) -> u32 {
        self.lock().get(booking).copied().unwrap_or(0)
    }

    fn configure(&self, cfg: &mut ServiceConfig) {
        cfg.state(self.clone())
            .route("/confirm", web::post().to(confirm))
            .route("/check/{booking}", web::get().to(check))
            .route("/load", web::get().to(load))
            .route("/standin/log", web::get().to(log));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, u32>> {
        self.confirmed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn confirm(this: State<BookingStandIn>, req: Json<ConfirmRequest>) -> HttpResponse {
    let count = {
        let mut confirmed = this.lock();
        let count = confirmed.entry(req.booking.clone()).or_default();
        *count += 1;
        *count
    };
    sleep(Duration::from_millis(req.takes_ms.into())).await;
    HttpResponse::Ok().json(&json!({"booking": req.booking, "confirmed": count}))
}

async fn check(this: State<BookingStandIn>, booking: Path<String>) -> HttpResponse {
    let confirmed = this.confirmations(&booking) > 0;
    HttpResponse::Ok().json(&json!({"booking": booking.as_str(), "confirmed": confirmed}))
}

async fn load() -> HttpResponse {
    HttpResponse::Ok().json(&json!({"server_load": 0}))
}

async fn log(this: State<BookingStandIn>) -> HttpResponse {
    HttpResponse::Ok().json(&*this.lock())
}
