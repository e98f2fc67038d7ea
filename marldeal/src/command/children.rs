//! Limiters as processes of their own on loopback, for the demonstration and for rehearsals on sockets.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use marldeal_standin::client::Client;
use tokio::time::Instant;

/// Longest that a limiter may take to listen and to be ready.
const START: Duration = Duration::from_secs(15);
/// Tells the configuration files of one process apart.
static FILES: AtomicU64 = AtomicU64::new(0);

/// A limiter that is killed when it is dropped.
pub struct Limiter {
    child: Child,
    config: PathBuf,
    /// Where it serves.
    pub addr: SocketAddr,
}

impl Drop for Limiter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

impl Limiter {
    /// Starts this very program as a limiter with that configuration, and waits until it listens.
    ///
    /// # Errors
    /// One plain line: what could not be started.
    pub fn start(config: &serde_json::Value) -> Result<Limiter, String> {
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("marldeal-{}-{number}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
        let program = std::env::current_exe().map_err(|e| format!("own program: {e}"))?;
        let mut command = Command::new(program);
        for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
            command.env_remove(name);
        }
        let child = command.env("ROUTER_CONFIG", &path).stderr(Stdio::piped()).spawn();
        let child = child.map_err(|e| format!("a limiter does not start: {e}"))?;
        // From here on, dropping it ends the process and removes the file.
        let mut limiter = Limiter { child, config: path, addr: SocketAddr::from(([127, 0, 0, 1], 0)) };
        let log = limiter.child.stderr.take().ok_or("a limiter has no log")?;
        let (told, heard) = mpsc::channel();
        std::thread::spawn(move || {
            for text in BufReader::new(log).lines().map_while(Result::ok) {
                // Read to the end, so that the limiter never waits for its log.
                let _ = told.send(text);
            }
        });
        loop {
            let text = heard.recv_timeout(START).map_err(|_| "a limiter does not listen".to_string())?;
            if let Some((_, at)) = text.split_once("serves on ") {
                limiter.addr = at.trim().parse().map_err(|_| format!("no address: {text}"))?;
                return Ok(limiter);
            }
        }
    }

    /// The number of its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// It has ended by itself.
    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

/// Addresses for datagrams between so many limiters: each has to be told where the others' arrive before any of them
/// listens there.
///
/// # Errors
/// One plain line.
pub fn mail(limiters: usize) -> Result<Vec<SocketAddr>, String> {
    let bound: Result<Vec<_>, _> = (0..limiters).map(|_| UdpSocket::bind("127.0.0.1:0")).collect();
    let all = bound.and_then(|all| all.iter().map(UdpSocket::local_addr).collect::<Result<Vec<_>, _>>());
    all.map_err(|e| format!("no address for datagrams: {e}"))
}

/// Waits until a limiter is ready.
///
/// # Errors
/// When it does not get ready in time.
pub async fn ready(client: &Client, addr: SocketAddr) -> Result<(), String> {
    let began = Instant::now();
    loop {
        let request = hyper::Request::get("/-/ready").header("host", "demo").body(bytes::Bytes::new());
        let request = request.map_err(|e| e.to_string())?;
        if client.exchange(addr, request).await.is_ok_and(|a| a.status() == 200) {
            return Ok(());
        }
        if began.elapsed() > START {
            return Err(format!("the limiter at {addr} does not get ready"));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
