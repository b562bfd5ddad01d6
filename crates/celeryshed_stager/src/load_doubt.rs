//! A load that may have taken damaged pieces, and the orders that replace it.

use celeryshed_base::common_derives;

use crate::platform::{EngineReport, LayerRange};

common_derives! { value:
    /// A load that isn't known to have taken valid pieces. The endpoint gets no requests until it is
    /// vouched for or replaced, or until the endpoint has restarted.
    pub(crate) struct LoadDoubt {
        pub(crate) model: String,
        pub(crate) version: u64,
        /// When the endpoint started that got the order, in Unix milliseconds, if it says.
        pub(crate) started_at_ms: Option<u64>,
        /// Number of writes to the stage when the doubt began.
        pub(crate) write_count: u64,
        pub(crate) finding: DoubtFinding,
    }

    /// What is known of a doubtful load.
    #[derive(Copy)]
    pub(crate) enum DoubtFinding {
        /// The pieces were not read back yet.
        Open,
        /// Pieces are damaged. The endpoint then reported these layers, if any.
        Spoilt(Option<LayerRange>),
    }

    /// One order of those that bring the endpoint to a version.
    #[derive(Copy)]
    pub(crate) struct LoadStep {
        /// The layers to hold from then on; `None` for all.
        pub(crate) layers: Option<LayerRange>,
        /// The endpoint holds all layers once it reports those from the first one up to this number
        /// or beyond; `None` if its reports need not name any.
        pub(crate) whole_to: Option<u32>,
        /// Whether layers that this step loads outlast the next one.
        pub(crate) is_kept: bool,
    }
}

impl LoadStep {
    /// The load of a whole version.
    pub(crate) const WHOLE: Self = Self { layers: None, whole_to: None, is_kept: true };

    /// Whether the reported layers are those of this step.
    pub(crate) fn is_reached(&self, reported: Option<LayerRange>) -> bool {
        match (self.layers, reported) {
            (Some(layers), reported) => reported == Some(layers),
            (None, Some(reported)) => {
                reported.from == 0 && self.whole_to.is_none_or(|to| reported.to >= to)
            }
            (None, None) => self.whole_to.is_none(),
        }
    }
}

impl LoadDoubt {
    /// The orders that load the version anew; `None` if the endpoint can't be made to drop what it
    /// holds.
    ///
    /// The endpoint keeps layers that it holds already. So a first order makes it hold a single
    /// layer, and a second one others without that layer.
    pub(crate) fn reload_steps(&self) -> Option<Vec<LoadStep>> {
        let layers = match self.finding {
            DoubtFinding::Open => return Some(vec![LoadStep::WHOLE]),
            DoubtFinding::Spoilt(layers) => layers?,
        };
        if layers.from > 0 {
            // The number of all layers isn't known.
            let others = LayerRange { from: 0, to: layers.from };
            let whole_to = Some(layers.from.saturating_add(1));
            return Some(vec![
                LoadStep { layers: Some(others), whole_to, is_kept: true },
                LoadStep { layers: None, whole_to, is_kept: true },
            ]);
        }
        let count = layers.to;
        if count < 2 {
            return None;
        }
        let others = match count {
            2 => LayerRange { from: 0, to: 1 },
            count => LayerRange { from: 2, to: count },
        };
        let step = |layers, is_kept| LoadStep { layers, whole_to: Some(count), is_kept };
        Some(vec![
            step(Some(LayerRange { from: 1, to: 2 }), false),
            step(Some(others), true),
            step(None, true),
        ])
    }

    /// The doubt about a load that an earlier sidecar process didn't finish: the first layers are
    /// missing. `None` if the report shows no such load.
    pub(crate) fn of_unfinished(model: &str, report: &EngineReport) -> Option<Self> {
        let layers = report.layers.filter(|layers| layers.from > 0)?;
        let version = report.models.get(model).copied()?;
        Some(Self {
            model: model.to_owned(),
            version,
            started_at_ms: report.started_at_ms,
            write_count: 0,
            finding: DoubtFinding::Spoilt(Some(layers)),
        })
    }

    /// The doubt about a whole load that another process has ordered; `None` if the report shows no
    /// load. When it took the pieces isn't known, so any write of this process counts as later.
    pub(crate) fn of_foreign(model: &str, report: &EngineReport) -> Option<Self> {
        Some(Self {
            model: model.to_owned(),
            version: report.models.get(model).copied()?,
            started_at_ms: report.started_at_ms,
            write_count: 0,
            finding: DoubtFinding::Open,
        })
    }

    /// Whether the pieces at the endpoint are still those that the load took, if it took those of
    /// `version`.
    pub(crate) fn is_stage_untouched(&self, version: u64, write_count: u64) -> bool {
        match self.finding {
            _ if self.version != version => true,
            DoubtFinding::Open => self.write_count == write_count,
            DoubtFinding::Spoilt(_) => false,
        }
    }

    /// Whether a report shows that the endpoint no longer holds what the order loaded, and won't.
    pub(crate) fn is_ended_by(&self, report: &EngineReport) -> bool {
        let started = self.started_at_ms.zip(report.started_at_ms);
        let has_restarted = started.is_some_and(|(known, reported)| known != reported);
        let is_replaced =
            report.models.get(&self.model).is_some_and(|version| *version > self.version);
        has_restarted || is_replaced
    }
}
