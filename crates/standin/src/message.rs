//! HTTP/1.1 messages on blocking sockets, read and written without a library, so that tests can also send malformed
//! ones.

use std::io::{Read, Write};
use std::net::TcpStream;

use crate::TIMEOUT;

/// Maximum size of a body that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A received message: head and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Status code of an answer; 0 for a request.
    pub status: u16,
    /// First line and headers.
    pub head: String,
    /// The body, of the length that `Content-Length` gives, or joined from its chunks.
    pub body: String,
}

impl Message {
    /// The value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<String> {
        let mut lines = self.head.lines().skip(1).filter_map(|l| l.split_once(':'));
        lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_string())
    }
}

/// Reads one message. Returns `None` if the connection ends first or the body is too long.
pub fn read(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        // Retries interrupted calls, which do not end the connection.
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let mut message = Message { head: String::from_utf8_lossy(&head).into_owned(), ..Message::default() };
    message.status = message.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    if message.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        message.body = String::from_utf8_lossy(&read_chunks(stream)?).into_owned();
        return Some(message);
    }
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    if length > MAX_BODY_BYTES {
        return None;
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Some(message)
}

/// Reads a chunked body up to the last chunk, passing over chunk extensions and trailers (RFC 9112, section 7.1).
fn read_chunks(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let read_line = |stream: &mut TcpStream| {
        let (mut line, mut byte) = (Vec::new(), [0]);
        while !line.ends_with(b"\r\n") {
            stream.read_exact(&mut byte).ok()?;
            line.push(byte[0]);
        }
        String::from_utf8(line).ok()
    };
    let mut body = Vec::new();
    loop {
        let text = read_line(stream)?;
        let size = usize::from_str_radix(text.trim().split(';').next()?.trim(), 16).ok()?;
        if size == 0 {
            while read_line(stream)? != "\r\n" {}
            return Some(body);
        }
        if body.len() + size > MAX_BODY_BYTES {
            return None;
        }
        let start = body.len();
        body.resize(start + size, 0);
        stream.read_exact(&mut body[start..]).ok()?;
        read_line(stream)?;
    }
}

/// Reads an answer.
///
/// # Panics
/// If the answer is not complete within [`TIMEOUT`].
pub fn read_answer(stream: &mut TcpStream) -> Message {
    stream.set_read_timeout(Some(TIMEOUT)).expect("time-out");
    read(stream).expect("a complete answer")
}

/// Writes a request and reads its answer.
///
/// # Panics
/// As [`read_answer`], and if the request cannot be written.
pub fn exchange(stream: &mut TcpStream, request: &str) -> Message {
    stream.write_all(request.as_bytes()).expect("write");
    read_answer(stream)
}

/// Writes a 200 answer. Returns false if the connection is closed.
pub fn write_ok(stream: &mut TcpStream, body: &str) -> bool {
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).is_ok()
}
