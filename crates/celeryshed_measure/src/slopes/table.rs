//! Samples, their fits, and the key=value lines that print and restore them.

use std::collections::BTreeMap;
use std::fmt;

use super::fit::{FitError, LinearFit};

/// Identifies a series of samples: part, name of x, name of y.
type SeriesKey = (String, String, String);

/// The samples of one or several runs, grouped by part and by the names of x and y.
#[derive(Clone, Debug, Default)]
pub struct SlopeTable {
    series: BTreeMap<SeriesKey, Vec<(f64, f64)>>,
}

impl SlopeTable {
    /// Adds a sample for each of `values`, all observed at the same x.
    pub fn add(&mut self, part: &str, (x_name, x): (&str, f64), values: &[(&str, f64)]) {
        for (name, value) in values {
            let key = (part.to_owned(), x_name.to_owned(), (*name).to_owned());
            self.series.entry(key).or_default().push((x, *value));
        }
    }

    /// Adds the samples printed by an earlier run; other lines are ignored.
    ///
    /// Combines parts that were measured in several runs.
    ///
    /// ```
    /// use celeryshed_measure::slopes::SlopeTable;
    /// let mut table = SlopeTable::default();
    /// table.add("fleet", ("processes", 6.0), &[("cpu_s", 0.5)]);
    /// let mut parsed = SlopeTable::default();
    /// parsed.add_lines(&table.to_string());
    /// assert_eq!(parsed.to_string(), table.to_string());
    /// ```
    pub fn add_lines(&mut self, lines: &str) {
        for line in lines.lines().filter_map(|line| line.strip_prefix("sample part=")) {
            let mut fields = line.split(' ');
            let part = fields.next().unwrap_or_default();
            let mut pair = || fields.next()?.split_once('=').and_then(parse_field);
            if let (Some(x), Some(y)) = (pair(), pair()) {
                self.add(part, x, &[y]);
            }
        }
    }

    /// Fits a line to one series; `None` when the series was not measured.
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

fn parse_field<'a>((name, value): (&'a str, &str)) -> Option<(&'a str, f64)> {
    Some((name, value.parse().ok()?))
}

impl fmt::Display for SlopeTable {
    /// Writes a line for each sample, then a line for the fit of each series.
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
