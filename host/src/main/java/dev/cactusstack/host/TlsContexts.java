package dev.cactusstack.host;

import dev.cactusstack.settings.OperatorListenerSettings;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;

/** Loads TLS keys. Stateless. */
final class TlsContexts {
  private TlsContexts() {}

  static SSLContext load(OperatorListenerSettings.TlsKeystore key) {
    char[] password = key.password().toCharArray();
    try (InputStream in = Files.newInputStream(Path.of(key.path()))) {
      KeyStore store = KeyStore.getInstance("PKCS12");
      store.load(in, password);
      KeyManagerFactory keys =
          KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
      keys.init(store, password);
      SSLContext context = SSLContext.getInstance("TLS");
      context.init(keys.getKeyManagers(), null, null);
      return context;
    } catch (IOException | GeneralSecurityException e) {
      throw new IllegalStateException(
          "cannot read the keystore "
              + key.path()
              + ": "
              + e.getMessage()
              + "; check operators.tls.keystore and its password",
          e);
    }
  }
}
