package org.mulleinshift.leader;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads stored keys page by page at the start of a term. No page is kept: after all controllers
 * have failed there are many.
 */
final class TermLoader {
  private static final Logger LOG = LoggerFactory.getLogger(TermLoader.class);
  private static final Duration RETRY_DELAY = Duration.ofMillis(400);

  private final EventLoop loop;
  private final KeyValueStore store;
  private final BooleanSupplier loading;
  private final Revision term;

  /**
   * A loader for one term.
   *
   * @param loading whether the term still loads its state
   * @param term the term, for the log
   */
  TermLoader(EventLoop loop, KeyValueStore store, BooleanSupplier loading, Revision term) {
    this.loop = loop;
    this.store = store;
    this.loading = loading;
    this.term = term;
  }

  /** The reading of all keys with a prefix, and what it has taken so far. */
  private final class PrefixScan {
    private final String prefix;
    private final Consumer<StoreCodec.Range> onPage;
    private final Runnable next;
    private final MonotonicTime startedAt = loop.now();
    private int keyCount;
    private int retries;

    PrefixScan(String prefix, Consumer<StoreCodec.Range> onPage, Runnable next) {
      this.prefix = prefix;
      this.onPage = onPage;
      this.next = next;
    }

    void readPage(Optional<String> after) {
      store.readPage(
          prefix,
          after,
          result -> {
            if (!loading.getAsBoolean()) {
              return;
            }
            if (result instanceof ReadResult.Found<StoreCodec.Range> found) {
              onPage(found.value());
            } else {
              retries++;
              loop.after(RETRY_DELAY, () -> readPage(after));
            }
          });
    }

    private void onPage(StoreCodec.Range page) {
      keyCount += page.items().size();
      onPage.accept(page);
      if (page.next().isPresent()) {
        readPage(page.next());
        return;
      }
      LOG.info(
          "term state read, term={} prefix={} keys={} retries={} ms={}",
          term,
          prefix,
          keyCount,
          retries,
          loop.now().since(startedAt).toMillis());
      next.run();
    }
  }

  /** Hands over each page of the keys with the prefix, then runs the next step. */
  void load(String prefix, Consumer<StoreCodec.Range> onPage, Runnable next) {
    new PrefixScan(prefix, onPage, next).readPage(Optional.empty());
  }
}
