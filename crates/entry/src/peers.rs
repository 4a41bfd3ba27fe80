//! Requests to other entry hosts, and the server for their requests.

use std::net::SocketAddr;

use futures::{SinkExt, StreamExt};
use guavaspread_fleet::HostLease;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::channel::{connect, set_options};
use crate::message::{
    AdapterReply, Answer, Ask, CrashUpdate, CrashUpdateReply, PeerRequest, PeerResponse, Renewal,
    RenewalRequest,
};
use crate::orders::Use;
use crate::prelude::*;
use crate::relays;
use crate::state::Entry;

/// Largest frame; a configuration with many routes must fit.
const FRAME_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Messages queued for one peer; a full queue means that the peer is stalled.
const QUEUE_CAPACITY: usize = 256;
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
/// How long a peer gets no requests after a timeout.
const SUSPENSION_TIME: Duration = Duration::from_millis(1_500);

/// Forwards the replies to one request, each with the request's number.
type ReplySender = mpsc::Sender<(Answer, u32)>;

enum Outgoing {
    UseAdapter(Ask, ReplySender),
    FirstToken(u32),
    ReleaseAdapter(u32),
    RenewLease(HostLease, oneshot::Sender<Option<Renewal>>),
    Crashes(CrashUpdate, oneshot::Sender<CrashUpdateReply>),
}

/// Keeps a connection to each peer that this host sends requests to.
#[derive(Default)]
pub(crate) struct Peers {
    connections: RefCell<HashMap<SocketAddr, mpsc::Sender<Outgoing>>>,
    suspended_until: RefCell<HashMap<SocketAddr, Duration>>,
}

/// Keeps an adapter loaded on an engine that a peer owns; releases it when dropped.
pub(crate) struct Granted {
    connection: mpsc::Sender<Outgoing>,
    number: u32,
}

impl Granted {
    /// Reports the request's first token to the owner.
    pub(crate) fn on_read(&self) {
        if self.connection.try_send(Outgoing::FirstToken(self.number)).is_err() {
            log::debug!("a first token was not reported to the engine's owner: connection closed");
        }
    }
}

impl Drop for Granted {
    fn drop(&mut self) {
        if self.connection.try_send(Outgoing::ReleaseAdapter(self.number)).is_err() {
            log::debug!("an adapter was not released at the engine's owner: connection closed");
        }
    }
}

