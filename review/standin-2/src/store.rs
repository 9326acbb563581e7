//! The platform's store: objects by kind and name, conditional writes and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, accept_all, read_message, respond};
use crate::json::Json;

/// Time of one answer, as on the sheet of a small site.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// How long changes are kept, as on the sheet of a small site.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Arc<Json>,
    /// The whole object as text.
    text: Arc<str>,
}

struct Event {
    at: Instant,
    revision: u64,
    kind: String,
    tombstone: bool,
    object: Arc<str>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// How long a watch may wait before it is cut; `None` for as long as it asks.
    longest_wait: Mutex<Option<Duration>>,
}

impl Object {
    fn new(name: &str, revision: u64, created: u64, spec: Arc<Json>) -> Self {
        let mut text = format!(
            r#"{{"Metadata":{{"Name":"{name}","Revision":{revision},"Created":{created},"Finalizers":[],"Deleting":false}},"Spec":"#
        );
        spec.write(&mut text);
        text.push_str(r#","Status":null}"#);
        Self { revision, created, spec, text: text.into() }
    }
}

impl Store {
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let store = Arc::clone(self);
        accept_all(listener, move |stream| {
            let _ = store.serve_connection(stream);
        });
        Ok(address)
    }

    /// Cuts each watch that has waited for this long: its connection ends without an answer.
    pub fn cut_watches_after(&self, wait: Duration) {
        *self.longest_wait.lock().unwrap() = Some(wait);
    }

    /// Writes an object like the operator or a backend; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> u64 {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = state.objects.get(&key).filter(|known| *known.spec == spec) {
            return known.revision;
        }
        state.revision += 1;
        let revision = state.revision;
        let created = state.objects.get(&key).map_or(revision, |known| known.created);
        let object = Object::new(name, revision, created, Arc::new(spec));
        state.record(kind, &object, false);
        state.objects.insert(key, object);
        drop(state);
        self.changed.notify_all();
        revision
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        let object = Object::new(name, state.revision, object.created, object.spec);
        state.record(kind, &object, true);
        drop(state);
        self.changed.notify_all();
    }

    /// The content of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Arc<Json>> {
        let state = self.state.lock().unwrap();
        state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .map(|object| Arc::clone(&object.spec))
    }

    fn serve_connection(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader, 8 << 20)? {
            let Some(answer) = self.answer(&request) else { return Ok(()) };
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = answer;
            respond(&mut writer, status, &[("Content-Type", "application/json")], body.as_bytes())?;
        }
        Ok(())
    }

    /// Answers a request; `None` if its watch is cut.
    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let mut parts = path.trim_start_matches("/objects/").splitn(3, '/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let query = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == wanted).map(|(_, value)| value.to_owned())
        };
        let body =
            || std::str::from_utf8(&request.body).ok().and_then(Json::parse).unwrap_or(Json::Null);
        Some(match (request.method(), name) {
            ("GET", None) => match query("Watch").and_then(|from| from.parse().ok()) {
                Some(from) => {
                    let wait = query("WaitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    self.watch(&kind, from, Duration::from_millis(wait))?
                }
                None => self.list(&kind, query("after")),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some(object) => (200, object.text.to_string()),
                    None => (404, String::new()),
                }
            }
            ("POST", None) => self.write(&kind, None, body()),
            ("PUT", Some(name)) => self.write(&kind, Some(name), body()),
            ("DELETE", Some(name)) => {
                self.delete(&kind, &name);
                (200, String::new())
            }
            _ => (400, String::new()),
        })
    }

    fn list(&self, kind: &str, after: Option<String>) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((other, name), _)| {
            other == kind && after.as_ref().is_none_or(|after| name > after)
        });
        let items: Vec<&str> = of_kind.map(|(_, object)| &*object.text).collect();
        let (items, revision) = (items.join(","), state.revision);
        (200, format!(r#"{{"items":[{items}],"Truncated":false,"AsOf":{revision}}}"#))
    }

    /// Waits for changes of a kind; `None` if the watch is cut.
    fn watch(&self, kind: &str, from: u64, wait: Duration) -> Option<(u16, String)> {
        let longest = *self.longest_wait.lock().unwrap();
        let is_cut = longest.is_some_and(|longest| longest < wait);
        let until = Instant::now() + longest.unwrap_or(wait).min(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            if from < state.forgotten {
                return Some((410, String::new()));
            }
            let matches = |event: &&Event| event.kind == kind && event.revision > from;
            let events: Vec<String> = state
                .events
                .iter()
                .filter(matches)
                .map(|event| {
                    format!(r#"{{"Tombstone":{},"Object":{}}}"#, event.tombstone, event.object)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() && events.is_empty() && is_cut {
                return None;
            }
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return Some((200, format!(r#"{{"events":[{events}],"AsOf":{revision}}}"#)));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: Option<String>, body: Json) -> (u16, String) {
        let metadata = body.get("Metadata").cloned().unwrap_or(Json::Null);
        let creates = name.is_none();
        let Some(name) = name.or_else(|| metadata.get("Name")?.text().map(str::to_owned)) else {
            return (400, String::new());
        };
        let expected = metadata.get("Revision").and_then(Json::number);
        let spec = body.get("Spec").cloned().unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        match &known {
            Some(known) if creates => return (409, known.text.to_string()),
            Some(known) if expected.is_some_and(|expected| expected != known.revision as f64) => {
                return (409, known.text.to_string());
            }
            Some(known) if *known.spec == spec => return (200, known.text.to_string()),
            None if !creates => return (404, String::new()),
            _ => {}
        }
        state.revision += 1;
        let revision = state.revision;
        let created = known.as_ref().map_or(revision, |known| known.created);
        let object = Object::new(&name, revision, created, Arc::new(spec));
        let answer = object.text.to_string();
        state.record(kind, &object, false);
        state.objects.insert((kind.to_owned(), name), object);
        drop(state);
        self.changed.notify_all();
        (if creates { 201 } else { 200 }, answer)
    }
}

impl State {
    fn record(&mut self, kind: &str, object: &Object, tombstone: bool) {
        let object = Arc::clone(&object.text);
        let kind = kind.to_owned();
        self.events.push(Event {
            at: Instant::now(),
            revision: self.revision,
            kind,
            tombstone,
            object,
        });
        while self.events.first().is_some_and(|event| event.at.elapsed() > HISTORY) {
            self.forgotten = self.events.remove(0).revision;
        }
    }
}
