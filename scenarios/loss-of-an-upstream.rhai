// An upstream dies under load: its models come back elsewhere, nothing is
// overcommitted, no answer is wrong.
bring_up("small");
load(10.0);
run(5);
lose("assistant-1");
run(20);
expect("overcommits", "==", 0);
expect("wrong", "==", 0);
expect("unreachable_models", "==", 0);
