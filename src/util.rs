//! Errors, options, deployment file, requests and output shared by the subcommands.

use std::ffi::OsString;
use std::fmt;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use currantcove::core::config::Finding;
use currantcove::edge::kv::{EtcdClient, KvError};
use currantcove::edge::pool::Pool;
use currantcove::services::operators::HostStatus;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Early end of a subcommand: an error, or a text to print.
#[derive(Debug)]
pub enum CliError {
    /// Text to print to standard output; exit code 0.
    Print(String),
    /// The command line or a file named in it is invalid.
    Usage(String),
    /// The values have these findings.
    Invalid(Vec<Finding>),
    /// Another operator changed the value first.
    Conflict(String),
    /// The fleet cannot be reached.
    Unreachable(String),
    /// Any other failure.
    Failed(String),
}

impl CliError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Print(_) => 0,
            Self::Failed(_) => 1,
            Self::Usage(_) | Self::Invalid(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unreachable(_) => 4,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Print(text)
            | Self::Usage(text)
            | Self::Conflict(text)
            | Self::Unreachable(text)
            | Self::Failed(text) => f.write_str(text),
            Self::Invalid(findings) => {
                f.write_str("invalid input, nothing was changed:")?;
                for finding in findings {
                    write!(f, "\n  {finding}")?;
                }
                Ok(())
            }
        }
    }
}

impl From<lexopt::Error> for CliError {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

impl From<KvError> for CliError {
    fn from(error: KvError) -> Self {
        let text = match error {
            KvError::NotSent => {
                "the platform's key-value service is unreachable; nothing was changed"
            }
            KvError::Refused => "the platform's key-value service refused the request; try again",
            KvError::Unknown => {
                "the response of the platform's key-value service was lost; the change may have \
                 taken effect: check it with currantcove config get"
            }
        };
        Self::Unreachable(text.to_owned())
    }
}

/// Result of a subcommand.
pub type CliResult<T> = Result<T, CliError>;

/// Addresses of a fleet, read from the deployment file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Address of the platform's key-value service.
    pub kv_addr: SocketAddr,
    /// Operator addresses of the entry hosts.
    pub operator_addrs: Vec<SocketAddr>,
}

impl Deployment {
    /// Reads the given file, or the one that `CURRANTCOVE_DEPLOYMENT` names, or
    /// `currantcove.json` in the current directory.
    pub fn load(file: Option<PathBuf>) -> CliResult<Self> {
        let from_env = || std::env::var_os("CURRANTCOVE_DEPLOYMENT").map(PathBuf::from);
        let file = file
            .or_else(from_env)
            .unwrap_or_else(|| PathBuf::from("currantcove.json"));
        let json = read_file(&file)?;
        serde_json::from_slice(&json)
            .map_err(|e| CliError::Usage(format!("{}: {e}", file.display())))
    }

    /// Creates a client of the key-value service.
    pub fn kv_client(&self) -> EtcdClient {
        EtcdClient::new(self.kv_addr, Pool::default())
    }

    /// Fetches the status of every entry host, in the order of the file; `None` for
    /// a host that does not respond with a valid one.
    pub async fn fetch_statuses(&self) -> Vec<(SocketAddr, Option<HostStatus>)> {
        let requests = self.operator_addrs.iter().map(|&addr| async move {
            let status = get_json(&format!("http://{addr}/status")).await;
            (addr, status)
        });
        futures_util::future::join_all(requests).await
    }

    /// Fetches the statuses of the hosts that respond; an error if there is none.
    pub async fn reachable_statuses(&self) -> CliResult<Vec<HostStatus>> {
        let statuses: Vec<_> = self
            .fetch_statuses()
            .await
            .into_iter()
            .filter_map(|(_, s)| s)
            .collect();
        if statuses.is_empty() {
            let text = "no entry host responded; check operator_addrs in the deployment file";
            return Err(CliError::Unreachable(text.to_owned()));
        }
        Ok(statuses)
    }
}

