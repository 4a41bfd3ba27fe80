//! Requests to other entry hosts.

use std::net::SocketAddr;

use futures::{SinkExt, StreamExt};
use guavaspread_fleet::HostLease;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::connection_pool::connect;
use crate::peer_message::{
    AdapterReply, AdapterRequest, AdapterStatus, CrashUpdate, CrashUpdateReply, LimitUpdate,
    PeerRequest, PeerResponse, PermitCall, PermitReply, QuotaCall, QuotaPing, Renewal,
    RenewalRequest,
};
use crate::prelude::*;

/// Largest frame; a configuration with many routes must fit.
const FRAME_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Messages queued for one peer; a full queue means that the peer is stalled.
pub(crate) const QUEUE_CAPACITY: usize = 256;
/// How long a peer may take for the first reply; while it waits for a load, it sends keep-alives.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a peer that waits for a load may stay silent: about two and a half of its keep-alive
/// intervals.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(400);
/// Replies to one request that are queued: keep-alives during a load, and the final reply.
const REPLIES_CAPACITY: usize = 32;
/// How long the final reply may take beyond the wait that the request allows.
const FINAL_REPLY_MARGIN: Duration = Duration::from_millis(100);
/// How long a delegate may take to renew a lease: it waits for the renewals of other hosts, and
/// its write waits in the store behind other writes of the table.
const RENEW_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a peer may take to acknowledge a crash update.
const CRASH_UPDATE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a peer may take to decide on a permit, which it does without waiting.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a peer may take to decide on a request within a quota, or to reply to a ping.
const QUOTA_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a peer may take to tell which version began a stream. A caller waits for it.
const STREAM_VERSION_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a peer gets no requests after a timeout.
const SUSPENSION_TIME: Duration = Duration::from_millis(1_500);

/// Forwards the replies to one request, each with the request's id.
type ReplySender = mpsc::Sender<(AdapterStatus, u32)>;

enum Outgoing {
    UseAdapter(AdapterRequest, ReplySender),
    FirstToken(u32),
    ReleaseAdapter(u32),
    RenewLease(HostLease, oneshot::Sender<Option<Renewal>>),
    Crashes(CrashUpdate, oneshot::Sender<CrashUpdateReply>),
    Permit(PermitCall, oneshot::Sender<PermitReply>),
    RateLimit(LimitUpdate),
    StreamVersion(u64, oneshot::Sender<Option<Arc<str>>>),
    Quota(QuotaCall, oneshot::Sender<QuotaAnswer>),
    QuotaReturn(Arc<str>, u64),
    QuotaPing(QuotaPing, oneshot::Sender<u64>),
}

/// How long a quota has no room, in milliseconds; `None` if the request is granted.
type QuotaAnswer = Option<u32>;

/// Keeps a connection to each peer that this host sends requests to.
#[derive(Default)]
pub(crate) struct Peers {
    connections: RefCell<HashMap<SocketAddr, mpsc::Sender<Outgoing>>>,
    suspended_until: RefCell<HashMap<SocketAddr, Duration>>,
}

/// Keeps an adapter loaded on an engine that a peer owns; releases it when dropped.
pub(crate) struct RemoteAdapterGuard {
    connection: mpsc::Sender<Outgoing>,
    request_id: u32,
}

impl RemoteAdapterGuard {
    /// Reports the request's first token to the owner.
    pub(crate) fn on_first_token(&self) {
        if self.connection.try_send(Outgoing::FirstToken(self.request_id)).is_err() {
            log::debug!("a first token was not reported to the engine's owner: connection closed");
        }
    }
}

impl Drop for RemoteAdapterGuard {
    fn drop(&mut self) {
        if self.connection.try_send(Outgoing::ReleaseAdapter(self.request_id)).is_err() {
            log::debug!("an adapter was not released at the engine's owner: connection closed");
        }
    }
}

