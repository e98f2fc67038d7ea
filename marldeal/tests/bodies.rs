//! Bodies that are large, slow, or framed in any way that HTTP/1.1 knows.

mod stubs;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

use marldeal_standin::message::read;
use marldeal_standin::TIMEOUT;
use stubs::{ask, get, post, read_answer, wait_for, write_ok, Node, Stub};

/// A text of so many bytes in which no two places look alike.
fn text(length: usize) -> String {
    (0..).flat_map(|n: u32| format!("{n:08x}").into_bytes()).take(length).map(char::from).collect()
}

fn connect(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.addr).expect("connect");
    stream.set_read_timeout(Some(TIMEOUT)).expect("time-out");
    stream
}

/// A node of the test's own: one connection, as the closure plays it.
fn played(play: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("time-out");
        play(stream);
    });
    addr
}

/// Starts with one node at an address; as little memory as serves, so that bodies over some 450 KB are piped.
fn small(addr: SocketAddr) -> Node {
    let server = Stub::new(|_, _| false);
    let node = Node::managed(&[("s-0", &server, "active")], |c| {
        c.replace(r#""memory_mb":192"#, r#""memory_mb":20"#)
    });
    node.discovery.push(&stubs::update_line(2, true, &[("s-1", addr, "active")]));
    node.wait_log("server s-1");
    node
}

/// A head that announces a body.
fn announce(key: &str, framing: &str) -> String {
    post("book", key, "", "").replace("Content-Length: 0\r\n", framing)
}

/// What is sent in chunks with extensions and trailers, in pieces, or after a 100, arrives whole; so does the answer.
#[test]
fn requests_in_all_forms_arrive_whole() {
    let server = Stub::new(|seen, stream| write_ok(stream, &seen.body));
    let node = Node::start(&[("s-1", &server, "active")]);
    let mut stream = connect(&node);
    let head = announce("a", "Transfer-Encoding: Chunked\r\n");
    stream
        .write_all(
            format!("{head}5;note=\"x\"\r\nhello\r\n1\r\n \r\n5\r\nworld\r\n0\r\nX-Sum: 1\r\n\r\n")
                .as_bytes(),
        )
        .expect("write");
    assert_eq!(read_answer(&mut stream).body, "hello world");
    // A byte a piece.
    for byte in post("book", "b", "", "in pieces").bytes() {
        stream.write_all(&[byte]).expect("write");
    }
    assert_eq!(read_answer(&mut stream).body, "in pieces");
    let head = announce("c", "Content-Length: 5\r\nExpect: 100-continue\r\n");
    stream.write_all(head.as_bytes()).expect("write");
    let go_on = read(&mut stream).expect("a word to go on");
    assert_eq!(go_on.status, 100);
    stream.write_all(b"after").expect("write");
    assert_eq!(read_answer(&mut stream).body, "after");
    // Three at once: answered in their order.
    let three: String = ["d", "e", "f"].iter().map(|k| post("book", k, "", k)).collect();
    stream.write_all(three.as_bytes()).expect("write");
    for key in ["d", "e", "f"] {
        assert_eq!(read_answer(&mut stream).body, key);
    }
    // Held ones are sent on with their length, whatever they came with.
    assert!(server.requests().iter().all(|s| s.header("content-length").is_some()));
}

#[test]
fn megabytes_go_both_ways_unchanged() {
    let server = Stub::new(|seen, stream| write_ok(stream, &seen.body));
    let node = Node::start(&[("s-1", &server, "active")]);
    // Held; and beyond what one body may hold, so that it is piped.
    for (key, length) in [("a", 1_000_000), ("b", 12_000_000)] {
        let body = text(length);
        let mut stream = connect(&node);
        let (mut writes, request) = (stream.try_clone().expect("a handle"), post("book", key, "", &body));
        let writing = std::thread::spawn(move || writes.write_all(request.as_bytes()).expect("write"));
        assert!(read_answer(&mut stream).body == body, "{length} bytes came back changed");
        writing.join().expect("written");
    }
    let chunk = text(100_000);
    let mut stream = connect(&node);
    let head = announce("c", "Transfer-Encoding: chunked\r\n");
    let piece = format!("{:x}\r\n{chunk}\r\n", chunk.len());
    let (mut writes, request) =
        (stream.try_clone().expect("a handle"), head + &piece.repeat(80) + "0\r\n\r\n");
    let writing = std::thread::spawn(move || writes.write_all(request.as_bytes()).expect("write"));
    assert!(read_answer(&mut stream).body == chunk.repeat(80));
    writing.join().expect("written");
}

/// An answer of untold length, with word ahead of it, that ends with its connection.
#[test]
fn answers_in_all_forms_are_passed_on() {
    for length in [10, 300_000] {
        let body = text(length);
        let told = body.clone();
        let server = Stub::new(move |_, stream| {
            let ahead = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
            let _ = write!(stream, "{ahead}HTTP/1.0 200 OK\r\n\r\n{told}");
            false
        });
        let node = Node::start(&[("s-1", &server, "active")]);
        assert!(ask(&node, &get("look", "")).body == body, "close-delimited, {length}");
        let told = body.clone();
        let server = Stub::new(move |_, stream| {
            let (one, two) = told.split_at(told.len() / 3);
            let chunks =
                format!("{:x};e=1\r\n{one}\r\n{:x}\r\n{two}\r\n0\r\nX-Sum: 2\r\n\r\n", one.len(), two.len());
            write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}").is_ok()
        });
        let node = Node::start(&[("s-1", &server, "active")]);
        assert!(ask(&node, &get("look", "")).body == body, "chunked, {length}");
    }
}

