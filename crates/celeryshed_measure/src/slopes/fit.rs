//! Least-squares fit of a straight line.

/// Reason why samples can't be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FitError {
    /// Fewer than 3 samples. A line through 2 points is always exact, so its error would be 0.
    #[error("{samples} samples determine no fit: accepted are 3 and more")]
    FewSamples {
        /// Number of samples.
        samples: usize,
    },
    /// All samples have the same x, so that the slope is undefined.
    #[error("all samples have the same x, so that no slope follows from them")]
    SameX,
}

/// The line `y = intercept + slope * x` with the smallest sum of squared errors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Increase of y per unit of x.
    pub slope: f64,
    /// y at x = 0.
    pub intercept: f64,
    /// Standard error of the fit: `sqrt(sum of squared residuals / (n - 2))`, in units of y.
    pub standard_error: f64,
    /// Standard error of the slope, in units of y per unit of x.
    pub slope_error: f64,
    /// Number of fitted samples.
    pub samples: usize,
    /// Largest x among the samples; larger values of x are extrapolated.
    pub largest_x: f64,
}

impl LinearFit {
    /// Fits a line to `(x, y)` samples.
    ///
    /// ```
    /// use celeryshed_measure::slopes::LinearFit;
    /// let fit = LinearFit::of(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]).unwrap();
    /// assert_eq!((fit.slope, fit.intercept, fit.standard_error), (2.0, 1.0, 0.0));
    /// ```
    pub fn of(samples: &[(f64, f64)]) -> Result<Self, FitError> {
        if samples.len() < 3 {
            return Err(FitError::FewSamples { samples: samples.len() });
        }
        let count = samples.len() as f64;
        let mean_x = samples.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = samples.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = samples.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if spread == 0.0 {
            return Err(FitError::SameX);
        }
        let product: f64 = samples.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = product / spread;
        let intercept = mean_y - slope * mean_x;
        let residuals = samples.iter().map(|(x, y)| (y - intercept - slope * x).powi(2));
        let standard_error = (residuals.sum::<f64>() / (count - 2.0)).sqrt();
        Ok(Self {
            slope,
            intercept,
            standard_error,
            slope_error: standard_error / spread.sqrt(),
            samples: samples.len(),
            largest_x: samples.iter().map(|(x, _)| *x).fold(f64::MIN, f64::max),
        })
    }

    /// The y of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    /// Ratio of `x` to the largest measured x; above 1 the line is extrapolated.
    pub fn extrapolation(&self, x: f64) -> f64 {
        x / self.largest_x
    }
}