impl Peers {
    /// Requests an adapter from the host at `address`; `None` if it does not respond in time.
    pub(crate) async fn request_adapter(
        self: &Rc<Self>,
        address: SocketAddr,
        request: AdapterRequest,
        clock: Clock,
    ) -> Option<(AdapterStatus, Option<RemoteAdapterGuard>)> {
        let suspended_until = self.suspended_until.borrow().get(&address).copied();
        if suspended_until.is_some_and(|until| clock.now() < until) {
            return None;
        }
        let limit = Duration::from_millis(request.load_wait_ms.into()) + FINAL_REPLY_MARGIN;
        let until = clock.now() + limit;
        let (reply_tx, mut replies) = mpsc::channel(REPLIES_CAPACITY);
        let connection = self.connection(address);
        connection.try_send(Outgoing::UseAdapter(request, reply_tx)).ok()?;
        let mut timeout = FIRST_REPLY_TIMEOUT;
        loop {
            match tokio::time::timeout(timeout, replies.recv()).await {
                Ok(Some((AdapterStatus::Loading, _))) => {
                    timeout = until.saturating_sub(clock.now()).min(KEEP_ALIVE_TIMEOUT);
                }
                Ok(Some((status, request_id))) => {
                    let granted = matches!(status, AdapterStatus::Granted { .. });
                    return Some((
                        status,
                        granted.then(|| RemoteAdapterGuard { connection, request_id }),
                    ));
                }
                Ok(None) => {
                    self.suspend(address, clock);
                    return None;
                }
                Err(_) => {
                    log::warn!(
                        "entry host {address} did not respond in {} ms; suspending requests to it",
                        timeout.as_millis()
                    );
                    self.suspend(address, clock);
                    return None;
                }
            }
        }
    }

    /// Requests the renewal of a lease from the host at `address`; `None` if it fails.
    pub(crate) async fn renew(
        self: &Rc<Self>,
        address: SocketAddr,
        lease: HostLease,
        clock: Clock,
    ) -> Option<Renewal> {
        let suspended_until = self.suspended_until.borrow().get(&address).copied();
        if suspended_until.is_some_and(|until| clock.now() < until) {
            return None;
        }
        let (reply_tx, reply_rx) = oneshot::channel();
        self.connection(address).try_send(Outgoing::RenewLease(lease, reply_tx)).ok()?;
        match tokio::time::timeout(RENEW_TIMEOUT, reply_rx).await {
            Ok(Ok(renewal)) => renewal,
            Ok(Err(_)) => None,
            Err(_) => {
                // The delegate may be waiting for the store, so it stays eligible for requests.
                log::warn!("entry host {address} did not renew this host's lease in time");
                None
            }
        }
    }

    /// Sends a crash update to the host at `address`; `None` if it does not respond in time.
    pub(crate) async fn send_crash_update(
        self: &Rc<Self>,
        address: SocketAddr,
        update: CrashUpdate,
        clock: Clock,
    ) -> Option<CrashUpdateReply> {
        let suspended_until = self.suspended_until.borrow().get(&address).copied();
        if suspended_until.is_some_and(|until| clock.now() < until) {
            return None;
        }
        let (reply_tx, reply_rx) = oneshot::channel();
        self.connection(address).try_send(Outgoing::Crashes(update, reply_tx)).ok()?;
        match tokio::time::timeout(CRASH_UPDATE_TIMEOUT, reply_rx).await {
            Ok(Ok(reply)) => Some(reply),
            Ok(Err(_)) | Err(_) => None,
        }
    }

    /// Requests a permit from the host at `address`; `None` if it does not respond in time.
    pub(crate) async fn request_permit(
        self: &Rc<Self>,
        address: SocketAddr,
        call: PermitCall,
        clock: Clock,
    ) -> Option<PermitReply> {
        let suspended_until = self.suspended_until.borrow().get(&address).copied();
        if suspended_until.is_some_and(|until| clock.now() < until) {
            return None;
        }
        let (reply_tx, reply_rx) = oneshot::channel();
        self.connection(address).try_send(Outgoing::Permit(call, reply_tx)).ok()?;
        match tokio::time::timeout(PERMIT_TIMEOUT, reply_rx).await {
            Ok(Ok(reply)) => Some(reply),
            Ok(Err(_)) | Err(_) => {
                log::warn!("entry host {address} did not decide on a permit; suspending requests");
                self.suspend(address, clock);
                None
            }
        }
    }

