//! Decoding of what peers send.

use rmp_serde::Deserializer;
use rmp_serde::decode::Error;
use serde::de::DeserializeOwned;

/// Most levels of nesting, more than any message has. Each level takes up stack, also in a part that is
/// skipped.
const MAX_DEPTH: usize = 24;

/// Decodes MessagePack of a peer.
///
/// ```
/// assert_eq!(celeryshed_peering::decode_peer_bytes::<Vec<u8>>(&[0x91, 7]).unwrap(), [7]);
/// assert!(celeryshed_peering::decode_peer_bytes::<Vec<u8>>(&[0x91]).is_err());
/// ```
pub fn decode_peer_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut deserializer = Deserializer::from_read_ref(bytes);
    deserializer.set_max_depth(MAX_DEPTH);
    T::deserialize(&mut deserializer)
}
