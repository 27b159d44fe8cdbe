//! Stand-in of the platform's store: objects by kind and name, one counter of revisions, lists, watches, conditions.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Request, serve};
use crate::json::{Json, parse};
use crate::record::Record;

const PREFIX: &str = "/api/objects/";
const PAGE: usize = 500;
/// Time that each answer takes, as on the sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    rev: u64,
    made: u64,
    spec: Json,
    status: Json,
}

impl Object {
    fn to_json(&self, name: &str) -> Json {
        let number = |value: u64| Json::Number(value.to_string());
        let metadata = Json::Table(vec![
            ("name".into(), Json::Text(name.into())),
            ("rev".into(), number(self.rev)),
            ("made".into(), number(self.made)),
            ("finalizers".into(), Json::List(Vec::new())),
            ("deleting".into(), Json::Bool(false)),
        ]);
        Json::Table(vec![
            ("metadata".into(), metadata),
            ("spec".into(), self.spec.clone()),
            ("status".into(), self.status.clone()),
        ])
    }
}

struct Change {
    rev: u64,
    kind: String,
    object: Json,
    is_gone: bool,
}

#[derive(Default)]
struct Content {
    rev: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    history: Vec<Change>,
}

#[derive(Clone)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(at: SocketAddr, record: Record) -> std::io::Result<Self> {
        let store = Self { content: Arc::default(), record };
        let served = store.clone();
        serve(at, move |connection| served.serve(connection))?;
        Ok(store)
    }

    /// Writes as the operator or an engine.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = parse(spec).expect("a valid object");
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        let status =
            content.kinds.get(kind).and_then(|objects| objects.get(name)).map(|found| found.status.clone());
        content.write(kind, name, spec, status.unwrap_or(Json::Null));
        drop(content);
        changed.notify_all();
    }

    /// The status of an object.
    pub fn status(&self, kind: &str, name: &str) -> Option<Json> {
        self.content.0.lock().unwrap().kinds.get(kind)?.get(name).map(|object| object.status.clone())
    }

    /// The list of members that the system keeps: its epoch and their names.
    pub fn find_member_list(&self) -> Option<(u64, Vec<String>)> {
        let content = self.content.0.lock().unwrap();
        for objects in content.kinds.values() {
            for object in objects.values() {
                if let Some(found) = member_list(&object.spec) {
                    return Some(found);
                }
            }
        }
        None
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.request() {
            let (status, body) = self.answer(&request);
            std::thread::sleep(ANSWER_TIME);
            let reason = if status < 300 { "OK" } else { "No" };
            let head = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if connection.stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let Some(path) = path.strip_prefix(PREFIX) else { return (404, String::new()) };
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value)
        };
        let parts: Vec<&str> = path.split('/').collect();
        match (request.method.as_str(), &parts[..]) {
            ("GET", [kind]) => match parameter("watch").and_then(|text| text.parse().ok()) {
                Some(since) => {
                    let wait = parameter("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                    self.watch(kind, since, Duration::from_millis(wait))
                }
                None => self.list(kind, parameter("after").unwrap_or("")),
            },
            ("GET", [kind, name]) => {
                let content = self.content.0.lock().unwrap();
                match content.kinds.get(*kind).and_then(|objects| objects.get(*name)) {
                    Some(object) => (200, object.to_json(name).to_string()),
                    None => (404, String::new()),
                }
            }
            ("POST" | "PUT" | "DELETE", _) => {
                let body = parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
                self.write(&request.method, &parts, &body)
            }
            _ => (404, String::new()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let content = self.content.0.lock().unwrap();
        let objects = content.kinds.get(kind).into_iter().flatten();
        let mut left = objects.filter(|(name, _)| name.as_str() > after);
        let items: Vec<Json> = left.by_ref().take(PAGE).map(|(name, object)| object.to_json(name)).collect();
        let answer = Json::Table(vec![
            ("items".into(), Json::List(items)),
            ("more".into(), Json::Bool(left.next().is_some())),
            ("at".into(), Json::Number(content.rev.to_string())),
        ]);
        (200, answer.to_string())
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait.min(Duration::from_secs(30));
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        loop {
            let newer = content.history.iter().filter(|change| change.rev > since && change.kind == kind);
            let events: Vec<Json> = newer
                .map(|change| {
                    Json::Table(vec![
                        ("object".into(), change.object.clone()),
                        ("gone".into(), Json::Bool(change.is_gone)),
                    ])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let answer = Json::Table(vec![
                    ("events".into(), Json::List(events)),
                    ("at".into(), Json::Number(content.rev.to_string())),
                ]);
                return (200, answer.to_string());
            }
            content = changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn write(&self, method: &str, parts: &[&str], body: &Json) -> (u16, String) {
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        let named = body.get("metadata").and_then(|metadata| metadata.get("name")).and_then(Json::text);
        let wanted_rev = body.get("metadata").and_then(|metadata| metadata.get("rev")).and_then(Json::number);
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        let status = body.get("status").cloned().unwrap_or(Json::Null);
        let (kind, name) = match (parts, named) {
            ([kind], Some(name)) => ((*kind).to_owned(), name.to_owned()),
            ([kind, name] | [kind, name, "status"], _) => ((*kind).to_owned(), (*name).to_owned()),
            _ => return (404, String::new()),
        };
        let found = content.kinds.get(&kind).and_then(|objects| objects.get(&name)).cloned();
        if let Some(found) = &found
            && (method == "POST" || wanted_rev.is_some_and(|rev| rev != found.rev))
        {
            return (409, found.to_json(&name).to_string());
        }
        let is_status = parts.len() == 3;
        let written = match (method, found) {
            ("POST", None) => content.write(&kind, &name, spec.clone(), status),
            ("PUT", Some(found)) if is_status => content.write(&kind, &name, found.spec, status),
            ("PUT", Some(found)) => content.write(&kind, &name, spec.clone(), found.status),
            ("DELETE", Some(found)) => {
                content.remove(&kind, &name);
                found
            }
            _ => return (404, String::new()),
        };
        drop(content);
        changed.notify_all();
        self.record.line(&format!("store {method} {}", parts.join("/")));
        (200, written.to_json(&name).to_string())
    }
}

/// The epoch and the names of the members, if a spec is a group of the ledger.
pub fn member_list(spec: &Json) -> Option<(u64, Vec<String>)> {
    let members = spec.get("members")?.list();
    let names =
        members.iter().filter_map(|member| member.get("node").and_then(Json::text)).map(str::to_owned);
    Some((spec.get("epoch").and_then(Json::number)?, names.collect()))
}

impl Content {
    fn write(&mut self, kind: &str, name: &str, spec: Json, status: Json) -> Object {
        self.rev += 1;
        let rev = self.rev;
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        let made = objects.get(name).map_or(rev, |found| found.made);
        let object = Object { rev, made, spec, status };
        objects.insert(name.to_owned(), object.clone());
        let change = Change { rev, kind: kind.into(), object: object.to_json(name), is_gone: false };
        self.history.push(change);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.kinds.get_mut(kind).and_then(|objects| objects.remove(name)) {
            self.rev += 1;
            let object = Object { rev: self.rev, ..object };
            let change =
                Change { rev: self.rev, kind: kind.into(), object: object.to_json(name), is_gone: true };
            self.history.push(change);
        }
    }
}
