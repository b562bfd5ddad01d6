//! MessagePack bodies and length-prefixed frames.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

/// Media type of MessagePack bodies.
pub const MSGPACK: &str = "application/msgpack";

/// Largest accepted frame; limits the memory that a faulty peer can make a reader allocate.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Size of the length prefix of each frame.
const LENGTH_BYTES: usize = 4;

/// A body or frame that could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The value can't be represented in MessagePack.
    #[error("value can't be encoded as MessagePack: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes are no MessagePack value of the expected type.
    #[error("bytes are not the expected MessagePack type: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The frame is larger than the limit.
    #[error("frame of {size} bytes is larger than the limit of {MAX_FRAME_BYTES} bytes")]
    FrameTooLarge {
        /// Size in bytes that the length prefix gives.
        size: usize,
    },
}

pub(crate) type Result<T> = std::result::Result<T, CodecError>;

/// Encodes `value` as MessagePack with named fields.
///
/// ```
/// let body = celeryshed_wire::encode(&vec![1u32, 2]).unwrap();
/// assert_eq!(celeryshed_wire::decode::<Vec<u32>>(&body).unwrap(), [1, 2]);
/// ```
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes> {
    Ok(Bytes::from(rmp_serde::to_vec_named(value)?))
}

/// Encodes `value` as MessagePack without field names, for frequent messages.
///
/// [`decode`] reads both forms. Without names, fields are matched by position, so a type that two
/// releases exchange can't gain or reorder fields.
///
/// ```
/// use celeryshed_wire::{LoadReport, decode, encode, encode_compact};
/// let load = LoadReport::default();
/// let body = encode_compact(&load).unwrap();
/// assert!(body.len() < encode(&load).unwrap().len());
/// assert_eq!(decode::<LoadReport>(&body).unwrap(), load);
/// ```
pub fn encode_compact<T: Serialize>(value: &T) -> Result<Bytes> {
    Ok(Bytes::from(rmp_serde::to_vec(value)?))
}

/// Decodes a MessagePack body.
///
/// ```
/// assert!(celeryshed_wire::decode::<u32>(b"\xc1").is_err());
/// ```
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    Ok(rmp_serde::from_slice(body)?)
}

/// Encodes `value` as one frame: a big-endian `u32` length, then MessagePack.
///
/// ```
/// let frame = celeryshed_wire::encode_frame(&7u8).unwrap();
/// assert_eq!(&frame[..], [0, 0, 0, 1, 7]);
/// ```
pub fn encode_frame<T: Serialize>(value: &T) -> Result<Bytes> {
    let body = rmp_serde::to_vec_named(value)?;
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    frame.put_u32(body.len() as u32);
    frame.put_slice(&body);
    Ok(frame.freeze())
}

/// Splits a byte stream into frames.
///
/// ```
/// use celeryshed_wire::{FrameDecoder, encode_frame};
/// let frame = encode_frame(&"token").unwrap();
/// let mut decoder = FrameDecoder::default();
/// decoder.push(&frame[..3]);
/// assert_eq!(decoder.next_frame::<String>().unwrap(), None);
/// decoder.push(&frame[3..]);
/// assert_eq!(decoder.next_frame::<String>().unwrap().as_deref(), Some("token"));
/// ```
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, received: &[u8]) {
        self.buffer.extend_from_slice(received);
    }

    /// Removes and decodes the next frame; `None` until the whole frame has been received.
    pub fn next_frame<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let size = u32::from_be_bytes(*length) as usize;
        if size > MAX_FRAME_BYTES {
            return Err(CodecError::FrameTooLarge { size });
        }
        if self.buffer.len() < LENGTH_BYTES + size {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(size);
        decode(&body).map(Some)
    }

    /// Whether undecoded bytes remain, for example after a connection ended within a frame.
    pub fn has_partial_frame(&self) -> bool {
        !self.buffer.is_empty()
    }
}
