package org.mulleinshift.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.mulleinshift.membership.VirtualEventLoop;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.HttpStatus;

/** Checks the guards of the leader's transactions and the reads after a conflict. */
class TransactionBatcherTest {
  private static final InetSocketAddress ADDRESS = InetSocketAddress.createUnresolved("host", 1);
  private static final String KEY = "a/run-1";
  private static final Revision TERM = new Revision(3);
  private static final Revision READ = new Revision(5);
  private static final Revision CANCELLED = new Revision(7);
  private static final int CONFLICT = 409;
  private static final int MAX_WRITES = 12;

  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final StoreStub store = new StoreStub();
  private final TransactionBatcher batcher =
      new TransactionBatcher(
          loop,
          new KeyValueStore(loop, store, store, ADDRESS, new KeyValueStore.Rates(1000, 1000, 1, 1)),
          TERM,
          MAX_WRITES,
          Duration.ofMillis(10),
          () -> {});
  private int committed;

  /**
   * Records transactions and reads. The leader key has revision TERM, any other key CANCELLED.
   * After a read, commits succeed.
   */
  private final class StoreStub implements AsyncHttpClient {
    private final List<String> transactions = new ArrayList<>();
    private final List<String> reads = new ArrayList<>();
    private int commitStatus = HttpStatus.OK;

    @Override
    public void call(
        InetSocketAddress target, HttpRequest request, Consumer<HttpResponse> onResponse) {
      loop.post(() -> onResponse.accept(respond(request)));
    }

    private HttpResponse respond(HttpRequest request) {
      if (request.method().equals("POST")) {
        transactions.add(request.body().orElseThrow());
        return new HttpResponse(commitStatus, "{\"epoch\":9}");
      }
      reads.add(request.path());
      commitStatus = HttpStatus.OK;
      Revision revision = request.path().endsWith(StoreKeys.LEADER) ? TERM : CANCELLED;
      return new HttpResponse(
          HttpStatus.OK, "{\"k\":\"" + KEY + "\",\"value\":{},\"stamp\":" + revision + "}");
    }
  }

  private void submitDeletion() {
    batcher.submit(
        KEY,
        new TransactionBatcher.Mutation() {
          @Override
          public List<Write> writes() {
            return List.of(Write.delete(KEY));
          }

          @Override
          public void onCommitted(Revision revision) {
            committed++;
          }
        });
  }

  private static String guard(Revision revision) {
    return "{\"k\":\"" + KEY + "\",\"stamp\":" + revision + "}";
  }

  @Test
  void aQueuedMutationDemandsTheRevisionRecordedLast() {
    batcher.recordRevision(KEY, READ);
    submitDeletion();
    batcher.recordRevision(KEY, CANCELLED);
    loop.runFor(1);
    assertEquals(1, store.transactions.size());
    assertTrue(store.transactions.get(0).contains(guard(CANCELLED)), store.transactions.get(0));
    assertEquals(1, committed);
  }

  @Test
  void afterAConflictTheKeysAreReadBeforeTheyAreWrittenAgain() {
    batcher.recordRevision(KEY, READ);
    store.commitStatus = CONFLICT;
    submitDeletion();
    loop.runFor(1);
    assertEquals(2, store.transactions.size());
    assertTrue(store.transactions.get(0).contains(guard(READ)), store.transactions.get(0));
    assertTrue(store.transactions.get(1).contains(guard(CANCELLED)), store.transactions.get(1));
    assertEquals(List.of("/keys/" + KEY, "/keys/" + StoreKeys.LEADER), store.reads);
    assertEquals(1, committed);
  }
}
