package org.mulleinshift.progress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mulleinshift.model.Chunk;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.Write;

/** Tests which slots of the progress log may be overwritten and which writes are uncertain. */
class ProgressLogTest {
  private static final int VALUE_BYTES = 600;
  private static final int JOBS = 12;
  private static final int ROUNDS = 400;

  /** A key-value store that may apply a transaction late. */
  private static final class Store {
    private record Stored(JsonNode value, int revision) {}

    private record Transaction(List<Write> writes, Map<String, Integer> guards) {}

    private final Map<String, Stored> keys = new TreeMap<>();
    private final List<Transaction> lateTransactions = new ArrayList<>();
    private int revision;

    Transaction transaction(List<Write> writes) {
      Map<String, Integer> guards = new HashMap<>();
      writes.forEach(write -> guards.put(write.key(), revisionOf(write.key())));
      return new Transaction(writes, guards);
    }

    private int revisionOf(String key) {
      return keys.containsKey(key) ? keys.get(key).revision() : 0;
    }

    void apply(Transaction transaction) throws MalformedMessageException {
      for (Map.Entry<String, Integer> guard : transaction.guards().entrySet()) {
        if (revisionOf(guard.getKey()) != guard.getValue()) {
          return;
        }
      }
      revision++;
      for (Write write : transaction.writes()) {
        keys.put(write.key(), new Stored(Json.parseObject(write.value().get()), revision));
      }
    }

    /** The progress of each chunk with the highest revision, as a new leader reads it. */
    Map<ProgressLog.ChunkId, String> newest() throws MalformedMessageException {
      Map<ProgressLog.ChunkId, Integer> revisions = new HashMap<>();
      Map<ProgressLog.ChunkId, String> found = new HashMap<>();
      for (Stored stored : keys.values()) {
        for (LogSegment.Entry entry : LogSegment.read(stored.value())) {
          ProgressLog.ChunkId chunkId = new ProgressLog.ChunkId(entry.job(), entry.chunk());
          if (stored.revision() > revisions.getOrDefault(chunkId, 0)) {
            revisions.put(chunkId, stored.revision());
            found.put(chunkId, entry.progress().path("done").asText());
          }
        }
      }
      return found;
    }
  }

  private static LogSegment.Entry entry(int job, String done) {
    JsonNode progress = Json.object().put("done", done);
    return LogSegment.Entry.of(new JobId("run-" + job), Chunk.whole(0), progress);
  }

  private static ProgressLog.ChunkId chunkId(LogSegment.Entry entry) {
    return new ProgressLog.ChunkId(entry.job(), entry.chunk());
  }

  /**
   * Transactions are answered, applied without an answer, or applied late if none of their keys has
   * changed since: a new leader must read exactly what was acknowledged as stored. Guards against a
   * delayed write that brings back older progress.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void acknowledgedProgressIsReadAfterLateWrites(int seed) throws MalformedMessageException {
    LateWrites run = new LateWrites(seed);
    for (int round = 0; round < ROUNDS; round++) {
      run.round(round);
    }
    assertTrue(run.log.slotKeys().size() < ProgressLog.MAX_SLOTS, "the log uses all of its slots");
  }

  static IntStream seeds() {
    return IntStream.rangeClosed(1, 30);
  }

  /** A log whose transactions have random outcomes: applied, unanswered or late. */
  private static final class LateWrites {
    private final int seed;
    private final Random random;
    private final Store store = new Store();
    private final ProgressLog log = new ProgressLog(VALUE_BYTES);
    private final Map<ProgressLog.ChunkId, String> acknowledged = new HashMap<>();
    private final Map<Integer, String> pending = new TreeMap<>();
    private final Set<Integer> ended = new HashSet<>();

    LateWrites(int seed) {
      this.seed = seed;
      this.random = new Random(seed);
    }

