//! Serializes digests as raw bytes in frequent messages: 34 bytes of MessagePack instead of 66
//! bytes as text.

use celeryshed_base::ContentDigest;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_bytes::ByteArray;

const DIGEST_BYTES: usize = 32;

pub(crate) fn serialize<S: Serializer>(
    digest: &Option<ContentDigest>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    digest.map(|digest| ByteArray::new(*digest.as_bytes())).serialize(serializer)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<ContentDigest>, D::Error> {
    let bytes: Option<ByteArray<DIGEST_BYTES>> =
        Deserialize::deserialize(deserializer).map_err(D::Error::custom)?;
    Ok(bytes.map(|bytes| ContentDigest::from(bytes.into_array())))
}
