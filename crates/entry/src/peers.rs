//! Questions to other entry hosts, and theirs to this one.

use std::net::SocketAddr;

use futures::{SinkExt, StreamExt};
use guavaspread_fleet::HostLease;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::channel::{connect, set_options};
use crate::message::{Answer, Ask, FromOwner, RenewAsk, Renewal, Reply, ToOwner};
use crate::orders::Use;
use crate::prelude::*;
use crate::relays;
use crate::state::Entry;

/// The largest frame: a configuration of many routes.
const FRAME_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Questions waiting to be written to one peer; beyond that the peer is stuck.
const QUEUE_MAX: usize = 256;
/// How long a peer may take to say anything; one that waits for a load says so.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a peer that waits for a load may be silent: two and a half of its signs of life.
const WAIT_SILENCE_MAX: Duration = Duration::from_millis(400);
/// Answers to a question that may wait to be read: a load's signs of life, and the last one.
const ANSWERS_MAX: usize = 32;
/// How long the last answer may take beyond the wait that the question allows.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// How long a delegate may take to renew a lease: it waits for other hosts' renewals, and the
/// store for its table's other writes.
const RENEW_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a peer that said nothing is not asked again.
const SILENT_FOR: Duration = Duration::from_millis(1_500);

/// Takes the answers to a question, and its number.
type Asker = mpsc::Sender<(Answer, u32)>;

enum Outgoing {
    Ask(Ask, Asker),
    Read(u32),
    Done(u32),
    Renew(HostLease, oneshot::Sender<Option<Renewal>>),
}

/// Keeps a connection to each peer that was asked.
#[derive(Default)]
pub(crate) struct Peers {
    links: RefCell<HashMap<SocketAddr, mpsc::Sender<Outgoing>>>,
    silent_until: RefCell<HashMap<SocketAddr, Duration>>,
}

/// Tells the owner of an engine's orders, when dropped, that a request has ended.
pub(crate) struct Granted {
    link: mpsc::Sender<Outgoing>,
    number: u32,
}

impl Granted {
    /// Tells the owner that the request's first token has come.
    pub(crate) fn on_read(&self) {
        if self.link.try_send(Outgoing::Read(self.number)).is_err() {
            log::debug!("an owner was not told of a first token; its connection is gone");
        }
    }
}

impl Drop for Granted {
    fn drop(&mut self) {
        if self.link.try_send(Outgoing::Done(self.number)).is_err() {
            log::debug!("an owner was not told of a request's end; its connection is gone");
        }
    }
}

impl Peers {
    /// Asks the host at `address`; `None` if it does not answer in time.
    pub(crate) async fn ask(
        self: &Rc<Self>,
        address: SocketAddr,
        ask: Ask,
        clock: Clock,
    ) -> Option<(Answer, Option<Granted>)> {
        let silent_until = self.silent_until.borrow().get(&address).copied();
        if silent_until.is_some_and(|until| clock.now() < until) {
            return None;
        }
        let limit = Duration::from_millis(ask.wait_ms.into()) + ANSWER_MARGIN;
        let until = clock.now() + limit;
        let (asker, mut answers) = mpsc::channel(ANSWERS_MAX);
        let link = self.link(address);
        link.try_send(Outgoing::Ask(ask, asker)).ok()?;
        let mut timeout = FIRST_ANSWER_TIMEOUT;
        loop {
            match tokio::time::timeout(timeout, answers.recv()).await {
                Ok(Some((Answer::Loading, _))) => {
                    timeout = until.saturating_sub(clock.now()).min(WAIT_SILENCE_MAX);
                }
                Ok(Some((answer, number))) => {
                    let granted = matches!(answer, Answer::Granted { .. });
                    return Some((answer, granted.then(|| Granted { link, number })));
                }
                Ok(None) => {
                    self.on_silent(address, clock);
                    return None;
                }
                Err(_) => {
                    log::warn!("entry host {address} said nothing in {} ms", timeout.as_millis());
                    self.on_silent(address, clock);
                    return None;
                }
            }
        }
    }

    /// Asks the host at `address` to renew a lease; `None` if it does not.
    pub(crate) async fn renew(
        self: &Rc<Self>,
        address: SocketAddr,
        lease: HostLease,
        clock: Clock,
    ) -> Option<Renewal> {
        let silent_until = self.silent_until.borrow().get(&address).copied();
        if silent_until.is_some_and(|until| clock.now() < until) {
            return None;
        }
        let (asker, answer) = oneshot::channel();
        self.link(address).try_send(Outgoing::Renew(lease, asker)).ok()?;
        match tokio::time::timeout(RENEW_TIMEOUT, answer).await {
            Ok(Ok(renewal)) => renewal,
            Ok(Err(_)) => None,
            Err(_) => {
                // It may wait for the store: that is no reason to leave it alone.
                log::warn!("entry host {address} did not renew a lease in time");
                None
            }
        }
    }

    /// Rests from a peer; the next question opens another connection.
    fn on_silent(&self, address: SocketAddr, clock: Clock) {
        self.links.borrow_mut().remove(&address);
        self.silent_until.borrow_mut().insert(address, clock.now() + SILENT_FOR);
    }

    fn link(self: &Rc<Self>, address: SocketAddr) -> mpsc::Sender<Outgoing> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(&address).filter(|link| !link.is_closed()) {
            return link.clone();
        }
        let (tx, rx) = mpsc::channel(QUEUE_MAX);
        links.insert(address, tx.clone());
        tokio::task::spawn_local(run_link(address, rx));
        tx
    }
}

