// Entry hosts fail while another fault is active: one freezes during a partition
// between two zones, then another is killed during an outage of the platform.
bring_up("small");
load(10.0);
run(2);
freeze_host(0, true);
cut("b", "c", true);
run(5);
freeze_host(0, false);
cut("b", "c", false);
run(5);
kill_host(1);
platform(false);
run(5);
platform(true);
run(10);
expect("overcommits", "==", 0);
expect("wrong", "==", 0);
expect("unreachable_models", "==", 0);
