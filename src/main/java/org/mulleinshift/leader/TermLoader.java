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
 * Reads stored keys page by page at the start of a term. Pages are processed one at a time rather
 * than collected, since there may be many of them after all controllers have failed.
 */
final class TermLoader {
  private static final Logger LOG = LoggerFactory.getLogger(TermLoader.class);
  private static final Duration RETRY_DELAY = Duration.ofMillis(400);

  private final EventLoop loop;
  private final KeyValueStore store;
  private final BooleanSupplier loading;
  private final Revision term;

  /**
   * Creates a loader for one term.
   *
   * @param loading whether the term is still loading its state; if not, reading stops
   * @param term the term, used only in log messages
   */
  TermLoader(EventLoop loop, KeyValueStore store, BooleanSupplier loading, Revision term) {
    this.loop = loop;
    this.store = store;
    this.loading = loading;
    this.term = term;
  }

  /** A paged read of all keys with a prefix, with counters and start time for the log. */
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
      if (page.nextPageAfter().isPresent()) {
        readPage(page.nextPageAfter());
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

  /**
   * Reads all keys with the prefix.
   *
   * @param onPage receives each page in order
   * @param next runs after the last page
   */
  void load(String prefix, Consumer<StoreCodec.Range> onPage, Runnable next) {
    new PrefixScan(prefix, onPage, next).readPage(Optional.empty());
  }
}
