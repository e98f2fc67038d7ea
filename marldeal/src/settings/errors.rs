//! Errors in settings files: which file, which key, and what was expected. All errors of a file are reported at once.

use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::Value;

/// An error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// Path of the file, as given by the caller.
    pub file: String,
    /// The key, with dots between tables; empty if the error concerns the file as a whole.
    pub key: String,
    /// What is wrong, or what was expected.
    pub message: String,
}

impl ConfigError {
    /// Creates an error for a key.
    pub fn new(file: &str, key: &str, message: impl Into<String>) -> ConfigError {
        ConfigError { file: file.to_string(), key: key.to_string(), message: message.into() }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}: {}", self.file, self.message),
            key => write!(f, "{}: {key}: {}", self.file, self.message),
        }
    }
}

/// Returns the first error on one line, with the number of further errors.
pub fn summary(errors: &[ConfigError]) -> String {
    let more = match errors.len() {
        0 | 1 => String::new(),
        n => format!(" (and {} more; `marldeal check` lists them)", n - 1),
    };
    let first = errors.first().map(ToString::to_string).unwrap_or_default();
    format!("{first}{more}").replace('\n', " ")
}

/// Maximum number of errors reported for one file.
const MAX_ERRORS: usize = 50;

/// Deserializes a value and reports all errors. A part that does not fit is recorded and removed or replaced, and the
/// value is deserialized again, so that later errors are found as well.
pub fn deserialize<T: DeserializeOwned>(file: &str, mut value: Value) -> Result<T, Vec<ConfigError>> {
    let mut errors: Vec<ConfigError> = Vec::new();
    while errors.len() < MAX_ERRORS {
        let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
            Ok(read) if errors.is_empty() => return Ok(read),
            Ok(_) => break,
            Err(error) => error,
        };
        let path: Vec<String> = error.path().iter().map(|s| s.to_string()).filter(|s| s != "?").collect();
        let text = error.inner().to_string();
        let quoted = |lead: &str| text.strip_prefix(lead)?.split('`').next();
        if let Some(field) = quoted("missing field `") {
            let key = joined(&path, Some(field));
            // A field that was removed above because it did not fit has already been reported.
            if !errors.iter().any(|e| e.key == key) {
                errors.push(ConfigError::new(file, &key, "missing"));
            }
            break;
        }
        let mut path = path;
        let unknown = quoted("unknown field `").map(str::to_string);
        if let Some(field) = &unknown {
            if path.last() != Some(field) {
                path.push(field.clone());
            }
        }
        errors.push(ConfigError::new(file, &joined(&path, None), text));
        let replaced = unknown.is_none() && replace::<T>(&mut value, &path);
        if !replaced && !remove(&mut value, &path) {
            break;
        }
    }
    Err(errors)
}

/// Formats a path as a key such as `a.b[0].c`.
fn joined(path: &[String], last: Option<&str>) -> String {
    let mut text = String::new();
    for part in path.iter().map(String::as_str).chain(last) {
        if !text.is_empty() && !part.starts_with('[') {
            text.push('.');
        }
        text.push_str(part);
    }
    text
}

/// Replaces the value at a path by an empty value of a type that fits, so that a required field stays present.
/// Returns false if no type fits.
fn replace<T: DeserializeOwned>(value: &mut Value, path: &[String]) -> bool {
    for placeholder in ["0", "\"\"", "false", "[]", "{}"] {
        let mut candidate = value.clone();
        let Some(place) = at(&mut candidate, path) else { return false };
        *place = serde_json::from_str(placeholder).unwrap_or_default();
        let error = serde_path_to_error::deserialize::<_, T>(candidate.clone()).err();
        let same_path = |e: serde_path_to_error::Error<serde_json::Error>| {
            e.path().iter().map(ToString::to_string).eq(path.iter().cloned())
        };
        if !error.is_some_and(same_path) {
            *value = candidate;
            return true;
        }
    }
    false
}

/// Returns the value at a path.
fn at<'a>(value: &'a mut Value, path: &[String]) -> Option<&'a mut Value> {
    path.iter().try_fold(value, |at, part| match part.strip_prefix('[').and_then(|p| p.strip_suffix(']')) {
        Some(index) => index.parse::<usize>().ok().and_then(|i| at.get_mut(i)),
        None => at.get_mut(part.as_str()),
    })
}

/// Removes the value at a path. Returns false if there is none, or if it is an array element, whose removal would
/// shift the indices of later elements.
fn remove(value: &mut Value, path: &[String]) -> bool {
    let Some((last, parents)) = path.split_last() else { return false };
    let table = at(value, parents).and_then(Value::as_object_mut);
    table.is_some_and(|table| table.remove(last).is_some())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(serde::Deserialize, Debug)]
    #[serde(deny_unknown_fields)]
    #[allow(dead_code)]
    struct Inner {
        #[serde(default)]
        number: u32,
        #[serde(default)]
        flag: bool,
    }

    #[derive(serde::Deserialize, Debug)]
    #[allow(dead_code)]
    struct Outer {
        inner: Inner,
        all: Vec<Inner>,
        name: String,
    }

    #[test]
    fn every_error_is_reported_with_its_key() {
        let text = r#"{"inner":{"number":"x","flagg":true,"flag":3},"all":[{},{"number":-1}]}"#;
        let value = serde_json::from_str(text).expect("JSON");
        let errors = deserialize::<Outer>("f.json", value).expect_err("several errors");
        let keys: Vec<&str> = errors.iter().map(|e| e.key.as_str()).collect();
        assert_eq!(
            keys,
            ["all[1].number", "inner.flag", "inner.flagg", "inner.number", "name"],
            "{errors:?}"
        );
        assert!(errors[2].message.contains("expected"), "{}", errors[2]);
        assert!(errors[4].to_string().starts_with("f.json: name: missing"));
    }
}
