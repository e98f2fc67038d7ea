//! The part of HTTP/1.1 that clients, servers and agents of the test environment need: heads, and bodies with a
//! content length.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// Longest message that is accepted.
const MAX_MESSAGE_BYTES: usize = 1 << 16;

/// A whole message.
#[derive(Debug, Clone)]
pub struct Message {
    /// The request line or status line.
    pub first_line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> Option<u16> {
        self.first_line.split_whitespace().nth(1)?.parse().ok()
    }
}

/// Bytes of a connection that form no whole message yet.
#[derive(Debug, Default)]
pub struct Buffer(Vec<u8>);

impl Buffer {
    /// Whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Reads once from the stream; false at its end.
    pub async fn fill(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<bool> {
        if self.0.len() > MAX_MESSAGE_BYTES {
            return Err(io::Error::other("a message is too long"));
        }
        Ok(from.read_buf(&mut self.0).await? > 0)
    }

    /// Takes the next whole message.
    pub fn take(&mut self) -> Option<Message> {
        let end = self.0.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.0[..end]).into_owned();
        let mut lines = head.lines();
        let first_line = lines.next()?.to_string();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let content_length = headers.iter().find(|(name, _)| name == "content-length");
        let length: usize = content_length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
        if self.0.len() < end + length {
            return None;
        }
        let body = String::from_utf8_lossy(&self.0[end..end + length]).into_owned();
        self.0.drain(..end + length);
        Some(Message { first_line, headers, body })
    }
}

/// Reads the next whole message; `None` at the end of the stream.
///
/// # Errors
/// The connection broke, or a message is too long.
pub async fn read_message(
    from: &mut (impl AsyncRead + Unpin),
    buffer: &mut Buffer,
) -> io::Result<Option<Message>> {
    loop {
        if let Some(message) = buffer.take() {
            return Ok(Some(message));
        }
        if !buffer.fill(from).await? {
            return Ok(None);
        }
    }
}

/// Returns an answer with a body.
pub fn format_answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}