    void round(int round) throws MalformedMessageException {
      changeJobs(round);
      if (random.nextInt(3) == 0) {
        endJob(round / 10 + random.nextInt(JOBS));
      }
      ProgressLog.Batch batch = log.beginBatch(2);
      List<LogSegment.Entry> added = addPending(batch);
      Store.Transaction transaction = store.transaction(batch.writes());
      switch (random.nextInt(4)) {
        case 0 -> store.lateTransactions.add(transaction);
        case 1 -> store.apply(transaction);
        default -> {
          store.apply(transaction);
          acknowledge(batch, added);
          applyLateWrites();
          assertAcknowledgedIsRead(round);
        }
      }
    }

    private void changeJobs(int round) {
      for (int i = random.nextInt(4); i > 0; i--) {
        int job = round / 10 + random.nextInt(JOBS);
        if (!ended.contains(job)) {
          pending.put(job, Integer.toString(round));
        }
      }
    }

    /** Releases the entries of a job whose end is stored, which may free its slot. */
    private void endJob(int job) {
      ended.add(job);
      pending.remove(job);
      log.release(new JobId("run-" + job));
    }

    private List<LogSegment.Entry> addPending(ProgressLog.Batch batch) {
      List<LogSegment.Entry> added = new ArrayList<>();
      for (Map.Entry<Integer, String> change : pending.entrySet()) {
        LogSegment.Entry entry = entry(change.getKey(), change.getValue());
        if (batch.add(entry)) {
          added.add(entry);
        }
      }
      return added;
    }

    private void acknowledge(ProgressLog.Batch batch, List<LogSegment.Entry> added) {
      log.markStored(batch);
      for (LogSegment.Entry entry : added) {
        acknowledged.put(chunkId(entry), entry.progress().path("done").asText());
        pending.remove(number(entry.job()));
      }
    }

    private void applyLateWrites() throws MalformedMessageException {
      for (Store.Transaction old : store.lateTransactions) {
        store.apply(old);
      }
      store.lateTransactions.clear();
    }

    private void assertAcknowledgedIsRead(int round) throws MalformedMessageException {
      acknowledged.keySet().removeIf(chunkId -> ended.contains(number(chunkId.job())));
      Map<ProgressLog.ChunkId, String> newest = store.newest();
      newest.keySet().removeIf(chunkId -> ended.contains(number(chunkId.job())));
      assertEquals(acknowledged, newest, "seed " + seed + ", round " + round);
    }
  }

  private static int number(JobId job) {
    return Integer.parseInt(job.value().substring("run-".length()));
  }

  @Test
  void liveEntriesAreNotOverwritten() {
    ProgressLog log = new ProgressLog(VALUE_BYTES);
    for (int job = 0; job < ProgressLog.MAX_SLOTS; job++) {
      ProgressLog.Batch batch = log.beginBatch(1);
      assertTrue(batch.add(entry(job, "0")));
      assertEquals(List.of("l/" + job), batch.writes().stream().map(Write::key).toList());
      log.markStored(batch);
    }
    assertFalse(log.beginBatch(1).add(entry(ProgressLog.MAX_SLOTS, "0")), "no slot is free");
    log.release(new JobId("run-7"));
    ProgressLog.Batch batch = log.beginBatch(1);
    assertTrue(batch.add(entry(99, "0")));
    assertEquals("l/7", batch.writes().get(0).key());
  }

  @Test
  void aSparseLogIsCompacted() {
    ProgressLog log = new ProgressLog(VALUE_BYTES);
    for (int job = 0; job < 20; job++) {
      ProgressLog.Batch batch = log.beginBatch(1);
      batch.add(entry(job, "0"));
      log.markStored(batch);
    }
    int moved = 0;
    for (int step = 0; step < 10 && !log.chunksToCompact().isEmpty(); step++) {
      ProgressLog.Batch batch = log.beginBatch(1);
      for (ProgressLog.ChunkId chunkId : log.chunksToCompact()) {
        assertTrue(batch.add(LogSegment.Entry.of(chunkId.job(), chunkId.chunk(), Json.object())));
        moved++;
      }
      log.markStored(batch);
    }
    assertTrue(moved > 0 && moved <= 40, "moved " + moved);
    assertEquals(List.of(), log.chunksToCompact(), "compaction ends");
    assertEquals(20, log.liveChunks().size());
  }