    /// Asks the host at `address` which software version began a stream; `None` if it does not know
    /// or does not respond in time.
    pub(crate) async fn stream_version(
        self: Rc<Self>,
        address: SocketAddr,
        stream: u64,
    ) -> Option<Arc<str>> {
        let (reply_tx, reply_rx) = oneshot::channel();
        self.connection(address).try_send(Outgoing::StreamVersion(stream, reply_tx)).ok()?;
        tokio::time::timeout(STREAM_VERSION_TIMEOUT, reply_rx).await.ok()?.ok()?
    }

    /// Asks the host at `address` whether a request is within a quota; `None` if it does not respond
    /// in time.
    pub(crate) async fn request_quota(
        self: &Rc<Self>,
        address: SocketAddr,
        call: QuotaCall,
        clock: Clock,
    ) -> Option<QuotaAnswer> {
        let suspended_until = self.suspended_until.borrow().get(&address).copied();
        if suspended_until.is_some_and(|until| clock.now() < until) {
            return None;
        }
        let (reply_tx, reply_rx) = oneshot::channel();
        self.connection(address).try_send(Outgoing::Quota(call, reply_tx)).ok()?;
        match tokio::time::timeout(QUOTA_TIMEOUT, reply_rx).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(_)) | Err(_) => {
                log::warn!("entry host {address} did not decide on a quota; suspending requests");
                self.suspend(address, clock);
                None
            }
        }
    }

    /// Gives back the cost of a request that the host at `address` granted and that has not run.
    ///
    /// If the message is lost, the organisation has so much less room.
    pub(crate) fn return_quota(
        self: &Rc<Self>,
        address: SocketAddr,
        organisation: Arc<str>,
        cost: u64,
    ) {
        let returned = Outgoing::QuotaReturn(organisation, cost);
        if self.connection(address).try_send(returned).is_err() {
            log::debug!("a quota was not returned to {address}: its queue is full or closed");
        }
    }

    /// Pings the host at `address`; returns the digest of the hosts that it knows, `None` if it does
    /// not respond in time.
    ///
    /// A host that is suspended is pinged all the same: the pings tell when it is back.
    pub(crate) async fn ping_quota(
        self: Rc<Self>,
        address: SocketAddr,
        ping: QuotaPing,
    ) -> Option<u64> {
        let (reply_tx, reply_rx) = oneshot::channel();
        self.connection(address).try_send(Outgoing::QuotaPing(ping, reply_tx)).ok()?;
        let digest = tokio::time::timeout(QUOTA_TIMEOUT, reply_rx).await.ok().and_then(Result::ok);
        if digest.is_none() {
            // The connection may have fallen silent.
            self.connections.borrow_mut().remove(&address);
        }
        digest
    }

    /// Sends the report of a server's limit to the host at `address`, without acknowledgement.
    ///
    /// A host that misses it learns the limit from the server's own responses.
    pub(crate) fn send_limit_update(self: &Rc<Self>, address: SocketAddr, update: LimitUpdate) {
        if self.connection(address).try_send(Outgoing::RateLimit(update)).is_err() {
            log::debug!("a rate limit was not reported to {address}: its queue is full or closed");
        }
    }

    /// Drops the connection to a peer and suspends requests to it for `SUSPENSION_TIME`.
    fn suspend(&self, address: SocketAddr, clock: Clock) {
        self.connections.borrow_mut().remove(&address);
        self.suspended_until.borrow_mut().insert(address, clock.now() + SUSPENSION_TIME);
    }

    fn connection(self: &Rc<Self>, address: SocketAddr) -> mpsc::Sender<Outgoing> {
        let mut connections = self.connections.borrow_mut();
        if let Some(connection) =
            connections.get(&address).filter(|connection| !connection.is_closed())
        {
            return connection.clone();
        }
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        connections.insert(address, tx.clone());
        tokio::task::spawn_local(run_connection(address, rx));
        tx
    }
}

