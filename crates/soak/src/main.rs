//! `marldeal-soak --program target/release/marldeal --seeds 1..20`: runs seeds one after another and judges each.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use marldeal_soak::command::{run, Arguments};

/// Runs real limiters as processes under overlapping faults and judges them from outside.
#[derive(Parser)]
#[command(version)]
struct Command {
    /// Path of the built limiter.
    #[arg(long, default_value = "target/release/marldeal")]
    program: PathBuf,
    /// One seed, or FROM..TO.
    #[arg(long, default_value = "1..3")]
    seeds: String,
    /// Number of limiters.
    #[arg(long, default_value_t = 24)]
    limiters: usize,
    /// Number of servers.
    #[arg(long, default_value_t = 10)]
    servers: usize,
    /// How long clients send requests, in seconds.
    #[arg(long, default_value_t = 25.0)]
    seconds: f64,
    /// Makes system calls of every third limiter fail now and then.
    #[arg(long)]
    failing_calls: bool,
    /// Directory in which logs and histories are kept.
    #[arg(long)]
    keep: Option<PathBuf>,
}

fn main() -> ExitCode {
    let command = Command::parse();
    let arguments = Arguments {
        program: command.program,
        seeds: command.seeds,
        limiters: command.limiters,
        servers: command.servers,
        seconds: command.seconds,
        failing_calls: command.failing_calls,
        keep: command.keep,
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
