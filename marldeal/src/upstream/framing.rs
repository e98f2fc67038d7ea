//! What a watch says, cut into whole words: beats, and lists that may stand on one line or on many, split at any byte.

use bytes::{Buf, BytesMut};

/// Longest list taken in.
const MOST_LIST: usize = 4 << 20;

/// A whole word of a watch.
#[derive(Debug, PartialEq, Eq)]
pub enum Word {
    /// An empty line between lists.
    Beat,
    /// The bytes of one list.
    List(BytesMut),
}

/// Bytes that make no whole word yet, and how far they have been looked at.
#[derive(Debug, Default)]
pub struct Words {
    held: BytesMut,
    seen: usize,
    depth: u32,
    text: bool,
    escaped: bool,
}

impl Words {
    /// Takes more bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole word; nothing as long as there is none. Each byte is looked at once (RFC 8259, 2 and 7: braces count
    /// outside of strings only).
    ///
    /// # Errors
    /// What comes is no list, or longer than any.
    pub fn take(&mut self) -> Result<Option<Word>, String> {
        while let Some(&byte) = self.held.get(self.seen) {
            self.seen += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.text => self.escaped = true,
                b'"' if self.depth > 0 => self.text = !self.text,
                0..=31 if self.text => return Err("bad line: a list ends within a word".to_string()),
                _ if self.text => {}
                b'{' | b'[' if self.depth > 0 || byte == b'{' => self.depth += 1,
                b'}' | b']' if self.depth > 1 => self.depth -= 1,
                b'}' if self.depth == 1 => {
                    self.depth = 0;
                    return Ok(Some(Word::List(self.held.split_to(std::mem::take(&mut self.seen)))));
                }
                b'\n' if self.depth == 0 => {
                    self.held.advance(std::mem::take(&mut self.seen));
                    return Ok(Some(Word::Beat));
                }
                byte if self.depth > 0 || byte.is_ascii_whitespace() => {}
                _ => return Err("bad line: what comes is no list".to_string()),
            }
        }
        match self.held.len() > MOST_LIST {
            true => Err("line too long".to_string()),
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

    fn lists(pieces: &[&[u8]]) -> Vec<String> {
        let (mut words, mut found) = (Words::default(), Vec::new());
        for piece in pieces {
            words.push(piece);
            while let Some(word) = words.take().expect("all good") {
                if let Word::List(list) = word {
                    found.push(String::from_utf8(list.to_vec()).expect("text").trim_start().to_string());
                }
            }
        }
        found
    }

    /// Guards against a list over many lines, which was given up at its first line, again and again.
    #[test]
    fn lists_on_one_line_or_many_are_whole_wherever_they_are_split() {
        let all = LISTS.join("\n\n\r\n") + "\n";
        assert_eq!(lists(&[all.as_bytes()]), LISTS);
        for at in 1..all.len() {
            let (a, b) = all.as_bytes().split_at(at);
            assert_eq!(lists(&[a, b]), LISTS, "split at {at}");
        }
        let single: Vec<&[u8]> = all.as_bytes().chunks(1).collect();
        assert_eq!(lists(&single), LISTS);
    }

    #[test]
    fn what_is_no_list_is_told_at_once() {
        for bad in ["nonsense", "]", "{\"a\": \"b\nc\"}", "\"a\"", "[1]"] {
            let mut words = Words::default();
            words.push(bad.as_bytes());
            assert!(words.take().is_err(), "{bad}");
        }
        let mut words = Words::default();
        words.push(&vec![b' '; MOST_LIST + 1]);
        assert!(words.take().is_err());
    }
}
