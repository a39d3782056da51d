package dev.cactusstack.ctl;

import dev.cactusstack.http.HttpClient;
import dev.cactusstack.http.HttpException;
import dev.cactusstack.http.XnioWorkers;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.Result;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import joptsimple.OptionException;
import joptsimple.OptionSet;
import org.xnio.XnioWorker;

/** The command line of {@code bin/cactusctl}. */
public final class CtlMain {
  private static final String TOKEN_VARIABLE = "CACTUSSTACK_OPERATORS_TOKEN";

  private CtlMain() {}

  /**
   * Runs the program and ends the process with the command's exit code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    for (String name : List.of("org.xnio", "io.undertow", "org.jboss")) {
      Logger.getLogger(name).setLevel(Level.OFF);
    }
    System.exit(run(args, System.getenv(), System.out, System.err));
  }

  /**
   * Runs one command.
   *
   * @param args the command line
   * @param environment environment variables
   * @param out receives the output
   * @param err receives the errors
   * @return the exit code
   */
  public static int run(
      String[] args, Map<String, String> environment, PrintStream out, PrintStream err) {
    Objects.requireNonNull(args, "args is null");
    CommandResult result;
    try {
      result = parseAndRun(args, environment, out);
    } catch (OptionException e) {
      result = CommandResult.invalid(String.valueOf(e.getMessage()), "see --help");
    } catch (HttpException e) {
      result = requestFailed(e);
    } catch (IOException | GeneralSecurityException e) {
      result = CommandResult.invalid(String.valueOf(e.getMessage()), "check the file's name and content");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      result = CommandResult.invalid("interrupted", "run the command again");
    }
    result.output().forEach(out::println);
    result.errors().forEach(err::println);
    return result.exitCode().code();
  }

  private static CommandResult requestFailed(HttpException e) {
    return CommandResult.failed(
        ExitCode.NOT_ACCEPTED_OR_UNKNOWN,
        e.mayHaveBeenProcessed() ? "unknown" : "not-accepted",
        String.valueOf(e.getMessage()),
        e.mayHaveBeenProcessed()
            ? "repeat the command with --operation and the same id, or look at 'table show' first"
            : "nothing was changed; name other hosts with --operators");
  }

  private static CommandResult parseAndRun(
      String[] args, Map<String, String> environment, PrintStream out)
      throws IOException, GeneralSecurityException, InterruptedException {
    var options = new CtlOptions();
    OptionSet o = options.parser().parse(args);
    if (o.has("help")) {
      out.print(CtlOptions.USAGE);
      options.parser().printHelpOn(out);
      return CommandResult.succeeded(List.of());
    }
    List<String> words = o.nonOptionArguments().stream().map(String::valueOf).toList();
    if (!words.isEmpty() && words.get(0).equals("explain")) {
      return explain(words);
    }
    Result<List<Address>> hosts = options.addresses(o);
    if (hosts instanceof Result.Failure<List<Address>> f) {
      return CommandResult.invalid(f.problem().message(), f.problem().remedy());
    }
    Optional<SSLContext> tls = trustedContext(options.certificate(o));
    XnioWorker worker = XnioWorkers.createDaemonWorker("ctl", 1);
    try {
      List<Address> addresses = hosts.fold(p -> List.<Address>of(), a -> a);
      var api =
          new OperatorApiClient(
              new HttpClient(worker, tls),
              tls.isPresent(),
              addresses,
              Optional.ofNullable(environment.get(TOKEN_VARIABLE)));
      return command(words, api, options, o, out);
    } finally {
      worker.shutdownNow();
    }
  }

  private static CommandResult explain(List<String> words) throws IOException {
    if (words.size() < 2) {
      return usage("explain REQUEST-ID [FILE...]");
    }
    List<Path> files = words.stream().skip(2).map(Path::of).toList();
    return new ExplainCommand(words.get(1)).run(files, System.in);
  }

  private static CommandResult command(
      List<String> words, OperatorApiClient api, CtlOptions options, OptionSet o, PrintStream out)
      throws InterruptedException {
    var tableCommands = new TableCommands(api, options.edit(o));
    var statusCommands = new StatusCommands(api);
    String command = String.join(" ", words.subList(0, Math.min(2, words.size())));
    int count = words.size();
    return switch (command) {
      case "table show" -> tableCommands.show(options.format(o));
      case "table set" ->
          count < 4
              ? usage("table set SERVICE DATA_CENTRE COLUMN=N...")
              : tableCommands.set(words.get(2), words.get(3), words.subList(4, count));
      case "table apply" ->
          count != 3 ? usage("table apply FILE") : tableCommands.apply(Path.of(words.get(2)));
      case "table watch" -> statusCommands.watch(options.once(o), options.timeoutMs(o), out);
      case "data-centre out", "data-centre in" ->
          count != 3
              ? usage(command + " NAME")
              : tableCommands.setEvacuated(words.get(2), words.get(1).equals("out"));
      case "status" -> statusCommands.status(options.format(o));
      default ->
          CommandResult.invalid(
              command.isEmpty() ? "no command is given" : "'" + command + "' is not a command",
              "see --help");
    };
  }

  private static CommandResult usage(String form) {
    return CommandResult.invalid("the command is not complete", "write: cactusctl " + form);
  }

  private static Optional<SSLContext> trustedContext(Optional<String> certificate)
      throws IOException, GeneralSecurityException {
    if (certificate.isEmpty()) {
      return Optional.empty();
    }
    KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
    store.load(null, null);
    try (InputStream in = Files.newInputStream(Path.of(certificate.get()))) {
      store.setCertificateEntry(
          "operators", CertificateFactory.getInstance("X.509").generateCertificate(in));
    }
    TrustManagerFactory trust =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    trust.init(store);
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(null, trust.getTrustManagers(), null);
    return Optional.of(context);
  }
}
