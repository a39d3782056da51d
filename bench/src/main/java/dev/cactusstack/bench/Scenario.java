package dev.cactusstack.bench;

/** An experiment. Each instance is used for one run. */
interface Scenario {

  /** Runs the experiment and returns its result line. */
  ResultLine run(BenchOptions o) throws Exception;
}
