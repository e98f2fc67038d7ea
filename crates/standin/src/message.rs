//! An HTTP/1.1 message on a blocking socket, read and written by hand, so that tests can also write what no library
//! would.

use std::io::{Read, Write};
use std::net::TcpStream;

use crate::TIMEOUT;

/// Longest body that is read.
const MOST_BODY: usize = 64 << 20;

/// A message as it came: head and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Status of an answer; 0 for a request.
    pub status: u16,
    /// First line and headers.
    pub head: String,
    /// The body that `Content-Length` tells, or the chunks of it.
    pub body: String,
}

impl Message {
    /// The first header of that name, in any case.
    pub fn header(&self, name: &str) -> Option<String> {
        let mut lines = self.head.lines().skip(1).filter_map(|l| l.split_once(':'));
        lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_string())
    }
}

/// Reads one message; nothing if the connection ends first or the length makes no sense.
pub fn read(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let mut message = Message { head: String::from_utf8_lossy(&head).into_owned(), ..Message::default() };
    message.status = message.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    if message.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        message.body = String::from_utf8_lossy(&chunks(stream)?).into_owned();
        return Some(message);
    }
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    if length > MOST_BODY {
        return None;
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Some(message)
}

/// Reads chunks to the last one, with what may stand behind their sizes, and trailers (RFC 9112, 7.1).
fn chunks(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let line = |stream: &mut TcpStream| {
        let (mut line, mut byte) = (Vec::new(), [0]);
        while !line.ends_with(b"\r\n") {
            stream.read_exact(&mut byte).ok()?;
            line.push(byte[0]);
        }
        String::from_utf8(line).ok()
    };
    let mut body = Vec::new();
    loop {
        let text = line(stream)?;
        let size = usize::from_str_radix(text.trim().split(';').next()?.trim(), 16).ok()?;
        if size == 0 {
            while line(stream)? != "\r\n" {}
            return Some(body);
        }
        if body.len() + size > MOST_BODY {
            return None;
        }
        let from = body.len();
        body.resize(from + size, 0);
        stream.read_exact(&mut body[from..]).ok()?;
        line(stream)?;
    }
}

/// Reads an answer that has to come.
///
/// # Panics
/// When it does not come whole within [`TIMEOUT`].
pub fn read_answer(stream: &mut TcpStream) -> Message {
    stream.set_read_timeout(Some(TIMEOUT)).expect("time-out");
    read(stream).expect("a whole answer")
}

/// Writes a request and reads its answer.
///
/// # Panics
/// As [`read_answer`], and when the request cannot be written.
pub fn exchange(stream: &mut TcpStream, request: &str) -> Message {
    stream.write_all(request.as_bytes()).expect("write");
    read_answer(stream)
}

/// Writes a 200 answer; false if the connection is gone.
pub fn write_ok(stream: &mut TcpStream, body: &str) -> bool {
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).is_ok()
}
