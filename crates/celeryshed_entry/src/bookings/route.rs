//! The route for bookings that other entries forward.

use celeryshed_wire::{BookingForward, MSGPACK, decode, encode};
use rocket::data::{Data, ToByteUnit};
use rocket::http::{ContentType, Status};
use rocket::{Route, State, post, routes};

use super::handle::BookingHandle;

/// Largest accepted body; a forwarded call carries the whole body of the caller's request.
const MAX_BODY_MIB: u64 = 16;

/// `POST /entry/v1/bookings`, for other entries; needs a managed [`BookingHandle`].
///
/// ```
/// assert_eq!(celeryshed_entry::bookings::booking_routes().len(), 1);
/// ```
pub fn booking_routes() -> Vec<Route> {
    routes![forwarded_booking]
}

#[post("/entry/v1/bookings", data = "<body>")]
async fn forwarded_booking(
    body: Data<'_>,
    handle: &State<BookingHandle>,
) -> Result<(ContentType, Vec<u8>), Status> {
    let received = body.open(MAX_BODY_MIB.mebibytes()).into_bytes().await;
    let received = received.map_err(|_| Status::BadRequest)?;
    if !received.is_complete() {
        return Err(Status::PayloadTooLarge);
    }
    let booking: BookingForward = decode(&received).map_err(|_| Status::BadRequest)?;
    let reply = handle.serve(booking).await;
    let reply = encode(&reply).map_err(|_| Status::InternalServerError)?;
    let media_type = MSGPACK.parse().unwrap_or(ContentType::Binary);
    Ok((media_type, reply.to_vec()))
}
