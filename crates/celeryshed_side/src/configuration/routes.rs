//! Routes of the configuration.

use celeryshed_server::{CompactMsgPack, NamedMsgPack};
use celeryshed_wire::{ConfigurationReply, ENTRY_HEADER, EndpointReport, RevisionExchange};
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::{Route, State, post, routes};

use super::handle::ConfigurationHandle;

/// `POST /side/v1/report`, for probes of entries, and `POST /side/v1/revisions`, for entries that
/// know no configuration, and `POST /side/v1/leaving/<instance>`, for entries that read the
/// platform's leaving mark; all need a managed [`ConfigurationHandle`].
pub fn configuration_routes() -> Vec<Route> {
    routes![give_report, give_state, take_leaving_mark]
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

#[post("/side/v1/revisions", data = "<exchange>")]
async fn give_state(
    exchange: NamedMsgPack<RevisionExchange>,
    configuration: &State<ConfigurationHandle>,
) -> NamedMsgPack<ConfigurationReply> {
    NamedMsgPack(configuration.reply(&exchange.0))
}

/// A status of 409 tells that another instance has this address now.
#[post("/side/v1/leaving/<instance>")]
async fn take_leaving_mark(instance: &str, configuration: &State<ConfigurationHandle>) -> Status {
    let own = configuration.mark_leaving(instance).await;
    if own { Status::NoContent } else { Status::Conflict }
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

/// Notes the entry that sends a request, so that it is told when this sidecar leaves.
///
/// A server without a [`ConfigurationHandle`] notes nobody.
pub(crate) struct NotedSender;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for NotedSender {
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
