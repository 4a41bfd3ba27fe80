//! QUIC endpoints with mutual TLS.
//!
//! One private certificate authority issues the certificates of all processes. A
//! process connects only to peers that present such a certificate, and accepts
//! connections only from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, Endpoint, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;

use crate::error::{Error, ErrorCode, Result};

/// The server name in the certificate of every process.
pub const SERVER_NAME: &str = "guavaspread.internal";

const ALPN: &[u8] = b"guavaspread/1";
// Longer than the keep-alive interval, or idle connections to live peers would time out.
const IDLE_TIMEOUT_MS: u32 = 3_000;
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
const STREAMS_PER_CONNECTION_MAX: u32 = 4_096;

/// A process's certificate chain and private key, and the authority that it trusts.
#[derive(Clone)]
pub struct Identity {
    chain: Vec<CertificateDer<'static>>,
    key: Arc<PrivateKeyDer<'static>>,
    roots: Arc<rustls::RootCertStore>,
}

impl Identity {
    /// Parses an identity from PEM texts.
    ///
    /// # Errors
    ///
    /// Fails when one of the texts contains no valid certificate or key.
    pub fn from_pem(authority: &[u8], chain: &[u8], key: &[u8]) -> Result<Self> {
        let invalid = |e: &dyn std::fmt::Display| Error::new(ErrorCode::InvalidIdentity, e);
        let chain = parse_certificates(chain)?;
        let key = PrivateKeyDer::from_pem_slice(key).map_err(|e| invalid(&e))?;
        let mut roots = rustls::RootCertStore::empty();
        for authority in parse_certificates(authority)? {
            roots.add(authority).map_err(|e| invalid(&e))?;
        }
        Ok(Identity { chain, key: Arc::new(key), roots: Arc::new(roots) })
    }
}

fn parse_certificates(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>> {
    let found: std::result::Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let found = found.map_err(|e| Error::new(ErrorCode::InvalidIdentity, e))?;
    if found.is_empty() {
        return Err(Error::new(ErrorCode::InvalidIdentity, "the PEM text contains no certificate"));
    }
    Ok(found)
}

fn transport() -> Arc<TransportConfig> {
    let mut cfg = TransportConfig::default();
    cfg.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    cfg.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    cfg.max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_PER_CONNECTION_MAX));
    Arc::new(cfg)
}

/// Opens an endpoint that accepts connections and connects to peers.
///
/// # Errors
///
/// Fails when the identity is invalid or the address can't be bound.
pub fn server_endpoint(identity: &Identity, address: SocketAddr) -> Result<Endpoint> {
    let invalid = |e: &dyn std::fmt::Display| Error::new(ErrorCode::InvalidIdentity, e);
    let verifier =
        WebPkiClientVerifier::builder_with_provider(identity.roots.clone(), crypto_provider())
            .build()
            .map_err(|e| invalid(&e))?;
    let mut tls = rustls::ServerConfig::builder_with_provider(crypto_provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| invalid(&e))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(|e| invalid(&e))?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicServerConfig::try_from(tls).map_err(|e| invalid(&e))?;
    let mut cfg = ServerConfig::with_crypto(Arc::new(crypto));
    cfg.transport_config(transport());
    let mut endpoint =
        Endpoint::server(cfg, address).map_err(|e| Error::new(ErrorCode::Bind, e))?;
    endpoint.set_default_client_config(client_config(identity)?);
    Ok(endpoint)
}

/// Opens an endpoint that connects to peers and accepts no connections.
///
/// # Errors
///
/// Fails when the identity is invalid or the address can't be bound.
pub fn client_endpoint(identity: &Identity, address: SocketAddr) -> Result<Endpoint> {
    let mut endpoint = Endpoint::client(address).map_err(|e| Error::new(ErrorCode::Bind, e))?;
    endpoint.set_default_client_config(client_config(identity)?);
    Ok(endpoint)
}

fn client_config(identity: &Identity) -> Result<ClientConfig> {
    let invalid = |e: &dyn std::fmt::Display| Error::new(ErrorCode::InvalidIdentity, e);
    let mut tls = rustls::ClientConfig::builder_with_provider(crypto_provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| invalid(&e))?
        .with_root_certificates(identity.roots.clone())
        .with_client_auth_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(|e| invalid(&e))?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicClientConfig::try_from(tls).map_err(|e| invalid(&e))?;
    let mut cfg = ClientConfig::new(Arc::new(crypto));
    cfg.transport_config(transport());
    Ok(cfg)
}

fn crypto_provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}
