//! The path between the VMs and one engine. While a file exists, the path is cut: what is sent meanwhile, the end
//! of a connection too, arrives once the path is back.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// Passes connections to `listen` on to `target`, but for the time in which the file `cut` exists.
pub fn serve(listen: &str, target: &str, cut: &str) {
    let listener = TcpListener::bind(listen).expect("the address is free");
    for from_vm in listener.incoming().flatten() {
        let (target, cut) = (target.to_owned(), PathBuf::from(cut));
        thread::spawn(move || {
            wait_for_path(&cut);
            let Ok(to_engine) = TcpStream::connect(target) else {
                return;
            };
            let (Ok(back_from), Ok(back_to)) = (to_engine.try_clone(), from_vm.try_clone()) else {
                return;
            };
            let back_cut = cut.clone();
            thread::spawn(move || pass_on(back_from, back_to, &back_cut));
            pass_on(from_vm, to_engine, &cut);
        });
    }
}

fn wait_for_path(cut: &Path) {
    while cut.exists() {
        thread::sleep(Duration::from_millis(5));
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, cut: &Path) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let read = from.read(&mut buffer);
        wait_for_path(cut);
        match read {
            Ok(bytes @ 1..) if to.write_all(&buffer[..bytes]).is_ok() => {}
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            _ => {
                let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                return;
            }
        }
    }
}
