//! HTTP/1.1 on blocking sockets: requests for the servers, answers for the clients.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// A connection with what was read ahead.
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
        let mut buffer = [0_u8; 16 << 10];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.ahead.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            if self.fill()? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
            }
        }
        Ok(self.ahead.drain(..count).collect())
    }

    fn headers(&mut self) -> io::Result<Option<Vec<(String, String)>>> {
        let mut headers = Vec::new();
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(headers));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// The next request; `None` when the peer has closed the connection.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some(first) = self.line()? else { return Ok(None) };
        let mut words = first.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (method, path) = (method.to_owned(), path.to_owned());
        let Some(headers) = self.headers()? else { return Ok(None) };
        let body = match header(&headers, "content-length").and_then(|text| text.parse().ok()) {
            Some(length) => self.exactly(length)?,
            None if header(&headers, "transfer-encoding").is_some() => {
                let mut body = Vec::new();
                while let Some(chunk) = self.chunk()? {
                    body.extend_from_slice(&chunk);
                }
                body
            }
            None => Vec::new(),
        };
        Ok(Some(Request { method, path, headers, body }))
    }

    /// The next chunk of a chunked body; `None` at its regular end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let Some(size) = self.line()? else { return Err(io::Error::from(io::ErrorKind::UnexpectedEof)) };
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let content = self.exactly(size)?;
        match self.line()? {
            Some(end) if end.is_empty() => Ok((size > 0).then_some(content)),
            _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
        }
    }
}

/// A listener on an address; each connection is served by a thread of its own.
pub fn serve(at: SocketAddr, handler: impl Fn(Connection) + Send + Sync + Clone + 'static) -> io::Result<()> {
    let listener = TcpListener::bind(at)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = std::thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || handler(Connection::new(stream)));
        }
    });
    Ok(())
}

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0: no answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has come to its regular end.
    pub is_whole: bool,
    /// Why there is none, or no more of it.
    pub error: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Sends a request on a connection of its own and reads the answer until `deadline`. `on_body` sees each part of the body
/// and says whether to go on; if not, the connection is closed.
pub fn call(
    to: SocketAddr,
    head: &str,
    body: &[u8],
    within: Duration,
    mut on_body: impl FnMut(&[u8]) -> bool,
) -> Answer {
    let deadline = Instant::now() + within;
    let mut answer = Answer::default();
    let outcome = (|| -> io::Result<()> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1).min(within))?;
        let mut connection = Connection::new(stream);
        let left = |deadline: Instant| {
            deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))
        };
        connection.stream.set_write_timeout(Some(left(deadline)))?;
        connection.stream.set_read_timeout(Some(left(deadline)))?;
        let mut bytes = Vec::with_capacity(head.len() + body.len());
        bytes.extend_from_slice(head.as_bytes());
        bytes.extend_from_slice(body);
        connection.stream.write_all(&bytes)?;
        let Some(first) = connection.line()? else {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer"));
        };
        answer.status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        answer.headers = connection.headers()?.unwrap_or_default();
        if header(&answer.headers, "transfer-encoding").is_some() {
            loop {
                connection.stream.set_read_timeout(Some(left(deadline)))?;
                let Some(chunk) = connection.chunk()? else { break };
                let goes_on = on_body(&chunk);
                answer.body.extend_from_slice(&chunk);
                if !goes_on {
                    answer.error = "given up by the client".to_owned();
                    return Ok(());
                }
            }
        } else {
            let length =
                header(&answer.headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            answer.body = connection.exactly(length)?;
        }
        answer.is_whole = true;
        Ok(())
    })();
    if let Err(error) = outcome {
        answer.error = error.to_string().replace(' ', "_");
    }
    answer
}
