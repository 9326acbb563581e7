//! A backend of a service: runs requests and records each run.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::http::{Message, accept_all, read_message, respond};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Bytes of a request's body that a backend keeps.
const KEPT_BYTES: usize = 64 * 1024;

pub struct Target {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub work: Duration,
}

impl Target {
    /// Starts a backend at a free port of `ip` and files it in the store.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        ip: &str,
        work: Duration,
        store: &Store,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Target>> {
        let listener = TcpListener::bind((ip, 0))?;
        let target = Arc::new(Target {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            work,
        });
        let (serving, record) = (Arc::clone(&target), Arc::clone(record));
        accept_all(listener, move |stream| {
            let _ = serving.serve(stream, &record);
        });
        store.put("servers", id, target.entry("ready"));
        Ok(target)
    }

    /// What the backend files in the store.
    pub fn entry(&self, state: &str) -> Json {
        let text = format!(
            r#"{{"Address":"{}","Info":{{"Service":"{}","Version":"v1","Zone":"{}","Slots":16}},"Status":{{"State":"{state}","Seq":1,"ColdLeftS":0}}}}"#,
            self.address, self.service, self.zone
        );
        Json::parse(&text).unwrap_or(Json::Null)
    }

    fn serve(&self, stream: TcpStream, record: &Record) -> std::io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader, KEPT_BYTES)? {
            self.answer(&request, &mut writer, record)?;
        }
        Ok(())
    }

    fn answer(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        record: &Record,
    ) -> std::io::Result<()> {
        if request.target() == "/health" {
            return respond(writer, 200, &[("Nickellead-Instance-Id", &self.id)], b"");
        }
        let Some(id) = request.header("nickellead-request-id") else {
            return respond(writer, 400, &[("Nickellead-Not-Executed", "1")], b"");
        };
        let expected = request.header("nickellead-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [
                ("Nickellead-Request-Id", id),
                ("Nickellead-Instance-Id", &self.id),
                ("Nickellead-Not-Executed", "1"),
            ];
            return respond(writer, 421, &headers, b"");
        }
        record.ran(id, &self.service, &self.id, request);
        std::thread::sleep(self.work);
        let seal = format!("{}.{}", self.id, id);
        let headers = [("Nickellead-Request-Id", id), ("Nickellead-Response-Seal", seal.as_str())];
        respond(writer, 200, &headers, format!("{} {id}\n", self.id).as_bytes())
    }
}
