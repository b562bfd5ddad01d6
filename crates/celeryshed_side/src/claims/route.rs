//! Route for the seal requests of entries.

use celeryshed_wire::{MSGPACK, SealRequest, decode, encode};
use rocket::data::{Data, ToByteUnit};
use rocket::http::{ContentType, Status};
use rocket::{Route, State, post, routes};

use super::handle::ClaimHandle;

/// Largest accepted body in KiB; a seal request has about 100 bytes.
const MAX_BODY_KIB: u64 = 4;

/// Routes to mount at `/`; they need a managed [`ClaimHandle`].
///
/// ```
/// assert_eq!(celeryshed_side::claims::claim_routes().len(), 1);
/// ```
pub fn claim_routes() -> Vec<Route> {
    routes![seal_claim]
}

#[post("/side/v1/seals", data = "<body>")]
async fn seal_claim(
    body: Data<'_>,
    handle: &State<ClaimHandle>,
) -> Result<(ContentType, Vec<u8>), Status> {
    let received = body.open(MAX_BODY_KIB.kibibytes()).into_bytes().await;
    let received = received.map_err(|_| Status::BadRequest)?;
    let request: SealRequest = decode(&received).map_err(|_| Status::BadRequest)?;
    let reply = handle.seal(request).await;
    let reply = encode(&reply).map_err(|_| Status::InternalServerError)?;
    let media_type = MSGPACK.parse().unwrap_or(ContentType::Binary);
    Ok((media_type, reply.to_vec()))
}
