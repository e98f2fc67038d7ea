//! The clients' listening socket, which the platform holds open and every process of the limiter inherits.

use std::net::TcpListener;

use listenfd::ListenFd;

/// The environment variable that names the descriptor.
pub const VARIABLE: &str = "ROUTER_ACCEPT_FD";

/// Returns the inherited listener, if the environment names one. It is never bound or shut down here.
///
/// Must be called before any thread is started: it sets the environment variables by which the `listenfd` crate
/// finds the descriptor (systemd's socket activation, with an explicit first descriptor).
///
/// # Errors
/// A one-line message: the value is not a descriptor, or the descriptor is not a listening TCP socket.
pub fn listener() -> Result<Option<TcpListener>, String> {
    let Some(text) = std::env::var(VARIABLE).ok().filter(|v| !v.is_empty()) else { return Ok(None) };
    let number = text.parse::<u16>().map_err(|_| format!("{VARIABLE}: '{text}' is not a descriptor"))?;
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    let taken = ListenFd::from_env().take_tcp_listener(0);
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let error = |e: &dyn std::fmt::Display| {
        format!("{VARIABLE}: descriptor {number} is no listening TCP socket: {e}")
    };
    let listener = taken.map_err(|e| error(&e))?.ok_or_else(|| error(&"nothing there"))?;
    listener.local_addr().map_err(|e| error(&e))?;
    Ok(Some(listener))
}
