//! The stand-ins as run from the command line.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};

use marldeal_standin::message::exchange;

struct Standin(Child);

impl Drop for Standin {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(arguments: &[&str]) -> (Standin, SocketAddr) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marldeal-standin"));
    let child = command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
    let mut standin = Standin(child.expect("the program starts"));
    let mut line = String::new();
    let out = standin.0.stdout.take().expect("piped");
    BufReader::new(out).read_line(&mut line).expect("a line");
    let addr = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
    (standin, addr)
}

fn error_output(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_marldeal-standin")).args(arguments).output();
    let output = output.expect("the program starts");
    assert!(!output.status.success());
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn server_follows_the_faults_of_its_command_line() {
    let (_server, addr) = start(&["node", "--work-ms", "1", "--fault", "1..2:turn-away"]);
    let mut stream = TcpStream::connect(addr).expect("connect");
    let request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    let statuses: Vec<u16> = (0..3).map(|_| exchange(&mut stream, request).status).collect();
    assert_eq!(statuses, [200, 503, 200]);
}

#[test]
fn discovery_sends_its_servers_and_typed_lines() {
    let (mut discovery, addr) = start(&["discovery", "--node", "s-1=127.0.0.1:9"]);
    let mut stream = TcpStream::connect(addr).expect("connect");
    stream.write_all(b"GET /api/targets?watch=1 HTTP/1.1\r\nHost: x\r\n\r\n").expect("write");
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok).filter(|l| l.starts_with('{'));
    assert!(lines.next().expect("a list").contains("\"id\":\"s-1\""));
    let stdin = discovery.0.stdin.as_mut().expect("piped");
    stdin.write_all(b"{\"version\":2,\"full\":true,\"servers\":[]}\n").expect("write");
    assert!(lines.next().expect("a list").contains("\"version\":2"));
}

#[test]
fn counter_follows_typed_commands() {
    let (mut counter, addr) = start(&["counter", "--work-ms", "0"]);
    let call = "POST /v2/numbers/a?delta=3&life_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n";
    let send_call = || TcpStream::connect(addr).ok().map(|mut stream| exchange(&mut stream, call).body);
    assert_eq!(send_call().as_deref(), Some("3"));
    let mut type_line =
        |text: &[u8]| counter.0.stdin.as_mut().expect("piped").write_all(text).expect("write");
    type_line(b"stop\n");
    marldeal_standin::wait_for("the counter to refuse", || TcpStream::connect(addr).is_err());
    type_line(b"start-empty\n");
    marldeal_standin::wait_for("the counter to accept", || TcpStream::connect(addr).is_ok());
    assert_eq!(send_call().as_deref(), Some("3"), "it starts without counts");
}

#[test]
fn error_names_the_invalid_argument() {
    assert!(error_output(&["node", "--listen", "192.0.2.1:0"]).contains("not a loopback address"));
    assert!(error_output(&["node", "--fault", "1..2:explode"]).contains("'explode' is no fault"));
    assert!(error_output(&["discovery", "--node", "s-1"]).contains("'s-1' is not ID=ADDRESS"));
    assert!(error_output(&["proxy", "--processor", "127.0.0.1:1"]).contains("processor 127.0.0.1:1"));
}
