//! Series of measured points, in the files that commands write.

use garde::Validate;
use serde::{Deserialize, Serialize};

use crate::fit::{fit, Fit, Value};
use crate::InputError;

/// The setup in which a figure was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MeasurementSetup {
    /// One real limiter on one core.
    Process,
    /// Many real limiters on one machine.
    Processes,
    /// Real engines without sockets, in one process.
    Hollow,
}

/// One figure, measured at several sizes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// Name of the figure, ending in its unit.
    #[garde(length(min = 1, max = 80))]
    pub figure: String,
    /// The quantity that was varied, such as `servers`.
    #[garde(length(min = 1, max = 40))]
    pub along: String,
    /// The setup of the measurement.
    #[garde(skip)]
    pub ground: MeasurementSetup,
    /// The command line that produced the series.
    #[garde(length(min = 1, max = 400))]
    pub run: String,
    /// Points (size, value).
    #[garde(length(min = 1, max = 100), custom(finite))]
    pub points: Vec<(f64, f64)>,
}

fn finite(points: &[(f64, f64)], _: &()) -> garde::Result {
    let valid = points.iter().all(|(x, y)| x.is_finite() && *x >= 0.0 && y.is_finite());
    valid.then_some(()).ok_or_else(|| garde::Error::new("expected sizes of at least 0 and finite values"))
}

/// The series of one file, or of several merged files.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// The series, each with a different combination of figure and `along`.
    #[garde(dive, length(max = 1000))]
    #[serde(default)]
    pub series: Vec<Series>,
}

impl Slopes {
    /// Parses the text of a file.
    ///
    /// # Errors
    /// All invalid values with their keys, or the first syntax error.
    pub fn parse(text: &str) -> Result<Slopes, Vec<InputError>> {
        let slopes: Slopes = crate::parse(text)?;
        let mut errors = Vec::new();
        for (n, s) in slopes.series.iter().enumerate() {
            if slopes.series[..n].iter().any(|o| (&o.figure, &o.along) == (&s.figure, &s.along)) {
                let what = format!("{} along {} occurs twice", s.figure, s.along);
                errors.push(InputError { key: format!("series[{n}].figure"), what });
            }
            if fit(&s.points).is_none() {
                let what = format!("expected at least three sizes, {} has fewer", s.figure);
                errors.push(InputError { key: format!("series[{n}].points"), what });
            }
        }
        if errors.is_empty() {
            Ok(slopes)
        } else {
            Err(errors)
        }
    }

    /// The text of a file with these series.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// Adds the series of another file.
    ///
    /// # Errors
    /// A series that occurs in both.
    pub fn merge(&mut self, other: Slopes) -> Result<(), InputError> {
        for s in other.series {
            if self.find(&s.figure, &s.along).is_some() {
                let what = format!("{} along {} occurs in two files", s.figure, s.along);
                return Err(InputError { key: "series".to_string(), what });
            }
            self.series.push(s);
        }
        Ok(())
    }

    /// Finds a series by its figure and the quantity that was varied.
    pub fn find(&self, figure: &str, along: &str) -> Option<&Series> {
        self.series.iter().find(|s| s.figure == figure && s.along == along)
    }

    /// Fits a line to a series.
    ///
    /// # Errors
    /// The series is missing. A missing series never counts as zero.
    pub fn fit(&self, figure: &str, along: &str) -> Result<(Fit, &Series), InputError> {
        let missing = || InputError {
            key: format!("series {figure}"),
            what: format!("missing: {figure} along {along} has not been measured"),
        };
        let series = self.find(figure, along).ok_or_else(missing)?;
        Ok((fit(&series.points).ok_or_else(missing)?, series))
    }

    /// The value of a figure at a size.
    ///
    /// # Errors
    /// The series is missing.
    pub fn value_at(&self, figure: &str, along: &str, size: f64) -> Result<Value, InputError> {
        Ok(self.fit(figure, along)?.0.value_at(size))
    }
}