  @Test
  void pinnedSlotsAreNotCompacted() {
    ProgressLog log = new ProgressLog(VALUE_BYTES);
    for (int job = 0; job < 20; job++) {
      ProgressLog.Batch batch = log.beginBatch(1);
      batch.add(entry(job, "0"));
      log.markStored(batch);
    }
    List<ProgressLog.ChunkId> first = log.chunksToCompact();
    assertFalse(first.isEmpty());
    first.forEach(log::pinSlotOf);
    assertTrue(log.chunksToCompact().stream().noneMatch(first::contains));
  }

  @Test
  void aFullLogMigratesItsOldestSlot() {
    ProgressLog log = new ProgressLog(VALUE_BYTES);
    for (int job = 0; job < ProgressLog.MAX_SLOTS; job++) {
      ProgressLog.Batch batch = log.beginBatch(1);
      batch.add(entry(job, "x".repeat(400)));
      log.markStored(batch);
    }
    assertEquals(List.of(), log.chunksToCompact());
    assertEquals("run-0", log.chunksToMigrate().get(0).job().value(), "the oldest goes first");
  }

  @Test
  void aPinnedSlotIsNotOverwritten() {
    ProgressLog log = new ProgressLog(VALUE_BYTES);
    log.pin(0);
    ProgressLog.Batch batch = log.beginBatch(1);
    batch.add(entry(1, "0"));
    assertEquals("l/1", batch.writes().get(0).key());
    assertFalse(log.isUnused());
  }

  /** The length counted for a segment must be no less than its encoded length. */
  @Test
  void entriesAreNotLongerThanCounted() {
    List<LogSegment.Entry> entries = new ArrayList<>();
    int counted = VALUE_BYTES - LogSegment.entryCapacityBytes(VALUE_BYTES);
    for (int job = 0; job < 50; job++) {
      entries.add(entry(job * 7919, "0-" + job));
      counted += entries.get(job).bytes();
    }
    assertTrue(StoreCodec.encodedLength(LogSegment.write(entries)) <= counted);
  }

  /** A damaged segment is either read as a whole, and written again the same, or refused. */
  @Test
  void damagedSegmentsAreRefused() throws MalformedMessageException {
    List<LogSegment.Entry> entries = List.of(entry(1, "0-4"), entry(2, "7"));
    JsonNode value = LogSegment.write(entries);
    assertEquals(entries, LogSegment.read(value));
    String text = Json.write(value);
    Random random = new Random(5);
    int refused = 0;
    for (int i = 0; i < 20_000; i++) {
      StringBuilder damaged = new StringBuilder(text);
      for (int j = 1 + random.nextInt(3); j > 0; j--) {
        damaged.setCharAt(random.nextInt(damaged.length()), (char) (32 + random.nextInt(95)));
      }
      try {
        List<LogSegment.Entry> read = LogSegment.read(Json.parseObject(damaged.toString()));
        assertEquals(read, LogSegment.read(LogSegment.write(read)));
      } catch (MalformedMessageException e) {
        refused++;
      }
    }
    assertTrue(refused > 10_000, "refused " + refused);
    assertThrows(
        MalformedMessageException.class,
        () -> LogSegment.read(Json.parseObject("{\"entries\":[]}")));
    assertEquals(List.of(), LogSegment.readJobIds(Json.parseObject("{\"entries\":[]}")).get());
    assertTrue(LogSegment.readJobIds(Json.parseObject("{\"form\":2}")).isEmpty());
  }
}
