//! Stand-ins and cases of the third review. Needs the standard library only.

#![allow(dead_code, reason = "each case uses a part of the stand-ins")]

mod adapters;
mod caller;
mod engine;
mod fleet;
mod http;
mod json;
mod server;
mod store;
mod takeup;
mod versions;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let code = match arguments.next().as_deref() {
        Some("server") => {
            server::run(arguments);
            0
        }
        Some("engine") => {
            engine::run(arguments);
            0
        }
        Some("adapters") => adapters::run(),
        Some("takeup") => takeup::run(),
        Some("versions") => versions::run(),
        _ => {
            eprintln!("usage: standins-3 server|engine|versions|adapters|takeup");
            2
        }
    };
    std::process::exit(code);
}
