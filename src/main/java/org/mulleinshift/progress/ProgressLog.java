package org.mulleinshift.progress;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.mulleinshift.model.Chunk;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.StoreKeys;

/**
 * Tracks which slot of the log holds the newest entry of each chunk of progress.
 *
 * <p>The log is a bounded set of slots, each a key that is overwritten and never deleted while the
 * log is in use: a delayed copy of an earlier write always fails, because the key's revision has
 * changed since. A slot may be overwritten once it holds no live entry: each of its entries has a
 * newer copy stored elsewhere, or its job has ended. A write whose outcome is unknown is uncertain:
 * the next write overwrites its slots first, so that it can't take effect later.
 */
public final class ProgressLog {
  /** Maximum number of slots, which bounds how many values a new leader reads. */
  public static final int MAX_SLOTS = 256;

  /** A log with no more slots in use than this is never compacted. */
  private static final int MIN_SLOTS_TO_COMPACT = 8;

  /** The log is compacted if it uses more than this many times the slots that live entries need. */
  private static final int MAX_SPACE_AMPLIFICATION = 3;

  /** If live entries take more than this share of the log, some are moved to chunk keys. */
  private static final double MAX_LIVE_SHARE = 0.5;

  /** Upper bound of an entry's bytes besides the progress: its names of job, chunk and fields. */
  private static final int ENTRY_OVERHEAD_BYTES = 160;

  /** Identifies a chunk of a job's progress. */
  public record ChunkId(JobId job, Chunk chunk) {}

  private static final class Slot {
    private final int number;
    private final Map<ChunkId, Integer> liveEntries = new LinkedHashMap<>();
    private int liveBytes;
    private boolean pinned;
    private long lastWriteNumber;

    Slot(int number) {
      this.number = number;
    }

    boolean free() {
      return liveEntries.isEmpty() && !pinned;
    }

    void add(ChunkId chunkId, int bytes) {
      liveEntries.put(chunkId, bytes);
      liveBytes += bytes;
    }

    /** Removes a chunk's entry and returns its length in bytes. */
    int remove(ChunkId chunkId) {
      int bytes = liveEntries.remove(chunkId);
      liveBytes -= bytes;
      return bytes;
    }
  }

  private int slotCapacityBytes;
  private final Map<Integer, Slot> slots = new TreeMap<>();
  private final Map<ChunkId, Slot> slotByChunk = new HashMap<>();
  private final Map<JobId, Set<ChunkId>> chunksByJob = new HashMap<>();
  private final Set<Integer> uncertainSlots = new TreeSet<>();
  private long writeCount;
  private int liveBytes;

  /**
   * Creates an empty log.
   *
   * @param valueBytes maximum length of a value
   */
  public ProgressLog(int valueBytes) {
    this.slotCapacityBytes = LogSegment.entryCapacityBytes(valueBytes);
  }

  /** The entries that one transaction writes to the log, and the slots that it overwrites. */
  public final class Batch {
    private final List<Slot> batchSlots = new ArrayList<>();
    private final Map<Slot, List<LogSegment.Entry>> entries = new LinkedHashMap<>();
    private final Map<Slot, Integer> bytes = new HashMap<>();
    private final int maxSlots;

    private Batch(int maxSlots) {
      this.maxSlots = maxSlots;
      uncertainSlots.forEach(number -> addSlot(slots.get(number)));
    }

    private void addSlot(Slot slot) {
      batchSlots.add(slot);
      entries.put(slot, new ArrayList<>());
      bytes.put(slot, 0);
    }

    /** Adds an entry; returns false if no slot of the batch and no free slot can take it. */
    public boolean add(LogSegment.Entry entry) {
      int size = entry.bytes();
      Optional<Slot> slot = capacityFor(size);
      slot.ifPresent(
          found -> {
            entries.get(found).add(entry);
            bytes.merge(found, size, Integer::sum);
          });
      return slot.isPresent();
    }

    private Optional<Slot> capacityFor(int size) {
      for (Slot slot : batchSlots) {
        if (bytes.get(slot) + size <= slotCapacityBytes) {
          return Optional.of(slot);
        }
      }
      Optional<Slot> free =
          size <= slotCapacityBytes && batchSlots.size() < maxSlots
              ? freeSlot(batchSlots)
              : Optional.empty();
      free.ifPresent(this::addSlot);
      return free;
    }

    /** Whether the batch writes no slot. */
    public boolean isEmpty() {
      return batchSlots.isEmpty();
    }

    /** Returns the writes of the batch; its slots are uncertain until it is marked as stored. */
    public List<Write> writes() {
      List<Write> writes = new ArrayList<>();
      for (Slot slot : batchSlots) {
        uncertainSlots.add(slot.number);
        writes.add(
            Write.put(StoreKeys.logSegment(slot.number), LogSegment.write(entries.get(slot))));
      }
      return writes;
    }
  }

  private Optional<Slot> freeSlot(List<Slot> excluded) {
    for (int number = 0; number < MAX_SLOTS; number++) {
      Slot slot = slots.computeIfAbsent(number, Slot::new);
      if (slot.free() && !excluded.contains(slot)) {
        return Optional.of(slot);
      }
    }
    return Optional.empty();
  }

  /**
   * Begins a batch, which overwrites all slots whose last write is uncertain.
   *
   * @param maxSlots maximum number of slots, unless more are uncertain
   */
  public Batch beginBatch(int maxSlots) {
    return new Batch(maxSlots);
  }

