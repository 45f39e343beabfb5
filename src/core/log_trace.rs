//! From a request's id to its cause, over the log lines of all hosts.
//!
//! A failed request leaves a line with its outcome and one for each decision
//! before it. What led to those decisions stands in lines that do not bear its
//! id: orders for its model, listings of its upstreams, the configuration it
//! was routed by. This module picks them out and says what they amount to.

use jiff::Timestamp;
use serde_json::{Map, Value};

/// Time before a request's end within which orders for its model explain why it
/// found no copy, in seconds; a load from the weight store and its wait.
const ORDERS_BEFORE_S: f64 = 15.0;
/// Time around an attempt within which an upstream's listing explains its
/// failure, in seconds; entries vanish three heartbeats after a crash.
const LISTING_AROUND_S: f64 = 5.0;
/// Time around an attempt within which others at the same upstream count, in
/// seconds.
const OTHERS_AROUND_S: f64 = 2.0;

/// One line of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Host, or the file that the line stood in.
    pub host: String,
    /// Time of day in seconds; hosts' clocks may differ.
    pub at_s: f64,
    /// Fields of the line.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Text of a field; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Number of a field; 0 if there is none.
    pub fn number(&self, name: &str) -> f64 {
        self.fields
            .get(name)
            .and_then(Value::as_f64)
            .unwrap_or_default()
    }

    fn is(&self, event: &str) -> bool {
        self.text("event") == event
    }

    fn is_near(&self, other: &Self, before_s: f64, after_s: f64) -> bool {
        let distance_s = self.at_s - other.at_s;
        -before_s <= distance_s && distance_s <= after_s
    }
}

/// Reads the lines of one process. Words before the JSON object, as collectors
/// put them there, are skipped, but for the last one, which names the host.
/// Lines without an object or a time are counted.
pub fn parse(name: &str, text: &str) -> (Vec<LogLine>, usize) {
    let mut host = name.to_owned();
    let mut lines = Vec::new();
    let mut unreadable = 0;
    for raw in text.lines().filter(|l| !l.trim().is_empty()) {
        let Some((prefix, fields)) = object_of(raw) else {
            unreadable += 1;
            continue;
        };
        let Some(at_s) = fields.get("timestamp").and_then(seconds_of) else {
            unreadable += 1;
            continue;
        };
        let collected = prefix.split_whitespace().last();
        if let Some(stated) = collected {
            stated.clone_into(&mut host);
        } else if fields.get("event").and_then(Value::as_str) == Some("start") {
            let stated = fields.get("host").and_then(Value::as_str);
            stated.unwrap_or(name).clone_into(&mut host);
        }
        lines.push(LogLine {
            host: host.clone(),
            at_s,
            fields,
        });
    }
    (lines, unreadable)
}

fn object_of(raw: &str) -> Option<(&str, Map<String, Value>)> {
    let at = raw.find('{')?;
    let object = serde_json::from_str(&raw[at..]).ok()?;
    Some((&raw[..at], object))
}

/// Seconds since the epoch of a time in the form `2026-06-22T22:13:03.010876Z`.
fn seconds_of(value: &Value) -> Option<f64> {
    let time: Timestamp = value.as_str()?.parse().ok()?;
    Some(time.as_microsecond() as f64 / 1e6)
}

/// What is known of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Explanation {
    /// Lines that bear its id, in order of time.
    pub own: Vec<LogLine>,
    /// Lines that led to them, in order of time.
    pub related: Vec<LogLine>,
    /// What they amount to.
    pub cause: String,
}

/// Explains a request; `None` if no line bears its id.
pub fn explain(lines: &[LogLine], request: &str) -> Option<Explanation> {
    let mut own: Vec<LogLine> = lines
        .iter()
        .filter(|l| l.text("request") == request)
        .cloned()
        .collect();
    own.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let end = own.iter().rev().find(|l| l.is("request")).or(own.last())?;
    let (related, cause) = match (end.text("outcome"), end.text("reason")) {
        ("not_run", "no_route" | "not_configured" | "no_backend") => unconfigured(lines, end),
        ("not_run", "bad_request" | "bad_body") => {
            let cause = format!("the request was not proper: {}", end.text("detail"));
            (Vec::new(), cause)
        }
        ("not_run", reason) => turned_away(lines, &own, end, reason),
        ("unknown" | "broken" | "failed", _) => upstream_failed(lines, &own, end),
        ("caller_gone", _) => {
            let after_ms = end.number("total_ms");
            let cause = format!("the caller left after {after_ms} ms, before the end");
            (Vec::new(), cause)
        }
        ("served", _) => (Vec::new(), "it was served".to_owned()),
        _ => (Vec::new(), "it has not ended in these lines".to_owned()),
    };
    let mut related = related;
    related.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    Some(Explanation {
        own,
        related,
        cause,
    })
}

