//! Scenario scripts: start a deployment, inject faults and check metrics.
//!
//! Scripts are written in `rhai`. A script runs on the decision core in virtual
//! time or on real processes; functions and metrics that a backend does not
//! support return an error.
//!
//! ```text
//! bring_up("tennis");       starts a deployment: tennis, consortium or small
//! load(70.0);               sets the rate of drafts per second
//! run(60);                  offers the load for 60 seconds
//! lose("assistant-3");      an upstream fails
//! slow("assistant-4", 4);   slows an upstream by a factor; 1 ends the fault
//! platform(false);          stops or restarts the platform's service
//! kill_host(0);             kills an entry host                  (processes only)
//! freeze_host(1, true);     suspends or resumes an entry host    (processes only)
//! cut("a", "b", true);      partitions two zones, or ends that   (processes only)
//! expect("overcommits", "==", 0);
//! ```

use std::cell::RefCell;
use std::rc::Rc;

use rhai::{Engine, EvalAltResult, FLOAT, INT};

/// System that a scenario runs on.
pub trait ScenarioBackend: 'static {
    /// Starts a deployment, selected by name.
    fn bring_up(&mut self, name: &str) -> Result<(), String>;
    /// Sets the rate of drafts per second.
    fn load(&mut self, rate_per_s: f64);
    /// Offers the load for a time.
    fn run(&mut self, seconds: u64) -> Result<(), String>;
    /// Makes an upstream fail.
    fn lose(&mut self, upstream: &str) -> Result<(), String>;
    /// Slows an upstream by a factor; 1 ends the fault.
    fn slow(&mut self, upstream: &str, factor: u32) -> Result<(), String>;
    /// Stops or restarts the platform's key-value service.
    fn platform(&mut self, is_up: bool) -> Result<(), String>;
    /// Kills an entry host.
    fn kill_host(&mut self, host: usize) -> Result<(), String>;
    /// Suspends or resumes an entry host.
    fn freeze_host(&mut self, host: usize, is_frozen: bool) -> Result<(), String>;
    /// Starts or ends a network partition between two zones.
    fn cut(&mut self, a: &str, b: &str, is_cut: bool) -> Result<(), String>;
    /// Returns the value of a metric.
    fn metric(&mut self, name: &str) -> Result<f64, String>;
}

/// Error for an unknown name, or a function that a backend does not support.
pub fn unsupported(what: &str) -> String {
    format!("{what} is unknown or not supported")
}

type ScriptResult = Result<(), Box<EvalAltResult>>;

fn to_script_result(result: Result<(), String>) -> ScriptResult {
    result.map_err(Into::into)
}

fn compare(actual: f64, relation: &str, expected: f64) -> Result<bool, String> {
    match relation {
        "==" => Ok((actual - expected).abs() < f64::EPSILON),
        ">=" => Ok(actual >= expected),
        "<=" => Ok(actual <= expected),
        other => Err(unsupported(&format!("relation {other:?}"))),
    }
}

fn expect<S: ScenarioBackend>(
    backend: &mut S,
    name: &str,
    relation: &str,
    expected: f64,
) -> Result<(), String> {
    let actual = backend.metric(name)?;
    if compare(actual, relation, expected)? {
        Ok(())
    } else {
        Err(format!(
            "{name} is {actual}, expected {relation} {expected}"
        ))
    }
}

/// Runs a script; the error has the line number.
pub fn run_script<S: ScenarioBackend>(script: &str, backend: S) -> Result<(), String> {
    let backend = Rc::new(RefCell::new(backend));
    let mut engine = Engine::new();
    register_deployment(&mut engine, &backend);
    register_faults(&mut engine, &backend);
    engine.run(script).map_err(|e| e.to_string())
}

fn register_deployment<S: ScenarioBackend>(engine: &mut Engine, backend: &Rc<RefCell<S>>) {
    let shared = Rc::clone(backend);
    engine.register_fn("bring_up", move |name: &str| {
        to_script_result(shared.borrow_mut().bring_up(name))
    });
    let shared = Rc::clone(backend);
    engine.register_fn("load", move |rate: FLOAT| shared.borrow_mut().load(rate));
    let shared = Rc::clone(backend);
    engine.register_fn("run", move |seconds: INT| {
        to_script_result(shared.borrow_mut().run(seconds as u64))
    });
    let shared = Rc::clone(backend);
    engine.register_fn("expect", move |name: &str, relation: &str, value: INT| {
        to_script_result(expect(
            &mut *shared.borrow_mut(),
            name,
            relation,
            value as f64,
        ))
    });
    let shared = Rc::clone(backend);
    engine.register_fn("expect", move |name: &str, relation: &str, value: FLOAT| {
        to_script_result(expect(&mut *shared.borrow_mut(), name, relation, value))
    });
}

fn register_faults<S: ScenarioBackend>(engine: &mut Engine, backend: &Rc<RefCell<S>>) {
    let shared = Rc::clone(backend);
    engine.register_fn("lose", move |upstream: &str| {
        to_script_result(shared.borrow_mut().lose(upstream))
    });
    let shared = Rc::clone(backend);
    engine.register_fn("slow", move |upstream: &str, factor: INT| {
        to_script_result(shared.borrow_mut().slow(upstream, factor as u32))
    });
    let shared = Rc::clone(backend);
    engine.register_fn("platform", move |is_up: bool| {
        to_script_result(shared.borrow_mut().platform(is_up))
    });
    let shared = Rc::clone(backend);
    engine.register_fn("kill_host", move |host: INT| {
        to_script_result(shared.borrow_mut().kill_host(host as usize))
    });
    let shared = Rc::clone(backend);
    engine.register_fn("freeze_host", move |host: INT, is_frozen: bool| {
        to_script_result(shared.borrow_mut().freeze_host(host as usize, is_frozen))
    });
    let shared = Rc::clone(backend);
    engine.register_fn("cut", move |a: &str, b: &str, is_cut: bool| {
        to_script_result(shared.borrow_mut().cut(a, b, is_cut))
    });
}
