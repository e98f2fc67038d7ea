//! What is wrong in a file: which file, which key, and what was expected. All of it, not only the first.

use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::Value;

/// One thing that is wrong in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// Path of the file, as it was given.
    pub file: String,
    /// The key, with dots between tables; empty for the file as a whole.
    pub key: String,
    /// What is wrong with it, or what was expected.
    pub what: String,
}

impl ConfigError {
    /// A mistake at a key.
    pub fn new(file: &str, key: &str, what: impl Into<String>) -> ConfigError {
        ConfigError { file: file.to_string(), key: key.to_string(), what: what.into() }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}: {}", self.file, self.what),
            key => write!(f, "{}: {key}: {}", self.file, self.what),
        }
    }
}

/// The first mistake in one plain line, and how many there are beside it.
pub fn summary(mistakes: &[ConfigError]) -> String {
    let more = match mistakes.len() {
        0 | 1 => String::new(),
        n => format!(" (and {} more; `marldeal check` shows them)", n - 1),
    };
    let first = mistakes.first().map(ToString::to_string).unwrap_or_default();
    format!("{first}{more}").replace('\n', " ")
}

/// Most mistakes that one file is searched for.
const MOST: usize = 50;

/// Reads a value whole. What does not fit is noted, taken out, and the rest is read again, so that each mistake shows.
pub fn deserialize<T: DeserializeOwned>(file: &str, mut value: Value) -> Result<T, Vec<ConfigError>> {
    let mut found: Vec<ConfigError> = Vec::new();
    while found.len() < MOST {
        let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
            Ok(read) if found.is_empty() => return Ok(read),
            Ok(_) => break,
            Err(error) => error,
        };
        let path: Vec<String> = error.path().iter().map(|s| s.to_string()).filter(|s| s != "?").collect();
        let text = error.inner().to_string();
        let quoted = |lead: &str| text.strip_prefix(lead)?.split('`').next();
        if let Some(field) = quoted("missing field `") {
            let key = joined(&path, Some(field));
            // Taken out above, for it did not fit: said already.
            if !found.iter().any(|m| m.key == key) {
                found.push(ConfigError::new(file, &key, "missing"));
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
        found.push(ConfigError::new(file, &joined(&path, None), text));
        let filled = unknown.is_none() && fill::<T>(&mut value, &path);
        if !filled && !remove(&mut value, &path) {
            break;
        }
    }
    Err(found)
}

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

/// Puts something of another type where a value does not fit, so that what must be there still is; false if none of
/// the types fits either.
fn fill<T: DeserializeOwned>(value: &mut Value, path: &[String]) -> bool {
    for stand_in in ["0", "\"\"", "false", "[]", "{}"] {
        let mut tried = value.clone();
        let Some(place) = at(&mut tried, path) else { return false };
        *place = serde_json::from_str(stand_in).unwrap_or_default();
        let error = serde_path_to_error::deserialize::<_, T>(tried.clone()).err();
        let same = |e: serde_path_to_error::Error<serde_json::Error>| {
            e.path().iter().map(ToString::to_string).eq(path.iter().cloned())
        };
        if !error.is_some_and(same) {
            *value = tried;
            return true;
        }
    }
    false
}

/// What stands at a path.
fn at<'a>(value: &'a mut Value, path: &[String]) -> Option<&'a mut Value> {
    path.iter().try_fold(value, |at, part| match part.strip_prefix('[').and_then(|p| p.strip_suffix(']')) {
        Some(index) => index.parse::<usize>().ok().and_then(|i| at.get_mut(i)),
        None => at.get_mut(part.as_str()),
    })
}

/// Takes out what stands at a path; false if nothing does, or if it is an element whose place others count on.
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
    fn each_mistake_is_named_with_its_key() {
        let text = r#"{"inner":{"number":"x","flagg":true,"flag":3},"all":[{},{"number":-1}]}"#;
        let value = serde_json::from_str(text).expect("JSON");
        let found = deserialize::<Outer>("f.json", value).expect_err("mistakes");
        let keys: Vec<&str> = found.iter().map(|m| m.key.as_str()).collect();
        assert_eq!(keys, ["all[1].number", "inner.flag", "inner.flagg", "inner.number", "name"], "{found:?}");
        assert!(found[2].what.contains("expected"), "{}", found[2]);
        assert!(found[4].to_string().starts_with("f.json: name: missing"));
    }
}
