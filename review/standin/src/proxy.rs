//! A TCP proxy whose path can be cut: connections are reset, and new ones are refused.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    to: SocketAddr,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a proxy");
        let address = listener.local_addr().expect("a proxy's address");
        let proxy = Self { address, to, cut: Arc::default(), open: Arc::default() };
        let accepting = proxy.clone();
        std::thread::spawn(move || accepting.accept(listener));
        proxy
    }

    fn accept(&self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.cut.load(Ordering::SeqCst) {
                return;
            }
            let Ok(onward) = TcpStream::connect_timeout(&self.to, Duration::from_secs(1)) else {
                continue;
            };
            let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
            for (from, to) in [(&stream, &onward), (&onward, &stream)] {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                self.open.lock().unwrap().extend(from.try_clone());
                std::thread::spawn(move || copy(from, to));
            }
        }
    }

    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address);
    }

    pub fn heal(&self) {
        if !self.cut.swap(false, Ordering::SeqCst) {
            return;
        }
        let proxy = self.clone();
        std::thread::spawn(move || {
            while !proxy.cut.load(Ordering::SeqCst) {
                if let Ok(listener) = TcpListener::bind(proxy.address) {
                    return proxy.accept(listener);
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 * 1024];
    loop {
        match from.read(&mut buffer) {
            Ok(count) if count > 0 => {
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            _ => break,
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
