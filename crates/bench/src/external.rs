//! The external processor against a bare tonic echo of the same messages.

use std::path::Path;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use envoy_types::pb::envoy::service::ext_proc::v3 as ext;
use ext::external_processor_server::{ExternalProcessor, ExternalProcessorServer};
use ext::processing_request::Request as Phase;
use ext::processing_response::Response as Answer;
use hdrhistogram::Histogram;
use marldeal_standin::discovery::{update_line, Discovery};
use marldeal_standin::proxy::{headers, request_headers, Stream};
use marldeal_standin::traffic::{Call, Customer, Kind};
use tokio::time::Instant;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status, Streaming};

use crate::process::Process;

/// Streams at once at the levels measured.
const LEVELS: [usize; 3] = [1, 32, 256];
/// Connections that they are spread over.
const CONNECTIONS: usize = 4;
/// Decisions left open for the measure of memory.
const HELD: usize = 900;

struct Echo {
    go: ext::ProcessingResponse,
    pass: ext::ProcessingResponse,
}

type Answers = Pin<Box<dyn tokio_stream::Stream<Item = Result<ext::ProcessingResponse, Status>> + Send>>;

#[tonic::async_trait]
impl ExternalProcessor for Echo {
    type ProcessStream = Answers;

    async fn process(
        &self,
        request: Request<Streaming<ext::ProcessingRequest>>,
    ) -> Result<Response<Answers>, Status> {
        let (go, pass) = (self.go.clone(), self.pass.clone());
        let mut inbound = request.into_inner();
        Ok(Response::new(Box::pin(async_stream::stream! {
            while let Ok(Some(message)) = inbound.message().await {
                match message.request {
                    Some(Phase::RequestHeaders(_)) => yield Ok(go.clone()),
                    Some(Phase::ResponseHeaders(_)) => yield Ok(pass.clone()),
                    _ => {}
                }
            }
        })))
    }
}

/// Answers of the size that the limiter gives, without any decision.
fn canned() -> Echo {
    use envoy_types::pb::envoy::config::core::v3::{HeaderValue, HeaderValueOption};
    let set = |key: &str, value: &str| HeaderValueOption {
        header: Some(HeaderValue {
            key: key.to_string(),
            raw_value: value.as_bytes().to_vec(),
            ..Default::default()
        }),
        append_action: 2,
        ..Default::default()
    };
    let response = |set_headers, remove: &[&str]| ext::HeadersResponse {
        response: Some(ext::CommonResponse {
            header_mutation: Some(ext::HeaderMutation {
                set_headers,
                remove_headers: remove.iter().map(ToString::to_string).collect(),
            }),
            ..Default::default()
        }),
    };
    let whole = |answer| ext::ProcessingResponse { response: Some(answer), ..Default::default() };
    let grant = vec![
        set("x-gateway-destination-endpoint", "127.0.0.1:40000"),
        set("x-envoy-upstream-rq-timeout-ms", "49990"),
        set("x-time-left", "49.990"),
    ];
    Echo {
        go: whole(Answer::RequestHeaders(response(grant, &[]))),
        pass: whole(Answer::ResponseHeaders(response(Vec::new(), &["x-marldeal-retry"]))),
    }
}

/// The baseline: one thread, as the limiter has.
pub fn echo() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
        eprintln!("echo serves on {}", listener.local_addr().map_err(|e| e.to_string())?);
        let incoming = async_stream::stream! {
            loop {
                let accepted = listener.accept().await.map(|(stream, _)| {
                    let _ = stream.set_nodelay(true);
                    stream
                });
                yield accepted;
            }
        };
        let server = tonic::transport::Server::builder().add_service(ExternalProcessorServer::new(canned()));
        server.serve_with_incoming(incoming).await.map_err(|e| e.to_string())
    })
}

fn call(number: usize) -> Call {
    Call {
        at_ms: 0.0,
        limiter: 0,
        name: format!("b-{number:x}"),
        customer: Customer {
            id: 7 + number as u64 % 100,
            plan: "basic".into(),
            units_per_s: 0.0,
            spread: 1,
            first: 0,
        },
        kind: Kind { class: "look".into(), keyed: false, share: 1.0, units: 1.0, budget_s: 50.0 },
    }
}

/// One decision: a stream, its verdict, the outcome, the last word. Microseconds until the verdict.
async fn decision(channel: Channel, number: usize, from: Instant) -> Result<u64, String> {
    let mut stream = Stream::open(channel).await.map_err(|e| e.to_string())?;
    stream.send(request_headers(&call(number).request(), Some(1))).await;
    let answer = stream.next().await.map_err(|e| format!("{e:?}"))?;
    if !matches!(answer.response, Some(Answer::RequestHeaders(_))) {
        return Err(format!("not let in: {answer:?}"));
    }
    let took = from.elapsed().as_micros() as u64;
    stream.send(Phase::ResponseHeaders(headers(vec![(":status", "200".to_string())], true))).await;
    stream.next().await.map_err(|e| format!("{e:?}"))?;
    Ok(took)
}

async fn channels(process: &Process) -> Result<Vec<Channel>, String> {
    let mut all = Vec::new();
    for _ in 0..CONNECTIONS {
        let endpoint =
            Endpoint::from_shared(format!("http://{}", process.addr)).map_err(|e| e.to_string())?;
        all.push(endpoint.connect().await.map_err(|e| e.to_string())?);
    }
    Ok(all)
}

struct Figures {
    per_s: f64,
    took: Histogram<u64>,
    cpu_us: f64,
}

