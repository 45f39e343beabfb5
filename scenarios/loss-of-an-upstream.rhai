// An upstream fails under load. Its models are loaded elsewhere, no engine memory
// is overcommitted and no response is wrong.
bring_up("small");
load(10.0);
run(5);
lose("assistant-1");
run(20);
expect("overcommits", "==", 0);
expect("wrong", "==", 0);
expect("unreachable_models", "==", 0);
