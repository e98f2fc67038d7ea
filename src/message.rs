//! How a message between limiters is written. What is told, and what is made of it, is decided in
//! `policy.rs`.

use crate::interface::{CustomerId, RequestId};

/// First byte of each message: another format is not read.
const MESSAGE_MARK: u8 = 0xfc;
/// Bytes of a message's head: mark, checksum, start of the sender, latency share.
const HEAD: usize = 8;
/// Most bytes of a message.
pub const MOST_BYTES: usize = 256;
/// Latency share that says that there is none.
const NO_SHARE: u8 = 255;

/// A member asks a customer's keeper for the units of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// Which request of the member.
    pub id: RequestId,
    /// Whose it is.
    pub customer: CustomerId,
    /// Index of the plan in the settings.
    pub plan: u8,
    /// The customer's set: first position.
    pub first: u16,
    /// And number of limiters.
    pub spread: u16,
    /// Units asked for.
    pub units: f32,
    /// Units of demand that the member refused by chance since its last ask.
    pub unasked: f32,
    /// The member has spent the units from a part of its own: they are told, not asked for.
    pub spent: bool,
}

/// A keeper's answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Word {
    /// Which request of the member.
    pub id: RequestId,
    /// Whose it is.
    pub customer: CustomerId,
    /// The member's start, as its ask gave it.
    pub born: u32,
    /// The units may be spent.
    pub granted: bool,
    /// Asked for ahead, they count as lent for as long as a member holds units ahead; a keeper that does not know of such
    /// asks counts them for the time of a request.
    pub kept: bool,
    /// The customer's demand at all limiters as a multiple of its quota.
    pub over: f32,
    /// Units left in the keeper's store.
    pub left: f32,
}

/// A member is done with a request that was granted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Done {
    /// Which request of the member.
    pub id: RequestId,
    /// Units that it really used: none if it was never sent on.
    pub used: f32,
}

/// One line of a message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Line {
    /// To a keeper.
    Ask(Ask),
    /// From a keeper.
    Word(Word),
    /// To a keeper.
    Done(Done),
}

impl Line {
    /// Adds the line to a message's body.
    fn write(&self, body: &mut Vec<u8>) {
        match self {
            Line::Ask(a) => {
                body.push(if a.spent { 5 } else { 1 });
                body.extend_from_slice(&a.id.to_be_bytes());
                body.extend_from_slice(&a.customer.to_be_bytes());
                body.push(a.plan);
                body.extend_from_slice(&a.first.to_be_bytes());
                body.extend_from_slice(&a.spread.to_be_bytes());
                body.extend_from_slice(&a.units.to_be_bytes());
                body.extend_from_slice(&a.unasked.to_be_bytes());
            }
            Line::Word(w) => {
                body.push(if w.granted && w.kept {
                    6
                } else if w.granted {
                    2
                } else {
                    3
                });
                body.extend_from_slice(&w.id.to_be_bytes());
                body.extend_from_slice(&w.customer.to_be_bytes());
                body.extend_from_slice(&w.born.to_be_bytes());
                body.extend_from_slice(&w.over.to_be_bytes());
                body.extend_from_slice(&w.left.to_be_bytes());
            }
            Line::Done(d) => {
                body.push(4);
                body.extend_from_slice(&d.id.to_be_bytes());
                body.extend_from_slice(&d.used.to_be_bytes());
            }
        }
    }