  /** Halves the maximum length of the segments that are written from now on. */
  public void halveSegmentLength() {
    slotCapacityBytes /= 2;
  }

  /** Maximum length of progress that fits into an entry of any job and chunk. */
  public int maxProgressBytes() {
    return slotCapacityBytes - ENTRY_OVERHEAD_BYTES;
  }

  /** Maximum length of an entry, which then fills a segment alone. */
  public int maxEntryBytes() {
    return slotCapacityBytes;
  }

  /**
   * Records that the batch is stored: its entries replace the earlier ones of their chunks as live
   * entries, and no write is uncertain any more.
   */
  public void markStored(Batch batch) {
    uncertainSlots.clear();
    writeCount++;
    for (Slot slot : batch.batchSlots) {
      slot.lastWriteNumber = writeCount;
      batch.entries.get(slot).forEach(entry -> addLiveEntry(slot, entry));
    }
  }

  private void addLiveEntry(Slot slot, LogSegment.Entry entry) {
    ChunkId chunkId = new ChunkId(entry.job(), entry.chunk());
    release(chunkId);
    int bytes = entry.bytes();
    slot.add(chunkId, bytes);
    liveBytes += bytes;
    slotByChunk.put(chunkId, slot);
    chunksByJob.computeIfAbsent(chunkId.job(), key -> new LinkedHashSet<>()).add(chunkId);
  }

  /** Drops the live entry of a chunk, if any: the chunk is stored elsewhere or no longer read. */
  public void release(ChunkId chunkId) {
    Slot slot = slotByChunk.remove(chunkId);
    if (slot == null) {
      return;
    }
    liveBytes -= slot.remove(chunkId);
    Set<ChunkId> chunkIds = chunksByJob.get(chunkId.job());
    chunkIds.remove(chunkId);
    if (chunkIds.isEmpty()) {
      chunksByJob.remove(chunkId.job());
    }
  }

  /** Drops all live entries of a job that has ended. */
  public void release(JobId job) {
    List.copyOf(chunksByJob.getOrDefault(job, Set.of())).forEach(this::release);
  }

  /** Adds a slot that was found in the store. */
  public void registerSlot(int number) {
    slots.computeIfAbsent(number, Slot::new);
  }

  /** Adds an entry that was found in the store and is the newest copy of its chunk. */
  public void registerEntry(int number, LogSegment.Entry newest) {
    addLiveEntry(slots.computeIfAbsent(number, Slot::new), newest);
  }

  /** Pins a slot with data that this build can't read or must not change: it is left as it is. */
  public void pin(int number) {
    slots.computeIfAbsent(number, Slot::new).pinned = true;
  }

  /** Pins the slot that holds the live entry of a chunk, if any, which must not be rewritten. */
  public void pinSlotOf(ChunkId chunkId) {
    Optional.ofNullable(slotByChunk.get(chunkId)).ifPresent(slot -> slot.pinned = true);
  }

  /**
   * Returns chunks whose live entries are in several slots and fit into one: rewriting them
   * together frees more slots than it takes. Empty if the log needs no compaction or is too full
   * for it.
   */
  public List<ChunkId> chunksToCompact() {
    int needed = liveBytes / Math.max(1, slotCapacityBytes) + 1;
    if (inUse() <= Math.max(MIN_SLOTS_TO_COMPACT, MAX_SPACE_AMPLIFICATION * needed)
        || isTooFull()) {
      return List.of();
    }
    List<ChunkId> chunkIds = new ArrayList<>();
    int bytes = 0;
    int emptied = 0;
    for (Slot slot : occupied(Comparator.comparingInt(slot -> slot.liveBytes))) {
      bytes += slot.liveBytes;
      if (bytes > slotCapacityBytes) {
        break;
      }
      chunkIds.addAll(slot.liveEntries.keySet());
      emptied++;
    }
    return emptied > 1 ? chunkIds : List.of();
  }

  /**
   * Returns the chunks in the slot written longest ago if the log is too full to be compacted: they
   * should move to their own keys. Empty if the log is not that full.
   */
  public List<ChunkId> chunksToMigrate() {
    if (!isTooFull()) {
      return List.of();
    }
    List<Slot> oldestFirst = occupied(Comparator.comparingLong(slot -> slot.lastWriteNumber));
    return oldestFirst.isEmpty() ? List.of() : List.copyOf(oldestFirst.get(0).liveEntries.keySet());
  }

  private boolean isTooFull() {
    return liveBytes > MAX_LIVE_SHARE * MAX_SLOTS * slotCapacityBytes;
  }

  private List<Slot> occupied(Comparator<Slot> order) {
    return slots.values().stream()
        .filter(slot -> !slot.pinned && !slot.liveEntries.isEmpty())
        .sorted(order)
        .toList();
  }

  private int inUse() {
    int count = 0;
    for (Slot slot : slots.values()) {
      count += slot.free() ? 0 : 1;
    }
    return count;
  }

  /** Returns all chunks that have a live entry. */
  public List<ChunkId> liveChunks() {
    return List.copyOf(slotByChunk.keySet());
  }

  /** Whether no slot holds a live entry or is pinned, and no write to the log is uncertain. */
  public boolean isUnused() {
    return inUse() == 0 && uncertainSlots.isEmpty();
  }

  /** Returns the keys of all known slots, also of those that were not written yet. */
  public List<String> slotKeys() {
    return slots.keySet().stream().map(StoreKeys::logSegment).toList();
  }
}
