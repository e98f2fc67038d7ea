//! Bodies that are large, slow, or framed in any way that HTTP/1.1 allows.

mod stubs;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use marldeal_standin::message::read;
use marldeal_standin::TIMEOUT;
use stubs::{get, post, read_answer, send_request, wait_for, write_ok, Limiter, Stub};

/// A text of `length` bytes that differs at every aligned position.
fn text(length: usize) -> String {
    (0..).flat_map(|n: u32| format!("{n:08x}").into_bytes()).take(length).map(char::from).collect()
}

fn connect(limiter: &Limiter) -> TcpStream {
    let stream = TcpStream::connect(limiter.addr).expect("connect");
    stream.set_read_timeout(Some(TIMEOUT)).expect("time-out");
    stream
}

/// A server that accepts one connection and hands it to the closure.
fn scripted_server(play: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("time-out");
        play(stream);
    });
    addr
}

/// Starts a limiter with the server at `addr` and the least memory that is accepted, so that bodies over about
/// 450 KB are streamed.
fn start_with_little_memory(addr: SocketAddr) -> Limiter {
    let server = Stub::new(|_, _| false);
    let limiter = Limiter::with_management(&[("s-0", &server, "active")], |c| {
        c.replace(r#""memory_mb":192"#, r#""memory_mb":20"#)
    });
    limiter.discovery.push(&stubs::update_line(2, true, &[("s-1", addr, "active")]));
    limiter.wait_log("server s-1");
    limiter
}

/// The head of a booking with the given framing headers.
fn head_with_framing(key: &str, framing: &str) -> String {
    post("book", key, "", "").replace("Content-Length: 0\r\n", framing)
}

/// Requests sent in chunks with extensions and trailers, in pieces, or after a 100 arrive complete; so do the
/// answers.
#[test]
fn requests_in_all_framings_arrive_complete() {
    let server = Stub::new(|seen, stream| write_ok(stream, &seen.body));
    let limiter = Limiter::start(&[("s-1", &server, "active")]);
    let mut stream = connect(&limiter);
    let head = head_with_framing("a", "Transfer-Encoding: Chunked\r\n");
    stream
        .write_all(
            format!("{head}5;note=\"x\"\r\nhello\r\n1\r\n \r\n5\r\nworld\r\n0\r\nX-Sum: 1\r\n\r\n")
                .as_bytes(),
        )
        .expect("write");
    assert_eq!(read_answer(&mut stream).body, "hello world");
    // One byte per write.
    for byte in post("book", "b", "", "in pieces").bytes() {
        stream.write_all(&[byte]).expect("write");
    }
    assert_eq!(read_answer(&mut stream).body, "in pieces");
    let head = head_with_framing("c", "Content-Length: 5\r\nExpect: 100-continue\r\n");
    stream.write_all(head.as_bytes()).expect("write");
    let interim = read(&mut stream).expect("an interim answer");
    assert_eq!(interim.status, 100);
    stream.write_all(b"after").expect("write");
    assert_eq!(read_answer(&mut stream).body, "after");
    // Three pipelined requests are answered in order.
    let three: String = ["d", "e", "f"].iter().map(|k| post("book", k, "", k)).collect();
    stream.write_all(three.as_bytes()).expect("write");
    for key in ["d", "e", "f"] {
        assert_eq!(read_answer(&mut stream).body, key);
    }
    // Buffered bodies are sent on with a content length, however they were framed.
    assert!(server.requests().iter().all(|s| s.header("content-length").is_some()));
}

#[test]
fn megabytes_go_both_ways_unchanged() {
    let server = Stub::new(|seen, stream| write_ok(stream, &seen.body));
    let limiter = Limiter::start(&[("s-1", &server, "active")]);
    // One body that is buffered, and one beyond the buffer limit, which is streamed.
    for (key, length) in [("a", 1_000_000), ("b", 12_000_000)] {
        let body = text(length);
        let mut stream = connect(&limiter);
        let (mut writes, request) = (stream.try_clone().expect("a handle"), post("book", key, "", &body));
        let writing = std::thread::spawn(move || writes.write_all(request.as_bytes()).expect("write"));
        assert!(read_answer(&mut stream).body == body, "a body of {length} bytes was changed");
        writing.join().expect("written");
    }
    let chunk = text(100_000);
    let mut stream = connect(&limiter);
    let head = head_with_framing("c", "Transfer-Encoding: chunked\r\n");
    let piece = format!("{:x}\r\n{chunk}\r\n", chunk.len());
    let (mut writes, request) =
        (stream.try_clone().expect("a handle"), head + &piece.repeat(80) + "0\r\n\r\n");
    let writing = std::thread::spawn(move || writes.write_all(request.as_bytes()).expect("write"));
    assert!(read_answer(&mut stream).body == chunk.repeat(80));
    writing.join().expect("written");
}

/// Answers are passed on that follow interim answers and are delimited by the end of the connection or by chunks.
#[test]
fn answers_in_all_framings_are_passed_on() {
    for length in [10, 300_000] {
        let body = text(length);
        let answer_body = body.clone();
        let server = Stub::new(move |_, stream| {
            let ahead = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
            let _ = write!(stream, "{ahead}HTTP/1.0 200 OK\r\n\r\n{answer_body}");
            false
        });
        let limiter = Limiter::start(&[("s-1", &server, "active")]);
        assert!(send_request(&limiter, &get("look", "")).body == body, "close-delimited, {length}");
        let answer_body = body.clone();
        let server = Stub::new(move |_, stream| {
            let (one, two) = answer_body.split_at(answer_body.len() / 3);
            let chunks =
                format!("{:x};e=1\r\n{one}\r\n{:x}\r\n{two}\r\n0\r\nX-Sum: 2\r\n\r\n", one.len(), two.len());
            write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}").is_ok()
        });
        let limiter = Limiter::start(&[("s-1", &server, "active")]);
        assert!(send_request(&limiter, &get("look", "")).body == body, "chunked, {length}");
    }
}