impl Peers {
    /// Requests an adapter from the host at `address`; `None` if it does not answer in time.
    pub(crate) async fn ask(
        self: &Rc<Self>,
        address: SocketAddr,
        ask: Ask,
        clock: Clock,
    ) -> Option<(Answer, Option<Granted>)> {
        let suspended_until = self.suspended_until.borrow().get(&address).copied();
        if suspended_until.is_some_and(|until| clock.now() < until) {
            return None;
        }
        let limit = Duration::from_millis(ask.wait_ms.into()) + FINAL_REPLY_MARGIN;
        let until = clock.now() + limit;
        let (reply_tx, mut answers) = mpsc::channel(REPLIES_CAPACITY);
        let connection = self.connection(address);
        connection.try_send(Outgoing::UseAdapter(ask, reply_tx)).ok()?;
        let mut timeout = FIRST_REPLY_TIMEOUT;
        loop {
            match tokio::time::timeout(timeout, answers.recv()).await {
                Ok(Some((Answer::Loading, _))) => {
                    timeout = until.saturating_sub(clock.now()).min(KEEP_ALIVE_TIMEOUT);
                }
                Ok(Some((answer, number))) => {
                    let granted = matches!(answer, Answer::Granted { .. });
                    return Some((answer, granted.then(|| Granted { connection, number })));
                }
                Ok(None) => {
                    self.suspend(address, clock);
                    return None;
                }
                Err(_) => {
                    log::warn!(
                        "entry host {address} did not answer in {} ms; suspending requests to it",
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
        let (reply_tx, answer) = oneshot::channel();
        self.connection(address).try_send(Outgoing::RenewLease(lease, reply_tx)).ok()?;
        match tokio::time::timeout(RENEW_TIMEOUT, answer).await {
            Ok(Ok(renewal)) => renewal,
            Ok(Err(_)) => None,
            Err(_) => {
                // The delegate may be waiting for the store, so it stays eligible for requests.
                log::warn!("entry host {address} did not renew this host's lease in time");
                None
            }
        }
    }

    /// Sends a crash update to the host at `address`; `None` if it does not answer in time.
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
        let (reply_tx, answer) = oneshot::channel();
        self.connection(address).try_send(Outgoing::Crashes(update, reply_tx)).ok()?;
        match tokio::time::timeout(CRASH_UPDATE_TIMEOUT, answer).await {
            Ok(Ok(reply)) => Some(reply),
            Ok(Err(_)) | Err(_) => None,
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
    last_number: u32,
}

/// What to do after a peer's message.
enum Next {
    Continue,
    Send(PeerRequest),
    /// Close the connection: the message is not a reply to any request.
    Close,
}

impl PendingRequests {
    /// Converts an outgoing item into a message; registers a request under a new number.
    fn register(&mut self, outgoing: Outgoing) -> PeerRequest {
        match outgoing {
            Outgoing::UseAdapter(mut ask, reply_tx) => {
                ask.number = self.next_number();
                self.adapter_requests.insert(ask.number, reply_tx);
                PeerRequest::UseAdapter(ask)
            }
            Outgoing::RenewLease(lease, reply_tx) => {
                let number = self.next_number();
                self.renewals.retain(|_, reply_tx| !reply_tx.is_closed());
                self.renewals.insert(number, reply_tx);
                PeerRequest::RenewLease(RenewalRequest { number, lease })
            }
            Outgoing::Crashes(mut update, reply_tx) => {
                update.number = self.next_number();
                self.crash_updates.retain(|_, reply_tx| !reply_tx.is_closed());
                self.crash_updates.insert(update.number, reply_tx);
                PeerRequest::Crashes(update)
            }
            Outgoing::FirstToken(number) => PeerRequest::FirstToken(number),
            Outgoing::ReleaseAdapter(number) => PeerRequest::ReleaseAdapter(number),
        }
    }

    fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    fn on_message(&mut self, message: PeerResponse) -> Next {
        match message {
            PeerResponse::Adapter(reply) => self.on_reply(reply),
            PeerResponse::LeaseRenewed { number, renewal } => {
                if let Some(reply_tx) = self.renewals.remove(&number) {
                    // The receiver may have timed out.
                    let _ = reply_tx.send(renewal);
                }
                Next::Continue
            }
            PeerResponse::Crashes(reply) => {
                if let Some(reply_tx) = self.crash_updates.remove(&reply.number) {
                    // The receiver may have timed out.
                    let _ = reply_tx.send(reply);
                }
                Next::Continue
            }
            PeerResponse::FeedUpdate(_) => Next::Close,
        }
    }

    /// Forwards a reply to its receiver; releases a grant whose receiver has gone.
    fn on_reply(&mut self, AdapterReply { number, answer }: AdapterReply) -> Next {
        let is_abandoned = match self.adapter_requests.get(&number) {
            Some(reply_tx) => reply_tx.try_send((answer, number)).is_err(),
            None => true,
        };
        if answer != Answer::Loading {
            self.adapter_requests.remove(&number);
        }
        match answer {
            Answer::Granted { .. } if is_abandoned => {
                Next::Send(PeerRequest::ReleaseAdapter(number))
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
    loop {
        let next = tokio::select! {
            outgoing = outgoing.recv() => match outgoing {
                Some(outgoing) => Next::Send(pending.register(outgoing)),
                None => return,
            },
            frame = framed.next() => match frame {
                Some(Ok(frame)) => match postcard::from_bytes(&frame) {
                    Ok(message) => pending.on_message(message),
                    Err(_) => Next::Close,
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

/// Serves the requests of peers until the process ends.
pub(crate) async fn serve(entry: Rc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(entry.clone(), stream));
            }
            Err(e) => {
                log::warn!("accepting a peer's connection failed, will retry: {e}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_connection(entry: Rc<Entry>, stream: TcpStream) {
    if let Err(e) = set_options(&stream) {
        log::debug!("setting socket options on a peer's connection failed: {e}");
    }
    let (mut sink, mut frames) = Framed::new(stream, codec()).split();
    let (tx, mut rx) = mpsc::channel::<Bytes>(QUEUE_CAPACITY);
    let writer = tokio::task::spawn_local(async move {
        while let Some(frame) = rx.recv().await {
            if sink.send(frame).await.is_err() {
                return;
            }
        }
    });
    let peer = PeerConnection { entry, tx, adapter_guards: Rc::default() };
    while let Some(Ok(received)) = frames.next().await {
        match postcard::from_bytes::<PeerRequest>(&received) {
            Ok(message) => peer.on_message(message),
            Err(e) => {
                log::warn!("a peer sent an invalid message; closing its connection: {e}");
                break;
            }
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
    entry: Rc<Entry>,
    tx: mpsc::Sender<Bytes>,
    /// Guards of the adapters that the peer's requests use; dropped with the connection.
    adapter_guards: Rc<RefCell<HashMap<u32, Use>>>,
}

impl PeerConnection {
    fn on_message(&self, message: PeerRequest) {
        match message {
            PeerRequest::UseAdapter(ask) => {
                tokio::task::spawn_local(self.clone().reply_adapter(ask));
            }
            PeerRequest::FirstToken(number) => {
                if let Some(guard) = self.adapter_guards.borrow().get(&number) {
                    guard.on_read(self.entry.clock.now());
                }
            }
            PeerRequest::ReleaseAdapter(number) => {
                self.adapter_guards.borrow_mut().remove(&number);
            }
            PeerRequest::RenewLease(ask) => {
                tokio::task::spawn_local(self.clone().reply_renewal(ask));
            }
            PeerRequest::Crashes(update) => {
                let reply = PeerResponse::Crashes(self.entry.on_crash_update(update));
                if self.tx.try_send(frame(&reply)).is_err() {
                    log::debug!(
                        "a crash update was not acknowledged: the peer's queue is full or closed"
                    );
                }
            }
            PeerRequest::WatchFeeds => {
                tokio::task::spawn_local(relays::relay_feeds(self.entry.clone(), self.tx.clone()));
            }
        }
    }

    async fn reply_adapter(self, ask: Ask) {
        let number = ask.number;
        let on_wait = || {
            let keep_alive = AdapterReply { number, answer: Answer::Loading };
            if self.tx.try_send(frame(&PeerResponse::Adapter(keep_alive))).is_err() {
                log::debug!("a keep-alive was not sent: the peer's queue is full or closed");
            }
        };
        let (answer, granted) = self.entry.orders.answer(&self.entry, &ask, on_wait).await;
        if let Some(guard) = granted {
            self.adapter_guards.borrow_mut().insert(number, guard);
        }
        let reply = PeerResponse::Adapter(AdapterReply { number, answer });
        if self.tx.send(frame(&reply)).await.is_err() {
            self.adapter_guards.borrow_mut().remove(&number);
        }
    }

    async fn reply_renewal(self, RenewalRequest { number, lease }: RenewalRequest) {
        let renewal = self.entry.renewals.renew(&self.entry, lease).await;
        let response = PeerResponse::LeaseRenewed { number, renewal };
        if self.tx.send(frame(&response)).await.is_err() {
            log::debug!("a renewal was not confirmed: the peer's connection closed");
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