/// The first bytes of a long answer do not wait for its last ones, and what comes after the client's time is up comes all
/// the same.
#[test]
fn a_long_answer_is_passed_on_as_it_comes_also_past_its_time() {
    let (seen, go_on) = mpsc::channel();
    let addr = played(move |mut stream| {
        read(&mut stream).expect("a request");
        let body = text(200_000);
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n{}", &body[..100_000]);
        go_on.recv().expect("the client has the first half");
        std::thread::sleep(Duration::from_millis(700));
        let _ = stream.write_all(&body.as_bytes()[100_000..]);
        let _ = stream.read(&mut [0; 16]);
    });
    let node = small(addr);
    let mut stream = connect(&node);
    stream
        .write_all(get("look", "").replace("X-Time-Left: 3.0", "X-Time-Left: 0.5").as_bytes())
        .expect("write");
    let mut bytes = vec![0; 100_000];
    stream.read_exact(&mut bytes).expect("the first half");
    assert_eq!(node.figure("outstanding"), 1);
    seen.send(()).expect("told");
    let mut rest = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains(&text(200_000)[199_900..]) {
        let mut piece = vec![0; 50_000];
        let count = stream.read(&mut piece).expect("the rest");
        assert!(count > 0, "cut off");
        rest.extend_from_slice(&piece[..count]);
        bytes.extend_from_slice(&piece[..count]);
    }
    let all = String::from_utf8(bytes).expect("text");
    assert!(all.split_once("\r\n\r\n").expect("a head").1 == text(200_000));
    wait_for("its end", || node.figure("succeeded.look") == 1);
}

/// A long answer that breaks in the middle ends so that the client can tell, and counts once, as aborted.
#[test]
fn a_long_answer_that_breaks_is_cut_off() {
    for framing in ["Content-Length: 200000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n30d40\r\n"] {
        let server = Stub::new(move |_, stream| {
            let _ = write!(stream, "HTTP/1.1 200 OK\r\n{framing}{}", text(150_000));
            false
        });
        let node = Node::managed(&[("s-1", &server, "active")], |c| c);
        let mut stream = connect(&node);
        stream.write_all(get("look", "").as_bytes()).expect("write");
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        assert!(bytes.starts_with(b"HTTP/1.1 200") && !bytes.ends_with(b"0\r\n\r\n"));
        assert!((70_000..160_000).contains(&bytes.len()), "{}", bytes.len());
        wait_for("its end", || node.figure("aborted.look") == 1);
        assert_eq!((node.figure("succeeded.look"), server.requests().len()), (0, 1), "no second attempt");
    }
}