/// The first bytes of a long answer do not wait for its last ones, and bytes that arrive after the client's
/// deadline are passed on too.
#[test]
fn long_answer_is_streamed_even_past_its_deadline() {
    let (release, released) = mpsc::channel();
    let addr = scripted_server(move |mut stream| {
        read(&mut stream).expect("a request");
        let body = text(200_000);
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n{}", &body[..100_000]);
        released.recv().expect("the client has the first half");
        std::thread::sleep(Duration::from_millis(700));
        let _ = stream.write_all(&body.as_bytes()[100_000..]);
        let _ = stream.read(&mut [0; 16]);
    });
    let limiter = start_with_little_memory(addr);
    let mut stream = connect(&limiter);
    stream
        .write_all(get("look", "").replace("X-Time-Left: 3.0", "X-Time-Left: 0.5").as_bytes())
        .expect("write");
    let mut bytes = vec![0; 100_000];
    stream.read_exact(&mut bytes).expect("the first half");
    assert_eq!(limiter.stat("outstanding"), 1);
    release.send(()).expect("the server waits");
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
    wait_for("the request to end", || limiter.stat("succeeded.look") == 1);
}

/// A long answer that breaks off ends so that the client can detect it, and counts once, as aborted.
#[test]
fn long_answer_that_breaks_off_is_cut_off() {
    for framing in ["Content-Length: 200000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n30d40\r\n"] {
        let server = Stub::new(move |_, stream| {
            let _ = write!(stream, "HTTP/1.1 200 OK\r\n{framing}{}", text(150_000));
            false
        });
        let limiter = Limiter::with_management(&[("s-1", &server, "active")], |c| c);
        let mut stream = connect(&limiter);
        stream.write_all(get("look", "").as_bytes()).expect("write");
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        assert!(bytes.starts_with(b"HTTP/1.1 200") && !bytes.ends_with(b"0\r\n\r\n"));
        assert!((70_000..160_000).contains(&bytes.len()), "{}", bytes.len());
        wait_for("the request to end", || limiter.stat("aborted.look") == 1);
        assert_eq!((limiter.stat("succeeded.look"), server.requests().len()), (0, 1), "no second attempt");
    }
}

/// A client that disconnects while it reads the answer ends the server's work, and nothing stays open.
#[test]
fn client_disconnect_ends_the_answer() {
    let (sender, ended) = mpsc::channel();
    let addr = scripted_server(move |mut stream| {
        read(&mut stream).expect("a request");
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n");
        let piece = vec![b'x'; 1 << 16];
        while stream.write_all(&piece).is_ok() {}
        sender.send(()).expect("the test waits");
    });
    let limiter = start_with_little_memory(addr);
    let mut stream = connect(&limiter);
    stream.write_all(get("look", "").as_bytes()).expect("write");
    stream.read_exact(&mut [0; 100_000]).expect("the first part");
    drop(stream);
    ended.recv_timeout(TIMEOUT).expect("the attempt at the server is cancelled");
    wait_for("the request to end", || limiter.stat("outstanding") == 0);
    assert_eq!(limiter.stat("aborted.look"), 1);
}

