//! blake3 digests of contents.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Error for text that isn't a digest.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{value:?} is not a digest: accepted are 64 hexadecimal digits (blake3)")]
pub struct DigestError {
    /// The rejected text.
    pub value: String,
}

/// blake3 hash of a content such as a chunk, a manifest or a request body.
///
/// ```
/// use celeryshed_base::ContentDigest;
/// let digest = ContentDigest::of(b"weights");
/// assert_eq!(ContentDigest::try_from(digest.to_string().as_str()), Ok(digest));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ContentDigest([u8; 32]);

impl ContentDigest {
    /// Hashes `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(*blake3::hash(content).as_bytes())
    }

    /// Hashes several parts, each after its length, so that different splits give different
    /// digests.
    ///
    /// ```
    /// use celeryshed_base::ContentDigest;
    /// let digest = ContentDigest::of_parts(&[b"ab", b"c"]);
    /// assert_ne!(digest, ContentDigest::of_parts(&[b"a", b"bc"]));
    /// ```
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }

    /// The 32 bytes of the hash.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// The first eight bytes as a big-endian integer, for rendezvous hashing and choice of
    /// partitions.
    pub fn leading_u64(&self) -> u64 {
        let mut leading = [0; 8];
        leading.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(leading)
    }
}

impl From<[u8; 32]> for ContentDigest {
    fn from(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl TryFrom<&str> for ContentDigest {
    type Error = DigestError;

    fn try_from(value: &str) -> Result<Self, DigestError> {
        let hash = blake3::Hash::from_hex(value);
        hash.map(|hash| Self(*hash.as_bytes())).map_err(|_| DigestError { value: value.to_owned() })
    }
}

impl TryFrom<String> for ContentDigest {
    type Error = DigestError;

    fn try_from(value: String) -> Result<Self, DigestError> {
        Self::try_from(value.as_str())
    }
}

impl From<ContentDigest> for String {
    fn from(digest: ContentDigest) -> String {
        digest.to_string()
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        blake3::Hash::from_bytes(self.0).to_hex().fmt(f)
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ContentDigest({self})")
    }
}
