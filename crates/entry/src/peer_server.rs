//! The server for the requests of other entry hosts.

use std::net::IpAddr;

use futures::{SinkExt, StreamExt, stream};
use guavaspread_fleet::QuotaDecision;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

use crate::connection_pool::{UNACKNOWLEDGED_TIMEOUT, set_socket_options};
use crate::feed_relay;
use crate::owned_engines::AdapterGuard;
use crate::peer_message::{
    AdapterReply, AdapterRequest, AdapterStatus, FEED_FORMAT, PeerRequest, PeerResponse, QuotaCall,
    RenewalRequest, TunnelReply,
};
use crate::peers::{QUEUE_CAPACITY, codec, frame};
use crate::prelude::*;
use crate::state::EntryState;
use crate::tunnel_server;

/// Serves the requests of peers until the process ends.
pub(crate) async fn serve(entry: Rc<EntryState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::task::spawn_local(serve_connection(entry.clone(), stream, address.ip()));
            }
            Err(e) => {
                log::warn!("accepting a peer's connection failed, will retry: {e}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_connection(entry: Rc<EntryState>, stream: TcpStream, peer_ip: IpAddr) {
    if let Err(e) = set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT) {
        log::debug!("setting socket options on a peer's connection failed: {e}");
    }
    let mut framed = Framed::new(stream, codec());
    let Some(Ok(first)) = framed.next().await else { return };
    if let Ok(PeerRequest::OpenTunnel(request)) = postcard::from_bytes(&first) {
        tunnel_server::serve(entry, framed, request).await;
        return;
    }
    let (mut sink, frames) = framed.split();
    let mut frames = stream::once(async { Ok(first) }).chain(frames).boxed_local();
    let (tx, mut rx) = mpsc::channel::<Bytes>(QUEUE_CAPACITY);
    let writer = tokio::task::spawn_local(async move {
        while let Some(frame) = rx.recv().await {
            if sink.send(frame).await.is_err() {
                return;
            }
        }
    });
    let peer = PeerConnection { entry, tx, adapter_guards: Rc::default(), peer_ip };
    let mut is_first = true;
    let mut has_unknown = false;
    while let Some(Ok(received)) = frames.next().await {
        let next = match postcard::from_bytes::<PeerRequest>(&received) {
            Ok(message) => peer.on_message(message),
            Err(e) if is_first => {
                // Tells the peer at once that this build does not know what it asks for.
                log::warn!(
                    "a peer at {peer_ip} sent an unknown message; closing its connection: {e}"
                );
                Next::Close
            }
            Err(e) => {
                // The adapters in use by other requests depend on the connection.
                if !std::mem::replace(&mut has_unknown, true) {
                    log::warn!(
                        "a peer at {peer_ip} sends unknown messages, which are ignored: {e}"
                    );
                }
                Next::Continue
            }
        };
        is_first = false;
        match next {
            Next::Continue => {}
            Next::Close => break,
        }
    }
    peer.adapter_guards.borrow_mut().clear();
    drop(peer);
    // The writer task ends when its connection fails or its last sender is dropped.
    let _ = writer.await;
}

/// The serving side of one peer's connection.
#[derive(Clone)]
struct PeerConnection {
    entry: Rc<EntryState>,
    tx: mpsc::Sender<Bytes>,
    /// Guards of the adapters that the peer's requests use; dropped with the connection.
    adapter_guards: Rc<RefCell<HashMap<u32, AdapterGuard>>>,
    peer_ip: IpAddr,
}

/// What to do after a peer's message.
enum Next {
    Continue,
    Close,
}