impl Figures {
    fn line(&self, what: &str) -> String {
        let at = |q| self.took.value_at_quantile(q);
        format!(
            "{what:<26}{:>9.0}/s  p50 {:>7} us  p99 {:>7} us  CPU {:>6.1} us",
            self.per_s,
            at(0.5),
            at(0.99),
            self.cpu_us
        )
    }
}

/// So many streams at once, one decision after another on each.
async fn closed_loop(
    process: &Process,
    streams: usize,
    count: usize,
    base: usize,
) -> Result<Figures, String> {
    let channels = channels(process).await?;
    let next = Arc::new(AtomicUsize::new(0));
    let took = Arc::new(Mutex::new(Histogram::<u64>::new(3).map_err(|e| e.to_string())?));
    let (cpu, began) = (process.cpu()?, Instant::now());
    let workers: Vec<_> = (0..streams)
        .map(|n| {
            let (channel, next, took) = (channels[n % CONNECTIONS].clone(), next.clone(), took.clone());
            tokio::spawn(async move {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= count {
                        return Ok::<(), String>(());
                    }
                    let us = decision(channel.clone(), base + number, Instant::now()).await?;
                    took.lock().map_err(|e| e.to_string())?.record(us).map_err(|e| e.to_string())?;
                }
            })
        })
        .collect();
    for worker in workers {
        worker.await.map_err(|e| e.to_string())??;
    }
    let per_s = count as f64 / began.elapsed().as_secs_f64();
    let cpu_us = (process.cpu()? - cpu) * 1e6 / count as f64;
    let took = took.lock().map_err(|e| e.to_string())?.clone();
    Ok(Figures { per_s, took, cpu_us })
}

/// Decisions at a fixed rate, whatever becomes of those before.
async fn open_loop(process: &Process, per_s: f64, count: usize, base: usize) -> Result<Figures, String> {
    let channels = channels(process).await?;
    let (cpu, began) = (process.cpu()?, Instant::now());
    let mut asked = Vec::new();
    for number in 0..count {
        let at = began + Duration::from_secs_f64(number as f64 / per_s);
        tokio::time::sleep_until(at).await;
        // Counted from now: the timer's own grain is the client's, not the server's.
        asked.push(tokio::spawn(decision(
            channels[number % CONNECTIONS].clone(),
            base + number,
            Instant::now(),
        )));
    }
    let mut took = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for one in asked {
        took.record(one.await.map_err(|e| e.to_string())??).map_err(|e| e.to_string())?;
    }
    let per_s = count as f64 / began.elapsed().as_secs_f64();
    Ok(Figures { per_s, took, cpu_us: (process.cpu()? - cpu) * 1e6 / count as f64 })
}

/// Bytes that each open decision holds.
async fn held(process: &Process, base: usize) -> Result<f64, String> {
    let channels = channels(process).await?;
    let mut open = Vec::new();
    // Once round first, so that what is kept for later use does not count.
    for round in 0..2 {
        open.clear();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let before = process.resident()?;
        for n in 0..HELD {
            let channel = channels[n % CONNECTIONS].clone();
            let mut stream = Stream::open(channel).await.map_err(|e| e.to_string())?;
            stream.send(request_headers(&call(base + round * HELD + n).request(), Some(1))).await;
            stream.next().await.map_err(|e| format!("{e:?}"))?;
            open.push(stream);
        }
        if round == 0 {
            println!(
                "{HELD} decisions open, first time: {:.0} bytes each",
                (process.resident()? - before) / HELD as f64
            );
        }
        if round == 1 {
            return Ok((process.resident()? - before) / HELD as f64);
        }
    }
    Ok(0.0)
}

/// Measures and prints.
pub fn run(program: &Path, count: usize) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let node = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], 40_000 + n));
        let list = update_line(
            1,
            true,
            &[("s-1", node(1), "active"), ("s-2", node(2), "active"), ("s-3", node(3), "active")],
        );
        let discovery = Discovery::shared(list);
        let echo = Process::own(&["echo"])?;
        let limiter = Process::limiter(program, discovery.addr, true)?;
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let mut base = 0;
        let mut best = f64::MAX;
        for streams in LEVELS {
            let count = if streams == 1 { count / 4 } else { count };
            println!("{streams} streams at once, {count} decisions:");
            let bare = closed_loop(&echo, streams, count, base).await?;
            let full = closed_loop(&limiter, streams, count, base).await?;
            base += count;
            println!("  {}\n  {}", bare.line("bare echo"), full.line("marldeal"));
            println!(
                "  ratio of throughput {:.2}, of CPU {:.2}",
                full.per_s / bare.per_s,
                full.cpu_us / bare.cpu_us
            );
            if streams > 1 {
                best = best.min(full.per_s);
            }
        }
        let half = best / 2.0;
        println!("at half load, {half:.0} decisions a second, {count} decisions:");
        let bare = open_loop(&echo, half, count, base).await?;
        let full = open_loop(&limiter, half, count, base).await?;
        base += count;
        println!("  {}\n  {}", bare.line("bare echo"), full.line("marldeal"));
        let p99 = |f: &Figures| f.took.value_at_quantile(0.99) as f64;
        println!("  ratio of p99 {:.2}", p99(&full) / p99(&bare));
        let (bare, full) = (held(&echo, base).await?, held(&limiter, base).await?);
        println!("bytes for each open decision, again: bare echo {bare:.0}, marldeal {full:.0}");
        Ok(())
    })
}
