//! Rocket guards and responders for MessagePack bodies.

use celeryshed_wire::{decode, encode, encode_compact};
use rocket::Request;
use rocket::data::{self, Data, FromData, ToByteUnit};
use rocket::http::{ContentType, Status};
use rocket::outcome::Outcome;
use rocket::response::{self, Responder};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest accepted request body.
const MAX_BODY_MIB: u64 = 4;

/// A request or reply whose body is MessagePack with named fields.
///
/// Rocket's own type writes structs as arrays, so that every added field would break compatibility.
#[derive(Debug)]
pub struct NamedMsgPack<T>(pub T);

#[rocket::async_trait]
impl<'r, T: DeserializeOwned> FromData<'r> for NamedMsgPack<T> {
    type Error = String;

    async fn from_data(_request: &'r Request<'_>, data: Data<'r>) -> data::Outcome<'r, Self> {
        let body = match data.open(MAX_BODY_MIB.mebibytes()).into_bytes().await {
            Ok(body) if body.is_complete() => body.into_inner(),
            Ok(_) => return Outcome::Error((Status::PayloadTooLarge, "body too large".to_owned())),
            Err(error) => return Outcome::Error((Status::BadRequest, error.to_string())),
        };
        match decode(&body) {
            Ok(value) => Outcome::Success(Self(value)),
            Err(error) => Outcome::Error((Status::BadRequest, error.to_string())),
        }
    }
}

impl<'r, T: Serialize> Responder<'r, 'static> for NamedMsgPack<T> {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'static> {
        let body = encode(&self.0).map_err(|_| Status::InternalServerError)?;
        (ContentType::MsgPack, Vec::from(body)).respond_to(request)
    }
}

/// A reply whose body is MessagePack without field names, for frequently called routes.
#[derive(Debug)]
pub struct CompactMsgPack<T>(pub T);

impl<'r, T: Serialize> Responder<'r, 'static> for CompactMsgPack<T> {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'static> {
        let body = encode_compact(&self.0).map_err(|_| Status::InternalServerError)?;
        (ContentType::MsgPack, Vec::from(body)).respond_to(request)
    }
}
