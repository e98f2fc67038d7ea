//! The part of HTTP/1.1 that clients, servers and agents of the test environment need: heads, and bodies with a
//! content length.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// Longest message that is accepted.
const MAX_MESSAGE_BYTES: usize = 1 << 16;

/// Length of the end of a body in chunks, with the line end before it.
const LAST_CHUNK_BYTES: usize = 7;

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

/// Returns the first line and the headers of a head.
fn parse_head(head: &str) -> Option<(String, Vec<(String, String)>)> {
    let mut lines = head.lines();
    let first_line = lines.next()?.to_string();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    Some((first_line, headers))
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

    /// Takes the head of the next message if its request line contains `mark`, with all bytes that follow it.
    pub fn take_marked_head(&mut self, mark: &str) -> Option<(Message, Vec<u8>)> {
        let end = self.0.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let line = self.0.split(|b| *b == b'\r').next()?;
        if !String::from_utf8_lossy(line).contains(mark) {
            return None;
        }
        let following = self.0.split_off(end);
        let head = String::from_utf8_lossy(&std::mem::take(&mut self.0)).into_owned();
        let (first_line, headers) = parse_head(&head)?;
        Some((Message { first_line, headers, body: String::new() }, following))
    }

    /// Takes the next whole message.
    pub fn take(&mut self) -> Option<Message> {
        let end = self.0.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.0[..end]).into_owned();
        let (first_line, headers) = parse_head(&head)?;
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

/// Returns the status of an answer whose head has arrived.
pub fn status_of(bytes: &[u8]) -> Option<u16> {
    let line = bytes.split(|b| *b == b'\r').next()?;
    String::from_utf8_lossy(line).split_whitespace().nth(1)?.parse().ok()
}

/// Whether an answer, delimited by its length or by chunks, has arrived whole. Its body holds no CRLF of its own.
pub fn is_whole_answer(bytes: &[u8]) -> bool {
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4) else { return false };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return bytes[end - 2..].ends_with(b"\r\n0\r\n\r\n");
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    bytes.len() >= end + length.unwrap_or(0)
}

/// Reads the rest of a request's body, whose head has been read with the first bytes that followed it, and drops it. Returns
/// whether the body came whole: of its declared length, or up to its last chunk.
///
/// # Errors
/// The connection broke.
pub async fn discard_body(
    from: &mut (impl AsyncRead + Unpin),
    head: &Message,
    first_bytes: Vec<u8>,
) -> io::Result<bool> {
    let declared: Option<usize> = head.header("content-length").and_then(|length| length.parse().ok());
    let (mut received, mut tail) = (first_bytes.len(), first_bytes);
    loop {
        let is_whole = match declared {
            Some(length) => received >= length,
            None => tail.ends_with(b"\r\n0\r\n\r\n"),
        };
        if is_whole {
            return Ok(true);
        }
        let keep_from = tail.len().saturating_sub(LAST_CHUNK_BYTES);
        tail.drain(..keep_from);
        let count = from.read_buf(&mut tail).await?;
        if count == 0 {
            return Ok(false);
        }
        received += count;
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
