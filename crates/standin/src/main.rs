//! Stand-ins by hand: a booking node, a discovery agent, or a proxy before an external processor.
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

/// Stand-in outside systems for marldeal, on loopback addresses.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// A booking node that serves, with scripted faults.
    Node {
        /// Where to listen; port 0 for one from the kernel.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Milliseconds of work for each request.
        #[arg(long, default_value_t = 20)]
        work_ms: u64,
        /// Requests worked on at once.
        #[arg(long, default_value_t = 4)]
        cores: usize,
        /// FROM..TO:FAULT, counted from 0: error, turn-away, unavailable, reset, half, silent=MS.
        #[arg(long = "fault", value_parser = fault)]
        faults: Vec<(Range<usize>, Fault)>,
    },
    /// A discovery agent that tells a fixed list; type a whole line of discovery to change it.
    Discovery {
        /// Where to listen; port 0 for one from the kernel.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// ID=ADDRESS of an active node.
        #[arg(long = "node", value_parser = node)]
        nodes: Vec<(String, SocketAddr)>,
    },
    /// A counter that adds to named counts. Type `stop`, `start`, `start-empty` or `slow TIMES` to make it fail.
    Counter {
        /// Where to listen; port 0 for one from the kernel.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Parts that names lie on.
        #[arg(long, default_value_t = 2)]
        parts: usize,
        /// Milliseconds that a call takes its part.
        #[arg(long, default_value_t = 1.0)]
        work_ms: f64,
        /// Calls that may wait for a part.
        #[arg(long, default_value_t = 100)]
        queue: usize,
    },
    /// A proxy that asks an external processor about each HTTP/1.1 request.
    Proxy {
        /// Where clients connect; port 0 for one from the kernel.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Where the external processor listens.
        #[arg(long)]
        processor: SocketAddr,
        /// How further attempts are made.
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

fn fault(text: &str) -> Result<(Range<usize>, Fault), String> {
    let parts = text.split_once(':').and_then(|(range, fault)| Some((range.split_once("..")?, fault)));
    let Some(((from, to), fault)) = parts else {
        return Err(format!("'{text}' is not FROM..TO:FAULT"));
    };
    let number = |n: &str| n.parse().map_err(|_| format!("'{n}' is not a number"));
    Ok((number(from)?..number(to)?, fault.parse()?))
}

fn node(text: &str) -> Result<(String, SocketAddr), String> {
    let (id, addr) = text.split_once('=').ok_or_else(|| format!("'{text}' is not ID=ADDRESS"))?;
    Ok((id.to_string(), addr.parse().map_err(|_| format!("'{addr}' is not an address and port"))?))
}

fn main() -> ExitCode {
    match run(Arguments::parse().what) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("marldeal-standin: {why}");
            ExitCode::FAILURE
        }
    }
}

/// Stand-ins face this machine only.
fn bind(listen: SocketAddr) -> Result<TcpListener, String> {
    if !listen.ip().is_loopback() {
        return Err(format!("{listen} is not a loopback address"));
    }
    TcpListener::bind(listen).map_err(|e| format!("cannot listen on {listen}: {e}"))
}

fn run(what: What) -> Result<(), String> {
    match what {
        What::Node { listen, work_ms, cores, faults } => {
            let script = Script { work_ms, cores, faults, ..Script::default() };
            let node = Server::scripted_on(bind(listen)?, script);
            println!("node on {}", node.addr);
            loop {
                std::thread::park();
            }
        }
        What::Discovery { listen, nodes } => {
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
        What::Counter { listen, parts, work_ms, queue } => {
            if !(0.0..=60_000.0).contains(&work_ms) {
                return Err(format!("work-ms {work_ms} is not between 0 and 60000"));
            }
            let counter = Counter::on(bind(listen)?, counter::Script { parts, work_ms, queue });
            println!("counter on {}", counter.addr);
            let mut up = true;
            for text in std::io::stdin().lines().map_while(Result::ok) {
                match (text.trim(), up) {
                    ("stop", true) => counter.stop(),
                    ("start", false) => counter.start(true),
                    ("start-empty", false) => counter.start(false),
                    (other, _) => match other.strip_prefix("slow ").map(str::parse::<f64>) {
                        Some(Ok(times)) if (0.0..=1000.0).contains(&times) => counter.slow(times),
                        _ => eprintln!(
                            "'{other}' is not stop (when up), start, start-empty (when down) or slow TIMES"
                        ),
                    },
                }
                up = match text.trim() {
                    "stop" => false,
                    "start" | "start-empty" => true,
                    _ => up,
                };
            }
            loop {
                std::thread::park();
            }
        }
        What::Proxy { listen, processor, retries } => {
            let listener = bind(listen)?;
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
            runtime.block_on(proxy(listener, processor, retries))
        }
    }
}

/// Longest body that the proxy buffers.
const MOST_BODY: usize = 64 << 10;

async fn proxy(listener: TcpListener, processor: SocketAddr, retries: Retries) -> Result<(), String> {
    let shape = match retries {
        Retries::PerTry => RetryMode::PerTry,
        Retries::Loop => RetryMode::SameStream,
        Retries::Once => RetryMode::None,
    };
    let proxy = Proxy::connect(processor, shape).await.map_err(|e| format!("processor {processor}: {e}"))?;
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

async fn answer(proxy: &Proxy, request: hyper::Request<hyper::body::Incoming>) -> Response<Full<Bytes>> {
    let plain = |status: u16, body: Bytes| {
        let mut answer = Response::new(Full::new(body));
        *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::BAD_GATEWAY);
        answer
    };
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MOST_BODY).collect().await else {
        return plain(413, Bytes::from_static(b"the body is too large or did not come whole"));
    };
    match proxy.handle(&hyper::Request::from_parts(head, body.to_bytes())).await {
        Ok(done) => {
            let mut answer = plain(done.status, done.body);
            if let Some(value) = done.retry_after.and_then(|v| v.parse().ok()) {
                answer.headers_mut().insert(hyper::header::RETRY_AFTER, value);
            }
            answer
        }
        Err(trouble) => {
            eprintln!("processor: {trouble:?}");
            plain(500, Bytes::new())
        }
    }
}
