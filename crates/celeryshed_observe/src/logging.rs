//! Configuration of log4rs.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;

/// Time in UTC and level, then the event's own fields.
pub(crate) const LINE_PATTERN: &str = "ts={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";

/// Log targets of libraries that log each launch or request in their own format; only their errors
/// are logged.
pub(crate) const QUIET_LIBRARIES: [&str; 4] = ["rocket", "hyper", "reqwest", "_"];

/// Error when the logger can't be installed.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The logger's configuration is invalid.
    #[error("logger configuration is invalid: {0}")]
    Configuration(#[from] log4rs::config::runtime::ConfigErrors),
    /// A logger is installed already.
    #[error("a logger is installed already: {0}")]
    Installed(#[from] log::SetLoggerError),
}

pub(crate) type Result<T> = std::result::Result<T, LogError>;

/// Installs the process's logger, which writes to standard error.
///
/// ```
/// celeryshed_observe::install_logging(log::LevelFilter::Info).unwrap();
/// ```
pub fn install_logging(level: LevelFilter) -> Result<()> {
    let encoder = Box::new(PatternEncoder::new(LINE_PATTERN));
    let console = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let appender = Appender::builder().build("stderr", Box::new(console));
    let loggers = QUIET_LIBRARIES.map(|name| Logger::builder().build(name, LevelFilter::Error));
    let root = Root::builder().appender("stderr").build(level);
    let config = log4rs::Config::builder().appender(appender).loggers(loggers).build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}
