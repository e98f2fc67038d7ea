//! A bounded queue of log lines.
//!
//! A limiter runs on one thread, which a reader of the log that stands still, or a full disk, must not hold up. Lines wait
//! in a queue while a thread of their own writes them. Lines that find the queue full, or that cannot be written, are
//! dropped and counted.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TryRecvError, TrySendError};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Lines that wait to be written; about a megabyte.
const MAX_QUEUED_LINES: usize = 4096;
/// How often a flush tries again to enter a full queue.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(5);

enum Entry {
    Line(Box<[u8]>),
    /// Answered once all earlier lines have been written.
    Flush(SyncSender<()>),
}

/// The queue's end for those who log. Each call of `write` takes one line, and never blocks or fails.
#[derive(Debug, Clone)]
pub struct LineQueue {
    entries: SyncSender<Entry>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts a thread that writes the lines to `output`. `report` is called on that thread with the number of lines
    /// that were dropped, once lines can be written again and none waits.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(output: impl Write + Send + 'static, report: fn(u64)) -> io::Result<LineQueue> {
        let (sender, entries) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = LineWriter { entries, output, dropped: dropped.clone(), reported: 0, report };
        std::thread::Builder::new().name("log".to_string()).spawn(move || writer.run())?;
        Ok(LineQueue { entries: sender, dropped })
    }

    /// Number of lines that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all lines logged so far have been written, for at most this long.
    pub fn wait_until_written(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let (done, flushed) = sync_channel(1);
        let mut entry = Entry::Flush(done);
        loop {
            match self.entries.try_send(entry) {
                Ok(()) => break,
                Err(TrySendError::Full(back)) if Instant::now() < deadline => entry = back,
                Err(_) => return,
            }
            std::thread::sleep(FLUSH_RETRY_INTERVAL);
        }
        let _ = flushed.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.entries.try_send(Entry::Line(line.into())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The queue's other end.
struct LineWriter<W> {
    entries: Receiver<Entry>,
    output: W,
    dropped: Arc<AtomicU64>,
    /// Dropped lines that were reported.
    reported: u64,
    report: fn(u64),
}

impl<W: Write> LineWriter<W> {
    fn run(mut self) {
        let mut writable = true;
        loop {
            let entry = match self.entries.try_recv() {
                Err(TryRecvError::Empty) => {
                    if writable {
                        self.report_dropped();
                    }
                    self.entries.recv().ok()
                }
                entry => entry.ok(),
            };
            match entry {
                Some(Entry::Line(line)) => writable = self.write_line(&line),
                Some(Entry::Flush(done)) => drop(done.try_send(())),
                None => return,
            }
        }
    }

    /// Returns whether the line was written.
    fn write_line(&mut self, line: &[u8]) -> bool {
        let written = self.output.write_all(line).is_ok();
        if !written {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        written
    }

    fn report_dropped(&mut self) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > self.reported {
            (self.report)(dropped - self.reported);
            self.reported = dropped;
        }
    }
}
