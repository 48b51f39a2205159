//! Stand-ins for the store and for engines, and the cases that use them.
//!
//!     cases proxy LISTEN TARGET CUT      passes connections on while the file CUT does not exist
//!     cases store ADDRESS ITEMS          serves the items of a file
//!     cases engine ADDRESS ID KIND LOG   runs requests and writes what it runs to a file
//!     cases 6|7|8|9 FOLDER                 runs a case; FOLDER/record.txt receives what happened

mod engine;
mod fleet;
mod http;
mod proxy;
mod store;

#[path = "../6/course.rs"]
mod case_6;
#[path = "../7/course.rs"]
mod case_7;
#[path = "../8/course.rs"]
mod case_8;
#[path = "../9/course.rs"]
mod case_9;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments[..] {
        ["store", address, items] => store::serve(address, items),
        ["engine", address, id, kind, log] => engine::serve(address, id, kind, log),
        ["proxy", listen, target, cut] => proxy::serve(listen, target, cut),
        ["6", folder] => std::process::exit(fleet::run(folder, case_6::run)),
        ["7", folder] => std::process::exit(fleet::run(folder, case_7::run)),
        ["8", folder] => std::process::exit(fleet::run(folder, case_8::run)),
        ["9", folder] => std::process::exit(fleet::run(folder, case_9::run)),
        _ => std::process::exit(2),
    }
}
