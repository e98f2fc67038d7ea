//! Capacity planning: computes from measured slopes and a planned size what each role needs, compared with its bounds.
//!
//! This crate opens no file and measures nothing. [`slopes::Slopes`] are measurements written by commands
//! (`marldeal-bench slopes`, `marldeal rehearse scale --slopes`, `marldeal faults scale`), [`size::Size`] is the
//! deployment that operators plan, and [`table::table`] computes the needs. A missing slope is an error and never
//! counts as zero.
//!
//! ```
//! use marldeal_capacity::fit::{fit, Value};
//!
//! // Bytes at three sizes: 1,000 and 10 per server.
//! let line = fit(&[(30.0, 1300.0), (480.0, 5800.0), (4800.0, 49000.0)]).expect("three points");
//! assert!((line.slope - 10.0).abs() < 1e-6 && line.max_deviation < 1e-6);
//! assert!(matches!(line.value_at(9600.0), Value { extrapolated: true, .. }));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fit;
pub mod size;
pub mod slopes;
pub mod table;

/// An error in an input file: the key, and what was expected there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InputError {
    /// The key, with dots between tables; empty if the error concerns the file as a whole.
    pub key: String,
    /// What was expected.
    pub what: String,
}

impl std::fmt::Display for InputError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.key.as_str() {
            "" => f.write_str(&self.what),
            key => write!(f, "{key}: {}", self.what),
        }
    }
}

/// Parses and validates the text of a file. Reports the first syntax or type error, or else all invalid values.
fn parse<T: serde::de::DeserializeOwned + garde::Validate<Context = ()>>(
    text: &str,
) -> Result<T, Vec<InputError>> {
    let error = |key: String, what: String| InputError { key, what };
    let deserializer = toml::Deserializer::parse(text)
        .map_err(|e| vec![error(String::new(), e.to_string().trim().to_string())])?;
    let value: T = serde_path_to_error::deserialize(deserializer).map_err(|e| {
        let key = Some(e.path().to_string()).filter(|p| p != ".").unwrap_or_default();
        vec![error(key, e.inner().message().to_string())]
    })?;
    match value.validate() {
        Ok(()) => Ok(value),
        Err(report) => {
            Err(report.iter().map(|(path, e)| error(path.to_string(), e.message().to_string())).collect())
        }
    }
}
