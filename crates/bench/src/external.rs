//! Compares the external processor with a tonic server that echoes the same messages.

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

/// Numbers of concurrent streams that are measured.
const LEVELS: [usize; 3] = [1, 32, 256];
/// Number of connections that the streams are spread over.
const CONNECTIONS: usize = 4;
/// Number of decisions that stay open while memory is measured.
const OPEN_DECISIONS: usize = 900;

/// Answers with fixed messages.
struct Echo {
    on_request: ext::ProcessingResponse,
    on_response: ext::ProcessingResponse,
}

type Answers = Pin<Box<dyn tokio_stream::Stream<Item = Result<ext::ProcessingResponse, Status>> + Send>>;

#[tonic::async_trait]
impl ExternalProcessor for Echo {
    type ProcessStream = Answers;

    async fn process(
        &self,
        request: Request<Streaming<ext::ProcessingRequest>>,
    ) -> Result<Response<Answers>, Status> {
        let (on_request, on_response) = (self.on_request.clone(), self.on_response.clone());
        let mut inbound = request.into_inner();
        Ok(Response::new(Box::pin(async_stream::stream! {
            while let Ok(Some(message)) = inbound.message().await {
                match message.request {
                    Some(Phase::RequestHeaders(_)) => yield Ok(on_request.clone()),
                    Some(Phase::ResponseHeaders(_)) => yield Ok(on_response.clone()),
                    _ => {}
                }
            }
        })))
    }
}

/// Returns an echo whose answers have the size of a limiter's answers.
fn fixed_answers() -> Echo {
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
    let processing_response =
        |answer| ext::ProcessingResponse { response: Some(answer), ..Default::default() };
    let grant = vec![
        set("x-gateway-destination-endpoint", "127.0.0.1:40000"),
        set("x-envoy-upstream-rq-timeout-ms", "49990"),
        set("x-time-left", "49.990"),
    ];
    Echo {
        on_request: processing_response(Answer::RequestHeaders(response(grant, &[]))),
        on_response: processing_response(Answer::ResponseHeaders(response(
            Vec::new(),
            &["x-marldeal-retry"],
        ))),
    }
}

/// Runs the baseline on one thread, as the limiter does.
pub fn run_echo() -> Result<(), String> {
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
        let server =
            tonic::transport::Server::builder().add_service(ExternalProcessorServer::new(fixed_answers()));
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

/// Opens a stream, awaits the verdict and reports the outcome. Returns the microseconds until the verdict.
async fn decide(channel: Channel, number: usize, started: Instant) -> Result<u64, String> {
    let mut stream = Stream::open(channel).await.map_err(|e| e.to_string())?;
    stream.send(request_headers(&call(number).request(), Some(1))).await;
    let answer = stream.next().await.map_err(|e| format!("{e:?}"))?;
    if !matches!(answer.response, Some(Answer::RequestHeaders(_))) {
        return Err(format!("not admitted: {answer:?}"));
    }
    let verdict_us = started.elapsed().as_micros() as u64;
    stream.send(Phase::ResponseHeaders(headers(vec![(":status", "200".to_string())], true))).await;
    stream.next().await.map_err(|e| format!("{e:?}"))?;
    Ok(verdict_us)
}

/// Opens the connections to a process.
async fn connect(process: &Process) -> Result<Vec<Channel>, String> {
    let mut channels = Vec::new();
    for _ in 0..CONNECTIONS {
        let endpoint =
            Endpoint::from_shared(format!("http://{}", process.addr)).map_err(|e| e.to_string())?;
        channels.push(endpoint.connect().await.map_err(|e| e.to_string())?);
    }
    Ok(channels)
}

/// Throughput, latency in microseconds, and CPU time per decision.
struct Figures {
    per_s: f64,
    latency_us: Histogram<u64>,
    cpu_us: f64,
}

impl Figures {
    /// Formats the figures as one line.
    fn summary(&self, label: &str) -> String {
        let quantile = |q| self.latency_us.value_at_quantile(q);
        format!(
            "{label:<26}{:>9.0}/s  p50 {:>7} us  p99 {:>7} us  CPU {:>6.1} us",
            self.per_s,
            quantile(0.5),
            quantile(0.99),
            self.cpu_us
        )
    }
}

/// Runs concurrent streams, with one decision after another on each.
async fn closed_loop(
    process: &Process,
    streams: usize,
    count: usize,
    offset: usize,
) -> Result<Figures, String> {
    let channels = connect(process).await?;
    let next = Arc::new(AtomicUsize::new(0));
    let latency_us = Arc::new(Mutex::new(Histogram::<u64>::new(3).map_err(|e| e.to_string())?));
    let (cpu, started) = (process.cpu()?, Instant::now());
    let workers: Vec<_> = (0..streams)
        .map(|n| {
            let (channel, next, latency_us) =
                (channels[n % CONNECTIONS].clone(), next.clone(), latency_us.clone());
            tokio::spawn(async move {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= count {
                        return Ok::<(), String>(());
                    }
                    let us = decide(channel.clone(), offset + number, Instant::now()).await?;
                    latency_us.lock().map_err(|e| e.to_string())?.record(us).map_err(|e| e.to_string())?;
                }
            })
        })
        .collect();
    for worker in workers {
        worker.await.map_err(|e| e.to_string())??;
    }
    let per_s = count as f64 / started.elapsed().as_secs_f64();
    let cpu_us = (process.cpu()? - cpu) * 1e6 / count as f64;
    let latency_us = latency_us.lock().map_err(|e| e.to_string())?.clone();
    Ok(Figures { per_s, latency_us, cpu_us })
}

