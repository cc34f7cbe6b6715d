//! Mutual authentication of the two ends of a link.
//!
//! Each side proves knowledge of the mesh key without sending it, by an HMAC-SHA256 over its role,
//! the mesh name, both daemon ids, the purpose and both nonces. The initiator sends [`Hello`], the
//! responder [`Challenge`], the initiator [`Proof`] and the responder [`Welcome`]. The initiator
//! authenticates first, so that a responder reveals no MAC to an unauthenticated peer. The MAC
//! covers the role, so that a proof reflected to its sender is invalid.
//!
//! The handshake only authenticates the peers. The frames that follow are neither encrypted nor
//! authenticated.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use sycamoreflow_state::ids::DaemonId;

#[cfg(test)]
mod tests;

/// Version of the protocol between daemons. Daemons with different versions refuse to connect to
/// each other.
pub const PROTOCOL_VERSION: u16 = 6;

/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 32;

/// Minimum length of a mesh key in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Maximum length of a mesh name or a daemon id in bytes.
pub const MAX_NAME_BYTES: usize = 255;

const MAC_BYTES: usize = 32;

/// Domain separator: prevents MACs of the handshake from being valid in another use of the key.
const DOMAIN_SEPARATOR: &[u8] = b"sycamoreflow link handshake";

/// A random value that must be used for one handshake only.
pub type Nonce = [u8; NONCE_BYTES];

/// Result of a handshake step.
pub type Result<T> = std::result::Result<T, HandshakeError>;

/// Secret shared by all daemons of a mesh. Its `Debug` output does not contain the secret.
#[derive(Clone)]
pub struct MeshKey(Vec<u8>);

impl MeshKey {
    /// Creates a key from its bytes.
    ///
    /// # Errors
    ///
    /// [`HandshakeError::KeyTooShort`] if there are fewer than [`MIN_KEY_BYTES`].
    pub fn new(bytes: impl Into<Vec<u8>>) -> Result<Self> {
        let bytes = bytes.into();
        if bytes.len() < MIN_KEY_BYTES {
            return Err(HandshakeError::KeyTooShort);
        }
        Ok(Self(bytes))
    }
}

impl fmt::Debug for MeshKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MeshKey(..)")
    }
}

/// Credentials of one side of a handshake.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the mesh.
    pub mesh: String,
    /// Id of this daemon.
    pub daemon: DaemonId,
    /// Key shared by the daemons of the mesh.
    pub key: MeshKey,
}

/// Protocol that a link is opened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// [`replica`](crate::replica) messages, between control replicas.
    Raft,
    /// [`distribution`](crate::distribution) messages, between a subscriber and a control replica.
    Distribution,
    /// [`floor`](crate::floor) messages, between a daemon and its witnesses.
    Floor,
    /// [`call`](crate::call) messages, between an entry daemon and an owner daemon.
    Calls,
    /// [`keys`](crate::keys) messages, between a daemon and a key holder.
    Keys,
}

/// First message, sent by the initiator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the initiator.
    pub protocol: u16,
    /// Name of the mesh.
    pub mesh: String,
    /// Id of the initiator.
    pub daemon: DaemonId,
    /// Purpose of the link.
    pub purpose: Purpose,
    /// Nonce of the initiator.
    #[serde(with = "serde_bytes")]
    pub nonce: Nonce,
}

/// Second message, sent by the responder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Challenge {
    /// Id of the responder.
    pub daemon: DaemonId,
    /// Nonce of the responder.
    #[serde(with = "serde_bytes")]
    pub nonce: Nonce,
}

/// Third message, sent by the initiator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Proof {
    /// The initiator's MAC over the handshake.
    #[serde(with = "serde_bytes")]
    pub mac: [u8; MAC_BYTES],
}

/// Fourth message, sent by the responder. The link is open once the initiator has verified it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Welcome {
    /// The responder's MAC over the handshake.
    #[serde(with = "serde_bytes")]
    pub mac: [u8; MAC_BYTES],
}

/// Why a handshake fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandshakeError {
    /// The key has fewer than [`MIN_KEY_BYTES`].
    KeyTooShort,
    /// The peer uses another [`PROTOCOL_VERSION`].
    ProtocolVersion,
    /// The peer belongs to another mesh.
    OtherMesh,
    /// A name is empty or exceeds [`MAX_NAME_BYTES`].
    BadName,
    /// The peer's MAC is invalid: it has another key, or the messages were altered.
    BadProof,
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::KeyTooShort => "mesh key is too short",
            Self::ProtocolVersion => "peer uses another protocol version",
            Self::OtherMesh => "peer belongs to another mesh",
            Self::BadName => "peer sent an empty or too long name",
            Self::BadProof => "peer did not prove knowledge of the mesh key",
        };
        f.write_str(text)
    }
}

impl std::error::Error for HandshakeError {}

/// State of the side that opens a link, after it has sent [`Hello`].
#[derive(Debug)]
pub struct Initiator<'a> {
    identity: &'a Identity,
    purpose: Purpose,
    nonce: Nonce,
}

