//! Samples and their key=value lines.

use std::collections::BTreeMap;
use std::fmt;

use super::fit::{FitError, LinearFit};

/// Part, name of x, name of y.
type SeriesKey = (String, String, String);

/// All samples of a run.
#[derive(Clone, Debug, Default)]
pub struct SlopeTable {
    series: BTreeMap<SeriesKey, Vec<(f64, f64)>>,
}

impl SlopeTable {
    /// Adds one observation: `x` and the values seen there.
    pub fn add(&mut self, part: &str, (x_name, x): (&str, f64), values: &[(&str, f64)]) {
        for (name, value) in values {
            let key = (part.to_owned(), x_name.to_owned(), (*name).to_owned());
            self.series.entry(key).or_default().push((x, *value));
        }
    }

    /// Adds the samples among the lines of an earlier run, so that parts of several runs combine.
    ///
    /// ```
    /// use celeryshed_measure::slopes::SlopeTable;
    /// let mut table = SlopeTable::default();
    /// table.add("fleet", ("processes", 6.0), &[("cpu_s", 0.5)]);
    /// let mut again = SlopeTable::default();
    /// again.add_lines(&table.to_string());
    /// assert_eq!(again.to_string(), table.to_string());
    /// ```
    pub fn add_lines(&mut self, lines: &str) {
        for line in lines.lines().filter_map(|line| line.strip_prefix("sample part=")) {
            let mut fields = line.split(' ');
            let part = fields.next().unwrap_or_default();
            let mut pair = || fields.next()?.split_once('=').and_then(number);
            if let (Some(x), Some(y)) = (pair(), pair()) {
                self.add(part, x, &[y]);
            }
        }
    }

    /// The fit of one series; `None` when it was not measured.
    pub fn fit(
        &self,
        part: &str,
        x_name: &str,
        y_name: &str,
    ) -> Option<Result<LinearFit, FitError>> {
        let key = (part.to_owned(), x_name.to_owned(), y_name.to_owned());
        self.series.get(&key).map(|samples| LinearFit::of(samples))
    }
}

fn number<'a>((name, value): (&'a str, &str)) -> Option<(&'a str, f64)> {
    Some((name, value.parse().ok()?))
}

impl fmt::Display for SlopeTable {
    /// A line for each sample and one for each fit.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ((part, x_name, y_name), samples) in &self.series {
            for (x, y) in samples {
                writeln!(f, "sample part={part} {x_name}={x:.3} {y_name}={y:.6}")?;
            }
        }
        for ((part, x_name, y_name), samples) in &self.series {
            match LinearFit::of(samples) {
                Ok(fit) => writeln!(
                    f,
                    "fit part={part} x={x_name} y={y_name} slope={:.6e} slope_error={:.1e} \
                     intercept={:.6e} standard_error={:.2e} samples={} largest_x={:.1}",
                    fit.slope,
                    fit.slope_error,
                    fit.intercept,
                    fit.standard_error,
                    fit.samples,
                    fit.largest_x,
                )?,
                Err(error) => {
                    writeln!(f, "fit part={part} x={x_name} y={y_name} error={error:?}")?;
                }
            }
        }
        Ok(())
    }
}
