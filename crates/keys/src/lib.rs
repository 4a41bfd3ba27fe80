//! # guavaspread keys
//!
//! Generates a private certificate authority, the processes' certificates, and bearer keys.
//!
//! | task | API |
//! |---|---|
//! | create a deployment's certificate authority | [`CertificateAuthority::generate`] |
//! | issue the certificate of a process | [`CertificateAuthority::issue`] |
//! | generate a bearer key | [`bearer_key`] |

use rand::RngExt;
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, ExtendedKeyUsagePurpose, IsCa,
    KeyPair, KeyUsagePurpose,
};

/// The server name in the certificate of every process.
const SERVER_NAME: &str = "guavaspread.internal";
const BEARER_KEY_CHARS: usize = 40;

/// Alias for a `Result` with the error of the certificate library.
pub type Result<T> = std::result::Result<T, rcgen::Error>;

/// A certificate and its private key as PEM texts.
pub struct Pem {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// A certificate authority that signs the certificates of one deployment's processes.
pub struct CertificateAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl CertificateAuthority {
    /// Generates a certificate authority with a new key.
    ///
    /// # Errors
    ///
    /// Fails when no key can be generated.
    pub fn generate() -> Result<Self> {
        let mut params = CertificateParams::new(Vec::new())?;
        params.distinguished_name.push(DnType::CommonName, "guavaspread authority");
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        Ok(CertificateAuthority { issuer })
    }

    /// Returns the authority's certificate and private key.
    pub fn pem(&self) -> Pem {
        Pem { certificate: self.issuer.pem(), key: self.issuer.key().serialize_pem() }
    }

    /// Issues a certificate with a new key for the process `name`.
    ///
    /// # Errors
    ///
    /// Fails when no key can be generated.
    pub fn issue(&self, name: &str) -> Result<Pem> {
        let mut params = CertificateParams::new(vec![SERVER_NAME.to_owned()])?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let key = KeyPair::generate()?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok(Pem { certificate: certificate.pem(), key: key.serialize_pem() })
    }
}

/// Generates a random bearer key that starts with `prefix`.
pub fn bearer_key(prefix: &str) -> String {
    let mut rng = rand::rng();
    let chars = (0..BEARER_KEY_CHARS).map(|_| rng.sample(rand::distr::Alphanumeric) as char);
    format!("{prefix}-{}", chars.collect::<String>())
}
