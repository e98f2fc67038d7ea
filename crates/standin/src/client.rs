//! An HTTP/1.1 client that reuses connections and reports whether a request without an answer may have run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Why a request has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection was established: the request was not sent.
    NotConnected,
    /// The connection ended before the answer was complete: the request may have run.
    ConnectionLost,
}

/// A client that keeps idle connections for reuse.
#[derive(Default)]
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
}

impl Client {
    /// Sends a request and reads the complete answer. Dropping the future closes the connection.
    ///
    /// # Errors
    /// [`ExchangeError`] says whether the request may have run.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let request = request.map(Full::new);
        let mut sender = match self.take_idle(addr) {
            Some(sender) => sender,
            None => connect(addr).await?,
        };
        let answer = sender.try_send_request(request).await;
        let answer = match answer {
            Ok(answer) => answer,
            // On a reused connection that the server has closed, the request comes back unsent.
            Err(mut e) => match e.take_message() {
                Some(request) => {
                    sender = connect(addr).await?;
                    sender.send_request(request).await.map_err(|_| ExchangeError::ConnectionLost)?
                }
                None => return Err(ExchangeError::ConnectionLost),
            },
        };
        let (head, body) = answer.into_parts();
        let body = body.collect().await.map_err(|_| ExchangeError::ConnectionLost)?.to_bytes();
        if !sender.is_closed() {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.entry(addr).or_default().push(sender);
        }
        Ok(Response::from_parts(head, body))
    }

    /// Takes an idle connection that is still usable.
    fn take_idle(&self, addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&addr)?;
        while let Some(sender) = connections.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<Full<Bytes>>, ExchangeError> {
    let stream = TcpStream::connect(addr).await.map_err(|_| ExchangeError::NotConnected)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(|_| ExchangeError::NotConnected)?;
    tokio::spawn(async move { drop(connection.await) });
    Ok(sender)
}
