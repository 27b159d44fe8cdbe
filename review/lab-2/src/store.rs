//! A stand-in for the platform's store: objects by kind and name, one counter of revisions, lists, watches and
//! conditional writes, as PROTOCOL.md describes them. It is always sound: it loses nothing and answers at once.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::json::{list, number, table, text, Json};

const PAGE: usize = 500;

#[derive(Default)]
struct Content {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Json>>,
    /// Kind, revision, object and whether it is gone.
    history: Vec<(String, u64, Json, bool)>,
}

#[derive(Default)]
pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: Json, status: Json) -> Json {
        self.revision += 1;
        let known = self.kinds.get(kind).and_then(|objects| objects.get(name));
        let made = known
            .and_then(|object| object.get("metadata").get("made").number())
            .unwrap_or(self.revision as f64);
        let object = table([
            (
                "metadata",
                table([
                    ("name", text(name)),
                    ("rev", number(self.revision as f64)),
                    ("made", number(made)),
                    ("finalizers", list([])),
                    ("deleting", Json::Bool(false)),
                ]),
            ),
            ("spec", spec),
            ("status", status),
        ]);
        self.kinds.entry(kind.to_owned()).or_default().insert(name.to_owned(), object.clone());
        self.history.push((kind.to_owned(), self.revision, object.clone(), false));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.kinds.get_mut(kind).and_then(|objects| objects.remove(name)) else {
            return false;
        };
        self.revision += 1;
        self.history.push((kind.to_owned(), self.revision, object, true));
        true
    }

    fn find(&self, kind: &str, name: &str) -> Option<Json> {
        self.kinds.get(kind)?.get(name).cloned()
    }
}

/// An address at which the store is served.
#[derive(Clone)]
pub struct Front {
    address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Front {
    /// Ends the service at this address.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

impl Store {
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<Front> {
        let listener = TcpListener::bind(address)?;
        let front = Front { address, is_closed: Arc::default(), connections: Arc::default() };
        let (store, accepting) = (Arc::clone(self), front.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_closed.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepting.connections.lock().unwrap().push(copy);
                }
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(front)
    }

    /// A write of the operator or of an engine.
    pub fn write(&self, kind: &str, name: &str, spec: Json) {
        let mut content = self.content.lock().unwrap();
        let status = content.find(kind, name).map_or(Json::Null, |object| object.get("status").clone());
        content.put(kind, name, spec, status);
        self.changed.notify_all();
    }

    pub fn erase(&self, kind: &str, name: &str) {
        self.content.lock().unwrap().remove(kind, name);
        self.changed.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else { return };
            let (status, answer) = self.answer(&head, &body);
            let headers = [("content-type", "application/json".to_owned())];
            if connection.write_answer(status, &headers, answer.to_string().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, Json) {
        let target = head.first.get(1).map_or("", String::as_str);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let Some(path) = path.strip_prefix("/api/objects/") else { return ("404 Not Found", Json::Null) };
        let parts: Vec<&str> = path.split('/').collect();
        let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        match (head.first[0].as_str(), parts.as_slice()) {
            ("GET", [kind]) => match query.get("watch") {
                Some(since) => self.watch(kind, since.parse().unwrap_or(0), &query),
                None => self.list(kind, query.get("after").copied().unwrap_or("")),
            },
            ("GET", [kind, name]) => match self.content.lock().unwrap().find(kind, name) {
                Some(object) => ("200 OK", object),
                None => ("404 Not Found", Json::Null),
            },
            ("POST", [kind]) => {
                let name = body.get("metadata").get("name").text().unwrap_or_default().to_owned();
                let mut content = self.content.lock().unwrap();
                if let Some(known) = content.find(kind, &name) {
                    return ("409 Conflict", known);
                }
                let made = content.put(kind, &name, body.get("spec").clone(), body.get("status").clone());
                self.changed.notify_all();
                ("200 OK", made)
            }
            ("PUT", [kind, name]) => self.replace(kind, name, &body, &query, "spec"),
            ("PUT", [kind, name, "status"]) => self.replace(kind, name, &body, &query, "status"),
            ("DELETE", [kind, name]) => {
                let is_gone = self.content.lock().unwrap().remove(kind, name);
                self.changed.notify_all();
                (if is_gone { "200 OK" } else { "404 Not Found" }, Json::Null)
            }
            _ => ("404 Not Found", Json::Null),
        }
    }

    fn replace(
        &self,
        kind: &str,
        name: &str,
        body: &Json,
        query: &BTreeMap<&str, &str>,
        field: &str,
    ) -> (&'static str, Json) {
        let mut content = self.content.lock().unwrap();
        let Some(known) = content.find(kind, name) else { return ("404 Not Found", Json::Null) };
        let expected = body.get("metadata").get("rev").number();
        let expected = expected.or_else(|| query.get("rev").and_then(|rev| rev.parse().ok()));
        if expected.is_some() && expected != known.get("metadata").get("rev").number() {
            return ("409 Conflict", known);
        }
        if known.get(field) == body.get(field) {
            // Raises no revision and no event.
            return ("200 OK", known);
        }
        let spec = if field == "spec" { body } else { &known }.get("spec").clone();
        let status = if field == "status" { body } else { &known }.get("status").clone();
        let object = content.put(kind, name, spec, status);
        self.changed.notify_all();
        ("200 OK", object)
    }

    fn list(&self, kind: &str, after: &str) -> (&'static str, Json) {
        let content = self.content.lock().unwrap();
        let objects = content.kinds.get(kind).into_iter().flatten();
        let mut rest = objects.filter(|(name, _)| name.as_str() > after).map(|(_, object)| object.clone());
        let items: Vec<Json> = rest.by_ref().take(PAGE).collect();
        let more = rest.next().is_some();
        let at = number(content.revision as f64);
        ("200 OK", table([("items", list(items)), ("more", Json::Bool(more)), ("at", at)]))
    }

    fn watch(&self, kind: &str, since: u64, query: &BTreeMap<&str, &str>) -> (&'static str, Json) {
        let wait = query.get("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0).min(30_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut content = self.content.lock().unwrap();
        loop {
            let newer =
                content.history.iter().filter(|(known, revision, _, _)| known == kind && *revision > since);
            let events: Vec<Json> = newer
                .map(|(_, _, object, gone)| table([("object", object.clone()), ("gone", Json::Bool(*gone))]))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = number(content.revision as f64);
                return ("200 OK", table([("events", list(events)), ("at", at)]));
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }
}