/// Drives one connection until it breaks or its last user is gone.
async fn run_link(address: SocketAddr, mut outgoing: mpsc::Receiver<Outgoing>) {
    let stream = match connect(address).await {
        Ok(stream) => stream,
        Err(e) => {
            log::warn!("entry host {address} can't be reached: {e}");
            return;
        }
    };
    let mut framed = Framed::new(stream, codec());
    let mut open: HashMap<u32, Asker> = HashMap::new();
    let mut renewals: HashMap<u32, oneshot::Sender<Option<Renewal>>> = HashMap::new();
    let mut number: u32 = 0;
    loop {
        tokio::select! {
            message = outgoing.recv() => {
                let message = match message {
                    None => return,
                    Some(Outgoing::Renew(lease, asker)) => {
                        number = number.wrapping_add(1);
                        renewals.retain(|_, asker| !asker.is_closed());
                        renewals.insert(number, asker);
                        ToOwner::Renew(RenewAsk { number, lease })
                    }
                    Some(Outgoing::Read(number)) => ToOwner::Read(number),
                    Some(Outgoing::Done(number)) => ToOwner::Done(number),
                    Some(Outgoing::Ask(mut ask, reply)) => {
                        number = number.wrapping_add(1);
                        ask.number = number;
                        open.insert(number, reply);
                        ToOwner::Ask(ask)
                    }
                };
                if framed.send(self::frame(&message)).await.is_err() {
                    return;
                }
            }
            frame = framed.next() => {
                let Some(Ok(frame)) = frame else { return };
                let Reply { number, answer } = match postcard::from_bytes(&frame) {
                    Ok(FromOwner::Reply(reply)) => reply,
                    Ok(FromOwner::Renewed { number, renewal }) => {
                        if let Some(asker) = renewals.remove(&number) {
                            // Who asked may have given it up.
                            let _ = asker.send(renewal);
                        }
                        continue;
                    }
                    Ok(FromOwner::News(_)) | Err(_) => {
                        log::warn!("entry host {address} sent what was not asked for");
                        return;
                    }
                };
                let unwanted = match open.get(&number) {
                    Some(asker) => asker.try_send((answer, number)).is_err(),
                    None => true,
                };
                if answer != Answer::Loading {
                    open.remove(&number);
                }
                let unused = unwanted && matches!(answer, Answer::Granted { .. });
                if unused && framed.send(self::frame(&ToOwner::Done(number))).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Answers the questions of peers until the process ends.
pub(crate) async fn serve(entry: Rc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_peer(entry.clone(), stream));
            }
            Err(e) => {
                log::warn!("a peer's connection was not accepted: {e}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_peer(entry: Rc<Entry>, stream: TcpStream) {
    if let Err(e) = set_options(&stream) {
        log::debug!("a peer's connection takes no options: {e}");
    }
    let (mut sink, mut frames) = Framed::new(stream, codec()).split();
    let (tx, mut rx) = mpsc::channel::<Bytes>(QUEUE_MAX);
    let writer = tokio::task::spawn_local(async move {
        while let Some(frame) = rx.recv().await {
            if sink.send(frame).await.is_err() {
                return;
            }
        }
    });
    // What this peer's requests use; all of it ends with the connection.
    let uses: Rc<RefCell<HashMap<u32, Use>>> = Rc::default();
    while let Some(Ok(received)) = frames.next().await {
        match postcard::from_bytes::<ToOwner>(&received) {
            Ok(ToOwner::Ask(ask)) => {
                let (entry, tx, uses) = (entry.clone(), tx.clone(), uses.clone());
                tokio::task::spawn_local(async move {
                    let number = ask.number;
                    let waits = tx.clone();
                    let on_wait = move || {
                        let loading = Reply { number, answer: Answer::Loading };
                        if waits.try_send(frame(&FromOwner::Reply(loading))).is_err() {
                            log::debug!("a peer was not told that a load takes time");
                        }
                    };
                    let (answer, granted) = entry.orders.answer(&entry, &ask, on_wait).await;
                    if let Some(granted) = granted {
                        uses.borrow_mut().insert(number, granted);
                    }
                    let reply = FromOwner::Reply(Reply { number, answer });
                    if tx.send(frame(&reply)).await.is_err() {
                        uses.borrow_mut().remove(&number);
                    }
                });
            }
            Ok(ToOwner::Read(number)) => {
                if let Some(used) = uses.borrow().get(&number) {
                    used.on_read(entry.clock.now());
                }
            }
            Ok(ToOwner::Done(number)) => {
                uses.borrow_mut().remove(&number);
            }
            Ok(ToOwner::Renew(RenewAsk { number, lease })) => {
                let (entry, tx) = (entry.clone(), tx.clone());
                tokio::task::spawn_local(async move {
                    let renewal = entry.renewals.join(&entry, lease).await;
                    let renewed = FromOwner::Renewed { number, renewal };
                    if tx.send(frame(&renewed)).await.is_err() {
                        log::debug!("a peer that asked for a renewal has left");
                    }
                });
            }
            Ok(ToOwner::Watch) => {
                tokio::task::spawn_local(relays::pass_on(entry.clone(), tx.clone()));
            }
            Err(e) => {
                log::warn!("a peer sent what can't be read: {e}");
                break;
            }
        }
    }
    uses.borrow_mut().clear();
    drop(tx);
    // The writer ends with its connection.
    let _ = writer.await;
}

/// Encodes a message.
pub(crate) fn frame(message: &impl Serialize) -> Bytes {
    match postcard::to_stdvec(message) {
        Ok(frame) => frame.into(),
        Err(e) => {
            // An empty frame is read as nothing that was asked for.
            log::error!("a message to a peer can't be written: {e}");
            Bytes::new()
        }
    }
}

/// Frames messages by their length.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec()
}
