//! `celeryshed model`.

use celeryshed_core::configuration::{ChangeKind, ModelVersion};
use celeryshed_operate::model::upload_weights;
use celeryshed_platform::{HttpBlobClient, HttpTimeouts};
use eyre::{Result, WrapErr};

use super::contract::{publish_change, publisher};
use crate::args::ModelPublishArgs;
use crate::run::ExitStatus;

/// Uploads weights, publishes the version and selects it for the service given by `--select`.
pub(crate) async fn publish(args: &ModelPublishArgs) -> Result<ExitStatus> {
    let origin = HttpBlobClient::try_new(&args.origin_url, HttpTimeouts::for_blobs());
    let origin = origin.wrap_err("--origin-url is not accepted")?;
    let mut publisher = publisher(&args.log)?;
    let (model, version) = (args.model.clone(), args.version.clone());
    let chunk_bytes = args.chunk_kib * 1024;
    let spec = upload_weights(&origin, &args.file, model, version, chunk_bytes).await?;
    let published = ModelVersion::from(spec);
    let change = ChangeKind::PublishModel(args.version.clone(), published);
    let name = format!("version {}", args.version);
    if !publish_change(&mut publisher, change, &name).await? {
        return Ok(ExitStatus::Failed);
    }
    let Some(service) = &args.select else {
        return Ok(ExitStatus::Done);
    };
    let change = ChangeKind::SelectVersion(service.clone(), args.version.clone());
    let name = format!("select {service} {}", args.version);
    let selected = publish_change(&mut publisher, change, &name).await?;
    Ok(if selected { ExitStatus::Done } else { ExitStatus::Failed })
}
