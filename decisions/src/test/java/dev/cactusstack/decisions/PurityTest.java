package dev.cactusstack.decisions;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks that decisions use no sockets, threads, clocks or unseeded randomness. */
@AnalyzeClasses(
    packages = {"dev.cactusstack.decisions", "dev.cactusstack.model"},
    importOptions = ImportOption.DoNotIncludeTests.class)
class PurityTest {
  @ArchTest
  static final ArchRule NO_INPUT_OR_OUTPUT =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.net..",
              "java.nio.channels..",
              "java.nio.file..",
              "io.netty..",
              "io.undertow..");

  @ArchTest
  static final ArchRule NO_THREADS =
      noClasses()
          .should()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.Thread")
          .orShould()
          .dependOnClassesThat()
          .haveNameMatching(
              "java\\.util\\.concurrent\\.(Executor.*|.*Executor|CompletableFuture|locks\\..*)");

  @ArchTest
  static final ArchRule NO_CLOCK =
      noClasses()
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(java.time.Instant.class, "now")
          .orShould()
          .callMethod(Math.class, "random")
          .orShould()
          .callConstructor(java.util.Random.class);
}
