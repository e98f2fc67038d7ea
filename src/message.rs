//! Encoding of the messages between limiters. What is sent, and how it is handled, is decided in `policy.rs`.

use crate::interface::{CustomerId, RequestId};

/// First byte of each message; other formats are rejected.
const MESSAGE_FORMAT: u8 = 0xfc;
/// Bytes of the header: format, checksum, incarnation of the sender, latency share.
const HEADER_BYTES: usize = 8;
/// Maximum size of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Latency share that stands for none.
const NO_LATENCY_SHARE: u8 = 255;

/// A member asks a customer's quota owner for the units of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// Id of the member's request.
    pub id: RequestId,
    /// The customer.
    pub customer: CustomerId,
    /// Index of the plan in the settings.
    pub plan: u8,
    /// First position of the customer's set.
    pub first: u16,
    /// Number of limiters in the set.
    pub spread: u16,
    /// Units asked for.
    pub units: f32,
    /// Units of demand that the member refused by chance since its last ask.
    pub unreported: f32,
    /// The member has spent the units from its own share: they are reported, not asked for.
    pub already_spent: bool,
}

/// A quota owner's reply.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reply {
    /// Id of the member's request.
    pub id: RequestId,
    /// The customer.
    pub customer: CustomerId,
    /// The member's incarnation, as in its ask.
    pub incarnation: u32,
    /// The units may be spent.
    pub granted: bool,
    /// Prefetched units count as leased for their whole lifetime. An owner without prefetch support counts them
    /// for the lifetime of a request's grant.
    pub long_lease: bool,
    /// The customer's demand at all limiters as a multiple of its quota.
    pub demand: f32,
    /// Units left in the owner's store.
    pub store_left: f32,
}

/// A member reports the end of a granted request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Done {
    /// Id of the member's request.
    pub id: RequestId,
    /// Units actually used; 0 if it was never sent to a server.
    pub used: f32,
}

/// One line of a message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Line {
    /// To a quota owner.
    Ask(Ask),
    /// From a quota owner.
    Reply(Reply),
    /// To a quota owner.
    Done(Done),
}

impl Line {
    /// Appends the line to a message.
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

    /// Reads one line from the front of `rest`; negative or infinite amounts are rejected.
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

    /// Encoded size in bytes.
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

/// Whether another line fits into the message.
pub fn fits_in_message(lines: &[Line], added: &Line) -> bool {
    HEADER_BYTES + lines.iter().map(Line::size).sum::<usize>() + added.size() <= MAX_MESSAGE_BYTES
}

/// Encodes a message: format, checksum, incarnation of the sender, its latency as a fraction of the target,
/// lines.
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

/// Incarnation of the sender, its latency share, lines.
pub type Decoded = (u32, Option<f64>, Vec<Line>);

/// Decodes a message; none if it is not a complete message of this format.
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

/// Kind of a line, as observers see it, with the id of the asking member's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// A member asks, or reports what it has spent.
    Ask(RequestId),
    /// A quota owner replies.
    Reply(RequestId),
    /// A member reports the end of a request.
    Done(RequestId),
}

/// The kinds of the lines in a datagram; none if it is not a complete message.
pub fn line_kinds(body: &[u8]) -> Option<Vec<LineKind>> {
    let (_, _, lines) = decode_message(body)?;
    let kind = |line: &Line| match line {
        Line::Ask(a) => LineKind::Ask(a.id),
        Line::Reply(reply) => LineKind::Reply(reply.id),
        Line::Done(d) => LineKind::Done(d.id),
    };
    Some(lines.iter().map(kind).collect())
}

/// Sum of all bytes but the checksum itself, each weighted by its position.
fn checksum(body: &[u8]) -> u16 {
    let counted = body.iter().zip(1u32..).filter(|(_, i)| *i != 2 && *i != 3);
    let sum = counted.map(|(b, i)| u32::from(*b) * (2 * i + 1)).fold(0, u32::wrapping_add);
    (sum % 65_521) as u16
}
