//! `currantcove check`: validates settings and configuration files.

use std::ffi::OsString;
use std::path::Path;

use currantcove::core::config::Finding;
use currantcove::settings;

use super::config::read_config_file;
use crate::util::{self, CliError, CliResult, CommonOptions, SubcommandArg};

const USAGE: &str = "\
Validates files without contacting a fleet. All findings are reported together.

Usage:
    currantcove check [options] <file>...

Options:
    --settings   The files contain settings of a daemon, not configuration.
    -h, --help   Show this text.

Examples:
    currantcove check fleet.json
    currantcove check --settings /etc/currantcove/host.json
";

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut parser = lexopt::Parser::from_args(argv);
    let mut common = CommonOptions::default();
    let mut files = Vec::new();
    let mut is_settings = false;
    while let Some(arg) = common.next_arg(&mut parser, USAGE)? {
        match arg {
            SubcommandArg::Long(name) if name == "settings" => is_settings = true,
            SubcommandArg::Value(file) => files.push(file),
            SubcommandArg::Long(_) => return Err(arg.unexpected()),
        }
    }
    if files.is_empty() {
        return Err(CliError::Usage(
            "missing file argument; see currantcove check --help".to_owned(),
        ));
    }
    let mut findings = Vec::new();
    for file in &files {
        findings.extend(check_file(file, is_settings)?);
    }
    if !findings.is_empty() {
        return Err(CliError::Invalid(findings));
    }
    for file in &files {
        util::print(&format!("{file}: ok\n"));
    }
    Ok(())
}

fn check_file(file: &str, is_settings: bool) -> CliResult<Vec<Finding>> {
    let findings = if is_settings {
        settings::load(Path::new(file))
            .err()
            .map(|error| error.findings)
            .unwrap_or_default()
    } else {
        let tree = read_config_file(file)?;
        tree.iter()
            .flat_map(|(subtree, value)| subtree.check(value))
            .collect()
    };
    let with_file = |f: Finding| Finding {
        path: format!("{file}: {}", f.path),
        ..f
    };
    Ok(findings.into_iter().map(with_file).collect())
}
