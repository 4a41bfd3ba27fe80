//! Tests the HTTP clients of engines and of the platform against the stand-ins.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::future::poll_fn;
use std::net::{Ipv4Addr, SocketAddr};
use std::task::Poll;

use futures::future::join_all;
use guavaspread_engine::{BackendClient, HttpBackendClient};
use guavaspread_standins::{EngineSpec, EngineStandIn, PlatformSpec, PlatformStandIn};
use guavaspread_store::{HttpPlatformClient, PlatformClient};
use ntex::time::{Seconds, timeout};

const ANY_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Longer than any call and than the clients' own timeouts for the calls of these tests, so that it
/// expires only for calls that hang.
const HANG_TIMEOUT: Seconds = Seconds(25);
/// Number of calls, spread over the time in which the first connection is established.
const CALL_COUNT: usize = 20;

/// Starts `call` after yielding to the runtime `yields` times.
async fn after_yields<T>(yields: usize, call: impl Future<Output = T>) -> T {
    for _ in 0..yields {
        let mut yielded = false;
        poll_fn(|cx| {
            cx.waker().wake_by_ref();
            if std::mem::replace(&mut yielded, true) { Poll::Ready(()) } else { Poll::Pending }
        })
        .await;
    }
    call.await
}

#[ntex::test]
async fn engine_calls_that_wait_for_a_connection_complete() {
    let address = EngineStandIn::new(EngineSpec::default()).spawn(ANY_ADDRESS).unwrap();
    let backend = HttpBackendClient::new(address).await.unwrap();
    let calls =
        join_all((0..CALL_COUNT).map(|yields| after_yields(yields, backend.list_adapters())));
    let results = timeout(HANG_TIMEOUT, calls).await.unwrap();
    for result in results {
        assert!(result.unwrap().is_empty());
    }
}

#[ntex::test]
async fn platform_calls_that_wait_for_a_connection_complete() {
    let platform = PlatformStandIn::new(PlatformSpec::default(), Vec::new());
    let address = platform.spawn(ANY_ADDRESS).unwrap();
    let platform = HttpPlatformClient::new(address).await.unwrap();
    let calls = join_all((0..CALL_COUNT).map(|yields| after_yields(yields, platform.list_hosts())));
    let results = timeout(HANG_TIMEOUT, calls).await.unwrap();
    for result in results {
        assert!(result.unwrap().is_empty());
    }
}
