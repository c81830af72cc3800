package org.mulleinshift.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mulleinshift.membership.VirtualEventLoop;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Write;

/** Checks which mutations share a transaction, and in which order. */
class PendingMutationsTest {
  private static final int MAX_WRITES = 3;

  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final PendingMutations mutations = new PendingMutations(loop, MAX_WRITES);

  /** Writes one key. */
  private record KeyMutation(String key, boolean urgent) implements TransactionBatcher.Mutation {
    @Override
    public List<Write> writes() {
      return List.of(Write.put(key, Json.object()));
    }

    @Override
    public void onCommitted(Revision revision) {}
  }

  private void add(String key, boolean urgent) {
    mutations.add(key, new KeyMutation(key, urgent));
  }

  private List<String> nextKeys() {
    return List.copyOf(mutations.takeBatch().orElseThrow().keys());
  }

  @Test
  void aBatchHasNoMoreWritesThanAllowed() {
    for (String key : List.of("a", "b", "c", "d")) {
      add(key, true);
    }
    assertEquals(List.of("a", "b", "c"), nextKeys());
    assertEquals(List.of("d"), nextKeys());
    assertTrue(mutations.takeBatch().isEmpty(), "all were taken");
  }

  @Test
  void urgentMutationsGoFirstUntilOthersHaveWaitedLongEnough() {
    add("deferred", false);
    add("urgent", true);
    assertEquals(List.of("urgent", "deferred"), nextKeys());

    add("overdue", false);
    loop.runFor(3);
    add("urgent", true);
    assertEquals(List.of("overdue", "urgent"), nextKeys());
  }

  @Test
  void idleMutationsWaitForAllOthers() {
    mutations.addWhenIdle("idle", new KeyMutation("idle", true));
    add("pending", false);
    assertEquals(List.of("pending"), nextKeys());
    assertEquals(List.of("idle"), nextKeys());
  }

  @Test
  void aRestoredMutationDoesNotReplaceANewerOne() {
    add("a", true);
    PendingMutations.Batch batch = mutations.takeBatch().orElseThrow();
    TransactionBatcher.Mutation newer = new KeyMutation("newer", true);
    mutations.add("a", newer);
    mutations.restore(batch);
    assertEquals(List.of("newer"), nextKeys());
  }

  @Test
  void mutationsOfARejectedBatchAreTakenOneByOne() {
    add("a", true);
    add("b", true);
    add("c", true);
    mutations.restoreForSingleCommits(mutations.takeBatch().orElseThrow());
    assertEquals(List.of("a"), nextKeys());
    assertEquals(List.of("b"), nextKeys());
    assertEquals(List.of("c"), nextKeys());
  }
}
