//! Finds the cause of a request's outcome in the log lines of all hosts.
//!
//! A failed request leaves a line with its outcome and one for each decision
//! before it. The causes of those decisions are in lines without its id:
//! orders for its model, listings of its upstreams, the configuration by which
//! it was routed. This module selects these lines and derives the cause.

use jiff::Timestamp;
use serde_json::{Map, Value};

/// Time before a request's end within which orders for its model explain why
/// no copy was available, in seconds; covers the wait for the weight store and
/// the load from it.
const ORDER_LOOKBACK_S: f64 = 15.0;
/// Time around an attempt within which a change of the upstream's listing
/// explains its failure, in seconds; an entry expires three heartbeats after a
/// crash.
const LISTING_WINDOW_S: f64 = 5.0;
/// Time around an attempt within which other requests at the same upstream are
/// counted, in seconds.
const OTHER_REQUESTS_WINDOW_S: f64 = 2.0;

/// Log line of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Host, or the name of the file if the host is not known.
    pub host: String,
    /// Time in seconds since the epoch; the clocks of hosts may differ.
    pub at_s: f64,
    /// Fields of the line.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Text of a field; empty if it is absent or no text.
    pub fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Number of a field; 0 if it is absent or no number.
    pub fn number(&self, name: &str) -> f64 {
        self.fields
            .get(name)
            .and_then(Value::as_f64)
            .unwrap_or_default()
    }

    fn is_event(&self, event: &str) -> bool {
        self.text("event") == event
    }

    fn is_within(&self, other: &Self, before_s: f64, after_s: f64) -> bool {
        let distance_s = self.at_s - other.at_s;
        -before_s <= distance_s && distance_s <= after_s
    }
}

/// Parses the log of one process, and counts the lines without a JSON object or
/// a timestamp. Log collectors put a prefix before the object; its last word is
/// the name of the host, and the rest is skipped.
pub fn parse(name: &str, text: &str) -> (Vec<LogLine>, usize) {
    let mut host = name.to_owned();
    let mut lines = Vec::new();
    let mut unreadable = 0;
    for raw_line in text.lines().filter(|l| !l.trim().is_empty()) {
        let Some((prefix, fields)) = parse_object(raw_line) else {
            unreadable += 1;
            continue;
        };
        let Some(at_s) = fields.get("timestamp").and_then(parse_timestamp_s) else {
            unreadable += 1;
            continue;
        };
        let prefix_host = prefix.split_whitespace().last();
        if let Some(host_name) = prefix_host {
            host_name.clone_into(&mut host);
        } else if fields.get("event").and_then(Value::as_str) == Some("start") {
            let host_name = fields.get("host").and_then(Value::as_str);
            host_name.unwrap_or(name).clone_into(&mut host);
        }
        lines.push(LogLine {
            host: host.clone(),
            at_s,
            fields,
        });
    }
    (lines, unreadable)
}

fn parse_object(raw_line: &str) -> Option<(&str, Map<String, Value>)> {
    let object_start = raw_line.find('{')?;
    let object = serde_json::from_str(&raw_line[object_start..]).ok()?;
    Some((&raw_line[..object_start], object))
}

/// Seconds since the epoch, from the form `2026-06-22T22:13:03.010876Z`.
fn parse_timestamp_s(value: &Value) -> Option<f64> {
    let time: Timestamp = value.as_str()?.parse().ok()?;
    Some(time.as_microsecond() as f64 / 1e6)
}

/// Explanation of a request's outcome.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Explanation {
    /// Lines with the id of the request, by time.
    pub request_lines: Vec<LogLine>,
    /// Lines that explain them, by time.
    pub related_lines: Vec<LogLine>,
    /// Cause of the outcome, as a sentence.
    pub cause: String,
}

