//! Capacity: measured slopes and a size in, a table of needs against bounds out.
//!
//! This crate opens no file and measures nothing. [`slopes::Slopes`] are points that commands wrote
//! (`marldeal-bench slopes`, `marldeal rehearse scale --slopes`, `marldeal faults scale`); [`size::Size`] is what operators
//! plan for; [`table::table`] holds one against the other. A slope that is missing is an error, never a zero.
//!
//! ```
//! use marldeal_capacity::fit::{fit, Value};
//!
//! // Bytes at three sizes: 1,000 and 10 for each server.
//! let line = fit(&[(30.0, 1300.0), (480.0, 5800.0), (4800.0, 49000.0)]).expect("three points");
//! assert!((line.slope - 10.0).abs() < 1e-6 && line.max_deviation < 1e-6);
//! assert!(matches!(line.at(9600.0), Value { extrapolated: true, .. }));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fit;
pub mod size;
pub mod slopes;
pub mod table;

/// One thing that is wrong in a file: its key, and what was expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InputError {
    /// The key, with dots between tables; empty for the file as a whole.
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

/// Reads a file's text: all mistakes of values, or the first of form.
fn read<T: serde::de::DeserializeOwned + garde::Validate<Context = ()>>(
    text: &str,
) -> Result<T, Vec<InputError>> {
    let wrong = |key: String, what: String| InputError { key, what };
    let reader = toml::Deserializer::parse(text)
        .map_err(|e| vec![wrong(String::new(), e.to_string().trim().to_string())])?;
    let value: T = serde_path_to_error::deserialize(reader).map_err(|e| {
        let key = Some(e.path().to_string()).filter(|p| p != ".").unwrap_or_default();
        vec![wrong(key, e.inner().message().to_string())]
    })?;
    match value.validate() {
        Ok(()) => Ok(value),
        Err(report) => {
            Err(report.iter().map(|(path, e)| wrong(path.to_string(), e.message().to_string())).collect())
        }
    }
}
