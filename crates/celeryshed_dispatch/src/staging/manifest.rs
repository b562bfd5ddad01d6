//! The digests by which the pieces of a version are verified.

use celeryshed_base::common_derives;
use sha2::{Digest, Sha256};

/// Size of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// Why a list of digests is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ManifestError {
    /// The list contains no digest.
    #[error("the manifest of {model} version {version} names no piece")]
    Empty {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
    /// A digest is not 64 hexadecimal digits.
    #[error("digest {piece} of {model} version {version} is not 64 hexadecimal digits")]
    Digest {
        /// The model.
        model: String,
        /// The version.
        version: u64,
        /// Number of the piece, counted from zero.
        piece: usize,
    },
}

common_derives! { value:
    /// The SHA-256 digests of the pieces of one version, by piece number.
    pub struct StageManifest {
        model: String,
        version: u64,
        digests: Vec<[u8; DIGEST_BYTES]>,
    }
}

impl StageManifest {
    /// Parses a list of hexadecimal SHA-256 digests, one for each piece.
    ///
    /// ```
    /// use celeryshed_dispatch::StageManifest;
    /// assert!(StageManifest::parse("m", 1, &["00".repeat(32)]).is_ok());
    /// assert!(StageManifest::parse("m", 1, &["zz".to_owned()]).is_err());
    /// ```
    pub fn parse(model: &str, version: u64, digests: &[String]) -> Result<Self, ManifestError> {
        let model = model.to_owned();
        if digests.is_empty() {
            return Err(ManifestError::Empty { model, version });
        }
        let mut parsed = Vec::with_capacity(digests.len());
        for (piece, text) in digests.iter().enumerate() {
            let digest = parse_hex(text).ok_or_else(|| ManifestError::Digest {
                model: model.clone(),
                version,
                piece,
            })?;
            parsed.push(digest);
        }
        Ok(Self { model, version, digests: parsed })
    }

    /// Name of the model that the weights belong to.
    pub fn model(&self) -> &str {
        &self.model
    }

    /// Version that the weights belong to.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of pieces of the version.
    pub fn piece_count(&self) -> u32 {
        self.digests.len() as u32
    }

    /// The digests in hexadecimal, as [`Self::parse`] takes them.
    pub fn hex_digests(&self) -> Vec<String> {
        let hex =
            |digest: &[u8; DIGEST_BYTES]| digest.iter().map(|byte| format!("{byte:02x}")).collect();
        self.digests.iter().map(hex).collect()
    }

    /// Whether the digest of `bytes` matches that of the piece; `false` for an unknown piece.
    pub fn verifies(&self, piece: u32, bytes: &[u8]) -> bool {
        let digest = Sha256::digest(bytes);
        self.digests.get(piece as usize).is_some_and(|expected| expected[..] == digest[..])
    }
}

fn parse_hex(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; DIGEST_BYTES];
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}
