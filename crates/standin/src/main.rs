//! Runs one stand-in from the command line: a back-end server, a discovery agent, a counter, or a proxy that asks an
//! external processor.
#![forbid(unsafe_code)]

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::process::ExitCode;
use std::sync::Arc;

use bytes::Bytes;
use clap::{Parser, Subcommand, ValueEnum};
use http_body_util::{BodyExt, Full, Limited};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Response;
use hyper_util::rt::TokioIo;
use marldeal_standin::counter::{self, Counter};
use marldeal_standin::discovery::{update_line, Discovery};
use marldeal_standin::proxy::{Proxy, RetryMode};
use marldeal_standin::server::{Fault, Script, Server};

/// Stand-ins for the systems around marldeal, on loopback addresses.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    what: Command,
}

#[derive(Subcommand)]
enum Command {
    /// A back-end server with scripted faults.
    Node {
        /// Address to listen on; with port 0 the kernel chooses the port.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Time that a request takes, in milliseconds.
        #[arg(long, default_value_t = 20)]
        work_ms: u64,
        /// Maximum number of requests processed at once.
        #[arg(long, default_value_t = 4)]
        cores: usize,
        /// FROM..TO:FAULT, requests counted from 0; faults: error, turn-away, unavailable, reset, half, silent=MS.
        #[arg(long = "fault", value_parser = parse_fault)]
        faults: Vec<(Range<usize>, Fault)>,
    },
    /// A discovery agent that sends a fixed list; type a complete line of the protocol to change it.
    Discovery {
        /// Address to listen on; with port 0 the kernel chooses the port.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// ID=ADDRESS of an active server.
        #[arg(long = "node", value_parser = parse_server)]
        nodes: Vec<(String, SocketAddr)>,
    },
    /// A counter that adds to named counts. Type `stop`, `start`, `start-empty` or `slow TIMES` to control it.
    Counter {
        /// Address to listen on; with port 0 the kernel chooses the port.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Number of partitions that names are distributed over.
        #[arg(long, default_value_t = 2)]
        parts: usize,
        /// Time that a call occupies its partition, in milliseconds.
        #[arg(long, default_value_t = 1.0)]
        work_ms: f64,
        /// Maximum number of calls in progress or waiting per partition.
        #[arg(long, default_value_t = 100)]
        queue: usize,
    },
    /// A proxy that asks an external processor about each HTTP/1.1 request.
    Proxy {
        /// Address that clients connect to; with port 0 the kernel chooses the port.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Address of the external processor.
        #[arg(long)]
        processor: SocketAddr,
        /// How retries are made.
        #[arg(long, value_enum, default_value_t = Retries::PerTry)]
        retries: Retries,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Retries {
    PerTry,
    Loop,
    Once,
}

/// Parses FROM..TO:FAULT.
fn parse_fault(text: &str) -> Result<(Range<usize>, Fault), String> {
    let parts = text.split_once(':').and_then(|(range, fault)| Some((range.split_once("..")?, fault)));
    let Some(((from, to), fault)) = parts else {
        return Err(format!("'{text}' is not FROM..TO:FAULT"));
    };
    let number = |n: &str| n.parse().map_err(|_| format!("'{n}' is not a number"));
    Ok((number(from)?..number(to)?, fault.parse()?))
}

/// Parses ID=ADDRESS.
fn parse_server(text: &str) -> Result<(String, SocketAddr), String> {
    let (id, addr) = text.split_once('=').ok_or_else(|| format!("'{text}' is not ID=ADDRESS"))?;
    Ok((id.to_string(), addr.parse().map_err(|_| format!("'{addr}' is not an address and port"))?))
}

fn main() -> ExitCode {
    match run(Arguments::parse().what) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marldeal-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Listens on an address, which must be a loopback address: stand-ins are reachable from this machine only.
fn bind(listen: SocketAddr) -> Result<TcpListener, String> {
    if !listen.ip().is_loopback() {
        return Err(format!("{listen} is not a loopback address"));
    }
    TcpListener::bind(listen).map_err(|e| format!("cannot listen on {listen}: {e}"))
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Node { listen, work_ms, cores, faults } => {
            let script = Script { work_ms, cores, faults, ..Script::default() };
            let server = Server::scripted_on(bind(listen)?, script);
            println!("node on {}", server.addr);
            loop {
                std::thread::park();
            }
        }
        Command::Discovery { listen, nodes } => {
            let servers: Vec<_> = nodes.iter().map(|(id, addr)| (id.as_str(), *addr, "active")).collect();
            let discovery = Discovery::shared_on(bind(listen)?, update_line(1, true, &servers));
            println!("discovery on {}", discovery.addr);
            for text in std::io::stdin().lines().map_while(Result::ok) {
                discovery.announce(&format!("{text}\n"));
            }
            loop {
                std::thread::park();
            }
        }
        Command::Counter { listen, parts, work_ms, queue } => {
            if !(0.0..=60_000.0).contains(&work_ms) {
                return Err(format!("work-ms {work_ms} is not between 0 and 60000"));
            }
            let counter = Counter::on(bind(listen)?, counter::Script { parts, work_ms, queue });
            println!("counter on {}", counter.addr);
            let mut running = true;
            for text in std::io::stdin().lines().map_while(Result::ok) {
                match (text.trim(), running) {
                    ("stop", true) => counter.stop(),
                    ("start", false) => counter.start(true),
                    ("start-empty", false) => counter.start(false),
                    (other, _) => match other.strip_prefix("slow ").map(str::parse::<f64>) {
                        Some(Ok(times)) if (0.0..=1000.0).contains(&times) => counter.slow(times),
                        _ => eprintln!(
                            "'{other}' is not stop (when running), start, start-empty (when stopped) or slow TIMES"
                        ),
                    },
                }
                running = match text.trim() {
                    "stop" => false,
                    "start" | "start-empty" => true,
                    _ => running,
                };
            }
            loop {
                std::thread::park();
            }
        }
        Command::Proxy { listen, processor, retries } => {
            let listener = bind(listen)?;
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
            runtime.block_on(run_proxy(listener, processor, retries))
        }
    }
}

/// Maximum size of a request body that the proxy buffers, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Serves HTTP/1.1 clients through a proxy. Returns only if it cannot connect or accept.
async fn run_proxy(listener: TcpListener, processor: SocketAddr, retries: Retries) -> Result<(), String> {
    let retry_mode = match retries {
        Retries::PerTry => RetryMode::PerTry,
        Retries::Loop => RetryMode::SameStream,
        Retries::Once => RetryMode::None,
    };
    let proxy =
        Proxy::connect(processor, retry_mode).await.map_err(|e| format!("processor {processor}: {e}"))?;
    let proxy = Arc::new(proxy);
    listener.set_nonblocking(true).map_err(|e| e.to_string())?;
    let listener = tokio::net::TcpListener::from_std(listener).map_err(|e| e.to_string())?;
    println!("proxy on {}", listener.local_addr().map_err(|e| e.to_string())?);
    loop {
        let (stream, _) = listener.accept().await.map_err(|e| format!("accept: {e}"))?;
        let proxy = proxy.clone();
        let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
            let proxy = proxy.clone();
            async move { Ok::<_, Infallible>(answer(&proxy, request).await) }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

/// Answers one request of a client.
async fn answer(proxy: &Proxy, request: hyper::Request<hyper::body::Incoming>) -> Response<Full<Bytes>> {
    let plain = |status: u16, body: Bytes| {
        let mut answer = Response::new(Full::new(body));
        *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::BAD_GATEWAY);
        answer
    };
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return plain(413, Bytes::from_static(b"the request body is too large or incomplete"));
    };
    match proxy.handle(&hyper::Request::from_parts(head, body.to_bytes())).await {
        Ok(response) => {
            let mut answer = plain(response.status, response.body);
            if let Some(value) = response.retry_after.and_then(|v| v.parse().ok()) {
                answer.headers_mut().insert(hyper::header::RETRY_AFTER, value);
            }
            answer
        }
        Err(error) => {
            eprintln!("processor: {error:?}");
            plain(500, Bytes::new())
        }
    }
}
