package dev.cactusstack.bench;

/** One experiment. An implementation is used for one run. */
interface Scenario {

  /** Runs the experiment and returns its last line. */
  ResultLine run(BenchOptions o) throws Exception;
}
