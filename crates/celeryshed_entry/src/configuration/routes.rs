//! Route for revision exchanges.

use celeryshed_server::NamedMsgPack;
use celeryshed_wire::{ConfigurationReply, RevisionExchange};
use rocket::{Route, State, post, routes};

use super::handle::ConfigurationHandle;

/// `POST /entry/v1/revisions`, for peers and sidecars; needs a managed [`ConfigurationHandle`].
pub fn configuration_routes() -> Vec<Route> {
    routes![exchange_revisions]
}

#[post("/entry/v1/revisions", data = "<exchange>")]
async fn exchange_revisions(
    exchange: NamedMsgPack<RevisionExchange>,
    configuration: &State<ConfigurationHandle>,
) -> NamedMsgPack<ConfigurationReply> {
    NamedMsgPack(configuration.reply(&exchange.0))
}
