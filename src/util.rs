//! What the subcommands share: errors, the deployment file, calls.

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

/// Why a subcommand ends without success.
#[derive(Debug)]
pub enum CliError {
    /// Text to print; not a failure.
    Print(String),
    /// Wrong command line.
    Usage(String),
    /// Input is not valid.
    Invalid(Vec<Finding>),
    /// Another operator was faster.
    Conflict(String),
    /// The fleet cannot be reached.
    Unreachable(String),
    /// Anything else.
    Failed(String),
}

impl CliError {
    /// Exit code for scripts.
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
                f.write_str("not valid, nothing was changed:")?;
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
            KvError::NotSent => "the platform's key-value service does not answer; nothing changed",
            KvError::Refused => "the platform's key-value service refused the call; try again",
            KvError::Unknown => {
                "the answer of the platform's key-value service was lost; the change may have \
                 taken effect: look with currantcove config get"
            }
        };
        Self::Unreachable(text.to_owned())
    }
}

/// Result of a subcommand.
pub type CliResult<T> = Result<T, CliError>;

/// Where a fleet is reached.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Platform's key-value service.
    pub kv_addr: SocketAddr,
    /// Operator addresses of the entry hosts.
    pub operator_addrs: Vec<SocketAddr>,
}

impl Deployment {
    /// Reads the deployment file.
    pub fn load(file: Option<PathBuf>) -> CliResult<Self> {
        let from_env = || std::env::var_os("CURRANTCOVE_DEPLOYMENT").map(PathBuf::from);
        let file = file
            .or_else(from_env)
            .unwrap_or_else(|| PathBuf::from("currantcove.json"));
        let json = read_file(&file)?;
        serde_json::from_slice(&json)
            .map_err(|e| CliError::Usage(format!("{}: {e}", file.display())))
    }

    /// Client of the key-value service.
    pub fn kv(&self) -> EtcdClient {
        EtcdClient::new(self.kv_addr, Pool::default())
    }

    /// Status of every entry host, in the order of the file.
    pub async fn statuses(&self) -> Vec<(SocketAddr, Option<HostStatus>)> {
        let calls = self.operator_addrs.iter().map(|&addr| async move {
            let status = get_json(&format!("http://{addr}/status")).await;
            (addr, status)
        });
        futures_util::future::join_all(calls).await
    }

    /// Statuses of the hosts that answer; an error if none does.
    pub async fn answering(&self) -> CliResult<Vec<HostStatus>> {
        let statuses: Vec<_> = self
            .statuses()
            .await
            .into_iter()
            .filter_map(|(_, s)| s)
            .collect();
        if statuses.is_empty() {
            let text = "no entry host answers; check operator_addrs in the deployment file";
            return Err(CliError::Unreachable(text.to_owned()));
        }
        Ok(statuses)
    }
}

/// Fetches JSON from an entry host.
pub async fn get_json<T: DeserializeOwned>(url: &str) -> Option<T> {
    let request = cyper::Client::new().ok()?.get(url).ok()?;
    let response = request.send().await.ok()?;
    serde_json::from_slice(&response.bytes().await.ok()?).ok()
}

/// Reads a file, with its name in the error.
pub fn read_file(file: &Path) -> CliResult<Vec<u8>> {
    std::fs::read(file).map_err(|e| CliError::Usage(format!("{}: {e}", file.display())))
}

/// Options that most subcommands share.
#[derive(Debug, Default)]
pub struct Common {
    /// Deployment file.
    pub deployment: Option<PathBuf>,
    /// Print JSON.
    pub json: bool,
}

impl Common {
    /// Takes a shared option; gives back any other argument.
    pub fn take(
        &mut self,
        parser: &mut lexopt::Parser,
        usage: &str,
    ) -> CliResult<Option<OwnedArg>> {
        while let Some(arg) = parser.next()? {
            match arg {
                lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                    return Err(CliError::Print(usage.to_owned()));
                }
                lexopt::Arg::Long("json") => self.json = true,
                lexopt::Arg::Short('d') | lexopt::Arg::Long("deployment") => {
                    self.deployment = Some(PathBuf::from(parser.value()?));
                }
                lexopt::Arg::Long(name) => return Ok(Some(OwnedArg::Long(name.to_owned()))),
                lexopt::Arg::Value(value) => return Ok(Some(OwnedArg::Value(text(value)?))),
                lexopt::Arg::Short(_) => return Err(arg.unexpected().into()),
            }
        }
        Ok(None)
    }

    /// Parses a command line of shared options only.
    pub fn parse_only(argv: Vec<OsString>, usage: &str) -> CliResult<Self> {
        let mut parser = lexopt::Parser::from_args(argv);
        let mut common = Self::default();
        match common.take(&mut parser, usage)? {
            None => Ok(common),
            Some(arg) => Err(arg.unexpected()),
        }
    }
}

/// Argument that a subcommand takes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnedArg {
    /// Option without its dashes.
    Long(String),
    /// Positional argument.
    Value(String),
}

impl OwnedArg {
    /// Error for an argument nobody takes.
    pub fn unexpected(&self) -> CliError {
        match self {
            Self::Long(name) => CliError::Usage(format!("unexpected option --{name}")),
            Self::Value(value) => CliError::Usage(format!("unexpected argument {value:?}")),
        }
    }
}

/// Text of an argument.
pub fn text(value: OsString) -> CliResult<String> {
    value
        .into_string()
        .map_err(|v| CliError::Usage(format!("{} is not UTF-8", v.display())))
}

/// Value of an option as text.
pub fn value(parser: &mut lexopt::Parser) -> CliResult<String> {
    text(parser.value()?)
}

/// Prints to standard output; a reader that went away is no failure.
pub fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Prints a value as JSON.
pub fn print_json<T: Serialize>(value: &T) -> CliResult<()> {
    let json = serde_json::to_string_pretty(value).map_err(|e| CliError::Failed(e.to_string()))?;
    print(&json);
    print("\n");
    Ok(())
}

/// Runs a future on a runtime of its own.
pub fn block_on<T>(future: impl Future<Output = CliResult<T>>) -> CliResult<T> {
    let runtime = compio::runtime::Runtime::new().map_err(|e| CliError::Failed(e.to_string()))?;
    runtime.block_on(future)
}

/// Lays rows out in columns.
pub fn table(rows: &[Vec<String>]) -> String {
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
