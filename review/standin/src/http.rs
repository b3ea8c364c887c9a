//! HTTP/1.1 as far as the stand-ins need it: bodies with a length, no chunks.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Head and body of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| &**value)
    }

    /// Returns the method and the path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap_or("")
    }
}

/// A connection that reads messages. Bytes after a message are kept.
pub struct Connection {
    pub stream: TcpStream,
    /// Status of an answer that a faulty endpoint writes once more, at the point
    /// where the next answer is expected.
    pub extra: Option<u16>,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            extra: None,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, limit)?))
    }

    fn fill(&mut self) -> std::io::Result<()> {
        let mut bytes = [0; 65536];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    /// Reads a whole message.
    pub fn read(&mut self) -> std::io::Result<Message> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            first,
            headers,
            body: Vec::new(),
        };
        let length: usize = message
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        while self.buffer.len() < end + 4 + length {
            self.fill()?;
        }
        message.body = self.buffer[end + 4..end + 4 + length].to_vec();
        self.buffer.drain(..end + 4 + length);
        Ok(message)
    }

    pub fn write(&mut self, first: &str, headers: &[(&str, &str)], body: &[u8]) -> std::io::Result<()> {
        let mut head = format!("{first}\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
        self.stream.write_all(&[head.as_bytes(), body].concat())
    }

    pub fn reply(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> std::io::Result<()> {
        self.write(&format!("HTTP/1.1 {status} -"), headers, body)
    }

    /// Waits for `time`, or until the other side closes the connection; returns
    /// whether it did.
    pub fn closes_within(&self, time: Duration) -> bool {
        let until = std::time::Instant::now() + time;
        let _ = self.stream.set_read_timeout(Some(Duration::from_millis(10)));
        let mut closed = false;
        while std::time::Instant::now() < until && !closed {
            match self.stream.peek(&mut [0]) {
                Ok(0) => closed = true,
                Ok(_) => std::thread::sleep(Duration::from_millis(5)),
                Err(error) => {
                    closed = !matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut);
                }
            }
        }
        let _ = self.stream.set_read_timeout(None);
        closed
    }
}

/// Serves each connection in a thread of its own, until the process ends or
/// `handle` returns an error.
pub fn serve(listener: TcpListener, handle: Arc<dyn Fn(&mut Connection, Message) -> std::io::Result<()> + Send + Sync>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(message) = connection.read() {
                    if handle(&mut connection, message).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends one request on a new connection and returns the response.
pub fn call(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> std::io::Result<Message> {
    let mut connection = Connection::open(address, Duration::from_secs(1))?;
    connection.stream.set_read_timeout(Some(limit))?;
    let host = address.to_string();
    let mut all = headers.to_vec();
    if !headers.iter().any(|(name, _)| *name == "host") {
        all.push(("host", &host));
    }
    connection.write(&format!("{first} HTTP/1.1"), &all, body)?;
    connection.read()
}
