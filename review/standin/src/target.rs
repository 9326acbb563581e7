//! A backend: runs requests in its slots, holds keys under grants, and is disturbed on demand.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{response, Connection, Message};
use crate::json;
use crate::record::Record;
use crate::store::Store;

/// Header by which callers tell their zone; targets get it like any other header.
pub const CALLER_ZONE: &str = "x-caller-zone";

/// What a backend is.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub sharded: bool,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
}

/// A grant that a backend accepted.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    pub first: u16,
    pub last: u16,
    pub fence: u64,
    pub from: f64,
    pub to: f64,
}

/// A request that a backend began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub target: String,
    pub id: String,
    pub key: Option<u16>,
}

#[derive(Default)]
struct Keys {
    /// Highest fence seen, lease end and since when it is held, by key.
    seen: BTreeMap<u16, u64>,
    /// Grants in force or over, by first key, last key and fence.
    holds: Vec<Hold>,
}

struct Inner {
    plan: Plan,
    address: SocketAddr,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    keys: Mutex<Keys>,
    busy: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicU64,
    /// One in this many answers is sent a second time, late; 0 for none.
    extra_one_in: AtomicU64,
    answers: AtomicU64,
    /// Milliseconds after which grants are carried out without an answer; 0 if they are answered.
    grants_late_ms: AtomicU64,
    swallowed: AtomicU64,
    cut: AtomicBool,
    connections: Mutex<Vec<(bool, TcpStream)>>,
}

/// A running backend.
#[derive(Clone)]
pub struct Target(Arc<Inner>);

impl Target {
    pub fn start(plan: Plan, record: &Record, runs: &Arc<Mutex<Vec<Run>>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a backend");
        let address = listener.local_addr().expect("a backend's address");
        let target = Self(Arc::new(Inner {
            plan,
            address,
            record: record.clone(),
            runs: Arc::clone(runs),
            keys: Mutex::default(),
            busy: Mutex::new(0),
            freed: Condvar::new(),
            waiting: AtomicU64::new(0),
            extra_one_in: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            grants_late_ms: AtomicU64::new(0),
            swallowed: AtomicU64::new(0),
            cut: AtomicBool::new(false),
            connections: Mutex::default(),
        }));
        let accepting = target.clone();
        std::thread::spawn(move || accepting.accept(listener));
        target
    }

    pub fn id(&self) -> &str {
        &self.0.plan.id
    }

    pub fn zone(&self) -> &str {
        &self.0.plan.zone
    }

    /// Writes the backend's entry at each heartbeat, as long as it is not cut off.
    pub fn list(&self, store: &Store, heartbeat: Duration) {
        let (target, store) = (self.clone(), store.clone());
        std::thread::spawn(move || {
            let mut sequence = 1;
            let mut written = Instant::now();
            loop {
                let plan = &target.0.plan;
                if !target.0.cut.load(Ordering::SeqCst) {
                    let spec = format!(
                        r#"{{"Address":"{}","Info":{{"Service":"{}","Version":"v1","Zone":"{}","Slots":{}}},"Status":{{"State":"ready","Seq":{sequence},"ColdLeftS":0}}}}"#,
                        target.0.address, plan.service, plan.zone, plan.slots
                    );
                    store.put("servers", &plan.id, &spec);
                    sequence += 1;
                    written = Instant::now();
                } else if written.elapsed() >= heartbeat * 3
                    && store.get("servers", &plan.id).is_some()
                {
                    // The store removes an entry after three heartbeats without a write.
                    store.remove("servers", &plan.id);
                    target.0.record.note(format!("store: the entry of {} lapses", plan.id));
                }
                std::thread::sleep(heartbeat.min(Duration::from_millis(300)));
            }
        });
    }

    /// From now on one in `count` answers is also sent a second time, late.
    pub fn send_extras(&self, count: u64) {
        self.0.extra_one_in.store(count, Ordering::SeqCst);
    }

    /// From now on grants are left unanswered and carried out this much later.
    pub fn take_grants_late(&self, late: Duration) {
        self.0.grants_late_ms.store(late.as_millis() as u64, Ordering::SeqCst);
    }

    /// Number of grants that were left unanswered.
    pub fn swallowed(&self) -> u64 {
        self.0.swallowed.load(Ordering::SeqCst)
    }

