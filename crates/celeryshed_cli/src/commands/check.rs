//! `celeryshed check`.

use celeryshed_settings::{ContractFile, EntrySettings, SideSettings, StandinSettings};
use eyre::Result;

use super::output::print;
use crate::args::{CheckArgs, FileKind};
use crate::run::ExitStatus;

/// Loads a file of the given kind and reports whether it is valid.
pub(crate) fn check(args: &CheckArgs) -> Result<ExitStatus> {
    match args.kind {
        FileKind::Entry => drop(EntrySettings::load(&args.file)?),
        FileKind::Side => drop(SideSettings::load(&args.file)?),
        FileKind::Standin => drop(StandinSettings::load(&args.file)?),
        FileKind::Contract => drop(ContractFile::load(&args.file)?),
    }
    print(&format!("{}: ok\n", args.file.display()))?;
    Ok(ExitStatus::Done)
}
