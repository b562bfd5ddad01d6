//! `celeryshed standin`.

use celeryshed_base::InstanceName;
use celeryshed_server::TerminationSignal;
use celeryshed_settings::{
    BlobStandinSettings, EngineStandinSettings, ListStandinSettings, LogStandinSettings,
    ServiceStandinSettings, StandinSettings,
};
use celeryshed_standin::engine::{EngineOptions, RawEngineOptions, RunningEngine};
use celeryshed_standin::platform::{
    BlobOptions, ListOptions, LogOptions, RawBlobOptions, RawListOptions, RawLogOptions,
    RunningBlobs, RunningList, RunningLog,
};
use celeryshed_standin::service::{RawServiceOptions, RunningService, ServiceOptions};
use celeryshed_wire::{InstanceRole, InstanceState, ListedInstance};
use eyre::{Result, WrapErr};

use super::output::print;
use crate::args::StandinArgs;
use crate::run::ExitStatus;

/// Rate used when the settings give no limit; in effect unlimited on loopback.
const UNLIMITED_BYTES_PER_S: u64 = 10 << 30;

/// Requests per second that the stand-ins of weight store and origin accept.
const BLOB_REQUESTS_PER_S: u32 = 10_000;

/// Launches the stand-ins that a file describes and runs them until SIGTERM.
pub(crate) async fn run(args: &StandinArgs) -> Result<ExitStatus> {
    let settings = StandinSettings::load(&args.settings)?;
    let mut signal = TerminationSignal::install().wrap_err("signal handlers can't be installed")?;
    let set = StandinSet::launch(&settings).await?;
    print(&set.describe())?;
    signal.wait().await;
    // The stand-ins store nothing, so they are stopped without a drain.
    drop(set);
    Ok(ExitStatus::Done)
}

/// The running stand-ins, which end when the set and the runtime are dropped.
#[derive(Default)]
struct StandinSet {
    log: Option<RunningLog>,
    list: Option<RunningList>,
    store: Option<RunningBlobs>,
    origin: Option<RunningBlobs>,
    engines: Vec<(InstanceName, RunningEngine)>,
    services: Vec<(InstanceName, RunningService)>,
}

impl StandinSet {
    async fn launch(settings: &StandinSettings) -> Result<Self> {
        let mut set = Self::default();
        if let Some(log) = &settings.log {
            set.log = Some(launch_log(log).await.wrap_err("section [log]")?);
        }
        if let Some(list) = &settings.list {
            set.list = Some(launch_list(list).await.wrap_err("section [list]")?);
        }
        if let Some(origin) = &settings.origin {
            let origin = launch_blobs(origin, RawBlobOptions::origin()).await;
            set.origin = Some(origin.wrap_err("section [origin]")?);
        }
        if let Some(store) = &settings.store {
            let origin = set.origin.as_ref().map(|origin| origin.address().to_string());
            let store = launch_blobs(store, RawBlobOptions::store(origin)).await;
            set.store = Some(store.wrap_err("section [store]")?);
        }
        for engine in &settings.engines {
            let section = || format!("section [engine {}]", engine.name);
            let running = launch_engine(engine).await.wrap_err_with(section)?;
            set.engines.push((engine.name.clone(), running));
        }
        for service in &settings.services {
            let section = || format!("section [service {}]", service.name);
            let running = launch_service(service).await.wrap_err_with(section)?;
            set.services.push((service.name.clone(), running));
        }
        Ok(set)
    }

    fn describe(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, address: String| text.push_str(&format!("{name} {address}\n"));
        if let Some(log) = &self.log {
            line("log", log.address().to_string());
        }
        if let Some(list) = &self.list {
            line("list", list.address().to_string());
        }
        if let Some(store) = &self.store {
            line("store", store.address().to_string());
        }
        if let Some(origin) = &self.origin {
            line("origin", origin.address().to_string());
        }
        for (name, engine) in &self.engines {
            line(&format!("engine {name}"), engine.address().to_string());
        }
        for (name, service) in &self.services {
            line(&format!("service {name}"), service.address().to_string());
        }
        text
    }
}

async fn launch_log(settings: &LogStandinSettings) -> Result<RunningLog> {
    let raw = RawLogOptions {
        retention_ms: settings.retention.as_millis() as u64,
        appends_per_s: settings.appends_per_s,
        ..RawLogOptions::default()
    };
    Ok(RunningLog::launch(LogOptions::try_from(raw)?, settings.listen).await?)
}

async fn launch_list(settings: &ListStandinSettings) -> Result<RunningList> {
    let lag_ms = settings.lag.as_millis() as u64;
    let raw = RawListOptions { lag_ms, ..RawListOptions::default() };
    let list = RunningList::launch(ListOptions::try_from(raw)?, settings.listen).await?;
    let instances = settings.instances.iter().map(|instance| ListedInstance {
        instance: instance.name.clone(),
        role: match instance.service {
            Some(_) => InstanceRole::Side,
            None => InstanceRole::Entry,
        },
        address: instance.address.to_string(),
        zone: instance.zone.clone(),
        region: instance.region.clone(),
        service: instance.service.clone(),
        state: InstanceState::Live,
    });
    list.control().set_instances(instances.collect());
    Ok(list)
}

async fn launch_blobs(settings: &BlobStandinSettings, raw: RawBlobOptions) -> Result<RunningBlobs> {
    let bytes_per_s = match settings.rate_mib_per_s {
        0 => UNLIMITED_BYTES_PER_S,
        rate => rate << 20,
    };
    let raw = RawBlobOptions { bytes_per_s, requests_per_s: BLOB_REQUESTS_PER_S, ..raw };
    Ok(RunningBlobs::launch(BlobOptions::try_from(raw)?, settings.listen).await?)
}

async fn launch_engine(settings: &EngineStandinSettings) -> Result<RunningEngine> {
    let raw = RawEngineOptions {
        slots: settings.slots,
        tokens_per_s: settings.tokens_per_s,
        checks_fence: settings.checks_fence,
        ..RawEngineOptions::default()
    };
    Ok(RunningEngine::launch(EngineOptions::try_from(raw)?, settings.listen).await?)
}

async fn launch_service(settings: &ServiceStandinSettings) -> Result<RunningService> {
    let raw = RawServiceOptions {
        name: settings.name.to_string(),
        latency_ms: settings.latency.as_millis() as u64,
        ..RawServiceOptions::default()
    };
    Ok(RunningService::launch(ServiceOptions::try_from(raw)?, settings.listen).await?)
}