/// Starts decisions at a fixed rate, regardless of earlier ones.
async fn open_loop(process: &Process, per_s: f64, count: usize, offset: usize) -> Result<Figures, String> {
    let channels = connect(process).await?;
    let (cpu, started) = (process.cpu()?, Instant::now());
    let mut decisions = Vec::new();
    for number in 0..count {
        let at = started + Duration::from_secs_f64(number as f64 / per_s);
        tokio::time::sleep_until(at).await;
        // Latency counts from now, so that the timer resolution of this client is excluded.
        decisions.push(tokio::spawn(decide(
            channels[number % CONNECTIONS].clone(),
            offset + number,
            Instant::now(),
        )));
    }
    let mut latency_us = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for decision in decisions {
        latency_us.record(decision.await.map_err(|e| e.to_string())??).map_err(|e| e.to_string())?;
    }
    let per_s = count as f64 / started.elapsed().as_secs_f64();
    Ok(Figures { per_s, latency_us, cpu_us: (process.cpu()? - cpu) * 1e6 / count as f64 })
}

/// Measures the memory per open decision, in bytes.
async fn open_decision_bytes(process: &Process, offset: usize) -> Result<f64, String> {
    let channels = connect(process).await?;
    let mut open = Vec::new();
    // The first round fills the caches of the process, so that only the second round counts.
    for round in 0..2 {
        open.clear();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let before = process.resident()?;
        for n in 0..OPEN_DECISIONS {
            let channel = channels[n % CONNECTIONS].clone();
            let mut stream = Stream::open(channel).await.map_err(|e| e.to_string())?;
            stream.send(request_headers(&call(offset + round * OPEN_DECISIONS + n).request(), Some(1))).await;
            stream.next().await.map_err(|e| format!("{e:?}"))?;
            open.push(stream);
        }
        if round == 0 {
            println!(
                "{OPEN_DECISIONS} open decisions, first round: {:.0} bytes each",
                (process.resident()? - before) / OPEN_DECISIONS as f64
            );
        }
        if round == 1 {
            return Ok((process.resident()? - before) / OPEN_DECISIONS as f64);
        }
    }
    Ok(0.0)
}

/// Runs the comparison and prints the results.
pub fn run(program: &Path, count: usize) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let server = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], 40_000 + n));
        let list = update_line(
            1,
            true,
            &[("s-1", server(1), "active"), ("s-2", server(2), "active"), ("s-3", server(3), "active")],
        );
        let discovery = Discovery::shared(list);
        let echo = Process::baseline(&["echo"])?;
        let limiter = Process::limiter(program, discovery.addr, true)?;
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let mut offset = 0;
        let mut min_per_s = f64::MAX;
        for streams in LEVELS {
            let count = if streams == 1 { count / 4 } else { count };
            println!("{streams} concurrent streams, {count} decisions:");
            let baseline = closed_loop(&echo, streams, count, offset).await?;
            let measured = closed_loop(&limiter, streams, count, offset).await?;
            offset += count;
            println!("  {}\n  {}", baseline.summary("echo"), measured.summary("marldeal"));
            println!(
                "  ratio of throughput {:.2}, of CPU {:.2}",
                measured.per_s / baseline.per_s,
                measured.cpu_us / baseline.cpu_us
            );
            if streams > 1 {
                min_per_s = min_per_s.min(measured.per_s);
            }
        }
        let half_rate = min_per_s / 2.0;
        println!("at half load, {half_rate:.0} decisions per second, {count} decisions:");
        let baseline = open_loop(&echo, half_rate, count, offset).await?;
        let measured = open_loop(&limiter, half_rate, count, offset).await?;
        offset += count;
        println!("  {}\n  {}", baseline.summary("echo"), measured.summary("marldeal"));
        let p99 = |f: &Figures| f.latency_us.value_at_quantile(0.99) as f64;
        println!("  ratio of p99 {:.2}", p99(&measured) / p99(&baseline));
        let (baseline, measured) =
            (open_decision_bytes(&echo, offset).await?, open_decision_bytes(&limiter, offset).await?);
        println!("bytes per open decision, second round: echo {baseline:.0}, marldeal {measured:.0}");
        Ok(())
    })
}
