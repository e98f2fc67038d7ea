//! The command line. Without a command, the program runs one limiter, configured by the environment.
#![forbid(unsafe_code)]

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use marldeal::command::capacity::{self, Capacity};
use marldeal::command::faults::{self, Faults};
use marldeal::command::rehearse::{self, Rehearse};
use marldeal::settings::config::Config;
use marldeal::settings::errors::ConfigError;
use marldeal::settings::extensions::Extensions;

/// A rate limiter and load balancer. Without a command it serves, configured by ROUTER_CONFIG.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Enables the extensions in this TOML file.
    #[arg(long, value_name = "FILE")]
    extensions: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Checks configuration files (.json) and extension files (.toml) and prints all errors.
    Check {
        /// The files to check.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Runs servers, discovery, two limiters and traffic of some customers on loopback, and drains a server half way.
    Demo {
        /// Duration of the traffic, in seconds.
        #[arg(long, default_value_t = 20.0, value_parser = seconds)]
        seconds: f64,
    },
    /// Simulates an incident with the real limiter code in virtual time; every run gives the same result.
    Rehearse(Box<Rehearse>),
    /// Compares the resources that a planned size needs with its bounds, from measured slopes.
    Capacity(Capacity),
    /// Runs a plan with limiters as real processes on loopback and injects faults between them.
    Faults(Faults),
}

fn seconds(text: &str) -> Result<f64, String> {
    let number = text.parse::<f64>().ok().filter(|s| (1.0..=600.0).contains(s));
    number.ok_or_else(|| "expected a number of seconds from 1 to 600".to_string())
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let result = match arguments.command {
        None => marldeal::run::run(arguments.extensions.as_deref()),
        Some(Command::Check { files }) => check(&files),
        Some(Command::Demo { seconds }) => marldeal::command::demo::run(seconds),
        Some(Command::Rehearse(options)) => rehearse::run(*options),
        Some(Command::Capacity(options)) => capacity::run(&options),
        Some(Command::Faults(options)) => faults::run(options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marldeal: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints all errors in the files.
fn check(files: &[PathBuf]) -> Result<(), String> {
    let mut count = 0;
    for file in files {
        let errors = errors(file);
        for error in &errors {
            println!("{error}");
        }
        if errors.is_empty() {
            println!("{}: good", file.display());
        }
        count += errors.len();
    }
    match count {
        0 => Ok(()),
        1 => Err("1 error".to_string()),
        n => Err(format!("{n} errors")),
    }
}

/// Returns the errors in a file, whose extension gives its kind.
fn errors(file: &Path) -> Vec<ConfigError> {
    let name = file.display().to_string();
    match file.extension().and_then(|e| e.to_str()) {
        Some("json") => Config::from_file(&name, |_| None).err().unwrap_or_default(),
        Some("toml") => Extensions::from_file(file).err().unwrap_or_default(),
        _ => {
            vec![ConfigError::new(
                &name,
                "",
                "expected a configuration file (.json) or an extension file (.toml)",
            )]
        }
    }
}