    /// Reads one line off the front of `rest`; amounts that are negative or endless are not read.
    fn read(rest: &mut &[u8]) -> Option<Line> {
        let line = match take::<1>(rest)?[0] {
            kind @ (1 | 5) => Line::Ask(Ask {
                id: u32::from_be_bytes(take(rest)?),
                customer: u64::from_be_bytes(take(rest)?),
                plan: take::<1>(rest)?[0],
                first: u16::from_be_bytes(take(rest)?),
                spread: u16::from_be_bytes(take(rest)?),
                units: amount(rest)?,
                unasked: amount(rest)?,
                spent: kind == 5,
            }),
            kind @ (2 | 3 | 6) => Line::Word(Word {
                id: u32::from_be_bytes(take(rest)?),
                customer: u64::from_be_bytes(take(rest)?),
                born: u32::from_be_bytes(take(rest)?),
                granted: kind != 3,
                kept: kind == 6,
                over: amount(rest)?,
                left: amount(rest)?,
            }),
            4 => Line::Done(Done { id: u32::from_be_bytes(take(rest)?), used: amount(rest)? }),
            _ => return None,
        };
        Some(line)
    }

    /// Bytes that it takes.
    pub fn size(&self) -> usize {
        match self {
            Line::Ask(_) => 26,
            Line::Word(_) => 25,
            Line::Done(_) => 9,
        }
    }
}

fn take<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (front, back) = rest.split_first_chunk::<N>()?;
    *rest = back;
    Some(*front)
}

fn amount(rest: &mut &[u8]) -> Option<f32> {
    Some(f32::from_be_bytes(take(rest)?)).filter(|x| x.is_finite() && *x >= 0.0)
}

/// Whether a line more fits beside `lines`.
pub fn has_room(lines: &[Line], more: &Line) -> bool {
    HEAD + lines.iter().map(Line::size).sum::<usize>() + more.size() <= MOST_BYTES
}

/// A message: mark, checksum, start of the sender, its latency as a share of the aim, then the lines.
pub fn message(born: u32, share: Option<f64>, lines: &[Line]) -> Vec<u8> {
    let mut body = vec![MESSAGE_MARK, 0, 0];
    body.extend_from_slice(&born.to_be_bytes());
    body.push(share.map_or(NO_SHARE, |s| (s.clamp(0.0, 1.0) * f64::from(NO_SHARE - 1)).round() as u8));
    for line in lines {
        line.write(&mut body);
    }
    let sum = checksum(&body).to_be_bytes();
    body[1..3].copy_from_slice(&sum);
    body
}

/// Start of the sender, its latency share, the lines.
pub type Told = (u32, Option<f64>, Vec<Line>);

/// Reads a message; nothing if it is not one of ours in full.
pub fn read_message(body: &[u8]) -> Option<Told> {
    if body.len() < HEAD || body[0] != MESSAGE_MARK || body[1..3] != checksum(body).to_be_bytes() {
        return None;
    }
    let mut rest = &body[3..];
    let born = u32::from_be_bytes(take(&mut rest)?);
    let share = take::<1>(&mut rest)?[0];
    let share = (share != NO_SHARE).then(|| f64::from(share) / f64::from(NO_SHARE - 1));
    let mut lines = Vec::new();
    while !rest.is_empty() {
        lines.push(Line::read(&mut rest)?);
    }
    Some((born, share, lines))
}

/// A line of a message as observers see it: whose request it is about is the asker's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// A member asks, or tells what it has spent.
    Ask(RequestId),
    /// A keeper answers.
    Reply(RequestId),
    /// A member is done.
    Done(RequestId),
}

/// What a datagram between limiters says; nothing if it is not one of ours in full.
pub fn line_kinds(body: &[u8]) -> Option<Vec<LineKind>> {
    let (_, _, lines) = read_message(body)?;
    let say = |line: &Line| match line {
        Line::Ask(a) => LineKind::Ask(a.id),
        Line::Word(w) => LineKind::Reply(w.id),
        Line::Done(d) => LineKind::Done(d.id),
    };
    Some(lines.iter().map(say).collect())
}

/// Sum over all bytes but the checksum's own, each times its place.
fn checksum(body: &[u8]) -> u16 {
    let counted = body.iter().zip(1u32..).filter(|(_, i)| *i != 2 && *i != 3);
    let sum = counted.map(|(b, i)| u32::from(*b) * (2 * i + 1)).fold(0, u32::wrapping_add);
    (sum % 65_521) as u16
}