/// A reader that leaves half way ends the server's work, and nothing stays behind.
#[test]
fn a_reader_that_leaves_ends_the_answer() {
    let (told, ended) = mpsc::channel();
    let addr = played(move |mut stream| {
        read(&mut stream).expect("a request");
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n");
        let piece = vec![b'x'; 1 << 16];
        while stream.write_all(&piece).is_ok() {}
        told.send(()).expect("told");
    });
    let node = small(addr);
    let mut stream = connect(&node);
    stream.write_all(get("look", "").as_bytes()).expect("write");
    stream.read_exact(&mut [0; 100_000]).expect("some of it");
    drop(stream);
    ended.recv_timeout(TIMEOUT).expect("the server is called off");
    wait_for("its end", || node.figure("outstanding") == 0);
    assert_eq!(node.figure("aborted.look"), 1);
}

/// A body for which there is no room goes on as it comes, before its sender has written the rest.
#[test]
fn a_body_without_room_is_piped() {
    let (told, half) = mpsc::channel();
    let addr = played(move |mut stream| {
        let mut bytes = vec![0; 500_000];
        stream.read_exact(&mut bytes).expect("the first half");
        told.send(()).expect("told");
        let (mut all, mut piece) = (bytes, vec![0; 1 << 16]);
        while !all.ends_with(b"the end") {
            let count = stream.read(&mut piece).expect("the rest");
            assert!(count > 0, "cut off");
            all.extend_from_slice(&piece[..count]);
        }
        write_ok(
            &mut stream,
            &(all.len() - all.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") - 4).to_string(),
        );
        let _ = stream.read(&mut [0; 16]);
    });
    let node = small(addr);
    let body = text(2_000_000) + "the end";
    let request = post("book", "k", "", &body);
    let (first, rest) = request.split_at(1_200_000);
    let mut stream = connect(&node);
    stream.write_all(first.as_bytes()).expect("write");
    half.recv_timeout(TIMEOUT).expect("the server has bytes already");
    assert_eq!(node.figure("forwards"), 0, "not written whole yet");
    stream.write_all(rest.as_bytes()).expect("write");
    assert_eq!(read_answer(&mut stream).body, body.len().to_string());
    assert_eq!((node.figure("forwards"), node.figure("succeeded.book")), (1, 1));
}

/// A server that answers at length before it has read all: the rest of the body is still its own.
#[test]
fn an_answer_that_begins_before_the_body_has_ended_loses_nothing_of_it() {
    let size = 3_000_000;
    let addr = played(move |mut stream| {
        let mut all = vec![0; 200_000];
        stream.read_exact(&mut all).expect("some of it");
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = write!(stream, "{head}{:x}\r\n{}\r\n", 100_000, text(100_000));
        let mut piece = vec![0; 1 << 16];
        while !all.ends_with(b"the end") {
            match stream.read(&mut piece) {
                Ok(count) if count > 0 => all.extend_from_slice(&piece[..count]),
                _ => return,
            }
        }
        let _ = write!(stream, "5\r\nwhole\r\n0\r\n\r\n");
        let _ = stream.read(&mut piece);
    });
    let node = small(addr);
    let request = post("book", "k", "", &(text(size) + "the end"));
    let mut stream = connect(&node);
    let mut writes = stream.try_clone().expect("a handle");
    let writing = std::thread::spawn(move || {
        let (first, rest) = request.split_at(1_500_000);
        writes.write_all(first.as_bytes()).expect("write");
        std::thread::sleep(Duration::from_millis(300));
        writes.write_all(rest.as_bytes()).expect("write");
    });
    let answer = read_answer(&mut stream);
    assert!(answer.body.len() == 100_005 && answer.body.ends_with("whole"), "{}", answer.body.len());
    writing.join().expect("written");
}

/// What was never written whole never ran: refused. What was, may have: failed, for it cannot be sent again.
#[test]
fn a_piped_body_that_breaks_ends_as_far_as_it_got() {
    let size = 2_000_000;
    let request = |key: &str| post("book", key, "", &text(size));
    let (told, closed) = mpsc::channel();
    let before = played(move |mut stream| {
        let _ = stream.read_exact(&mut [0; 100_000]);
        drop(stream);
        told.send(()).expect("told");
    });
    let node = small(before);
    let mut stream = connect(&node);
    let all = request("a");
    stream.write_all(&all.as_bytes()[..1_200_000]).expect("write");
    // The last bytes come once the server has gone: whatever room there is on the way, it cannot have had them.
    closed.recv_timeout(TIMEOUT).expect("the server closes");
    stream.write_all(&all.as_bytes()[1_200_000..]).expect("write");
    assert_eq!(read_answer(&mut stream).status, 429);
    let after = played(|mut stream| {
        read(&mut stream).expect("all of it");
    });
    let node = small(after);
    assert_eq!(ask(&node, &request("b")).status, 502);
    let full = played(|mut stream| {
        read(&mut stream).expect("all of it");
        let _ = write!(stream, "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    });
    let node = small(full);
    assert_eq!(ask(&node, &request("c")).status, 429);
}

/// A sender that leaves in the middle of a piped body leaves nothing behind.
#[test]
fn a_sender_that_leaves_ends_its_pipe() {
    let (told, ended) = mpsc::channel();
    let addr = played(move |mut stream| {
        let mut piece = vec![0; 1 << 16];
        while stream.read(&mut piece).is_ok_and(|count| count > 0) {}
        told.send(()).expect("told");
    });
    let node = small(addr);
    let mut stream = connect(&node);
    let request = post("book", "k", "", &text(2_000_000));
    stream.write_all(&request.as_bytes()[..1_200_000]).expect("write");
    wait_for("the request to be open", || node.figure("outstanding") == 1);
    drop(stream);
    ended.recv_timeout(TIMEOUT).expect("the server is not left waiting");
    wait_for("its end", || node.figure("outstanding") == 0);
}

/// Many at once: each is held or piped, all arrive, and the budget is whole again afterwards.
#[test]
fn many_large_bodies_at_once() {
    let server = Stub::new(|seen, stream| write_ok(stream, &seen.body.len().to_string()));
    let node = Node::managed(&[("s-1", &server, "active")], |c| {
        c.replace(r#""memory_mb":192"#, r#""memory_mb":20"#)
    });
    for round in 0..2 {
        let asking: Vec<_> = (0..24)
            .map(|n| {
                let (addr, request) = (node.addr, post("book", &format!("{round}-{n}"), "", &text(300_000)));
                std::thread::spawn(move || {
                    let mut stream = TcpStream::connect(addr).expect("connect");
                    stream.set_read_timeout(Some(TIMEOUT)).expect("time-out");
                    stream.write_all(request.as_bytes()).expect("write");
                    read_answer(&mut stream)
                })
            })
            .collect();
        for answer in asking {
            let answer = answer.join().expect("an answer");
            assert_eq!((answer.status, answer.body.as_str()), (200, "300000"));
        }
    }
    assert_eq!(node.figure("succeeded.book"), 48);
}

/// One that says that it is longer than any may be is told so, and nobody else hears of it.
#[test]
fn a_body_beyond_all_bounds_is_refused() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let node = Node::start(&[("s-1", &server, "active")]);
    let mut stream = connect(&node);
    stream.write_all(announce("k", "Content-Length: 99000000\r\n").as_bytes()).expect("write");
    stream.shutdown(Shutdown::Write).expect("shutdown");
    assert_eq!(read_answer(&mut stream).status, 413);
    assert!(server.requests().is_empty());
}
