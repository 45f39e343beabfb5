// Evening peak of the tennis association: the load about doubles, then an
// upstream fails, followed by an outage of the platform.
bring_up("tennis");
load(60.0);
run(60);
load(110.0);
run(120);
lose("assistant-3");
platform(false);
run(30);
platform(true);
run(60);
expect("overcommits", "==", 0);
expect("unreachable_models", "==", 0);
expect("attainment_percent", ">=", 80);
