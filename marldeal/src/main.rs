//! The command line. Without arguments: one limiter, as the environment configures it.
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

/// A quota-keeping limiter. Without a command it serves, configured by ROUTER_CONFIG.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Switches on what stands in this TOML file.
    #[arg(long, value_name = "FILE")]
    extensions: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Reads configuration (.json) and extension files (.toml) and names each mistake.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Runs nodes, discovery, two limiters and some firms' traffic on loopback, and drains a node half way.
    Demo {
        /// How long the traffic lasts.
        #[arg(long, default_value_t = 20.0, value_parser = seconds)]
        seconds: f64,
    },
    /// Plays an incident with the real limiters in a virtual world, the same every time.
    Rehearse(Box<Rehearse>),
    /// Holds a size against its bounds, from measured slopes.
    Capacity(Capacity),
    /// Plays a plan with limiters as real processes on loopback and faults thrown between them.
    Faults(Faults),
}

fn seconds(text: &str) -> Result<f64, String> {
    let number = text.parse::<f64>().ok().filter(|s| (1.0..=600.0).contains(s));
    number.ok_or_else(|| "a number of seconds from 1 to 600 is expected".to_string())
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let done = match arguments.command {
        None => marldeal::run::run(arguments.extensions.as_deref()),
        Some(Command::Check { files }) => check(&files),
        Some(Command::Demo { seconds }) => marldeal::command::demo::run(seconds),
        Some(Command::Rehearse(what)) => rehearse::run(*what),
        Some(Command::Capacity(what)) => capacity::run(&what),
        Some(Command::Faults(what)) => faults::run(what),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("marldeal: {why}");
            ExitCode::FAILURE
        }
    }
}

fn check(files: &[PathBuf]) -> Result<(), String> {
    let mut wrong = 0;
    for file in files {
        let found = mistakes(file);
        for mistake in &found {
            println!("{mistake}");
        }
        if found.is_empty() {
            println!("{}: good", file.display());
        }
        wrong += found.len();
    }
    match wrong {
        0 => Ok(()),
        1 => Err("1 mistake".to_string()),
        n => Err(format!("{n} mistakes")),
    }
}

fn mistakes(file: &Path) -> Vec<ConfigError> {
    let name = file.display().to_string();
    match file.extension().and_then(|e| e.to_str()) {
        Some("json") => Config::from_file(&name, |_| None).err().unwrap_or_default(),
        Some("toml") => Extensions::from_file(file).err().unwrap_or_default(),
        _ => {
            vec![ConfigError::new(&name, "", "a configuration (.json) or extension file (.toml) is expected")]
        }
    }
}