/// A body that does not fit into the buffer memory is streamed to the server while its sender is still writing.
#[test]
fn body_beyond_the_buffer_is_streamed() {
    let (sender, first_half) = mpsc::channel();
    let addr = scripted_server(move |mut stream| {
        let mut bytes = vec![0; 500_000];
        stream.read_exact(&mut bytes).expect("the first half");
        sender.send(()).expect("the test waits");
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
    let limiter = start_with_little_memory(addr);
    let body = text(2_000_000) + "the end";
    let request = post("book", "k", "", &body);
    let (first, rest) = request.split_at(1_200_000);
    let mut stream = connect(&limiter);
    stream.write_all(first.as_bytes()).expect("write");
    first_half.recv_timeout(TIMEOUT).expect("the server already has the first half");
    assert_eq!(limiter.stat("forwards"), 0, "the body is not written completely yet");
    stream.write_all(rest.as_bytes()).expect("write");
    assert_eq!(read_answer(&mut stream).body, body.len().to_string());
    assert_eq!((limiter.stat("forwards"), limiter.stat("succeeded.book")), (1, 1));
}

/// A server that begins a long answer before it has read the whole body still gets the rest of the body.
#[test]
fn answer_that_begins_before_the_body_ends_loses_none_of_it() {
    let size = 3_000_000;
    let addr = scripted_server(move |mut stream| {
        let mut all = vec![0; 200_000];
        stream.read_exact(&mut all).expect("the first part");
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
    let limiter = start_with_little_memory(addr);
    let request = post("book", "k", "", &(text(size) + "the end"));
    let mut stream = connect(&limiter);
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

/// If a streamed body breaks off before it was written completely, the request did not run and is refused.
/// Otherwise it may have run and fails, since it cannot be sent again.
#[test]
fn broken_streamed_body_is_refused_or_fails_by_progress() {
    let size = 2_000_000;
    let request = |key: &str| post("book", key, "", &text(size));
    let (sender, closed) = mpsc::channel();
    let before = scripted_server(move |mut stream| {
        let _ = stream.read_exact(&mut [0; 100_000]);
        drop(stream);
        sender.send(()).expect("the test waits");
    });
    let limiter = start_with_little_memory(before);
    let mut stream = connect(&limiter);
    let all = request("a");
    stream.write_all(&all.as_bytes()[..1_200_000]).expect("write");
    // The last bytes are written only after the server has closed, so it cannot have received them, whatever
    // the socket buffers hold.
    closed.recv_timeout(TIMEOUT).expect("the server closes");
    stream.write_all(&all.as_bytes()[1_200_000..]).expect("write");
    assert_eq!(read_answer(&mut stream).status, 429);
    let after = scripted_server(|mut stream| {
        read(&mut stream).expect("the whole request");
    });
    let limiter = start_with_little_memory(after);
    assert_eq!(send_request(&limiter, &request("b")).status, 502);
    let full = scripted_server(|mut stream| {
        read(&mut stream).expect("the whole request");
        let _ = write!(stream, "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    });
    let limiter = start_with_little_memory(full);
    assert_eq!(send_request(&limiter, &request("c")).status, 429);
}

/// A server whose system accepts connections and bytes, while its process reads nothing. Returns the listener that keeps
/// the address.
fn hanging_server() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

/// Starts a limiter with the default memory, under which bodies over 5,033,164 bytes are streamed, and a server that
/// hangs.
fn start_before_hanging_server() -> (Limiter, TcpListener) {
    let (listed_first, hanging) = (Stub::new(|_, _| false), hanging_server());
    let limiter = Limiter::with_management(&[("s-0", &listed_first, "active")], |c| c);
    let addr = hanging.local_addr().expect("an address");
    limiter.discovery.push(&stubs::update_line(2, true, &[("s-1", addr, "active")]));
    limiter.wait_log("server s-1");
    (limiter, hanging)
}

/// A chunked body of `length` bytes in chunks of 10,000 bytes.
fn chunked(length: usize) -> String {
    let chunk = format!("{:x}\r\n{}\r\n", 10_000, text(10_000));
    chunk.repeat(length / 10_000) + "0\r\n\r\n"
}

/// Guards against a booking without an answer: all of its body has arrived, and its server takes nothing of the last
/// bytes. The client's time runs from its last byte. An answer half a second after it is late, a later one is lost; on
/// sockets each limit is 50 ms longer.
#[test]
fn streamed_body_at_a_server_that_reads_nothing_is_answered_in_time() {
    let length = 5_040_000;
    let declared = format!("Content-Length: {length}\r\n");
    for (framing, body) in
        [(declared.as_str(), text(length)), ("Transfer-Encoding: chunked\r\n", chunked(length))]
    {
        let (limiter, _hanging) = start_before_hanging_server();
        let head = head_with_framing("k", framing).replace("X-Time-Left: 3.0", "X-Time-Left: 1.0");
        let mut stream = connect(&limiter);
        stream.write_all((head + &body).as_bytes()).expect("write");
        let sent = Instant::now();
        let answer = read_answer(&mut stream);
        let took = sent.elapsed();
        assert!(took < Duration::from_millis(1000 + 500 + 50), "{framing} answered after {took:?}");
        assert_eq!((answer.status, limiter.stat("forwards")), (429, 0), "no server can have begun it");
        assert_eq!(limiter.stat("outstanding"), 0);
    }
}

/// Guards against a client that waits for ever to send the rest of its body, since its server has stopped reading. The
/// transfer ends after 10 s without progress and the client's time; then the client sends the rest and reads its answer.
#[test]
fn client_that_a_hanging_server_blocks_is_refused() {
    let (limiter, _hanging) = start_before_hanging_server();
    let request = post("book", "k", "", &text(30_000_000)).replace("X-Time-Left: 3.0", "X-Time-Left: 1.0");
    let mut stream = connect(&limiter);
    stream.set_write_timeout(Some(Duration::from_secs(14))).expect("time-out");
    let began = Instant::now();
    stream.write_all(request.as_bytes()).expect("the limiter reads the rest");
    assert_eq!(read_answer(&mut stream).status, 429);
    let took = began.elapsed();
    assert!(took < Duration::from_millis(10_000 + 1000 + 1000), "answered after {took:?}");
}

/// Guards against an upload that is cut off, or counted as sent too late, because it takes longer than the client waits
/// for the answer.
#[test]
fn upload_may_take_longer_than_the_client_waits_for_the_answer() {
    let addr = scripted_server(|mut stream| {
        let received = read(&mut stream).expect("the whole request");
        write_ok(&mut stream, &received.body.len().to_string());
        let _ = stream.read(&mut [0; 16]);
    });
    let limiter = start_with_little_memory(addr);
    let request = post("book", "k", "", &text(900_000)).replace("X-Time-Left: 3.0", "X-Time-Left: 0.5");
    let (first, rest) = request.split_at(700_000);
    let mut stream = connect(&limiter);
    stream.write_all(first.as_bytes()).expect("write");
    std::thread::sleep(Duration::from_millis(1500));
    stream.write_all(rest.as_bytes()).expect("write");
    let answer = read_answer(&mut stream);
    assert_eq!((answer.status, answer.body.as_str()), (200, "900000"));
    assert_eq!((limiter.stat("forwards"), limiter.stat("violations")), (1, 0));
}

/// A client that disconnects in the middle of a streamed body leaves nothing open.
#[test]
fn client_disconnect_ends_a_streamed_body() {
    let (sender, ended) = mpsc::channel();
    let addr = scripted_server(move |mut stream| {
        let mut piece = vec![0; 1 << 16];
        while stream.read(&mut piece).is_ok_and(|count| count > 0) {}
        sender.send(()).expect("the test waits");
    });
    let limiter = start_with_little_memory(addr);
    let mut stream = connect(&limiter);
    let request = post("book", "k", "", &text(2_000_000));
    stream.write_all(&request.as_bytes()[..1_200_000]).expect("write");
    wait_for("the request to be open", || limiter.stat("outstanding") == 1);
    drop(stream);
    ended.recv_timeout(TIMEOUT).expect("the connection to the server is closed");
    wait_for("the request to end", || limiter.stat("outstanding") == 0);
}

/// Of many bodies at once each is buffered or streamed, all arrive, and the memory budget is free again
/// afterwards.
#[test]
fn many_large_bodies_at_once() {
    let server = Stub::new(|seen, stream| write_ok(stream, &seen.body.len().to_string()));
    let limiter = Limiter::with_management(&[("s-1", &server, "active")], |c| {
        c.replace(r#""memory_mb":192"#, r#""memory_mb":20"#)
    });
    for round in 0..2 {
        let clients: Vec<_> = (0..24)
            .map(|n| {
                let (addr, request) =
                    (limiter.addr, post("book", &format!("{round}-{n}"), "", &text(300_000)));
                std::thread::spawn(move || {
                    let mut stream = TcpStream::connect(addr).expect("connect");
                    stream.set_read_timeout(Some(TIMEOUT)).expect("time-out");
                    stream.write_all(request.as_bytes()).expect("write");
                    read_answer(&mut stream)
                })
            })
            .collect();
        for client in clients {
            let answer = client.join().expect("an answer");
            assert_eq!((answer.status, answer.body.as_str()), (200, "300000"));
        }
    }
    assert_eq!(limiter.stat("succeeded.book"), 48);
}

/// A request that announces a body beyond the maximum size is rejected and not sent to a server.
#[test]
fn oversized_body_is_rejected() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let limiter = Limiter::start(&[("s-1", &server, "active")]);
    let mut stream = connect(&limiter);
    stream.write_all(head_with_framing("k", "Content-Length: 99000000\r\n").as_bytes()).expect("write");
    stream.shutdown(Shutdown::Write).expect("shutdown");
    assert_eq!(read_answer(&mut stream).status, 413);
    assert!(server.requests().is_empty());
}
