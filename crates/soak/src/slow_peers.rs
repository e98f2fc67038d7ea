//! Slow and unsound peers: clients that ask for long answers, which servers write slowly, that send unsound requests to
//! servers that answer early, or that stop within a body; and crowds of clients whose transfers stand still or crawl.
//!
//! What a server does with such a request stands in its query, which limiters pass on unchanged.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::environment::Environment;
use crate::history::{Effect, Limiter, Millis, Request, What};
use crate::http::{self, Buffer};

/// Time between two requests of a limiter's slow peer, at least and at most.
const INTERVAL_MS: (Millis, Millis) = (400.0, 1800.0);
/// Length of a long answer, at least and at most, in bytes.
const LONG_ANSWER_BYTES: (usize, usize) = (100_000, 290_000);
/// Time over which a server spreads a long answer, at least and at most.
const LONG_ANSWER_MS: (Millis, Millis) = (600.0, 1600.0);
/// Pieces in which it is written.
const LUMPS: usize = 4;
const STEADY_PIECES: usize = 40;
/// How long the client of a long answer waits, in seconds.
const LONG_ANSWER_WAIT_S: f64 = 2.4;
/// Length of an unsound request that is buffered, and of one that is streamed where memory is scarce.
const SHORT_UPLOAD_BYTES: usize = 4_000;
const LONG_UPLOAD_BYTES: usize = 1_500_000;
const CHUNK_BYTES: usize = 1_000;
/// Length that the client of an incomplete request announces.
const ANNOUNCED_BYTES: usize = 1_000_000;
/// How long the end of a request that never becomes whole is waited for.
const END_TIMEOUT: Duration = Duration::from_secs(8);
/// How long the clients of a crowd stay, and at which rates they write and read.
const CROWD_MS: Millis = 4000.0;
const CROWD_PIECE_BYTES: usize = 16_000;
const CROWD_WRITE_INTERVAL_MS: Millis = 250.0;
const CROWD_READ_INTERVAL_MS: Millis = 1000.0;

/// How a server delimits a long answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Declared,
    /// In chunks.
    Chunked,
    /// By the end of the connection.
    EndOfConnection,
}

/// How a server spreads a long answer over time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// In a few lumps, the first at once.
    Lumps,
    /// In many small pieces.
    Steady,
    /// All of the body in one piece, long after the head.
    LateBody,
}

/// A long answer that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LongAnswer {
    /// How it is delimited.
    pub framing: Framing,
    /// How it is spread over time.
    pub pace: Pace,
    /// Its length in bytes.
    pub bytes: usize,
    /// The time over which it is spread.
    pub duration_ms: Millis,
}

const FRAMINGS: [(&str, Framing); 3] =
    [("declared", Framing::Declared), ("chunked", Framing::Chunked), ("end", Framing::EndOfConnection)];
const PACES: [(&str, Pace); 3] = [("lumps", Pace::Lumps), ("steady", Pace::Steady), ("late", Pace::LateBody)];
/// Marks the query of a request whose server answers 200 before it has read the body.
pub const EARLY_ANSWER: &str = "early=200";

impl LongAnswer {
    fn draw(environment: &Environment) -> LongAnswer {
        environment.draw(|rng| LongAnswer {
            framing: FRAMINGS[rng.usize(0..FRAMINGS.len())].1,
            pace: PACES[rng.usize(0..PACES.len())].1,
            bytes: rng.usize(LONG_ANSWER_BYTES.0..LONG_ANSWER_BYTES.1),
            duration_ms: LONG_ANSWER_MS.0 + rng.f64() * (LONG_ANSWER_MS.1 - LONG_ANSWER_MS.0),
        })
    }

    fn query(&self) -> String {
        let framing = FRAMINGS.iter().find(|(_, f)| *f == self.framing).map_or("", |(name, _)| name);
        let pace = PACES.iter().find(|(_, p)| *p == self.pace).map_or("", |(name, _)| name);
        format!("long={framing}-{pace}-{}-{:.0}", self.bytes, self.duration_ms)
    }

    /// The long answer that a request line asks for.
    pub fn parse(first_line: &str) -> Option<LongAnswer> {
        let query = first_line.split(' ').nth(1)?.split_once("?long=")?.1;
        let mut fields = query.split('-');
        let (framing, pace) = (fields.next()?, fields.next()?);
        Some(LongAnswer {
            framing: FRAMINGS.iter().find(|(name, _)| *name == framing)?.1,
            pace: PACES.iter().find(|(name, _)| *name == pace)?.1,
            bytes: fields.next()?.parse().ok()?,
            duration_ms: fields.next()?.parse().ok()?,
        })
    }

