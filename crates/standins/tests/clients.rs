//! The HTTP clients of backend servers and of the platform, against the stand-ins.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::future::poll_fn;
use std::net::{Ipv4Addr, SocketAddr};
use std::task::Poll;

use futures::future::join_all;
use guavaspread_engine::{Backend, HttpBackend};
use guavaspread_standins::{EngineSpec, EngineStandIn, PlatformSpec, PlatformStandIn};
use guavaspread_store::{HttpPlatform, Platform};
use ntex::time::{Seconds, timeout};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Longer than any call takes, and than the client's own limits for the calls made here.
const HANGS: Seconds = Seconds(25);
/// Calls made from when the first connection is opened until it stands.
const CALLS: usize = 20;

/// Polls `call` only after `turns` rounds of the runtime's queue.
async fn after_turns<T>(turns: usize, call: impl Future<Output = T>) -> T {
    for _ in 0..turns {
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
async fn calls_that_wait_for_a_connection_of_a_backend_go_on() {
    let address = EngineStandIn::new(EngineSpec::default()).spawn(ANY).unwrap();
    let backend = HttpBackend::new(address).await.unwrap();
    let calls = join_all((0..CALLS).map(|turns| after_turns(turns, backend.loaded())));
    let results = timeout(HANGS, calls).await.unwrap();
    for result in results {
        assert!(result.unwrap().is_empty());
    }
}

#[ntex::test]
async fn calls_that_wait_for_a_connection_of_the_platform_go_on() {
    let platform = PlatformStandIn::new(PlatformSpec::default(), Vec::new());
    let address = platform.spawn(ANY).unwrap();
    let platform = HttpPlatform::new(address).await.unwrap();
    let calls = join_all((0..CALLS).map(|turns| after_turns(turns, platform.hosts())));
    let results = timeout(HANGS, calls).await.unwrap();
    for result in results {
        assert!(result.unwrap().is_empty());
    }
}
