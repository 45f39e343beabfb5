// The platform has an outage, during which one upstream becomes slow. Resident
// models are still served.
bring_up("small");
load(10.0);
platform(false);
run(5);
slow("assistant-0", 4);
run(5);
platform(true);
slow("assistant-0", 1);
run(10);
expect("overcommits", "==", 0);
expect("wrong", "==", 0);
expect("unreachable_models", "==", 0);
