//! Routes of the configuration.

use celeryshed_wire::{ENTRY_HEADER, EndpointReport, RevisionExchange};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::{Route, State, post, routes};

use super::handle::ConfigurationHandle;
use super::packed::Packed;

/// `POST /side/v1/report`, for probes of entries; needs a managed [`ConfigurationHandle`].
pub fn configuration_routes() -> Vec<Route> {
    routes![give_report]
}

/// Address of the calling entry, when it says so.
struct EntryAddress(Option<String>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for EntryAddress {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        Outcome::Success(Self(request.headers().get_one(ENTRY_HEADER).map(str::to_owned)))
    }
}

#[post("/side/v1/report", data = "<_exchange>")]
async fn give_report(
    _exchange: Packed<RevisionExchange>,
    entry: EntryAddress,
    configuration: &State<ConfigurationHandle>,
) -> Packed<EndpointReport> {
    if let Some(address) = entry.0 {
        configuration.note_sender(&address);
    }
    Packed(configuration.report())
}