    /// Writes the answer as its pace says. Sets `body_begun` once any of the body has been written.
    ///
    /// # Errors
    /// The connection ended before the answer was whole.
    pub async fn write(&self, stream: &mut TcpStream, body_begun: &Cell<bool>) -> io::Result<()> {
        let header = match self.framing {
            Framing::Declared => format!("Content-Length: {}\r\n", self.bytes),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_string(),
            Framing::EndOfConnection => "Connection: close\r\n".to_string(),
        };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{header}\r\n").as_bytes()).await?;
        let (pieces, waits) = match self.pace {
            Pace::Lumps => (LUMPS, LUMPS - 1),
            Pace::Steady => (STEADY_PIECES, STEADY_PIECES - 1),
            Pace::LateBody => (1, 1),
        };
        let wait_ms = self.duration_ms / waits as f64;
        let body = vec![b'x'; self.bytes];
        for (n, piece) in body.chunks(self.bytes.div_ceil(pieces)).enumerate() {
            if n > 0 || self.pace == Pace::LateBody {
                pause_unless_closed(stream, wait_ms).await?;
            }
            if self.framing == Framing::Chunked {
                stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).await?;
            }
            stream.write_all(piece).await?;
            body_begun.set(true);
            if self.framing == Framing::Chunked {
                stream.write_all(b"\r\n").await?;
            }
        }
        if self.framing == Framing::Chunked {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }
}

async fn pause(ms: Millis) {
    tokio::time::sleep(Duration::from_secs_f64(ms.max(0.0) / 1000.0)).await;
}

