package dev.cactusstack.settings;

import dev.cactusstack.model.Address;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The port for operators.
 *
 * <p>Invariant: an address that is not loopback has a token and TLS. Immutable and thread-safe.
 *
 * @param address where operators connect
 * @param token what operators present, if they must
 * @param tls the server's key, if the port uses TLS
 */
public record OperatorListenerSettings(Address address, Optional<String> token, Optional<TlsKeystore> tls) {
  /** The environment variable that sets the token in place of the file. */
  public static final String TOKEN_VARIABLE = "CACTUSSTACK_OPERATORS_TOKEN";

  private static final int MIN_TOKEN_LENGTH = 16;

  /**
   * A private key and its certificate in a PKCS #12 file.
   *
   * @param path the file's path
   * @param password the file's password
   */
  public record TlsKeystore(String path, String password) {
    @Override
    public String toString() {
      return "TlsKey(" + path + ")";
    }
  }

  /** Checks the components. */
  public OperatorListenerSettings {
    Objects.requireNonNull(address, "address is null");
    Objects.requireNonNull(token, "token is null");
    Objects.requireNonNull(tls, "tls is null");
  }

  static OperatorListenerSettings read(Section s, Map<String, String> environment) {
    Address address = s.address("address", "127.0.0.1:8081");
    Optional<String> inFile = s.optionalString("token");
    Optional<String> token = Optional.ofNullable(environment.get(TOKEN_VARIABLE)).or(() -> inFile);
    Optional<TlsKeystore> tls = s.optionalSection("tls").map(t -> tls(t, environment));
    if (token.isPresent() && token.get().length() < MIN_TOKEN_LENGTH) {
      s.addSecretError("token", "use at least " + MIN_TOKEN_LENGTH + " characters");
    }
    if (!address.isLoopback() && token.isEmpty()) {
      s.addError(
          "token", "set it, or the variable " + TOKEN_VARIABLE + "; only loopback works without");
    }
    if (!address.isLoopback() && tls.isEmpty()) {
      s.addError("tls", "name a keystore; only loopback works without TLS");
    }
    s.rejectUnknownKeys();
    return new OperatorListenerSettings(address, token, tls);
  }

  private static TlsKeystore tls(Section s, Map<String, String> environment) {
    String keystore = s.string("keystore", "operators.p12");
    String variable = s.string("password_variable", "CACTUSSTACK_TLS_PASSWORD");
    String password = environment.get(variable);
    if (password == null) {
      s.addError("password_variable", "set the environment variable " + variable);
    }
    s.rejectUnknownKeys();
    return new TlsKeystore(keystore, password == null ? "" : password);
  }

  @Override
  public String toString() {
    return "OperatorsSettings(" + address + ")";
  }
}