/// Refused for want of a route or a configuration.
fn unconfigured(lines: &[LogLine], end: &LogLine) -> (Vec<LogLine>, String) {
    let is_own_host = |l: &&LogLine| l.host == end.host;
    let related: Vec<LogLine> = lines
        .iter()
        .filter(is_own_host)
        .filter(|l| l.is("configuration") || l.is("dependency") || l.is("start"))
        .filter(|l| l.at_s <= end.at_s + LISTING_AROUND_S)
        .cloned()
        .collect();
    let version = end.number("config");
    let newest = lines
        .iter()
        .filter(|l| l.is("configuration") && l.at_s <= end.at_s)
        .map(|l| l.number("version"))
        .fold(0.0, f64::max);
    let cause = if version == 0.0 {
        format!("{} had no configuration yet", end.host)
    } else if newest > version {
        format!(
            "{} routed it by version {version}; another host had version {newest} in force",
            end.host
        )
    } else {
        format!("version {version}, the newest in force anywhere, has no such route")
    };
    (related, cause)
}

/// Refused without having run.
fn turned_away(
    lines: &[LogLine],
    own: &[LogLine],
    end: &LogLine,
    reason: &str,
) -> (Vec<LogLine>, String) {
    let model = end.text("model");
    let concerns_model = |l: &&LogLine| {
        let is_order = l.is("plan") && l.text("model") == model;
        let order = l.text("order");
        let is_sent = l.is("order") && order.split([' ', '/']).any(|word| word == model);
        !model.is_empty() && (is_order || is_sent)
    };
    let mut related: Vec<LogLine> = lines
        .iter()
        .filter(concerns_model)
        .filter(|l| l.is_near(end, ORDERS_BEFORE_S, 0.0))
        .cloned()
        .collect();
    let lost = lines.iter().filter(|l| {
        let is_loss = l.is("upstream") && matches!(l.text("change"), "removed" | "draining");
        is_loss && l.host == end.host && l.is_near(end, ORDERS_BEFORE_S, 0.0)
    });
    related.extend(lost.cloned());
    let loads = related
        .iter()
        .filter(|l| l.is("order") && l.text("order").starts_with("load "))
        .count();
    let losses = related.iter().filter(|l| l.is("upstream")).count();
    let decision = own.iter().rev().find(|l| l.is("turned_away"));
    let copies = decision.map(|d| d.number("copies"));
    let why = match (reason, copies) {
        ("full", Some(copies)) => format!(
            "{copies} upstreams that hold {model} had no room: predicted wait {} ms, of use {} ms",
            decision.map_or(0.0, |d| d.number("outlook_ms")),
            decision.map_or(0.0, |d| d.number("useful_ms")),
        ),
        ("full", None) => {
            let waited_ms = end.number("total_ms");
            format!("it waited {waited_ms} ms for room at {model} and its time passed")
        }
        ("no_model", _) => format!("no upstream held {model}"),
        ("no_adapter", _) => format!("{model} was held, its adapter {} not", end.text("adapter")),
        ("refused_by_upstream", _) => {
            "every upstream it was sent to refused it without running it".to_owned()
        }
        (reason, _) => format!("no upstream could take it: {reason}"),
    };
    let cause = format!(
        "{why}; in the {ORDERS_BEFORE_S} s before, {loads} loads of it were ordered and {losses} \
         upstreams left"
    );
    (related, cause)
}

/// Sent, and failed or unknown.
fn upstream_failed(lines: &[LogLine], own: &[LogLine], end: &LogLine) -> (Vec<LogLine>, String) {
    let attempt = own.iter().rev().find(|l| l.is("attempt"));
    let upstream = match attempt.map(|a| a.text("upstream")) {
        Some(id) if !id.is_empty() => id,
        _ => end.text("upstream"),
    };
    if upstream.is_empty() {
        return (Vec::new(), "it was sent nowhere".to_owned());
    }
    let at = attempt.unwrap_or(end);
    let listing: Vec<LogLine> = lines
        .iter()
        .filter(|l| l.is("upstream") && l.text("upstream") == upstream)
        .filter(|l| l.host == end.host)
        .filter(|l| l.is_near(at, LISTING_AROUND_S, LISTING_AROUND_S))
        .cloned()
        .collect();
    let mut failed = 0;
    let mut served = 0;
    for line in lines {
        let is_there = line.text("upstream") == upstream;
        if !is_there || !line.is_near(at, OTHERS_AROUND_S, OTHERS_AROUND_S) {
            continue;
        }
        let is_broken = line.is("request") && line.text("outcome") == "broken";
        if line.is("attempt") || is_broken {
            failed += 1;
        } else if line.is("request") && line.text("outcome") == "served" {
            served += 1;
        }
    }
    let what = match (end.text("outcome"), end.text("reason")) {
        (_, "timed_out") => format!("{upstream} had not ended it when its time had passed"),
        ("broken", _) => format!("{upstream} broke its stream off"),
        ("failed", _) => format!("{upstream} answered with a failure of its own"),
        _ => format!("{upstream} took it and gave no proper answer"),
    };
    let left = listing
        .iter()
        .find(|l| matches!(l.text("change"), "removed" | "lapsed"));
    let why = match (left, failed, served) {
        (Some(line), ..) => format!("it was {} about then", line.text("change")),
        (None, failed, 0) if failed > 1 => "all that was sent there failed".to_owned(),
        (None, failed, served) => {
            format!("{failed} failures and {served} answers there within {OTHERS_AROUND_S} s")
        }
    };
    (listing, format!("{what}; {why}"))
}
