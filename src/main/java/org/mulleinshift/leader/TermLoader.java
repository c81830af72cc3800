package org.mulleinshift.leader;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.transport.EventLoop;

/**
 * Reads stored keys page by page at the start of a term. No page is kept: after all controllers
 * have failed there are many.
 */
final class TermLoader {
  private static final Duration RETRY = Duration.ofMillis(400);

  private final EventLoop loop;
  private final KeyValueStore store;
  private final BooleanSupplier loading;

  /**
   * A loader for one term.
   *
   * @param loading whether the term still loads its state
   */
  TermLoader(EventLoop loop, KeyValueStore store, BooleanSupplier loading) {
    this.loop = loop;
    this.store = store;
    this.loading = loading;
  }

  /** Hands over each page of the keys with the prefix, then runs the next step. */
  void load(String prefix, Consumer<StoreCodec.Range> onPage, Runnable next) {
    load(prefix, Optional.empty(), onPage, next);
  }

  private void load(
      String prefix, Optional<String> after, Consumer<StoreCodec.Range> onPage, Runnable next) {
    store.readPage(
        prefix,
        after,
        result -> {
          if (!loading.getAsBoolean()) {
            return;
          }
          if (!(result instanceof ReadResult.Found<StoreCodec.Range> found)) {
            loop.after(RETRY, () -> load(prefix, after, onPage, next));
            return;
          }
          StoreCodec.Range page = found.value();
          onPage.accept(page);
          if (page.next().isPresent()) {
            load(prefix, page.next(), onPage, next);
          } else {
            next.run();
          }
        });
  }
}
