//! `currantcove check`: settings and configuration files.

use std::ffi::OsString;
use std::path::Path;

use currantcove::core::config::Finding;
use currantcove::settings;

use super::config::read_tree;
use crate::util::{self, CliError, CliResult, Common, OwnedArg};

const USAGE: &str = "\
Checks files without touching a fleet. All findings are reported together.

Usage:
    currantcove check [options] <file>...

Options:
    --settings   The files hold settings of a daemon, not configuration.
    -h, --help   Show this text.

Examples:
    currantcove check fleet.json
    currantcove check --settings /etc/currantcove/host.json
";

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut parser = lexopt::Parser::from_args(argv);
    let mut common = Common::default();
    let mut files = Vec::new();
    let mut is_settings = false;
    while let Some(arg) = common.take(&mut parser, USAGE)? {
        match arg {
            OwnedArg::Long(name) if name == "settings" => is_settings = true,
            OwnedArg::Value(file) => files.push(file),
            OwnedArg::Long(_) => return Err(arg.unexpected()),
        }
    }
    if files.is_empty() {
        return Err(CliError::Usage(
            "a file is missing; see currantcove check --help".to_owned(),
        ));
    }
    let mut findings = Vec::new();
    for file in &files {
        findings.extend(check(file, is_settings)?);
    }
    if !findings.is_empty() {
        return Err(CliError::Invalid(findings));
    }
    for file in &files {
        util::print(&format!("{file}: ok\n"));
    }
    Ok(())
}

fn check(file: &str, is_settings: bool) -> CliResult<Vec<Finding>> {
    let found = if is_settings {
        settings::load(Path::new(file))
            .err()
            .map(|bad| bad.findings)
            .unwrap_or_default()
    } else {
        let tree = read_tree(file)?;
        tree.iter()
            .flat_map(|(root, value)| root.check(value))
            .collect()
    };
    let with_file = |f: Finding| Finding {
        path: format!("{file}: {}", f.path),
        ..f
    };
    Ok(found.into_iter().map(with_file).collect())
}
