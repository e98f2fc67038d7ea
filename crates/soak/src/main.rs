//! `marldeal-soak --program target/release/marldeal --seeds 1..20`: plays seeds one after another and judges each.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use marldeal_soak::command::{run, Arguments};

/// Plays real limiters as processes under overlapping troubles, and judges them from outside.
#[derive(Parser)]
#[command(version)]
struct Command {
    /// The built limiter.
    #[arg(long, default_value = "target/release/marldeal")]
    program: PathBuf,
    /// Seeds: one, or FROM..TO.
    #[arg(long, default_value = "1..3")]
    seeds: String,
    /// How many limiters.
    #[arg(long, default_value_t = 24)]
    limiters: usize,
    /// How many servers.
    #[arg(long, default_value_t = 10)]
    servers: usize,
    /// How long clients ask.
    #[arg(long, default_value_t = 25.0)]
    seconds: f64,
    /// System calls of every third limiter fail now and then.
    #[arg(long)]
    failing_calls: bool,
    /// Logs and histories are kept here.
    #[arg(long)]
    keep: Option<PathBuf>,
}

fn main() -> ExitCode {
    let given = Command::parse();
    let arguments = Arguments {
        program: given.program,
        seeds: given.seeds,
        limiters: given.limiters,
        servers: given.servers,
        seconds: given.seconds,
        failing_calls: given.failing_calls,
        keep: given.keep,
        variables: Vec::new(),
    };
    match run(&arguments, |line| println!("{line}")) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("marldeal-soak: {why}");
            ExitCode::FAILURE
        }
    }
}
