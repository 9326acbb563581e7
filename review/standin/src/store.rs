//! The platform's store of objects: lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{response, Connection, Message};
use crate::json;

/// Usual time until an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Content {
    revision: u64,
    /// Revision and spec by kind and name.
    kinds: BTreeMap<String, BTreeMap<String, (u64, String)>>,
    /// Revision, kind and object of each change, and whether it was removed.
    changes: Vec<(u64, String, String, bool)>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Content>, Condvar)>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"Metadata":{{"Name":"{name}","Revision":{revision},"Created":1,"Finalizers":[],"Deleting":false}},"Spec":{spec},"Status":null}}"#
    )
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let known = self.kinds.entry(kind.to_owned()).or_default();
        if let Some((revision, old)) = known.get(name) {
            if old == spec {
                // A write that changes nothing raises no revision.
                return object(name, *revision, spec);
            }
        }
        self.revision += 1;
        known.insert(name.to_owned(), (self.revision, spec.to_owned()));
        let text = object(name, self.revision, spec);
        self.changes.push((self.revision, kind.to_owned(), text.clone(), false));
        text
    }
}

impl Store {
    /// Starts the store at a free loopback address.
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("the store's address");
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        address
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.shared.0.lock().unwrap().put(kind, name, spec);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut content = self.shared.0.lock().unwrap();
        let removed = content.kinds.get_mut(kind).and_then(|known| known.remove(name));
        if let Some((_, spec)) = removed {
            content.revision += 1;
            let revision = content.revision;
            let text = object(name, revision, &spec);
            content.changes.push((revision, kind.to_owned(), text, true));
        }
        drop(content);
        self.shared.1.notify_all();
    }

    /// The spec of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let content = self.shared.0.lock().unwrap();
        Some(content.kinds.get(kind)?.get(name)?.1.clone())
    }

    /// All objects of a kind whose name is unknown.
    pub fn kinds(&self) -> Vec<String> {
        self.shared.0.lock().unwrap().kinds.keys().cloned().collect()
    }

    pub fn all(&self, kind: &str) -> Vec<(String, String)> {
        let content = self.shared.0.lock().unwrap();
        let known = content.kinds.get(kind).cloned().unwrap_or_default();
        known.into_iter().map(|(name, (_, spec))| (name, spec)).collect()
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read(None) {
            std::thread::sleep(ANSWER_TIME);
            let answer = self.answer(&request);
            if !connection.write(&answer) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let path = path.trim_start_matches("/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let json = [("Content-Type", "application/json")];
        match request.method() {
            "GET" if !name.is_empty() => {
                let content = self.shared.0.lock().unwrap();
                match content.kinds.get(kind).and_then(|known| known.get(name)) {
                    Some((revision, spec)) => response(200, &json, &object(name, *revision, spec)),
                    None => response(404, &json, "{}"),
                }
            }
            "GET" => match parameter("Watch").and_then(|from| from.parse().ok()) {
                Some(from) => {
                    let wait = parameter("WaitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    response(200, &json, &self.watch(kind, from, Duration::from_millis(wait)))
                }
                None => {
                    response(200, &json, &self.list(kind, &parameter("after").unwrap_or_default()))
                }
            },
            "POST" | "PUT" => self.write(kind, name, &String::from_utf8_lossy(&request.body)),
            _ => response(404, &json, "{}"),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let content = self.shared.0.lock().unwrap();
        let empty = BTreeMap::new();
        let known = content.kinds.get(kind).unwrap_or(&empty);
        let items: Vec<String> = known
            .iter()
            .filter(|(name, _)| name.as_str() > after)
            .map(|(name, (revision, spec))| object(name, *revision, spec))
            .collect();
        format!(
            r#"{{"items":[{}],"Truncated":false,"AsOf":{}}}"#,
            items.join(","),
            content.revision
        )
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut content = self.shared.0.lock().unwrap();
        loop {
            let events: Vec<String> = content
                .changes
                .iter()
                .filter(|(revision, changed, _, _)| *revision > from && changed == kind)
                .map(|(_, _, text, removed)| {
                    format!(r#"{{"Tombstone":{removed},"Object":{text}}}"#)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    r#"{{"events":[{}],"AsOf":{}}}"#,
                    events.join(","),
                    content.revision
                );
            }
            content = self.shared.1.wait_timeout(content, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: &str, body: &str) -> Vec<u8> {
        let json = [("Content-Type", "application/json")];
        let metadata = json::member(body, "Metadata").unwrap_or("{}");
        let is_new = name.is_empty();
        let name = json::text(metadata, "Name").unwrap_or(name);
        let expected: Option<u64> = json::number(metadata, "Revision");
        let spec = json::member(body, "Spec").unwrap_or("null");
        let mut content = self.shared.0.lock().unwrap();
        let known = content.kinds.get(kind).and_then(|known| known.get(name)).cloned();
        let answer = match known {
            Some((revision, spec))
                if is_new || expected.is_some_and(|expected| expected != revision) =>
            {
                response(409, &json, &object(name, revision, &spec))
            }
            None if !is_new => response(404, &json, "{}"),
            _ => {
                let written = content.put(kind, name, spec);
                response(200, &json, &written)
            }
        };
        drop(content);
        self.shared.1.notify_all();
        answer
    }
}