    /// Cuts the backend off from everything but the VMs of its own zone: other connections are
    /// reset, and new ones are refused.
    pub fn cut(&self) {
        self.0.cut.store(true, Ordering::SeqCst);
        let mut connections = self.0.connections.lock().unwrap();
        for (own_zone, stream) in connections.iter() {
            if !own_zone {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        connections.retain(|(own_zone, _)| *own_zone);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.0.address);
    }

    pub fn heal(&self) {
        if !self.0.cut.swap(false, Ordering::SeqCst) {
            return;
        }
        let target = self.clone();
        std::thread::spawn(move || {
            while target.0.cut.load(Ordering::SeqCst) == false {
                if let Ok(listener) = TcpListener::bind(target.0.address) {
                    return target.accept(listener);
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
    }

    /// The grants that the backend accepted, with the time for which it held each.
    pub fn holds(&self) -> Vec<Hold> {
        self.0.keys.lock().unwrap().holds.clone()
    }

    fn accept(&self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.0.cut.load(Ordering::SeqCst) {
                return;
            }
            let target = self.clone();
            std::thread::spawn(move || target.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        // The copy of an answer that is due in the place of the next one.
        let mut extra: Option<Vec<u8>> = None;
        let mut known = false;
        while let Some(request) = connection.read(None) {
            if !known {
                known = true;
                let own_zone = request.header(CALLER_ZONE) == self.0.plan.zone;
                if let Ok(copy) = connection.stream.try_clone() {
                    self.0.connections.lock().unwrap().push((own_zone, copy));
                }
            }
            let path = request.target().split('?').next().unwrap_or("").to_owned();
            let answer = match path.as_str() {
                "/grant" => self.grant(&request),
                "/release" => Some(self.release(&request)),
                "/health" => {
                    Some(response(200, &[("Nickellead-Instance-Id", &self.0.plan.id)], ""))
                }
                _ => {
                    let answer = self.receive(&request, &mut connection, &mut extra);
                    self.plan_extra(&request, &answer, &mut extra);
                    Some(answer)
                }
            };
            match answer {
                Some(answer) if connection.write(&answer) => {}
                Some(_) => return,
                // An order that is left unanswered: nothing more is said on this connection.
                None => {}
            }
        }
    }

    /// Plans a second copy of an answer, which comes late.
    fn plan_extra(&self, request: &Message, answer: &[u8], extra: &mut Option<Vec<u8>>) {
        let one_in = self.0.extra_one_in.load(Ordering::SeqCst);
        let number = self.0.answers.fetch_add(1, Ordering::SeqCst);
        if one_in > 0 && number % one_in == 0 {
            let status = String::from_utf8_lossy(&answer[9..12]).into_owned();
            let id = request.header("nickellead-request-id");
            self.0.record.note(format!(
                "{} will send its answer {status} to {id} a second time",
                self.0.plan.id
            ));
            *extra = Some(answer.to_vec());
        }
    }

    fn refuse(&self, status: u16, id: &str) -> Vec<u8> {
        let headers = [
            ("Nickellead-Request-Id", id),
            ("Nickellead-Not-Executed", "1"),
            ("Nickellead-Instance-Id", &self.0.plan.id),
        ];
        response(status, &headers, "")
    }

    fn receive(
        &self,
        request: &Message,
        connection: &mut Connection,
        extra: &mut Option<Vec<u8>>,
    ) -> Vec<u8> {
        let (inner, plan) = (&self.0, &self.0.plan);
        let id = request.header("nickellead-request-id").to_owned();
        let send_extra = |connection: &mut Connection, extra: &mut Option<Vec<u8>>| {
            if let Some(copy) = extra.take() {
                inner.record.note(format!("{} sends the extra answer while {id} is due", plan.id));
                connection.write(&copy);
            }
        };
        let expected = request.header("nickellead-expect-instance");
        if !expected.is_empty() && expected != plan.id {
            send_extra(connection, extra);
            return self.refuse(421, &id);
        }
        let key: Option<u16> = request.header("nickellead-shard-key").parse().ok();
        if plan.sharded && !key.is_some_and(|key| self.holds_key(key)) {
            send_extra(connection, extra);
            return self.refuse(421, &id);
        }
        let left: u64 = request.header("nickellead-deadline-ms").parse().unwrap_or(60_000);
        let deadline = Instant::now() + Duration::from_millis(left);
        let mut busy = inner.busy.lock().unwrap();
        if *busy >= plan.slots {
            if inner.waiting.load(Ordering::SeqCst) >= plan.queue as u64 {
                drop(busy);
                inner.record.note(format!("{} refuses {id} 503", plan.id));
                send_extra(connection, extra);
                return self.refuse(503, &id);
            }
            inner.waiting.fetch_add(1, Ordering::SeqCst);
            while *busy >= plan.slots && Instant::now() < deadline {
                let wait = deadline.saturating_duration_since(Instant::now());
                busy = inner.freed.wait_timeout(busy, wait).unwrap().0;
            }
            inner.waiting.fetch_sub(1, Ordering::SeqCst);
            if *busy >= plan.slots {
                drop(busy);
                send_extra(connection, extra);
                return self.refuse(503, &id);
            }
        }
        *busy += 1;
        drop(busy);
        let at = inner.record.now();
        inner.runs.lock().unwrap().push(Run { at, target: plan.id.clone(), id: id.clone(), key });
        let key_text = key.map_or(String::new(), |key| format!(" key {key}"));
        inner.record.note(format!("{} runs {id}{key_text}", plan.id));
        send_extra(connection, extra);
        std::thread::sleep(plan.work.min(deadline.saturating_duration_since(Instant::now())));
        *inner.busy.lock().unwrap() -= 1;
        inner.freed.notify_one();
        let headers =
            [("Nickellead-Request-Id", id.as_str()), ("Nickellead-Response-Seal", "stand-in")];
        response(200, &headers, &format!("the answer to {id}"))
    }

    fn holds_key(&self, key: u16) -> bool {
        let now = self.0.record.now();
        let keys = self.0.keys.lock().unwrap();
        keys.holds.iter().any(|hold| hold.first <= key && key <= hold.last && now < hold.to)
    }

    /// Carries out a grant; `false` if a higher fence was seen.
    fn take(&self, body: &str, how: &str) -> Option<bool> {
        let first: u16 = json::number(body, "RangeStart")?;
        let last: u16 = json::number(body, "TargetVersion")?;
        let fence: u64 = json::number(body, "fence")?;
        let hold: f64 = json::number(body, "HoldS")?;
        let now = self.0.record.now();
        let mut keys = self.0.keys.lock().unwrap();
        let higher = keys.seen.range(first..=last).any(|(_, seen)| *seen > fence);
        if !higher {
            for key in first..=last {
                keys.seen.insert(key, fence);
            }
            let same = keys.holds.iter_mut().rev().find(|known| {
                (known.first, known.last, known.fence) == (first, last, fence) && known.to >= now
            });
            match same {
                Some(known) => known.to = now + hold,
                None => {
                    keys.holds.push(Hold { first, last, fence, from: now, to: now + hold });
                    drop(keys);
                    self.0.record.note(format!(
                        "{} holds {first}..{last} under fence {fence} for {hold} s{how}",
                        self.0.plan.id
                    ));
                }
            }
        }
        Some(!higher)
    }

    fn grant(&self, request: &Message) -> Option<Vec<u8>> {
        if request.header("nickellead-expect-instance") != self.0.plan.id {
            return Some(self.refuse(421, ""));
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let late = self.0.grants_late_ms.load(Ordering::SeqCst);
        if late > 0 {
            self.0.swallowed.fetch_add(1, Ordering::SeqCst);
            self.0.record.note(format!(
                "{} leaves a grant unanswered and takes it in {late} ms: {body}",
                self.0.plan.id
            ));
            let target = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(late));
                target.take(&body, " (taken late)");
            });
            return None;
        }
        Some(match self.take(&body, "") {
            Some(true) => response(200, &[], ""),
            Some(false) => response(409, &[], ""),
            None => response(400, &[], ""),
        })
    }

    fn release(&self, request: &Message) -> Vec<u8> {
        if request.header("nickellead-expect-instance") != self.0.plan.id {
            return self.refuse(421, "");
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let first: u16 = json::number(&body, "RangeStart").unwrap_or(0);
        let last: u16 = json::number(&body, "TargetVersion").unwrap_or(0);
        let fence: u64 = json::number(&body, "fence").unwrap_or(0);
        let now = self.0.record.now();
        let mut keys = self.0.keys.lock().unwrap();
        for key in first..=last {
            let seen = keys.seen.entry(key).or_default();
            *seen = fence.max(*seen);
        }
        // A release may cover a part of a grant: what remains of it is held on.
        let mut remaining = Vec::new();
        for hold in keys.holds.iter_mut().filter(|hold| hold.to > now) {
            if hold.last < first || last < hold.first {
                continue;
            }
            if hold.first < first {
                remaining.push(Hold { last: first - 1, from: now, ..*hold });
            }
            if hold.last > last {
                remaining.push(Hold { first: last + 1, from: now, ..*hold });
            }
            hold.to = now;
        }
        keys.holds.extend(remaining);
        drop(keys);
        self.0.record.note(format!("{} releases {first}..{last}", self.0.plan.id));
        response(200, &[("Nickellead-Handover", "released")], "")
    }
}
