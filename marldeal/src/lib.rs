//! The limiter as a library: listeners, connections and other I/O around `marldeal-engine`. This crate makes no
//! decisions of its own; `fawnhill` and other crates without I/O make them.
//!
//! ```
//! // All errors in an extension file are reported, each with its key.
//! let path = std::env::temp_dir().join("marldeal-doc-example.toml");
//! std::fs::write(&path, "[external_processor]\nlisten = \"127.0.0.1:0\"\nmax_conections = 4\n")?;
//! let errors = marldeal::settings::extensions::Extensions::from_file(&path).unwrap_err();
//! assert_eq!(errors[0].key, "external_processor.max_conections");
//! # std::fs::remove_file(path)?;
//! # Ok::<(), std::io::Error>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod command;
pub mod driver;
pub mod front;
pub mod logging;
pub mod management;
pub mod payload;
pub mod reload;
pub mod run;
pub mod settings;
pub mod socket;
pub mod tier;
pub mod transient;
pub mod upgrade;
pub mod upstream;
