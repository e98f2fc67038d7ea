//! Splits the byte stream of a watch into messages: heartbeats, and lists of servers, which may span several
//! lines and be split at any byte.

use bytes::{Buf, BytesMut};

/// Longest list that is accepted.
const MAX_LIST_BYTES: usize = 4 << 20;

/// A complete message of a watch.
#[derive(Debug, PartialEq, Eq)]
pub enum WatchMessage {
    /// An empty line between lists.
    Heartbeat,
    /// The bytes of one list.
    List(BytesMut),
}

/// Bytes of an incomplete message, and the state of the scan over them.
#[derive(Debug, Default)]
pub struct WatchDecoder {
    buffer: BytesMut,
    scanned: usize,
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl WatchDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete message, or nothing until there is one. Each byte is scanned once (RFC 8259,
    /// sections 2 and 7: braces count only outside of strings).
    ///
    /// # Errors
    /// The input is not a list, or a list is too long.
    pub fn next_message(&mut self) -> Result<Option<WatchMessage>, String> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' if self.depth > 0 => self.in_string = !self.in_string,
                0..=31 if self.in_string => return Err("bad line: control character in a string".to_string()),
                _ if self.in_string => {}
                b'{' | b'[' if self.depth > 0 || byte == b'{' => self.depth += 1,
                b'}' | b']' if self.depth > 1 => self.depth -= 1,
                b'}' if self.depth == 1 => {
                    self.depth = 0;
                    return Ok(Some(WatchMessage::List(
                        self.buffer.split_to(std::mem::take(&mut self.scanned)),
                    )));
                }
                b'\n' if self.depth == 0 => {
                    self.buffer.advance(std::mem::take(&mut self.scanned));
                    return Ok(Some(WatchMessage::Heartbeat));
                }
                byte if self.depth > 0 || byte.is_ascii_whitespace() => {}
                _ => return Err("bad line: not a list of servers".to_string()),
            }
        }
        match self.buffer.len() > MAX_LIST_BYTES {
            true => Err("list too long".to_string()),
            false => Ok(None),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LISTS: [&str; 3] = [
        "{\"version\":1,\"servers\":[{\"id\":\"a}\\\"{\"}]}",
        "{\n  \"version\": 2,\n  \"servers\": [\n    {\n      \"id\": \"b\\\\\"\n    }\n  ]\n}",
        "{\"version\":3,\r\n\"servers\":[]\r\n}",
    ];

    fn decode_lists(chunks: &[&[u8]]) -> Vec<String> {
        let (mut decoder, mut found) = (WatchDecoder::default(), Vec::new());
        for chunk in chunks {
            decoder.push(chunk);
            while let Some(message) = decoder.next_message().expect("valid messages") {
                if let WatchMessage::List(list) = message {
                    found.push(String::from_utf8(list.to_vec()).expect("UTF-8").trim_start().to_string());
                }
            }
        }
        found
    }

    /// A list that spanned several lines used to be rejected at its first line, again and again.
    #[test]
    fn lists_are_decoded_on_one_or_many_lines_wherever_they_are_split() {
        let all = LISTS.join("\n\n\r\n") + "\n";
        assert_eq!(decode_lists(&[all.as_bytes()]), LISTS);
        for at in 1..all.len() {
            let (a, b) = all.as_bytes().split_at(at);
            assert_eq!(decode_lists(&[a, b]), LISTS, "split at {at}");
        }
        let single: Vec<&[u8]> = all.as_bytes().chunks(1).collect();
        assert_eq!(decode_lists(&single), LISTS);
    }

    #[test]
    fn input_that_is_not_a_list_is_rejected() {
        for bad in ["nonsense", "]", "{\"a\": \"b\nc\"}", "\"a\"", "[1]"] {
            let mut decoder = WatchDecoder::default();
            decoder.push(bad.as_bytes());
            assert!(decoder.next_message().is_err(), "{bad}");
        }
        let mut decoder = WatchDecoder::default();
        decoder.push(&vec![b' '; MAX_LIST_BYTES + 1]);
        assert!(decoder.next_message().is_err());
    }
}
