//! The daemon `currantcoved`: runs one entry host.

use std::process::ExitCode;

use currantcove::daemon;

fn main() -> ExitCode {
    daemon::main(std::env::args_os())
}
