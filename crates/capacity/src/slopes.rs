//! Measured points by name, as commands write them.

use garde::Validate;
use serde::{Deserialize, Serialize};

use crate::fit::{fit, Fit, Value};
use crate::InputError;

/// On what a figure was measured.
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

/// One figure at several sizes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// What was measured, with its unit at the end of the name.
    #[garde(length(min = 1, max = 80))]
    pub figure: String,
    /// Of what there was more and more.
    #[garde(length(min = 1, max = 40))]
    pub along: String,
    /// On what.
    #[garde(skip)]
    pub ground: MeasurementSetup,
    /// The command that wrote it.
    #[garde(length(min = 1, max = 400))]
    pub run: String,
    /// Sizes and figures.
    #[garde(length(min = 1, max = 100), custom(finite))]
    pub points: Vec<(f64, f64)>,
}

fn finite(points: &[(f64, f64)], _: &()) -> garde::Result {
    let good = points.iter().all(|(x, y)| x.is_finite() && *x >= 0.0 && y.is_finite());
    good.then_some(()).ok_or_else(|| garde::Error::new("sizes from 0 and finite figures are expected"))
}

/// A file of series, or several put together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// All of them.
    #[garde(dive, length(max = 1000))]
    #[serde(default)]
    pub series: Vec<Series>,
}

impl Slopes {
    /// Reads a file.
    ///
    /// # Errors
    /// Each mistake with its key.
    pub fn parse(text: &str) -> Result<Slopes, Vec<InputError>> {
        let slopes: Slopes = crate::read(text)?;
        let mut wrong = Vec::new();
        for (n, s) in slopes.series.iter().enumerate() {
            if slopes.series[..n].iter().any(|o| (&o.figure, &o.along) == (&s.figure, &s.along)) {
                let what = format!("{} along {} stands there twice", s.figure, s.along);
                wrong.push(InputError { key: format!("series[{n}].figure"), what });
            }
            if fit(&s.points).is_none() {
                let what = format!("three sizes at least are expected, {} has too few", s.figure);
                wrong.push(InputError { key: format!("series[{n}].points"), what });
            }
        }
        if wrong.is_empty() {
            Ok(slopes)
        } else {
            Err(wrong)
        }
    }

    /// As a file.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// Puts another file's series beside these; what both have is an error.
    ///
    /// # Errors
    /// The figure that stands in both.
    pub fn merge(&mut self, other: Slopes) -> Result<(), InputError> {
        for s in other.series {
            if self.find(&s.figure, &s.along).is_some() {
                let what = format!("{} along {} stands in two files", s.figure, s.along);
                return Err(InputError { key: "series".to_string(), what });
            }
            self.series.push(s);
        }
        Ok(())
    }

    /// A series by its name.
    pub fn find(&self, figure: &str, along: &str) -> Option<&Series> {
        self.series.iter().find(|s| s.figure == figure && s.along == along)
    }

    /// The fit of a series.
    ///
    /// # Errors
    /// It is missing: it is never taken for nothing.
    pub fn fit(&self, figure: &str, along: &str) -> Result<(Fit, &Series), InputError> {
        let missing = || InputError {
            key: format!("series {figure}"),
            what: format!("missing: {figure} along {along} has not been measured"),
        };
        let series = self.find(figure, along).ok_or_else(missing)?;
        Ok((fit(&series.points).ok_or_else(missing)?, series))
    }

    /// A figure at a size.
    ///
    /// # Errors
    /// Its series is missing.
    pub fn at(&self, figure: &str, along: &str, size: f64) -> Result<Value, InputError> {
        Ok(self.fit(figure, along)?.0.at(size))
    }
}