/// Explains a request; `None` if no line has its id.
pub fn explain(lines: &[LogLine], request: &str) -> Option<Explanation> {
    let mut request_lines: Vec<LogLine> = lines
        .iter()
        .filter(|l| l.text("request") == request)
        .cloned()
        .collect();
    request_lines.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let end = request_lines
        .iter()
        .rev()
        .find(|l| l.is_event("request"))
        .or(request_lines.last())?;
    let (related_lines, cause) = match (end.text("outcome"), end.text("reason")) {
        ("not_run", "no_route" | "not_configured" | "no_backend") => {
            explain_missing_route(lines, end)
        }
        ("not_run", "bad_request" | "bad_body") => {
            let cause = format!("the request was invalid: {}", end.text("detail"));
            (Vec::new(), cause)
        }
        ("not_run", "unknown_software" | "no_software") => explain_stranded_resume(lines, end),
        ("not_run", reason) => explain_rejection(lines, &request_lines, end, reason),
        ("unknown" | "broken" | "failed", _) => {
            explain_upstream_failure(lines, &request_lines, end)
        }
        ("caller_gone", _) => {
            let after_ms = end.number("total_ms");
            let cause =
                format!("the caller disconnected after {after_ms} ms, before the response ended");
            (Vec::new(), cause)
        }
        ("served", _) => (Vec::new(), "the request was served".to_owned()),
        _ => (
            Vec::new(),
            "the request does not end in these lines".to_owned(),
        ),
    };
    let mut related_lines = related_lines;
    related_lines.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    Some(Explanation {
        request_lines,
        related_lines,
        cause,
    })
}

/// Explains a rejection due to a missing route or configuration.
fn explain_missing_route(lines: &[LogLine], end: &LogLine) -> (Vec<LogLine>, String) {
    let is_own_host = |l: &&LogLine| l.host == end.host;
    let related_lines: Vec<LogLine> = lines
        .iter()
        .filter(is_own_host)
        .filter(|l| l.is_event("configuration") || l.is_event("dependency") || l.is_event("start"))
        .filter(|l| l.at_s <= end.at_s + LISTING_WINDOW_S)
        .cloned()
        .collect();
    let version = end.number("config");
    let newest = lines
        .iter()
        .filter(|l| l.is_event("configuration") && l.at_s <= end.at_s)
        .map(|l| l.number("version"))
        .fold(0.0, f64::max);
    let cause = if version == 0.0 {
        format!("{} had no configuration yet", end.host)
    } else if newest > version {
        format!(
            "{} routed the request by configuration version {version}; another host had \
             version {newest} in force",
            end.host
        )
    } else {
        format!(
            "configuration version {version}, the newest in force on any host, has no such route"
        )
    };
    (related_lines, cause)
}

/// Explains the rejection of a caller's request to resume a stream.
fn explain_stranded_resume(lines: &[LogLine], end: &LogLine) -> (Vec<LogLine>, String) {
    let began = end.text("resumes");
    let related_lines: Vec<LogLine> = lines
        .iter()
        .filter(|l| !began.is_empty() && l.text("request") == began)
        .cloned()
        .collect();
    let began_line = related_lines
        .iter()
        .find(|l| l.is_event("request") && !l.text("software").is_empty());
    let cause = match began_line {
        Some(line) => format!(
            "the stream was begun by request {began} at {}, software version {}; {}",
            line.text("upstream"),
            line.text("software"),
            if end.text("reason") == "no_software" {
                "no upstream of that version took requests"
            } else {
                "the host did not learn that version"
            }
        ),
        None if began.is_empty() => {
            "the caller does not name the request that began the stream".to_owned()
        }
        None => format!("no line tells where request {began} began the stream"),
    };
    (related_lines, cause)
}

