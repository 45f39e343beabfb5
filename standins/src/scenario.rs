//! Scenarios: scripts that bring a fleet up, disturb it and expect figures.
//!
//! The language is `rhai`. The same script runs on the decision core in
//! virtual time and, where it keeps to what both know, on real processes.
//!
//! ```text
//! bring_up("tennis");       a deployment: tennis, consortium or small
//! load(70.0);               drafts a second from now on
//! run(60);                  seconds
//! lose("assistant-3");      an upstream dies
//! slow("assistant-4", 4);   an upstream gets slower; 1 heals it
//! platform(false);          the platform's service goes down, or comes back
//! kill_host(0);             an entry host dies          (processes only)
//! freeze_host(1, true);     an entry host stands still   (processes only)
//! cut("a", "b", true);      zones lose each other        (processes only)
//! expect("overcommits", "==", 0);
//! ```

use std::cell::RefCell;
use std::rc::Rc;

use rhai::{Engine, EvalAltResult, FLOAT, INT};

/// Where a scenario is played.
pub trait Stage: 'static {
    /// Starts a deployment by name.
    fn bring_up(&mut self, name: &str) -> Result<(), String>;
    /// Sets the drafts a second.
    fn load(&mut self, rate_per_s: f64);
    /// Lets time pass.
    fn run(&mut self, seconds: u64) -> Result<(), String>;
    /// Ends an upstream.
    fn lose(&mut self, upstream: &str) -> Result<(), String>;
    /// Slows an upstream.
    fn slow(&mut self, upstream: &str, factor: u32) -> Result<(), String>;
    /// Stops the platform's service, or starts it again.
    fn platform(&mut self, is_up: bool) -> Result<(), String>;
    /// Kills an entry host.
    fn kill_host(&mut self, host: usize) -> Result<(), String>;
    /// Freezes an entry host, or lets it go on.
    fn freeze_host(&mut self, host: usize, is_frozen: bool) -> Result<(), String>;
    /// Cuts two zones off from each other, or heals the cut.
    fn cut(&mut self, a: &str, b: &str, is_cut: bool) -> Result<(), String>;
    /// Figure by name.
    fn figure(&mut self, name: &str) -> Result<f64, String>;
}

/// Error for what a stage does not know.
pub fn unknown(what: &str) -> String {
    format!("{what} is not known here")
}

type Played = Result<(), Box<EvalAltResult>>;

fn played(result: Result<(), String>) -> Played {
    result.map_err(Into::into)
}

fn compare(found: f64, relation: &str, expected: f64) -> Result<bool, String> {
    match relation {
        "==" => Ok((found - expected).abs() < f64::EPSILON),
        ">=" => Ok(found >= expected),
        "<=" => Ok(found <= expected),
        other => Err(unknown(&format!("relation {other:?}"))),
    }
}

fn expect<S: Stage>(
    stage: &mut S,
    name: &str,
    relation: &str,
    expected: f64,
) -> Result<(), String> {
    let found = stage.figure(name)?;
    if compare(found, relation, expected)? {
        Ok(())
    } else {
        Err(format!("{name} is {found}, expected {relation} {expected}"))
    }
}

/// Plays a script; the error names the line.
pub fn play<S: Stage>(script: &str, stage: S) -> Result<(), String> {
    let stage = Rc::new(RefCell::new(stage));
    let mut engine = Engine::new();
    register_fleet(&mut engine, &stage);
    register_faults(&mut engine, &stage);
    engine.run(script).map_err(|e| e.to_string())
}

fn register_fleet<S: Stage>(engine: &mut Engine, stage: &Rc<RefCell<S>>) {
    let s = Rc::clone(stage);
    engine.register_fn("bring_up", move |name: &str| {
        played(s.borrow_mut().bring_up(name))
    });
    let s = Rc::clone(stage);
    engine.register_fn("load", move |rate: FLOAT| s.borrow_mut().load(rate));
    let s = Rc::clone(stage);
    engine.register_fn("run", move |seconds: INT| {
        played(s.borrow_mut().run(seconds as u64))
    });
    let s = Rc::clone(stage);
    engine.register_fn("expect", move |name: &str, relation: &str, value: INT| {
        played(expect(&mut *s.borrow_mut(), name, relation, value as f64))
    });
    let s = Rc::clone(stage);
    engine.register_fn("expect", move |name: &str, relation: &str, value: FLOAT| {
        played(expect(&mut *s.borrow_mut(), name, relation, value))
    });
}

fn register_faults<S: Stage>(engine: &mut Engine, stage: &Rc<RefCell<S>>) {
    let s = Rc::clone(stage);
    engine.register_fn("lose", move |upstream: &str| {
        played(s.borrow_mut().lose(upstream))
    });
    let s = Rc::clone(stage);
    engine.register_fn("slow", move |upstream: &str, factor: INT| {
        played(s.borrow_mut().slow(upstream, factor as u32))
    });
    let s = Rc::clone(stage);
    engine.register_fn("platform", move |is_up: bool| {
        played(s.borrow_mut().platform(is_up))
    });
    let s = Rc::clone(stage);
    engine.register_fn("kill_host", move |host: INT| {
        played(s.borrow_mut().kill_host(host as usize))
    });
    let s = Rc::clone(stage);
    engine.register_fn("freeze_host", move |host: INT, is_frozen: bool| {
        played(s.borrow_mut().freeze_host(host as usize, is_frozen))
    });
    let s = Rc::clone(stage);
    engine.register_fn("cut", move |a: &str, b: &str, is_cut: bool| {
        played(s.borrow_mut().cut(a, b, is_cut))
    });
}
