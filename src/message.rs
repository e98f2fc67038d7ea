//! How a message between limiters is written. What is told, and what is made of it, is decided in
//! `policy.rs`.

use crate::interface::{CustomerId, RequestId};

/// First byte of each message: another format is not read.
const MESSAGE_FORMAT: u8 = 0xfc;
/// Bytes of a message's head: mark, checksum, start of the sender, latency share.
const HEADER_BYTES: usize = 8;
/// Most bytes of a message.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Latency share that says that there is none.
const NO_LATENCY_SHARE: u8 = 255;

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
    pub unreported: f32,
    /// The member has spent the units from a part of its own: they are told, not asked for.
    pub already_spent: bool,
}

/// A keeper's answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reply {
    /// Which request of the member.
    pub id: RequestId,
    /// Whose it is.
    pub customer: CustomerId,
    /// The member's start, as its ask gave it.
    pub incarnation: u32,
    /// The units may be spent.
    pub granted: bool,
    /// Asked for ahead, they count as lent for as long as a member holds units ahead; a keeper that does not know of such
    /// asks counts them for the time of a request.
    pub long_lease: bool,
    /// The customer's demand at all limiters as a multiple of its quota.
    pub demand: f32,
    /// Units left in the keeper's store.
    pub store_left: f32,
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
    Reply(Reply),
    /// To a keeper.
    Done(Done),
}

impl Line {
    /// Adds the line to a message's body.
    fn write(&self, body: &mut Vec<u8>) {
        match self {
            Line::Ask(a) => {
                body.push(if a.already_spent { 5 } else { 1 });
                body.extend_from_slice(&a.id.to_be_bytes());
                body.extend_from_slice(&a.customer.to_be_bytes());
                body.push(a.plan);
                body.extend_from_slice(&a.first.to_be_bytes());
                body.extend_from_slice(&a.spread.to_be_bytes());
                body.extend_from_slice(&a.units.to_be_bytes());
                body.extend_from_slice(&a.unreported.to_be_bytes());
            }
            Line::Reply(reply) => {
                body.push(if reply.granted && reply.long_lease {
                    6
                } else if reply.granted {
                    2
                } else {
                    3
                });
                body.extend_from_slice(&reply.id.to_be_bytes());
                body.extend_from_slice(&reply.customer.to_be_bytes());
                body.extend_from_slice(&reply.incarnation.to_be_bytes());
                body.extend_from_slice(&reply.demand.to_be_bytes());
                body.extend_from_slice(&reply.store_left.to_be_bytes());
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
        let line = match read_bytes::<1>(rest)?[0] {
            kind @ (1 | 5) => Line::Ask(Ask {
                id: u32::from_be_bytes(read_bytes(rest)?),
                customer: u64::from_be_bytes(read_bytes(rest)?),
                plan: read_bytes::<1>(rest)?[0],
                first: u16::from_be_bytes(read_bytes(rest)?),
                spread: u16::from_be_bytes(read_bytes(rest)?),
                units: read_amount(rest)?,
                unreported: read_amount(rest)?,
                already_spent: kind == 5,
            }),
            kind @ (2 | 3 | 6) => Line::Reply(Reply {
                id: u32::from_be_bytes(read_bytes(rest)?),
                customer: u64::from_be_bytes(read_bytes(rest)?),
                incarnation: u32::from_be_bytes(read_bytes(rest)?),
                granted: kind != 3,
                long_lease: kind == 6,
                demand: read_amount(rest)?,
                store_left: read_amount(rest)?,
            }),
            4 => Line::Done(Done { id: u32::from_be_bytes(read_bytes(rest)?), used: read_amount(rest)? }),
            _ => return None,
        };
        Some(line)
    }

    /// Bytes that it takes.
    pub fn size(&self) -> usize {
        match self {
            Line::Ask(_) => 26,
            Line::Reply(_) => 25,
            Line::Done(_) => 9,
        }
    }
}

fn read_bytes<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (front, back) = rest.split_first_chunk::<N>()?;
    *rest = back;
    Some(*front)
}

fn read_amount(rest: &mut &[u8]) -> Option<f32> {
    Some(f32::from_be_bytes(read_bytes(rest)?)).filter(|x| x.is_finite() && *x >= 0.0)
}

/// Whether a line more fits beside `lines`.
pub fn fits_in_message(lines: &[Line], added: &Line) -> bool {
    HEADER_BYTES + lines.iter().map(Line::size).sum::<usize>() + added.size() <= MAX_MESSAGE_BYTES
}

/// A message: mark, checksum, start of the sender, its latency as a share of the aim, then the lines.
pub fn encode_message(incarnation: u32, latency_share: Option<f64>, lines: &[Line]) -> Vec<u8> {
    let mut body = vec![MESSAGE_FORMAT, 0, 0];
    body.extend_from_slice(&incarnation.to_be_bytes());
    body.push(
        latency_share.map_or(NO_LATENCY_SHARE, |s| {
            (s.clamp(0.0, 1.0) * f64::from(NO_LATENCY_SHARE - 1)).round() as u8
        }),
    );
    for line in lines {
        line.write(&mut body);
    }
    let sum = checksum(&body).to_be_bytes();
    body[1..3].copy_from_slice(&sum);
    body
}

/// Start of the sender, its latency share, the lines.
pub type Decoded = (u32, Option<f64>, Vec<Line>);

/// Reads a message; nothing if it is not one of ours in full.
pub fn decode_message(body: &[u8]) -> Option<Decoded> {
    if body.len() < HEADER_BYTES || body[0] != MESSAGE_FORMAT || body[1..3] != checksum(body).to_be_bytes() {
        return None;
    }
    let mut rest = &body[3..];
    let incarnation = u32::from_be_bytes(read_bytes(&mut rest)?);
    let latency_share = read_bytes::<1>(&mut rest)?[0];
    let latency_share = (latency_share != NO_LATENCY_SHARE)
        .then(|| f64::from(latency_share) / f64::from(NO_LATENCY_SHARE - 1));
    let mut lines = Vec::new();
    while !rest.is_empty() {
        lines.push(Line::read(&mut rest)?);
    }
    Some((incarnation, latency_share, lines))
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
    let (_, _, lines) = decode_message(body)?;
    let kind = |line: &Line| match line {
        Line::Ask(a) => LineKind::Ask(a.id),
        Line::Reply(reply) => LineKind::Reply(reply.id),
        Line::Done(d) => LineKind::Done(d.id),
    };
    Some(lines.iter().map(kind).collect())
}

/// Sum over all bytes but the checksum's own, each times its place.
fn checksum(body: &[u8]) -> u16 {
    let counted = body.iter().zip(1u32..).filter(|(_, i)| *i != 2 && *i != 3);
    let sum = counted.map(|(b, i)| u32::from(*b) * (2 * i + 1)).fold(0, u32::wrapping_add);
    (sum % 65_521) as u16
}