impl PeerConnection {
    fn on_message(&self, message: PeerRequest) -> Next {
        match message {
            PeerRequest::UseAdapter(request) => {
                tokio::task::spawn_local(self.clone().reply_adapter(request));
            }
            PeerRequest::FirstToken(request_id) => {
                if let Some(guard) = self.adapter_guards.borrow().get(&request_id) {
                    guard.on_first_token(self.entry.clock.now());
                }
            }
            PeerRequest::ReleaseAdapter(request_id) => {
                self.adapter_guards.borrow_mut().remove(&request_id);
            }
            PeerRequest::RenewLease(request) => {
                tokio::task::spawn_local(self.clone().reply_renewal(request));
            }
            PeerRequest::Crashes(update) => {
                let reply = PeerResponse::Crashes(self.entry.on_crash_update(update));
                if self.tx.try_send(frame(&reply)).is_err() {
                    log::debug!(
                        "a crash update was not acknowledged: the peer's queue is full or closed"
                    );
                }
            }
            PeerRequest::Permit(call) => {
                let reply = PeerResponse::Permit(self.entry.on_permit_call(call));
                if self.tx.try_send(frame(&reply)).is_err() {
                    log::debug!("a permit was not sent: the peer's queue is full or closed");
                }
            }
            PeerRequest::RateLimit(update) => self.entry.on_limit_update(update),
            PeerRequest::StreamVersion { request_id, stream } => {
                let software = self.entry.stream_versions.served_at(stream);
                let reply = PeerResponse::StreamVersion { request_id, software };
                if self.tx.try_send(frame(&reply)).is_err() {
                    log::debug!(
                        "a stream's version was not told: the peer's queue is full or closed"
                    );
                }
            }
            PeerRequest::Quota(call) => {
                tokio::task::spawn_local(self.clone().reply_quota(call));
            }
            PeerRequest::QuotaReturn { organisation, cost } => {
                self.entry.quotas.give_back(&organisation, cost);
            }
            PeerRequest::QuotaPing(ping) => {
                let request_id = ping.request_id;
                let hosts_digest = self.entry.on_quota_ping(&ping);
                let reply = PeerResponse::QuotaPong { request_id, hosts_digest };
                if self.tx.try_send(frame(&reply)).is_err() {
                    log::debug!("a ping was not replied to: the peer's queue is full or closed");
                }
            }
            PeerRequest::OpenTunnel(request) => {
                log::warn!("a tunnel to {} needs a connection of its own", request.server);
                let reply = PeerResponse::Tunnel(TunnelReply::Refused);
                if self.tx.try_send(frame(&reply)).is_err() {
                    log::debug!("a tunnel was not refused: the peer's queue is full or closed");
                }
            }
            PeerRequest::FollowFeeds { format: FEED_FORMAT } => {
                tokio::task::spawn_local(feed_relay::relay_feeds(
                    self.entry.clone(),
                    self.tx.clone(),
                ));
            }
            PeerRequest::WatchFeeds | PeerRequest::FollowFeeds { .. } => {
                // The follower reads the store itself.
                self.entry.feed_relay.on_follower_refused(&self.entry, self.peer_ip);
                return Next::Close;
            }
        }
        Next::Continue
    }

    async fn reply_adapter(self, request: AdapterRequest) {
        let request_id = request.request_id;
        let on_wait = || {
            let keep_alive = AdapterReply { request_id, status: AdapterStatus::Loading };
            if self.tx.try_send(frame(&PeerResponse::Adapter(keep_alive))).is_err() {
                log::debug!("a keep-alive was not sent: the peer's queue is full or closed");
            }
        };
        let (status, granted) =
            self.entry.owned_engines.acquire_adapter(&self.entry, &request, on_wait).await;
        if let Some(guard) = granted {
            self.adapter_guards.borrow_mut().insert(request_id, guard);
        }
        let reply = PeerResponse::Adapter(AdapterReply { request_id, status });
        if self.tx.send(frame(&reply)).await.is_err() {
            self.adapter_guards.borrow_mut().remove(&request_id);
        }
    }

    async fn reply_quota(self, call: QuotaCall) {
        let request_id = call.request_id;
        let refused_ms = match self.entry.on_quota_call(call).await {
            QuotaDecision::Granted => None,
            QuotaDecision::Refused(wait) => {
                Some(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX))
            }
        };
        let reply = PeerResponse::Quota { request_id, refused_ms };
        if self.tx.try_send(frame(&reply)).is_err() {
            log::debug!("a quota's decision was not sent: the peer's queue is full or closed");
        }
    }

    async fn reply_renewal(self, RenewalRequest { request_id, lease }: RenewalRequest) {
        let renewal = self.entry.renewals.renew(&self.entry, lease).await;
        let response = PeerResponse::LeaseRenewed { request_id, renewal };
        if self.tx.send(frame(&response)).await.is_err() {
            log::debug!("a renewal was not confirmed: the peer's connection closed");
        }
    }
}