/// Tracks the requests in flight on one connection.
#[derive(Default)]
struct PendingRequests {
    adapter_requests: HashMap<u32, ReplySender>,
    renewals: HashMap<u32, oneshot::Sender<Option<Renewal>>>,
    crash_updates: HashMap<u32, oneshot::Sender<CrashUpdateReply>>,
    permit_calls: HashMap<u32, oneshot::Sender<PermitReply>>,
    stream_versions: HashMap<u32, oneshot::Sender<Option<Arc<str>>>>,
    quota_calls: HashMap<u32, oneshot::Sender<QuotaAnswer>>,
    quota_pings: HashMap<u32, oneshot::Sender<u64>>,
    last_request_id: u32,
}

/// What to do after a peer's message.
enum Next {
    Continue,
    Send(PeerRequest),
    /// Close the connection: the message is not a reply to any request.
    Close,
}

impl PendingRequests {
    /// Converts an outgoing item into a message; registers a request under a new id.
    fn register(&mut self, outgoing: Outgoing) -> PeerRequest {
        match outgoing {
            Outgoing::UseAdapter(mut request, reply_tx) => {
                request.request_id = self.next_request_id();
                self.adapter_requests.insert(request.request_id, reply_tx);
                PeerRequest::UseAdapter(request)
            }
            Outgoing::RenewLease(lease, reply_tx) => {
                let request_id = self.next_request_id();
                self.renewals.retain(|_, reply_tx| !reply_tx.is_closed());
                self.renewals.insert(request_id, reply_tx);
                PeerRequest::RenewLease(RenewalRequest { request_id, lease })
            }
            Outgoing::Crashes(mut update, reply_tx) => {
                update.request_id = self.next_request_id();
                self.crash_updates.retain(|_, reply_tx| !reply_tx.is_closed());
                self.crash_updates.insert(update.request_id, reply_tx);
                PeerRequest::Crashes(update)
            }
            Outgoing::Permit(mut call, reply_tx) => {
                call.request_id = self.next_request_id();
                self.permit_calls.retain(|_, reply_tx| !reply_tx.is_closed());
                self.permit_calls.insert(call.request_id, reply_tx);
                PeerRequest::Permit(call)
            }
            Outgoing::RateLimit(update) => PeerRequest::RateLimit(update),
            Outgoing::StreamVersion(stream, reply_tx) => {
                let request_id = self.next_request_id();
                self.stream_versions.retain(|_, reply_tx| !reply_tx.is_closed());
                self.stream_versions.insert(request_id, reply_tx);
                PeerRequest::StreamVersion { request_id, stream }
            }
            Outgoing::Quota(mut call, reply_tx) => {
                call.request_id = self.next_request_id();
                self.quota_calls.retain(|_, reply_tx| !reply_tx.is_closed());
                self.quota_calls.insert(call.request_id, reply_tx);
                PeerRequest::Quota(call)
            }
            Outgoing::QuotaReturn(organisation, cost) => {
                PeerRequest::QuotaReturn { organisation, cost }
            }
            Outgoing::QuotaPing(mut ping, reply_tx) => {
                ping.request_id = self.next_request_id();
                self.quota_pings.retain(|_, reply_tx| !reply_tx.is_closed());
                self.quota_pings.insert(ping.request_id, reply_tx);
                PeerRequest::QuotaPing(ping)
            }
            Outgoing::FirstToken(request_id) => PeerRequest::FirstToken(request_id),
            Outgoing::ReleaseAdapter(request_id) => PeerRequest::ReleaseAdapter(request_id),
        }
    }

    fn next_request_id(&mut self) -> u32 {
        self.last_request_id = self.last_request_id.wrapping_add(1);
        self.last_request_id
    }