/// Waits, unless the remote side closes meanwhile.
async fn pause_unless_closed(stream: &mut TcpStream, ms: Millis) -> io::Result<()> {
    let mut byte = [0];
    tokio::select! {
        () = pause(ms) => Ok(()),
        _ = stream.read(&mut byte) => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

/// What is wrong with an unsound request.
const DEFECTS: [&[u8]; 3] =
    [b"zz\r\nlot\r\n0\r\n\r\n", b"3\r\nlotlot0\r\n\r\n", b"1ffffffffffffffff\r\nlot\r\n0\r\n\r\n"];

/// Plays a limiter's slow and unsound clients, one after another, until clients are done.
pub async fn run(environment: Rc<Environment>, limiter: Limiter) {
    loop {
        pause(environment.between(INTERVAL_MS.0, INTERVAL_MS.1)).await;
        while !environment.limiters[limiter].accepts_clients.get() && !environment.clients_done.get() {
            pause(20.0).await;
        }
        if environment.clients_done.get() {
            return;
        }
        let environment = environment.clone();
        let kind = environment.draw(|rng| rng.u32(0..4));
        tokio::task::spawn_local(async move {
            let _ = match kind {
                0 | 1 => ask_for_long_answer(&environment, limiter).await,
                2 => send_unsound(&environment, limiter).await,
                _ => stop_half_way(&environment, limiter).await,
            };
        });
    }
}

async fn connect(environment: &Environment, limiter: Limiter) -> io::Result<(TcpStream, u32)> {
    let entry = &environment.limiters[limiter];
    let process = entry.process_number.get();
    let stream = TcpStream::connect(entry.addr.get()).await?;
    let _ = stream.set_nodelay(true);
    Ok((stream, process))
}

/// The head of a request without a quota, with a query and framing headers.
fn head(effect: Effect, request: Request, query: &str, framing: &str) -> String {
    let (method, class, key) = match effect {
        Effect::Safe => ("GET", "look", String::new()),
        Effect::Keyed => ("POST", "book", format!("Idempotency-Key: {request:032x}\r\n")),
        Effect::Unsafe => ("POST", "pay", String::new()),
    };
    format!(
        "{method} /{class}/{:016x}?{query} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {}\r\nX-Tariff: free\r\n\
         X-Time-Left: {LONG_ANSWER_WAIT_S}\r\nX-Weight: units=1,spread=1,first=0\r\n{key}{framing}\r\n",
        request % 1000,
        Environment::correlation_id(request),
    )
}

fn draw_effect(environment: &Environment) -> Effect {
    environment.draw(|rng| *rng.choice(&[Effect::Keyed, Effect::Unsafe]).unwrap_or(&Effect::Keyed))
}

async fn ask_for_long_answer(environment: &Environment, limiter: Limiter) -> io::Result<()> {
    let (request, answer) = (environment.number(), LongAnswer::draw(environment));
    let effect = if environment.chance(0.5) { Effect::Safe } else { draw_effect(environment) };
    let framing = if effect == Effect::Safe { "" } else { "Content-Length: 0\r\n" };
    let (mut stream, process) = connect(environment, limiter).await?;
    stream.write_all(head(effect, request, &answer.query(), framing).as_bytes()).await?;
    let budget_ms = LONG_ANSWER_WAIT_S * 1000.0;
    environment.record(What::AskedForLong { request, limiter, budget_ms, process });
    let mut bytes = Vec::new();
    while let Ok(count @ 1..) = stream.read_buf(&mut bytes).await {
        if http::is_whole_answer(&bytes) || count == 0 {
            break;
        }
    }
    let status = http::status_of(&bytes).unwrap_or(0);
    let whole = http::is_whole_answer(&bytes);
    environment.record(What::LongAnswered { request, status, whole });
    Ok(())
}

async fn send_unsound(environment: &Environment, limiter: Limiter) -> io::Result<()> {
    let (request, effect) = (environment.number(), draw_effect(environment));
    let bytes = if environment.chance(0.3) { SHORT_UPLOAD_BYTES } else { LONG_UPLOAD_BYTES };
    let defect = environment.draw(|rng| DEFECTS[rng.usize(0..DEFECTS.len())]);
    let (mut stream, process) = connect(environment, limiter).await?;
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
    stream
        .write_all(head(effect, request, EARLY_ANSWER, "Transfer-Encoding: chunked\r\n").as_bytes())
        .await?;
    stream.write_all(chunk.repeat(bytes / CHUNK_BYTES).as_bytes()).await?;
    pause(environment.between(50.0, 200.0)).await;
    stream.write_all(defect).await?;
    let mut buffer = Buffer::default();
    let answer = tokio::time::timeout(END_TIMEOUT, http::read_message(&mut stream, &mut buffer));
    let status = answer.await.ok().and_then(Result::ok).flatten().and_then(|answer| answer.status());
    environment.record(What::UnsoundEnded { request, limiter, process, status });
    Ok(())
}

async fn stop_half_way(environment: &Environment, limiter: Limiter) -> io::Result<()> {
    let (request, effect) = (environment.number(), draw_effect(environment));
    let sent = environment.draw(|rng| rng.usize(1_000..ANNOUNCED_BYTES));
    let (mut stream, _) = connect(environment, limiter).await?;
    let framing = format!("Content-Length: {ANNOUNCED_BYTES}\r\n");
    stream.write_all(head(effect, request, "", &framing).as_bytes()).await?;
    stream.write_all(&vec![b'x'; sent]).await?;
    let last_byte = environment.now();
    let mut buffer = Buffer::default();
    let ended = tokio::time::timeout(END_TIMEOUT, http::read_message(&mut stream, &mut buffer)).await;
    let after_ms = ended.is_ok().then(|| environment.now() - last_byte);
    environment.record(What::HalfEnded { limiter, after_ms });
    Ok(())
}

/// Lets a crowd of clients press on a limiter: a third stops half way, a third writes and a third reads slowly.
pub async fn press(environment: Rc<Environment>, limiter: Limiter, count: u32) {
    environment.record(What::CrowdPresses { limiter, over: false });
    for n in 0..count {
        let environment = environment.clone();
        tokio::task::spawn_local(async move {
            let play = async {
                match n % 3 {
                    0 => write_slowly(&environment, limiter, ANNOUNCED_BYTES / 2, f64::INFINITY).await,
                    1 => write_slowly(&environment, limiter, 0, CROWD_WRITE_INTERVAL_MS).await,
                    _ => read_slowly(&environment, limiter).await,
                }
            };
            let _ = tokio::time::timeout(Duration::from_secs_f64(CROWD_MS / 1000.0), play).await;
        });
    }
    pause(CROWD_MS).await;
    environment.record(What::CrowdPresses { limiter, over: true });
}

async fn write_slowly(
    environment: &Environment,
    limiter: Limiter,
    at_once: usize,
    interval_ms: Millis,
) -> io::Result<()> {
    let (request, effect) = (environment.number(), draw_effect(environment));
    let (mut stream, _) = connect(environment, limiter).await?;
    let framing = format!("Content-Length: {ANNOUNCED_BYTES}\r\n");
    stream.write_all(head(effect, request, "", &framing).as_bytes()).await?;
    stream.write_all(&vec![b'x'; at_once]).await?;
    while interval_ms.is_finite() {
        pause(interval_ms).await;
        stream.write_all(&[b'x'; CROWD_PIECE_BYTES]).await?;
    }
    std::future::pending().await
}

async fn read_slowly(environment: &Environment, limiter: Limiter) -> io::Result<()> {
    let answer = LongAnswer {
        framing: Framing::Declared,
        pace: Pace::Lumps,
        bytes: 8 << 20,
        duration_ms: LONG_ANSWER_MS.0,
    };
    let (mut stream, _) = connect(environment, limiter).await?;
    // These readers crawl, so that their answers may be cut: their requests are not recorded.
    stream.write_all(head(Effect::Safe, environment.number(), &answer.query(), "").as_bytes()).await?;
    let mut piece = vec![0; CROWD_PIECE_BYTES];
    loop {
        stream.read_exact(&mut piece).await?;
        pause(CROWD_READ_INTERVAL_MS).await;
    }
}
