//! HTTP/1.1 as far as the stand-ins need it: reading heads and bodies, and a client for one request a connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Head {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16384];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        self.ahead.drain(..count).collect()
    }

    /// `None` if the peer closed the connection before a head began.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|window| window == b"\r\n\r\n") {
                break end + 4;
            }
            if self.fill()? == 0 {
                return if self.ahead.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let bytes = self.take(end);
        let text = String::from_utf8_lossy(&bytes);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().splitn(3, ' ').map(str::to_owned).collect();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect();
        Ok(Some(Head { first, headers }))
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|window| window == b"\r\n") {
                let line = self.take(end + 2);
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.take(count))
    }

    /// The next chunk of a chunked body; `None` at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.read_line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size =
            usize::from_str_radix(size, 16).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if size == 0 {
            while !self.read_line()?.is_empty() {}
            return Ok(None);
        }
        let chunk = self.read_exactly(size)?;
        self.read_exactly(2)?;
        Ok(Some(chunk))
    }

    /// Reads the body of a message, as its head says.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            while let Some(chunk) = self.read_chunk()? {
                body.extend(chunk);
            }
            return Ok(body);
        }
        let length = head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        self.read_exactly(length)
    }

    pub fn write_answer(&mut self, status: &str, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            out += &format!("{name}: {value}\r\n");
        }
        out += "\r\n";
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// How a request of a client ended.
#[derive(Debug, Clone)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body came.
    pub is_whole: bool,
    pub note: String,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends one request on a connection of its own.
pub fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    within: Duration,
) -> Answer {
    let started = Instant::now();
    let mut answer = Answer {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        is_whole: false,
        note: String::new(),
        took: Duration::ZERO,
    };
    if let Err(error) = exchange(to, method, path, headers, body, within, &mut answer) {
        answer.note = error.kind().to_string();
    }
    answer.took = started.elapsed();
    answer
}

fn exchange(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    within: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(within))?;
    let mut connection = Connection::new(stream);
    let mut out = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        out += &format!("Content-Length: {}\r\n", body.len());
    }
    out += "\r\n";
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    connection.stream.write_all(&bytes)?;
    let Some(head) = connection.read_head()? else { return Err(io::ErrorKind::ConnectionReset.into()) };
    answer.status = head.status();
    answer.headers = head.headers.clone();
    if head.header("transfer-encoding").is_some() {
        while let Some(chunk) = connection.read_chunk()? {
            answer.body.extend(chunk);
        }
    } else {
        answer.body = connection.read_body(&head)?;
    }
    answer.is_whole = true;
    Ok(())
}
