package dev.cactusstack.ctl;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** The command-line options of {@code bin/cactusctl}. Immutable after construction. */
final class CtlOptions {
  static final String USAGE =
      """
      Usage: cactusctl [options] COMMAND

      table show                          print the table
      table set SERVICE DATA_CENTRE COLUMN=N...
                                          change one row (weight, limit, upstream_limit)
      table apply FILE                    change the rows that differ in an edited table
      table watch [--once]                print how many hosts use the newest version
      data-centre out NAME                evacuate a data centre
      data-centre in NAME                 return it to service
      status                              print hosts, data centres and upstreams
      explain REQUEST-ID [FILE...]        print the events of a request from host logs (or standard input)

      Exit codes: 0 done; 2 invalid input, nothing changed; 3 conflict, nothing changed;
      4 not accepted or outcome unknown; 5 not authorised.
      The token is read from the variable CACTUSSTACK_OPERATORS_TOKEN.
      """;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> operators =
      parser
          .accepts("operators", "operators' addresses of entry hosts, IP:PORT[,IP:PORT...]")
          .withRequiredArg()
          .withValuesSeparatedBy(',')
          .defaultsTo("127.0.0.1:8081");
  private final OptionSpec<String> format =
      parser.accepts("format", "text, json or csv").withRequiredArg().defaultsTo("text");
  private final OptionSpec<Long> ifVersion =
      parser
          .accepts("if-version", "apply the edit only if this version is still in force")
          .withRequiredArg()
          .ofType(Long.class);
  private final OptionSpec<String> operation =
      parser
          .accepts("operation", "id of an earlier edit to repeat because its outcome is unknown")
          .withRequiredArg();
  private final OptionSpec<Long> timeoutS =
      parser
          .accepts("timeout", "maximum time 'watch --once' waits, in seconds")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(60L);
  private final OptionSpec<String> certificate =
      parser
          .accepts("tls-certificate", "PEM file of the certificate to trust; enables TLS")
          .withRequiredArg();
  private final OptionSpec<Void> once =
      parser.accepts("once", "exit when all hosts use the newest version");
  private final OptionSpec<Void> force =
      parser.accepts("force", "evacuate a data centre even if it is the last one in service");

  CtlOptions() {
    parser.acceptsAll(List.of("help", "h"), "show this help").forHelp();
  }

  OptionParser parser() {
    return parser;
  }

  Result<List<Address>> addresses(OptionSet o) {
    var list = new ArrayList<Address>();
    for (String text : o.valuesOf(operators)) {
      Result<Address> a = Address.parse(text);
      if (a instanceof Result.Failure<Address> f) {
        return Result.failure(
            Problem.invalid("--operators: " + f.problem().message(), f.problem().remedy()));
      }
      a.map(list::add);
    }
    return Result.success(list);
  }

  String format(OptionSet o) {
    return String.valueOf(o.valueOf(format));
  }

  EditOptions edit(OptionSet o) {
    String id = o.valueOf(operation);
    return new EditOptions(
        Optional.ofNullable(o.valueOf(ifVersion)),
        id == null ? UUID.randomUUID().toString() : id,
        o.has(force));
  }

  long timeoutMs(OptionSet o) {
    Long s = o.valueOf(timeoutS);
    return 1_000L * (s == null ? 0 : s);
  }

  boolean once(OptionSet o) {
    return o.has(once);
  }

  Optional<String> certificate(OptionSet o) {
    return Optional.ofNullable(o.valueOf(certificate));
  }
}
