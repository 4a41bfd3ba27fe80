//! QUIC connections to dispatchers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use guavaspread_store::{HttpPlatform, Platform};
use guavaspread_wire::{Ask, FrameReceiver, FrameSender, Identity, SERVER_NAME, client_endpoint};
use quinn::{Connection, Endpoint};
use serde::de::DeserializeOwned;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
const ASK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Opens what a control thread speaks through: the platform and the dispatchers.
///
/// # Errors
///
/// Fails when a client can't be built or the identity is unusable.
pub async fn open_borders(
    platform: SocketAddr,
    identity: &Identity,
    source: IpAddr,
) -> Result<(Rc<dyn Platform>, Rc<Links>), String> {
    let platform = HttpPlatform::new(platform).await.map_err(|e| e.to_string())?;
    let links = Links::new(identity, source).map_err(|e| e.to_string())?;
    Ok((Rc::new(platform), Rc::new(links)))
}

/// Tells why a stream could not be opened.
#[derive(Debug)]
pub enum OpenError {
    /// Nothing of the question left this process.
    NotSent(String),
    /// The question may have been acted on.
    Unknown(String),
}

/// Holds the connections of one thread; made inside that thread's runtime.
pub struct Links {
    endpoint: Endpoint,
    connections: RefCell<HashMap<SocketAddr, Connection>>,
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::NotSent(detail) | OpenError::Unknown(detail) => f.write_str(detail),
        }
    }
}

impl Links {
    /// Opens an endpoint that makes connections from `source`.
    ///
    /// # Errors
    ///
    /// Fails when the identity is unusable or no socket can be had.
    pub fn new(identity: &Identity, source: IpAddr) -> guavaspread_wire::Result<Self> {
        let endpoint = client_endpoint(identity, SocketAddr::from((source, 0)))?;
        Ok(Links { endpoint, connections: RefCell::default() })
    }

    /// Opens a stream and sends `ask` on it.
    ///
    /// # Errors
    ///
    /// Fails when no connection or stream can be had; says whether `ask` may have arrived.
    pub async fn open(&self, address: SocketAddr, ask: &Ask) -> Result<FrameReceiver, OpenError> {
        let connection = self.connection(address).await.map_err(OpenError::NotSent)?;
        let opened = ntex::time::timeout(CONNECT_TIMEOUT, connection.open_bi()).await;
        let Ok(Ok((tx, rx))) = opened else {
            self.forget(address);
            return Err(OpenError::NotSent(format!("no stream to {address}")));
        };
        let mut tx = FrameSender::new(tx);
        tx.send(ask).await.map_err(|e| OpenError::Unknown(e.to_string()))?;
        tx.finish();
        Ok(FrameReceiver::new(rx))
    }

    /// Asks for one answer.
    ///
    /// # Errors
    ///
    /// Fails when the peer can't be reached or does not answer in time.
    pub async fn ask<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        ask: &Ask,
    ) -> Result<T, String> {
        let answer = async {
            let mut rx = self.open(address, ask).await.map_err(|e| e.to_string())?;
            let answer = rx.recv::<T>().await.map_err(|e| e.to_string())?;
            answer.ok_or_else(|| "no answer".to_owned())
        };
        match ntex::time::timeout(ASK_TIMEOUT, answer).await {
            Ok(answer) => answer,
            Err(()) => {
                self.forget(address);
                Err(format!("{address} did not answer in time"))
            }
        }
    }

    /// Leaves a connection, so that the next stream is opened on a new one.
    pub fn forget(&self, address: SocketAddr) {
        self.connections.borrow_mut().remove(&address);
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, String> {
        let known = self.connections.borrow().get(&address).cloned();
        if let Some(connection) = known.filter(|c| c.close_reason().is_none()) {
            return Ok(connection);
        }
        let connecting = self.endpoint.connect(address, SERVER_NAME).map_err(|e| e.to_string())?;
        match ntex::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => {
                self.connections.borrow_mut().insert(address, connection.clone());
                Ok(connection)
            }
            Ok(Err(e)) => Err(format!("{address}: {e}")),
            Err(()) => Err(format!("{address} did not accept a connection in time")),
        }
    }
}
