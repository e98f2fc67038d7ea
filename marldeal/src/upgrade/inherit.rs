//! The clients' listening socket that the platform holds and every process inherits.

use std::net::TcpListener;

use listenfd::ListenFd;

/// The variable that names the descriptor.
pub const VARIABLE: &str = "ROUTER_ACCEPT_FD";

/// The inherited listener, if the environment names one. It is never bound or shut down here.
///
/// To be called before any thread is started: it sets the variables by which the adopting crate finds the descriptor
/// (systemd's socket activation, with the first descriptor told).
///
/// # Errors
/// One plain line: the value is no descriptor, or the descriptor no listening TCP socket.
pub fn listener() -> Result<Option<TcpListener>, String> {
    let Some(text) = std::env::var(VARIABLE).ok().filter(|v| !v.is_empty()) else { return Ok(None) };
    let number = text.parse::<u16>().map_err(|_| format!("{VARIABLE}: '{text}' is not a descriptor"))?;
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    let taken = ListenFd::from_env().take_tcp_listener(0);
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let wrong = |e: &dyn std::fmt::Display| {
        format!("{VARIABLE}: descriptor {number} is no listening TCP socket: {e}")
    };
    let listener = taken.map_err(|e| wrong(&e))?.ok_or_else(|| wrong(&"nothing there"))?;
    listener.local_addr().map_err(|e| wrong(&e))?;
    Ok(Some(listener))
}
