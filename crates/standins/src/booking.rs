//! A booking application: confirming may not be repeated, checking may.

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

/// Stands in for a booking application.
#[derive(Clone, Default)]
pub struct BookingStandIn {
    confirmed: Arc<Mutex<BTreeMap<String, u32>>>,
}

#[derive(Serialize, Deserialize)]
struct Booking {
    booking: String,
    #[serde(default)]
    takes_ms: u32,
}

impl BookingStandIn {
    /// Serves on `address` and returns the address bound.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub fn spawn(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = server::bind(address)?;
        let bound = listener.local_addr()?;
        let this = self.clone();
        server::spawn("booking", listener, move |cfg| this.configure(cfg))?;
        Ok(bound)
    }

    /// Returns how often a booking was confirmed.
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

async fn confirm(this: State<BookingStandIn>, booking: Json<Booking>) -> HttpResponse {
    let count = {
        let mut confirmed = this.lock();
        let count = confirmed.entry(booking.booking.clone()).or_default();
        *count += 1;
        *count
    };
    sleep(Duration::from_millis(booking.takes_ms.into())).await;
    HttpResponse::Ok().json(&json!({"booking": booking.booking, "confirmed": count}))
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