    fn on_message(&mut self, message: PeerResponse) -> Next {
        match message {
            PeerResponse::Adapter(reply) => self.on_reply(reply),
            PeerResponse::LeaseRenewed { request_id, renewal } => {
                if let Some(reply_tx) = self.renewals.remove(&request_id) {
                    // The receiver may have timed out.
                    let _ = reply_tx.send(renewal);
                }
                Next::Continue
            }
            PeerResponse::Crashes(reply) => {
                if let Some(reply_tx) = self.crash_updates.remove(&reply.request_id) {
                    // The receiver may have timed out.
                    let _ = reply_tx.send(reply);
                }
                Next::Continue
            }
            PeerResponse::Permit(reply) => {
                if let Some(reply_tx) = self.permit_calls.remove(&reply.request_id) {
                    // The receiver may have timed out.
                    let _ = reply_tx.send(reply);
                }
                Next::Continue
            }
            PeerResponse::StreamVersion { request_id, software } => {
                if let Some(reply_tx) = self.stream_versions.remove(&request_id) {
                    // The receiver may have timed out.
                    let _ = reply_tx.send(software);
                }
                Next::Continue
            }
            PeerResponse::Quota { request_id, refused_ms } => {
                if let Some(reply_tx) = self.quota_calls.remove(&request_id) {
                    // The receiver may have timed out.
                    let _ = reply_tx.send(refused_ms);
                }
                Next::Continue
            }
            PeerResponse::QuotaPong { request_id, hosts_digest } => {
                if let Some(reply_tx) = self.quota_pings.remove(&request_id) {
                    // The receiver may have timed out.
                    let _ = reply_tx.send(hosts_digest);
                }
                Next::Continue
            }
            PeerResponse::FeedUpdate(_) | PeerResponse::Tunnel(_) => Next::Close,
        }
    }

    /// Forwards a reply to its receiver; releases a grant whose receiver has gone.
    fn on_reply(&mut self, AdapterReply { request_id, status }: AdapterReply) -> Next {
        let is_abandoned = match self.adapter_requests.get(&request_id) {
            Some(reply_tx) => reply_tx.try_send((status, request_id)).is_err(),
            None => true,
        };
        if status != AdapterStatus::Loading {
            self.adapter_requests.remove(&request_id);
        }
        match status {
            AdapterStatus::Granted { .. } if is_abandoned => {
                Next::Send(PeerRequest::ReleaseAdapter(request_id))
            }
            _ => Next::Continue,
        }
    }
}

/// Drives one connection until it fails or its last sender is dropped.
async fn run_connection(address: SocketAddr, mut outgoing: mpsc::Receiver<Outgoing>) {
    let stream = match connect(address).await {
        Ok(stream) => stream,
        Err(e) => {
            log::warn!("connecting to entry host {address} failed: {e}");
            return;
        }
    };
    let mut framed = Framed::new(stream, codec());
    let mut pending = PendingRequests::default();
    let mut has_unknown = false;
    loop {
        let next = tokio::select! {
            outgoing = outgoing.recv() => match outgoing {
                Some(outgoing) => Next::Send(pending.register(outgoing)),
                None => return,
            },
            frame = framed.next() => match frame {
                Some(Ok(frame)) => match postcard::from_bytes(&frame) {
                    Ok(message) => pending.on_message(message),
                    Err(e) => {
                        // The adapters in use by other requests depend on the connection.
                        if !std::mem::replace(&mut has_unknown, true) {
                            log::warn!(
                                "entry host {address} sends unknown messages, which are ignored: {e}"
                            );
                        }
                        Next::Continue
                    }
                },
                Some(Err(_)) | None => return,
            },
        };
        match next {
            Next::Continue => {}
            Next::Send(message) => {
                if framed.send(frame(&message)).await.is_err() {
                    return;
                }
            }
            Next::Close => {
                log::warn!(
                    "entry host {address} sent an unexpected message; closing the connection"
                );
                return;
            }
        }
    }
}

/// Encodes a message.
pub(crate) fn frame(message: &impl Serialize) -> Bytes {
    match postcard::to_stdvec(message) {
        Ok(frame) => frame.into(),
        Err(e) => {
            // The receiver rejects an empty frame and closes the connection.
            log::error!("encoding a message to a peer failed: {e}");
            Bytes::new()
        }
    }
}

/// Returns the codec for length-delimited frames.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec()
}
