//! Idempotency keys and booking identities.

use std::time::Duration;

use celeryshed_base::{ContentDigest, ServiceName, TeamName, UnixMillis, common_derives};
use uuid::Uuid;

/// How far in the future a key's creation time may be, to accept callers whose clock is fast.
pub(super) const KEY_FUTURE_ALLOWANCE: Duration = Duration::from_secs(60);

/// Error for an idempotency key that isn't a UUID version 7.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("Idempotency-Key {value:?} is not accepted: it must be a UUID version 7")]
pub struct KeyError {
    /// The rejected text.
    pub value: String,
}

common_derives! { index:
    /// An idempotency key: a UUID version 7, which contains its creation time.
    pub struct BookingKey(Uuid);

    /// Whether a key's creation time is accepted.
    pub enum KeyWindow {
        /// Accepted: within the booking window, or at most 60 s in the future.
        Open,
        /// Older than the booking window.
        Expired,
        /// More than 60 s in the future.
        Future,
    }
}

impl BookingKey {
    /// Returns when the caller created the key, by the caller's clock.
    ///
    /// ```
    /// use celeryshed_core::booking::BookingKey;
    /// let key = BookingKey::try_from("01890a5d-ac96-774b-bcce-b302099a8057").unwrap();
    /// assert_eq!(key.issued_at().0, 0x0189_0a5d_ac96);
    /// ```
    pub fn issued_at(&self) -> UnixMillis {
        UnixMillis((self.0.as_u128() >> 80) as u64)
    }
}

impl TryFrom<&str> for BookingKey {
    type Error = KeyError;

    fn try_from(value: &str) -> Result<Self, KeyError> {
        let uuid = Uuid::try_parse(value).ok();
        let version_7 = uuid.filter(|uuid| uuid.get_version_num() == 7);
        version_7.map(Self).ok_or_else(|| KeyError { value: value.to_owned() })
    }
}

impl KeyWindow {
    /// Classifies a key created at `issued_at`, for a booking window of length `window` that ends
    /// at `now`.
    ///
    /// ```
    /// use celeryshed_base::UnixMillis;
    /// use celeryshed_core::booking::KeyWindow;
    /// use std::time::Duration;
    /// let window = Duration::from_secs(10);
    /// let issued = UnixMillis(100_000);
    /// assert_eq!(KeyWindow::of(issued, UnixMillis(110_000), window), KeyWindow::Open);
    /// assert_eq!(KeyWindow::of(issued, UnixMillis(110_001), window), KeyWindow::Expired);
    /// assert_eq!(KeyWindow::of(issued, UnixMillis(39_999), window), KeyWindow::Future);
    /// ```
    pub fn of(issued_at: UnixMillis, now: UnixMillis, window: Duration) -> Self {
        if now.since(issued_at) > window {
            return Self::Expired;
        }
        if issued_at.since(now) > KEY_FUTURE_ALLOWANCE {
            return Self::Future;
        }
        Self::Open
    }
}

common_derives! { value:
    /// Identifies a booking and the call that it makes.
    #[derive(Copy)]
    pub struct BookingIdentity {
        /// The caller's idempotency key.
        pub key: BookingKey,
        /// Digest of team and key; identifies the booking.
        pub booking: ContentDigest,
        /// Digest of service, method, path and body; a key may be used for only one call.
        pub body_digest: ContentDigest,
    }
}

impl BookingIdentity {
    /// Identifies the call `method path body` to `service`, which `team` makes under `key`.
    ///
    /// ```
    /// use celeryshed_base::{TeamName, ServiceName};
    /// use celeryshed_core::booking::{BookingIdentity, BookingKey};
    /// let key = BookingKey::try_from("01890a5d-ac96-774b-bcce-b302099a8057").unwrap();
    /// let team = TeamName::try_from("clinic").unwrap();
    /// let service = ServiceName::try_from("orders").unwrap();
    /// let first = BookingIdentity::of(&team, key, &service, "POST", "kits", b"1");
    /// let second = BookingIdentity::of(&team, key, &service, "POST", "kits", b"2");
    /// assert_eq!(first.booking, second.booking);
    /// assert_ne!(first.body_digest, second.body_digest);
    /// ```
    pub fn of(
        team: &TeamName,
        key: BookingKey,
        service: &ServiceName,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Self {
        let booking = ContentDigest::of_parts(&[team.as_str().as_bytes(), key.0.as_bytes()]);
        let call = [service.as_str().as_bytes(), method.as_bytes(), path.as_bytes(), body];
        let body_digest = ContentDigest::of_parts(&call);
        Self { key, booking, body_digest }
    }
}
