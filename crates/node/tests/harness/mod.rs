//! Test harness on loopback: a node between callers that speak raw HTTP and scripted back ends.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sumacdrift_config::{ApiKeyHash, Settings};
use sumacdrift_node::{Node, StartOptions, discard_logger};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time after which a test that waits fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const KEY: &str = "test-key-0123456789";

/// A request as a back end received it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Number of the request, from 0.
    pub number: usize,
    /// Number of earlier requests on its connection.
    pub earlier_on_connection: usize,
}

/// What a back end does after a request: sends this text, and closes the connection or keeps it.
pub struct Response {
    pub text: String,
    pub closes: bool,
}

/// A response with a length.
pub fn whole(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A server that responds as a script says.
pub struct BackEnd {
    address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl BackEnd {
    pub async fn start(script: impl Fn(&ReceivedRequest) -> Response + Send + Sync + 'static) -> BackEnd {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let received: Arc<Mutex<Vec<ReceivedRequest>>> = Arc::default();
        let (script, requests) = (Arc::new(script), Arc::clone(&received));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (script, requests) = (Arc::clone(&script), Arc::clone(&requests));
                tokio::spawn(async move { serve_connection(stream, script.as_ref(), &requests).await });
            }
        });
        BackEnd { address, received }
    }

    pub fn requests(&self) -> usize {
        self.received.lock().expect("requests").len()
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    script: &(dyn Fn(&ReceivedRequest) -> Response + Send + Sync),
    received: &Mutex<Vec<ReceivedRequest>>,
) {
    let mut buffer = Vec::new();
    let mut earlier_on_connection = 0;
    while read_request(&mut stream, &mut buffer).await {
        let request = {
            let mut received = received.lock().expect("requests");
            let request = ReceivedRequest { number: received.len(), earlier_on_connection };
            received.push(request.clone());
            request
        };
        earlier_on_connection += 1;
        let response = script(&request);
        if stream.write_all(response.text.as_bytes()).await.is_err() || response.closes {
            return;
        }
    }
}

/// Reads a request; returns whether one has come before the connection ended.
async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
            let length =
                head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
            let length = end + 4 + length.unwrap_or(0_usize);
            if buffer.len() >= length {
                buffer.drain(..length);
                return true;
            }
        }
        if !matches!(stream.read_buf(buffer).await, Ok(read) if read > 0) {
            return false;
        }
    }
}

/// A response as a caller received it.
#[derive(Debug)]
pub struct Reply {
    pub text: String,
    /// Whether the connection was reset.
    pub is_reset: bool,
}

impl Reply {
    pub fn status(&self) -> u16 {
        self.text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn body(&self) -> &str {
        self.text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }
}

/// A node with this back end as its only service and engine.
pub struct TestNode {
    node: Node,
}

impl TestNode {
    pub async fn start(back_end: &BackEnd) -> TestNode {
        let file = tempfile_path(back_end.address);
        std::fs::write(&file, bundle(back_end.address)).expect("write the bundle");
        let settings = format!(
            "[node]\nid = 1\nzone = \"z\"\nregion = \"r\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
             [fleet]\nfounders = [1]\nshards = 1\n[platform]\nbundle_file = \"{}\"\n",
            file.display()
        );
        let settings = Settings::parse("test", &settings).expect("valid settings");
        let options = StartOptions::with_logger(discard_logger());
        let node = Node::start(settings, options).await.expect("the node starts");
        std::fs::remove_file(&file).expect("remove the bundle");
        let serving = async {
            while !node.is_ready() || node.shards().led == 0 {
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, serving).await.expect("the node is ready");
        TestNode { node }
    }

    /// Sends a request on a new connection and reads the reply until the connection ends.
    pub async fn call(&self, version: &str, path: &str, headers: &str, body: &str) -> Reply {
        let address = self.node.addresses().caller_listener;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let request = format!(
            "POST {path} {version}\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer {KEY}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n{headers}\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).await.expect("a request");
        let mut bytes = Vec::new();
        let reading = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes)).await;
        let read = reading.expect("reply before the timeout");
        let is_reset = read.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset);
        Reply { text: String::from_utf8_lossy(&bytes).into_owned(), is_reset }
    }
}

/// A file that no other test uses: no two back ends have the same port.
fn tempfile_path(back_end: SocketAddr) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("sumacdrift-back-end-{}-{}.toml", std::process::id(), back_end.port()))
}

fn bundle(back_end: SocketAddr) -> String {
    format!(
        "schema = 1\ngeneration = 1\n[[priority]]\nname = \"usual\"\nrank = 0\n\
         [[pool]]\nname = \"language\"\nmodels = [\"model\"]\ndeadline_seconds = 10\nstall_timeout_seconds = 5\n\
         [[pool.engine]]\nname = \"engine\"\naddress = \"{back_end}\"\nzone = \"z\"\n\
         [[service]]\nname = \"hooks\"\ndeadline_seconds = 5\n\
         [[service.back_end]]\naddress = \"{back_end}\"\nzone = \"z\"\n\
         [[service.route]]\npath_prefix = \"/status\"\nrepeatable = true\n\
         [[service.route]]\npath_prefix = \"/\"\nrepeatable = false\n\
         [[tenant]]\nname = \"tenant\"\nkey_sha256 = [\"{}\"]\npriority = \"usual\"\npools = [\"language\"]\n\
         services = [\"hooks\"]\nmax_calls_per_node = 100\n[tenant.budget]\noutput_tokens = 100000\n",
        ApiKeyHash::of(KEY)
    )
}