/// Explains any other rejection of a request that was not run.
fn explain_rejection(
    lines: &[LogLine],
    request_lines: &[LogLine],
    end: &LogLine,
    reason: &str,
) -> (Vec<LogLine>, String) {
    let model = end.text("model");
    let is_order_for_model = |l: &&LogLine| {
        let is_planned_order = l.is_event("plan") && l.text("model") == model;
        let order = l.text("order");
        let is_sent_order =
            l.is_event("order") && order.split([' ', '/']).any(|word| word == model);
        !model.is_empty() && (is_planned_order || is_sent_order)
    };
    let mut related_lines: Vec<LogLine> = lines
        .iter()
        .filter(is_order_for_model)
        .filter(|l| l.is_within(end, ORDER_LOOKBACK_S, 0.0))
        .cloned()
        .collect();
    let loss_lines = lines.iter().filter(|l| {
        let is_loss = l.is_event("upstream") && matches!(l.text("change"), "removed" | "draining");
        is_loss && l.host == end.host && l.is_within(end, ORDER_LOOKBACK_S, 0.0)
    });
    related_lines.extend(loss_lines.cloned());
    let loads = related_lines
        .iter()
        .filter(|l| l.is_event("order") && l.text("order").starts_with("load "))
        .count();
    let losses = related_lines
        .iter()
        .filter(|l| l.is_event("upstream"))
        .count();
    let rejection = request_lines
        .iter()
        .rev()
        .find(|l| l.is_event("turned_away"));
    let copies = rejection.map(|line| line.number("copies"));
    let circumstance = match (reason, copies) {
        ("full", Some(copies)) => format!(
            "{copies} upstreams with {model} were full: predicted wait {} ms, longest useful \
             wait {} ms",
            rejection.map_or(0.0, |line| line.number("outlook_ms")),
            rejection.map_or(0.0, |line| line.number("useful_ms")),
        ),
        ("full", None) => {
            let waited_ms = end.number("total_ms");
            format!("the request waited {waited_ms} ms in the queue for {model} and timed out")
        }
        ("no_model", _) => format!("no upstream had {model} loaded"),
        ("no_adapter", _) => format!(
            "{model} was loaded, its adapter {} was not",
            end.text("adapter")
        ),
        ("refused_by_upstream", _) => {
            "every upstream that received the request refused to run it".to_owned()
        }
        (reason, _) => format!("no upstream could accept the request: {reason}"),
    };
    let cause = format!(
        "{circumstance}; in the {ORDER_LOOKBACK_S} s before, {loads} loads of the model were \
         ordered and {losses} upstreams were lost"
    );
    (related_lines, cause)
}

/// Explains a request that was sent and failed, or whose outcome is unknown.
fn explain_upstream_failure(
    lines: &[LogLine],
    request_lines: &[LogLine],
    end: &LogLine,
) -> (Vec<LogLine>, String) {
    let attempt = request_lines.iter().rev().find(|l| l.is_event("attempt"));
    let upstream = match attempt.map(|a| a.text("upstream")) {
        Some(id) if !id.is_empty() => id,
        _ => end.text("upstream"),
    };
    if upstream.is_empty() {
        return (
            Vec::new(),
            "the request was not sent to any upstream".to_owned(),
        );
    }
    let attempt_or_end = attempt.unwrap_or(end);
    let listing: Vec<LogLine> = lines
        .iter()
        .filter(|l| l.is_event("upstream") && l.text("upstream") == upstream)
        .filter(|l| l.host == end.host)
        .filter(|l| l.is_within(attempt_or_end, LISTING_WINDOW_S, LISTING_WINDOW_S))
        .cloned()
        .collect();
    let mut failed = 0;
    let mut served = 0;
    for line in lines {
        let is_same_upstream = line.text("upstream") == upstream;
        if !is_same_upstream
            || !line.is_within(
                attempt_or_end,
                OTHER_REQUESTS_WINDOW_S,
                OTHER_REQUESTS_WINDOW_S,
            )
        {
            continue;
        }
        let is_broken = line.is_event("request") && line.text("outcome") == "broken";
        if line.is_event("attempt") || is_broken {
            failed += 1;
        } else if line.is_event("request") && line.text("outcome") == "served" {
            served += 1;
        }
    }
    let failure = match (end.text("outcome"), end.text("reason")) {
        (_, "timed_out") => format!("{upstream} did not complete the request in time"),
        ("broken", _) => format!("{upstream} aborted the response stream"),
        ("failed", _) => format!("{upstream} responded with an error"),
        _ => format!("{upstream} received the request and returned no valid response"),
    };
    let listing_change = listing
        .iter()
        .find(|l| matches!(l.text("change"), "removed" | "lapsed"));
    let circumstance = match (listing_change, failed, served) {
        (Some(line), ..) => format!(
            "its listing changed at about that time: {}",
            line.text("change")
        ),
        (None, failed, 0) if failed > 1 => {
            "all requests at this upstream at about that time failed".to_owned()
        }
        (None, failed, served) => {
            format!(
                "{failed} failures and {served} responses at this upstream within \
                 {OTHER_REQUESTS_WINDOW_S} s"
            )
        }
    };
    (listing, format!("{failure}; {circumstance}"))
}
