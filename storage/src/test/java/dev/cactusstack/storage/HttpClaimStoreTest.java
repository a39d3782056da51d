package dev.cactusstack.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.cactusstack.http.HttpClient;
import dev.cactusstack.http.HttpException;
import dev.cactusstack.http.XnioWorkers;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.ServiceName;
import dev.cactusstack.standin.PlatformFaults;
import dev.cactusstack.standin.PlatformStandIn;
import dev.cactusstack.storage.ClaimStore.ClaimKey;
import dev.cactusstack.storage.ClaimStore.ClaimOutcome;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioWorker;

/** Tests that a key does not stay claimed for a request that did not run. */
class HttpClaimStoreTest {
  private static final ClaimKey KEY = new ClaimKey(new ServiceName("booking"), "a1", "b2");
  private static final Duration TIMEOUT = Duration.ofMillis(400);
  private static final long LATE_MS = 1_500;
  private static final int RELEASES = 300;

  /** Keeps a failing test from hanging. */
  private static final long WAIT_MS = 20_000;

  private final PlatformStandIn standIn = PlatformStandIn.start(0);
  private final XnioWorker worker = XnioWorkers.createDaemonWorker("claims-test", 1);
  private final HttpClaimStore store =
      new HttpClaimStore(
          new HttpClient(worker, Optional.empty()),
          new Address("127.0.0.1", standIn.port()),
          TIMEOUT);

  @AfterEach
  void stop() {
    standIn.close();
    worker.shutdown();
  }

  private void awaitGrantTo(String holder) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + Duration.ofMillis(WAIT_MS).toNanos();
    while (!(store.claim(KEY, holder).join() instanceof ClaimOutcome.Granted)) {
      assertThat(System.nanoTime()).as("the key stays claimed").isLessThan(deadlineNanos);
      Thread.sleep(1);
    }
  }

  @Test
  void shouldReleaseTheKeyWhenTheTableServiceIsDownAtFirst() throws Exception {
    assertThat(store.claim(KEY, "first").join()).isInstanceOf(ClaimOutcome.Granted.class);
    standIn.setFaults(new PlatformFaults(true, 0, 0));
    store.release(KEY, "first");
    Thread.sleep(TIMEOUT.toMillis());
    standIn.setFaults(PlatformFaults.NONE);
    awaitGrantTo("second");
  }

  @Test
  void shouldReleaseTheKeyWhenTheClaimIsRecordedAfterItsTimeout() throws Exception {
    standIn.setFaults(new PlatformFaults(false, LATE_MS, 0));
    assertThatThrownBy(() -> store.claim(KEY, "first").join())
        .hasCauseInstanceOf(HttpException.class);
    standIn.setFaults(PlatformFaults.NONE);
    Thread.sleep(2 * LATE_MS);
    awaitGrantTo("second");
  }

  /** Guards against an error when the holder releases the key between a conflict and the read. */
  @Test
  void shouldGrantTheKeyWhenItIsReleasedWhileItIsClaimed() throws Exception {
    for (int i = 0; i < RELEASES; i++) {
      String holder = "holder" + i;
      awaitGrantTo(holder);
      store.release(KEY, holder);
    }
  }

  @Test
  void shouldRecordTheStatusWhenTheTableServiceIsDownAtFirst() throws Exception {
    assertThat(store.claim(KEY, "first").join()).isInstanceOf(ClaimOutcome.Granted.class);
    standIn.setFaults(new PlatformFaults(true, 0, 0));
    store.markAnswered(KEY, "first", 201);
    Thread.sleep(TIMEOUT.toMillis());
    standIn.setFaults(PlatformFaults.NONE);
    long deadlineNanos = System.nanoTime() + Duration.ofMillis(WAIT_MS).toNanos();
    while (!store.claim(KEY, "second").join().equals(new ClaimOutcome.AlreadyAnswered(201))) {
      assertThat(System.nanoTime()).as("the status is not recorded").isLessThan(deadlineNanos);
      Thread.sleep(50);
    }
  }

  @Test
  void shouldKeepTheKeyOfAnotherHolderWhenAClaimFails() throws Exception {
    assertThat(store.claim(KEY, "first").join()).isInstanceOf(ClaimOutcome.Granted.class);
    standIn.setFaults(new PlatformFaults(false, LATE_MS, 0));
    assertThatThrownBy(() -> store.claim(KEY, "second").join())
        .hasCauseInstanceOf(HttpException.class);
    standIn.setFaults(PlatformFaults.NONE);
    Thread.sleep(2 * LATE_MS);
    assertThat(store.claim(KEY, "third").join()).isInstanceOf(ClaimOutcome.InProgress.class);
  }
}
