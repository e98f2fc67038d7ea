//! As much of HTTP/1.1 as clients, servers and agents of the harness need: heads, and bodies of a content_length length.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// Longest message taken in.
const MAX_MESSAGE_BYTES: usize = 1 << 16;

/// A message that has come whole.
#[derive(Debug, Clone)]
pub struct Message {
    /// Its first line.
    pub first_line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: String,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> Option<u16> {
        self.first_line.split_whitespace().nth(1)?.parse().ok()
    }
}

/// Bytes of a connection that make no whole message yet.
#[derive(Debug, Default)]
pub struct Buffer(Vec<u8>);

impl Buffer {
    /// Nothing has come.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes in what comes next, as much as one read brings; false at the end of the stream.
    pub async fn fill(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<bool> {
        if self.0.len() > MAX_MESSAGE_BYTES {
            return Err(io::Error::other("a message is too long"));
        }
        Ok(from.read_buf(&mut self.0).await? > 0)
    }

    /// The next whole message.
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

/// The next whole message; nothing at the end of the stream.
///
/// # Errors
/// The connection broke.
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

/// An answer with a body.
pub fn format_answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}
