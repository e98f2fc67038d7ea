//! Direct mode against a bare one-thread hyper pass-through: CPU for each request.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Response;
use hyper_util::rt::TokioIo;
use marldeal_standin::client::Client;
use marldeal_standin::discovery::{update_line, Discovery};
use tokio::net::TcpListener;

use crate::process::Process;

/// Connections that ask, one request after another on each.
const CLIENTS: usize = 32;
/// Rounds of the pair; the best figure of each counts, for a machine's noise only adds.
const ROUNDS: usize = 3;

/// A node that answers at once; its thread is not measured.
pub async fn node(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|_| async {
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(&[b'x'; 200]))))
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

/// The baseline: takes requests in and passes each on, on one thread, with kept connections.
pub fn pass(node: SocketAddr) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
        eprintln!("pass serves on {}", listener.local_addr().map_err(|e| e.to_string())?);
        let client = Rc::new(Client::default());
        let local = tokio::task::LocalSet::new();
        local
            .run_until(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    let client = client.clone();
                    let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
                        let client = client.clone();
                        async move {
                            let (head, body) = request.into_parts();
                            let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
                            let answer = client.exchange(node, hyper::Request::from_parts(head, body)).await;
                            let answer = answer.map_or_else(
                                |_| {
                                    let mut bad = Response::new(Full::default());
                                    *bad.status_mut() = hyper::StatusCode::BAD_GATEWAY;
                                    bad
                                },
                                |a| a.map(Full::new),
                            );
                            Ok::<_, Infallible>(answer)
                        }
                    });
                    tokio::task::spawn_local(
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service),
                    );
                }
            })
            .await;
        Ok(())
    })
}

/// CPU microseconds for each of `count` requests, and requests a second.
async fn load(process: &Process, count: usize, base: usize) -> Result<(f64, f64), String> {
    let next = Arc::new(AtomicUsize::new(0));
    let (cpu, began) = (process.cpu()?, Instant::now());
    let addr = process.addr;
    let workers: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let next = next.clone();
            tokio::spawn(async move {
                let client = Client::default();
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= count {
                        return Ok::<(), String>(());
                    }
                    let request = hyper::Request::get(format!("/look/{:016x}", number % 100))
                        .header("host", "bench")
                        .header("x-correlation-id", format!("d-{:x}", base + number))
                        .header("x-tariff", "basic")
                        .header("x-time-left", "5.0")
                        .header("x-weight", "units=1,spread=1,first=0")
                        .body(Bytes::new())
                        .map_err(|e| e.to_string())?;
                    let answer = client.exchange(addr, request).await.map_err(|e| format!("{e:?}"))?;
                    if answer.status() != 200 {
                        return Err(format!("answered {}", answer.status()));
                    }
                }
            })
        })
        .collect();
    for worker in workers {
        worker.await.map_err(|e| e.to_string())??;
    }
    let per_s = count as f64 / began.elapsed().as_secs_f64();
    Ok(((process.cpu()? - cpu) * 1e6 / count as f64, per_s))
}

/// Measures and prints.
pub fn run(program: &Path, count: usize) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
        let addr = listener.local_addr().map_err(|e| e.to_string())?;
        tokio::spawn(node(listener));
        let discovery = Discovery::shared(update_line(1, true, &[("s-1", addr, "active")]));
        let bare = Process::own(&["pass", &addr.to_string()])?;
        let limiter = Process::limiter(program, discovery.addr, false)?;
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let (mut least, mut base) = ((f64::MAX, f64::MAX), 0);
        for round in 0..ROUNDS {
            let (bare_us, bare_per_s) = load(&bare, count, base).await?;
            let (own_us, own_per_s) = load(&limiter, count, base).await?;
            base += count;
            println!(
                "round {round}: bare {bare_us:.1} us ({bare_per_s:.0}/s), marldeal {own_us:.1} us \
                 ({own_per_s:.0}/s), ratio {:.2}",
                own_us / bare_us
            );
            least = (least.0.min(bare_us), least.1.min(own_us));
        }
        println!("CPU a request, least of {ROUNDS}: ratio {:.2}", least.1 / least.0);
        Ok(())
    })
}