impl<'a> Initiator<'a> {
    /// Starts a handshake. `nonce` must be random and must not be reused.
    pub fn start(identity: &'a Identity, purpose: Purpose, nonce: Nonce) -> (Self, Hello) {
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            mesh: identity.mesh.clone(),
            daemon: identity.daemon.clone(),
            purpose,
            nonce,
        };
        let initiator = Self {
            identity,
            purpose,
            nonce,
        };
        (initiator, hello)
    }

    /// Computes the proof for the responder's challenge.
    ///
    /// # Errors
    ///
    /// [`HandshakeError::BadName`] if the responder's id is empty or too long.
    pub fn prove(self, challenge: Challenge) -> Result<(AwaitingWelcome<'a>, Proof)> {
        check_name(challenge.daemon.as_str())?;
        let transcript = Transcript {
            mesh: self.identity.mesh.clone(),
            initiator: self.identity.daemon.clone(),
            responder: challenge.daemon,
            purpose: self.purpose,
            initiator_nonce: self.nonce,
            responder_nonce: challenge.nonce,
        };
        let mac = transcript.mac(&self.identity.key, Role::Initiator);
        let proof = Proof {
            mac: mac.finalize().into_bytes().into(),
        };
        let awaiting = AwaitingWelcome {
            key: &self.identity.key,
            transcript,
        };
        Ok((awaiting, proof))
    }
}

/// State of the side that opens a link, after it has sent [`Proof`].
#[derive(Debug)]
pub struct AwaitingWelcome<'a> {
    key: &'a MeshKey,
    transcript: Transcript,
}

impl AwaitingWelcome<'_> {
    /// Verifies the responder's proof and returns the responder's id.
    ///
    /// # Errors
    ///
    /// [`HandshakeError::BadProof`] if the responder does not have the mesh key or a message was
    /// altered.
    pub fn finish(self, welcome: &Welcome) -> Result<DaemonId> {
        let mac = self.transcript.mac(self.key, Role::Responder);
        verify(mac, &welcome.mac)?;
        Ok(self.transcript.responder)
    }
}

/// State of the side that accepts a link, after it has sent [`Challenge`].
#[derive(Debug)]
pub struct Responder<'a> {
    key: &'a MeshKey,
    transcript: Transcript,
}

impl<'a> Responder<'a> {
    /// Checks the initiator's [`Hello`] and creates a challenge. `nonce` must be random and must
    /// not be reused.
    ///
    /// # Errors
    ///
    /// Fails if the initiator has another protocol version, belongs to another mesh, or has an
    /// empty or too long id.
    pub fn challenge(
        identity: &'a Identity,
        hello: Hello,
        nonce: Nonce,
    ) -> Result<(Self, Challenge)> {
        if hello.protocol != PROTOCOL_VERSION {
            return Err(HandshakeError::ProtocolVersion);
        }
        if hello.mesh != identity.mesh {
            return Err(HandshakeError::OtherMesh);
        }
        check_name(hello.daemon.as_str())?;
        let transcript = Transcript {
            mesh: hello.mesh,
            initiator: hello.daemon,
            responder: identity.daemon.clone(),
            purpose: hello.purpose,
            initiator_nonce: hello.nonce,
            responder_nonce: nonce,
        };
        let challenge = Challenge {
            daemon: identity.daemon.clone(),
            nonce,
        };
        let responder = Self {
            key: &identity.key,
            transcript,
        };
        Ok((responder, challenge))
    }

    /// Verifies the initiator's proof. Returns its id, the purpose of the link and the responder's
    /// own proof.
    ///
    /// # Errors
    ///
    /// [`HandshakeError::BadProof`] if the initiator does not have the mesh key or a message was
    /// altered.
    pub fn finish(self, proof: &Proof) -> Result<(DaemonId, Purpose, Welcome)> {
        let mac = self.transcript.mac(self.key, Role::Initiator);
        verify(mac, &proof.mac)?;
        let mac = self.transcript.mac(self.key, Role::Responder);
        let welcome = Welcome {
            mac: mac.finalize().into_bytes().into(),
        };
        Ok((self.transcript.initiator, self.transcript.purpose, welcome))
    }
}

#[derive(Clone, Copy)]
enum Role {
    Initiator,
    Responder,
}

/// Values that both MACs cover.
#[derive(Debug)]
struct Transcript {
    mesh: String,
    initiator: DaemonId,
    responder: DaemonId,
    purpose: Purpose,
    initiator_nonce: Nonce,
    responder_nonce: Nonce,
}

impl Transcript {
    fn mac(&self, key: &MeshKey, role: Role) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&key.0)
            .expect("HMAC-SHA256 accepts keys of every length");
        mac.update(DOMAIN_SEPARATOR);
        mac.update(&PROTOCOL_VERSION.to_be_bytes());
        mac.update(&[role as u8, self.purpose as u8]);
        // Each name is preceded by its length, so that different transcripts have different bytes.
        for name in [
            self.mesh.as_str(),
            self.initiator.as_str(),
            self.responder.as_str(),
        ] {
            mac.update(&(name.len() as u64).to_be_bytes());
            mac.update(name.as_bytes());
        }
        mac.update(&self.initiator_nonce);
        mac.update(&self.responder_nonce);
        mac
    }
}

/// Compares the MACs in constant time.
fn verify(mac: Hmac<Sha256>, claimed: &[u8; MAC_BYTES]) -> Result<()> {
    mac.verify_slice(claimed)
        .map_err(|_| HandshakeError::BadProof)
}

fn check_name(name: &str) -> Result<()> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(HandshakeError::BadName);
    }
    Ok(())
}
