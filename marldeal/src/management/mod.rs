//! The operators' listener. It reads the statistics and passes commands to the lifecycle.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use marldeal_lifecycle::Command;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::driver::Driver;
use crate::socket::DrainingStream;
use line::{Call, Parsed, MAX_LINE_BYTES};
use tracing::info;

pub mod line;

/// Most connections open at once. One more closes the oldest. Descriptors are reserved for them (see
/// [`crate::settings::config`]), so clients cannot use them up.
pub const MAX_CALLERS: usize = 16;
/// How long a caller may take to send its line and to read the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers operators' calls. Never returns.
pub async fn serve(driver: Rc<Driver>, listener: TcpListener) {
    // Callers by order of arrival. Dropping a sender ends that caller's connection.
    let callers: Rc<RefCell<BTreeMap<u64, oneshot::Sender<()>>>> = Rc::default();
    let mut number = 0;
    let mut failing = false;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                if !std::mem::replace(&mut failing, true) {
                    info!("management: accept: {e}");
                }
                callers.borrow_mut().pop_first();
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        failing = false;
        if callers.borrow().len() >= MAX_CALLERS {
            callers.borrow_mut().pop_first();
        }
        number += 1;
        let (cancel, cancelled) = oneshot::channel();
        callers.borrow_mut().insert(number, cancel);
        let (driver, callers) = (driver.clone(), callers.clone());
        tokio::task::spawn_local(async move {
            tokio::select! {
                _ = timeout(CALL_TIMEOUT, handle_connection(&driver, stream)) => {}
                _ = cancelled => {}
            }
            callers.borrow_mut().remove(&number);
        });
    }
}

/// Handles one call. Errors are ignored by the caller of this function: they mean that the operator has
/// disconnected.
async fn handle_connection(driver: &Rc<Driver>, stream: TcpStream) -> std::io::Result<()> {
    let mut stream = DrainingStream::new(stream);
    let mut bytes = Vec::with_capacity(MAX_LINE_BYTES);
    let answer = loop {
        let mut chunk = [0; MAX_LINE_BYTES];
        let free = (MAX_LINE_BYTES - bytes.len()).max(1);
        let count = stream.read(&mut chunk[..free]).await?;
        bytes.extend_from_slice(&chunk[..count]);
        match line::parse(&bytes, count == 0) {
            Parsed::Incomplete => {}
            Parsed::Call(call) => break perform(driver, call),
            Parsed::Invalid(reason) => break line::invalid_call(reason),
        }
    };
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await?;
    // Bytes behind the line are read, since closing a socket with unread bytes would reset the connection and
    // lose the answer.
    let mut rest = [0; 256];
    for _ in 0..MAX_LINE_BYTES {
        if stream.read(&mut rest).await? == 0 {
            break;
        }
    }
    Ok(())
}

fn perform(driver: &Rc<Driver>, call: Call) -> String {
    let phase_answer = |result: Result<_, marldeal_lifecycle::AlreadyEnding>| match result {
        Ok(phase) => line::success(&format!("{phase}"), None),
        Err(ending) => line::failure(&ending.to_string()),
    };
    match call {
        Call::Status if driver.can_serve() => line::success(&driver.phase().to_string(), None),
        Call::Status => line::failure("no server takes work yet, or the ceilings are still filling"),
        Call::Stats => {
            line::success("figures", Some(&line::stats_lines(&driver.config.classes, &driver.stats())))
        }
        Call::Standby => phase_answer(driver.handle_command(Command::Standby)),
        Call::Active => phase_answer(driver.handle_command(Command::Active)),
    }
}