/// Fetches JSON from an entry host; `None` on any failure.
pub async fn get_json<T: DeserializeOwned>(url: &str) -> Option<T> {
    let request = cyper::Client::new().ok()?.get(url).ok()?;
    let response = request.send().await.ok()?;
    serde_json::from_slice(&response.bytes().await.ok()?).ok()
}

/// Reads a file; the error message contains its path.
pub fn read_file(file: &Path) -> CliResult<Vec<u8>> {
    std::fs::read(file).map_err(|e| CliError::Usage(format!("{}: {e}", file.display())))
}

/// Options that most subcommands accept.
#[derive(Debug, Default)]
pub struct CommonOptions {
    /// Path of the deployment file.
    pub deployment: Option<PathBuf>,
    /// True if the output is JSON.
    pub is_json: bool,
}

impl CommonOptions {
    /// Parses common options up to the next other argument and returns that one;
    /// `None` at the end of the command line. `--help` ends in an error with `usage`.
    pub fn next_arg(
        &mut self,
        parser: &mut lexopt::Parser,
        usage: &str,
    ) -> CliResult<Option<SubcommandArg>> {
        while let Some(arg) = parser.next()? {
            match arg {
                lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                    return Err(CliError::Print(usage.to_owned()));
                }
                lexopt::Arg::Long("json") => self.is_json = true,
                lexopt::Arg::Short('d') | lexopt::Arg::Long("deployment") => {
                    self.deployment = Some(PathBuf::from(parser.value()?));
                }
                lexopt::Arg::Long(name) => return Ok(Some(SubcommandArg::Long(name.to_owned()))),
                lexopt::Arg::Value(value) => {
                    return Ok(Some(SubcommandArg::Value(into_utf8(value)?)));
                }
                lexopt::Arg::Short(_) => return Err(arg.unexpected().into()),
            }
        }
        Ok(None)
    }

    /// Parses a command line that may contain common options only.
    pub fn parse_only(argv: Vec<OsString>, usage: &str) -> CliResult<Self> {
        let mut parser = lexopt::Parser::from_args(argv);
        let mut common = Self::default();
        match common.next_arg(&mut parser, usage)? {
            None => Ok(common),
            Some(arg) => Err(arg.unexpected()),
        }
    }
}

/// Argument that is not a common option.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubcommandArg {
    /// Option without its dashes.
    Long(String),
    /// Positional argument.
    Value(String),
}

impl SubcommandArg {
    /// Usage error for an argument that the subcommand does not accept.
    pub fn unexpected(&self) -> CliError {
        match self {
            Self::Long(name) => CliError::Usage(format!("unexpected option --{name}")),
            Self::Value(value) => CliError::Usage(format!("unexpected argument {value:?}")),
        }
    }
}

/// Converts an argument to UTF-8.
pub fn into_utf8(value: OsString) -> CliResult<String> {
    value
        .into_string()
        .map_err(|v| CliError::Usage(format!("{} is not UTF-8", v.display())))
}

/// Parses the value of an option.
pub fn option_value(parser: &mut lexopt::Parser) -> CliResult<String> {
    into_utf8(parser.value()?)
}

/// Prints to standard output. Write errors are ignored: the reader may have closed
/// the pipe.
pub fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Prints a value as indented JSON.
pub fn print_json<T: Serialize>(value: &T) -> CliResult<()> {
    let json = serde_json::to_string_pretty(value).map_err(|e| CliError::Failed(e.to_string()))?;
    print(&json);
    print("\n");
    Ok(())
}

/// Runs a future to completion on a new runtime.
pub fn block_on<T>(future: impl Future<Output = CliResult<T>>) -> CliResult<T> {
    let runtime = compio::runtime::Runtime::new().map_err(|e| CliError::Failed(e.to_string()))?;
    runtime.block_on(future)
}

/// Formats rows as a table with aligned columns.
pub fn format_table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| {
        rows.iter()
            .filter_map(|r| r.get(c))
            .map(String::len)
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut out = String::new();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, w)| format!("{cell:w$}"))
            .collect();
        out.push_str(cells.join("  ").trim_end());
        out.push('\n');
    }
    out
}
