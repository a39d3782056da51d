package dev.cactusstack.bench;

/** One experiment. Implementations are stateless. */
interface Scenario {

  /** Runs the experiment and returns its last line. */
  ResultLine run(BenchOptions o) throws Exception;
}
