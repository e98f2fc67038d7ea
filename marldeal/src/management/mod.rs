//! The operators' listener. It reads the figures and speaks to the lifecycle; it decides nothing.

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
use line::{Call, Read, MOST_LINE};
use tracing::info;

pub mod line;

/// Callers held at once: of more, the one that has said nothing for longest goes. With what is kept for them
/// ([`crate::settings::config`]), clients cannot take their descriptors.
pub const MOST_CALLERS: usize = 16;
/// A caller has so long for its line, and so long to take the answer in.
const CALL_TIME: Duration = Duration::from_secs(5);

/// Answers operators for ever.
pub async fn serve(driver: Rc<Driver>, listener: TcpListener) {
    // By arrival: dropping the sender ends the caller.
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
        if callers.borrow().len() >= MOST_CALLERS {
            callers.borrow_mut().pop_first();
        }
        number += 1;
        let (hold, gone) = oneshot::channel();
        callers.borrow_mut().insert(number, hold);
        let (driver, callers) = (driver.clone(), callers.clone());
        tokio::task::spawn_local(async move {
            tokio::select! {
                _ = timeout(CALL_TIME, call(&driver, stream)) => {}
                _ = gone => {}
            }
            callers.borrow_mut().remove(&number);
        });
    }
}

/// One call. An error is the caller's: it left.
async fn call(driver: &Driver, mut stream: TcpStream) -> std::io::Result<()> {
    let mut bytes = Vec::with_capacity(MOST_LINE);
    let answer = loop {
        let mut piece = [0; MOST_LINE];
        let room = (MOST_LINE - bytes.len()).max(1);
        let count = stream.read(&mut piece[..room]).await?;
        bytes.extend_from_slice(&piece[..count]);
        match line::read(&bytes, count == 0) {
            Read::More => {}
            Read::Call(call) => break perform(driver, call),
            Read::Bad(why) => break line::no_call(why),
        }
    };
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await?;
    // What follows the line is read off, so that closing does not reset the answer away.
    let mut rest = [0; 256];
    for _ in 0..MOST_LINE {
        if stream.read(&mut rest).await? == 0 {
            break;
        }
    }
    Ok(())
}

fn perform(driver: &Driver, call: Call) -> String {
    let told = |said: Result<_, marldeal_lifecycle::AlreadyEnding>| match said {
        Ok(phase) => line::success(&format!("{phase}"), None),
        Err(ending) => line::failure(&ending.to_string()),
    };
    match call {
        Call::Status if driver.can_serve() => line::success(&driver.phase().to_string(), None),
        Call::Status => line::failure("no server takes work yet, or the ceilings are still filling"),
        Call::Stats => {
            line::success("figures", Some(&line::figures(&driver.config.classes, &driver.stats())))
        }
        Call::Standby => told(driver.handle_command(Command::Standby)),
        Call::Active => told(driver.handle_command(Command::Active)),
    }
}
