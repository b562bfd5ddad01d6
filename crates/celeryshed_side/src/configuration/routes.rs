//! Routes of the configuration task.

use celeryshed_server::{CompactMsgPack, NamedMsgPack};
use celeryshed_wire::{ConfigurationReply, ENTRY_HEADER, EndpointReport, RevisionExchange};
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::{Route, State, post, routes};

use super::handle::ConfigurationHandle;

/// Routes to mount at `/`; they need a managed [`ConfigurationHandle`].
///
/// - `POST /side/v1/report`: entries probe this sidecar.
/// - `POST /side/v1/revisions`: entries without a configuration fetch one.
/// - `POST /side/v1/leaving/<instance>`: entries pass on that the platform marks an instance as
///   leaving.
pub fn configuration_routes() -> Vec<Route> {
    routes![give_report, give_state, take_leaving_mark]
}

/// Address of the calling entry from [`ENTRY_HEADER`]; `None` without this header.
struct EntryAddress(Option<String>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for EntryAddress {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        Outcome::Success(Self(request.headers().get_one(ENTRY_HEADER).map(str::to_owned)))
    }
}

#[post("/side/v1/revisions", data = "<exchange>")]
async fn give_state(
    exchange: NamedMsgPack<RevisionExchange>,
    configuration: &State<ConfigurationHandle>,
) -> NamedMsgPack<ConfigurationReply> {
    NamedMsgPack(configuration.reply(&exchange.0))
}

/// Replies 409 if another instance than `instance` has this address now.
#[post("/side/v1/leaving/<instance>")]
async fn take_leaving_mark(instance: &str, configuration: &State<ConfigurationHandle>) -> Status {
    let is_own = configuration.mark_leaving(instance).await;
    if is_own { Status::NoContent } else { Status::Conflict }
}

#[post("/side/v1/report", data = "<_exchange>")]
async fn give_report(
    _exchange: NamedMsgPack<RevisionExchange>,
    entry: EntryAddress,
    configuration: &State<ConfigurationHandle>,
) -> CompactMsgPack<EndpointReport> {
    if let Some(address) = entry.0 {
        configuration.record_sender(&address);
    }
    CompactMsgPack(configuration.report())
}

/// Request guard that records the sending entry, so that the entry is notified when this sidecar
/// leaves.
///
/// A server without a managed [`ConfigurationHandle`] records nothing.
pub(crate) struct RecordedSender;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RecordedSender {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let configuration = request.rocket().state::<ConfigurationHandle>();
        let address = request.headers().get_one(ENTRY_HEADER);
        if let (Some(configuration), Some(address)) = (configuration, address) {
            configuration.record_sender(address);
        }
        Outcome::Success(Self)
    }
}
