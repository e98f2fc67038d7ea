//! Ratios against bare baselines, each pair in one run: `external` against a bare tonic echo of the same messages,
//! `direct` against a bare one-thread hyper pass-through. Bounded in count; outside CI.
#![forbid(unsafe_code)]

mod direct;
mod external;
mod firms;
mod process;
mod slopes;
mod told;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Benchmarks of marldeal. Build all with `cargo build --release --workspace` first.
#[derive(Parser)]
struct Arguments {
    /// The program under test.
    #[arg(long, default_value = "target/release/marldeal")]
    program: PathBuf,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Decisions a second, latency and bytes for each open decision.
    External {
        /// Decisions at each level.
        #[arg(long, default_value_t = 20_000)]
        count: usize,
    },
    /// CPU for each request.
    Direct {
        /// Requests of each program.
        #[arg(long, default_value_t = 20_000)]
        count: usize,
    },
    /// Many firms and floods of names: latency, CPU, memory, and what honest firms get.
    Firms(firms::Options),
    /// What one limiter costs by servers, tenants, peers and open requests: written as a file of slopes.
    Slopes(slopes::Options),
    /// How long until the last of many limiters has a change of the list: written as a file of slopes.
    Told(told::Options),
    /// How long a pass takes in which a million firms are forgotten, without sockets.
    Passes,
    /// The baseline of `external`; started by it.
    #[command(hide = true)]
    Echo,
    /// The baseline of `direct`; started by it.
    #[command(hide = true)]
    Pass {
        /// Where to pass requests on.
        node: std::net::SocketAddr,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let done = match arguments.what {
        What::External { count } => external::run(&arguments.program, count),
        What::Direct { count } => direct::run(&arguments.program, count),
        What::Firms(options) => firms::run(&arguments.program, &options),
        What::Slopes(options) => slopes::run(&arguments.program, &options),
        What::Told(options) => told::run(&arguments.program, &options),
        What::Passes => {
            firms::passes();
            Ok(())
        }
        What::Echo => external::echo(),
        What::Pass { node } => direct::pass(node),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("marldeal-bench: {why}");
            ExitCode::FAILURE
        }
    }
}
