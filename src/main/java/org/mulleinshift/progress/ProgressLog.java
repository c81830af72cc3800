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
 * Where the newest stored image of each chunk of a job's progress is in the log.
 *
 * <p>The log is a bounded set of slots, each a key that is overwritten and never deleted while the
 * log is in use: a late copy of an earlier write always meets a revision that has moved on. A slot
 * may be overwritten once it holds no live image: each of its images has a newer one that is stored
 * elsewhere, or its job has ended. A write without a certain outcome is uncertain: the next write
 * overwrites its slots first, so that nothing of it can appear later.
 */
public final class ProgressLog {
  /** Bounds what a new leader reads: so many values at most. */
  public static final int MAX_SLOTS = 256;

  /** A log with at most so many slots in use is never compacted. */
  private static final int MIN_SLOTS_TO_COMPACT = 8;

  /** Slots in use are kept below this many times what the live images need. */
  private static final int SLACK = 3;

  /** Above this share of all slots live images are moved to keys of their own. */
  private static final double MAX_LIVE_SHARE = 0.5;

  /** Bytes of an entry for the names of its job and chunk. */
  private static final int NAMES_BYTES = 160;

  /** A chunk of a job whose progress is in the log. */
  public record ChunkId(JobId job, Chunk chunk) {}

  private static final class Slot {
    private final int number;
    private final Map<ChunkId, Integer> live = new LinkedHashMap<>();
    private int liveBytes;
    private boolean pinned;
    private long writtenAt;

    Slot(int number) {
      this.number = number;
    }

    boolean free() {
      return live.isEmpty() && !pinned;
    }

    void add(ChunkId image, int bytes) {
      live.put(image, bytes);
      liveBytes += bytes;
    }

    /** Removes an image and returns its length. */
    int remove(ChunkId image) {
      int bytes = live.remove(image);
      liveBytes -= bytes;
      return bytes;
    }
  }

  private int slotBytes;
  private final Map<Integer, Slot> slots = new TreeMap<>();
  private final Map<ChunkId, Slot> slotByImage = new HashMap<>();
  private final Map<JobId, Set<ChunkId>> byJob = new HashMap<>();
  private final Set<Integer> uncertainSlots = new TreeSet<>();
  private long writes;
  private int liveBytes;

  /**
   * An empty log.
   *
   * @param valueBytes maximum length of a value
   */
  public ProgressLog(int valueBytes) {
    this.slotBytes = LogSegment.entryCapacityBytes(valueBytes);
  }

  /** What one transaction writes to the log. */
  public final class Batch {
    private final List<Slot> taken = new ArrayList<>();
    private final Map<Slot, List<LogSegment.Entry>> entries = new LinkedHashMap<>();
    private final Map<Slot, Integer> bytes = new HashMap<>();
    private final int maxSlots;

    private Batch(int maxSlots) {
      this.maxSlots = maxSlots;
      uncertainSlots.forEach(number -> addSlot(slots.get(number)));
    }

    private void addSlot(Slot slot) {
      taken.add(slot);
      entries.put(slot, new ArrayList<>());
      bytes.put(slot, 0);
    }

    /** Adds an entry; false if the batch has no capacity for it. */
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
      for (Slot slot : taken) {
        if (bytes.get(slot) + size <= slotBytes) {
          return Optional.of(slot);
        }
      }
      Optional<Slot> free =
          size <= slotBytes && taken.size() < maxSlots ? freeSlot(taken) : Optional.empty();
      free.ifPresent(this::addSlot);
      return free;
    }

    /** Whether it would write nothing. */
    public boolean isEmpty() {
      return taken.isEmpty();
    }

    /** The transaction's writes; from now on its slots are uncertain. */
    public List<Write> writes() {
      List<Write> writes = new ArrayList<>();
      for (Slot slot : taken) {
        uncertainSlots.add(slot.number);
        writes.add(
            Write.put(StoreKeys.logSegment(slot.number), LogSegment.write(entries.get(slot))));
      }
      return writes;
    }
  }

  private Optional<Slot> freeSlot(List<Slot> taken) {
    for (int number = 0; number < MAX_SLOTS; number++) {
      Slot slot = slots.computeIfAbsent(number, Slot::new);
      if (slot.free() && !taken.contains(slot)) {
        return Optional.of(slot);
      }
    }
    return Optional.empty();
  }

  /**
   * Begins a write; slots whose last write is uncertain are part of it.
   *
   * @param maxSlots maximum number of slots, unless more are uncertain
   */
  public Batch beginBatch(int maxSlots) {
    return new Batch(maxSlots);
  }

  /** Values are at most half as long from now on. */
  public void halveSegmentLength() {
    slotBytes /= 2;
  }

  /** Maximum length of a chunk's progress that surely fits into an entry. */
  public int maxProgressBytes() {
    return slotBytes - NAMES_BYTES;
  }

  /** Maximum length of an entry. */
  public int maxEntryBytes() {
    return slotBytes;
  }

  /** The batch is stored: its images are the newest, and earlier ones are no longer needed. */
  public void markStored(Batch batch) {
    uncertainSlots.clear();
    writes++;
    for (Slot slot : batch.taken) {
      slot.writtenAt = writes;
      batch.entries.get(slot).forEach(entry -> addImage(slot, entry));
    }
  }

  private void addImage(Slot slot, LogSegment.Entry entry) {
    ChunkId image = new ChunkId(entry.job(), entry.chunk());
    release(image);
    int bytes = entry.bytes();
    slot.add(image, bytes);
    liveBytes += bytes;
    slotByImage.put(image, slot);
    byJob.computeIfAbsent(image.job(), key -> new LinkedHashSet<>()).add(image);
  }

  /** The image is stored elsewhere by now, or nobody needs it. */
  public void release(ChunkId image) {
    Slot slot = slotByImage.remove(image);
    if (slot == null) {
      return;
    }
    liveBytes -= slot.remove(image);
    Set<ChunkId> images = byJob.get(image.job());
    images.remove(image);
    if (images.isEmpty()) {
      byJob.remove(image.job());
    }
  }

  /** The job has ended: none of its images is needed. */
  public void release(JobId job) {
    List.copyOf(byJob.getOrDefault(job, Set.of())).forEach(this::release);
  }

  /** A slot that was found in the store. */
  public void registerSlot(int number) {
    slots.computeIfAbsent(number, Slot::new);
  }

  /** An image that was found to be the newest of its chunk. */
  public void registerEntry(int number, LogSegment.Entry newest) {
    addImage(slots.computeIfAbsent(number, Slot::new), newest);
  }

  /** The slot holds what this build can't read, or may not touch: it is left as it is. */
  public void pin(int number) {
    slots.computeIfAbsent(number, Slot::new).pinned = true;
  }

  /** Nobody may rewrite the image: its slot is left as it is. */
  public void pinSlotOf(ChunkId image) {
    Optional.ofNullable(slotByImage.get(image)).ifPresent(slot -> slot.pinned = true);
  }

  /**
   * Live images of several slots that fit into one: rewritten together they free more slots than
   * they take.
   */
  public List<ChunkId> chunksToCompact() {
    int needed = liveBytes / Math.max(1, slotBytes) + 1;
    if (inUse() <= Math.max(MIN_SLOTS_TO_COMPACT, SLACK * needed) || isCrowded()) {
      return List.of();
    }
    List<ChunkId> images = new ArrayList<>();
    int bytes = 0;
    int emptied = 0;
    for (Slot slot : occupied(Comparator.comparingInt(slot -> slot.liveBytes))) {
      bytes += slot.liveBytes;
      if (bytes > slotBytes) {
        break;
      }
      images.addAll(slot.live.keySet());
      emptied++;
    }
    return emptied > 1 ? images : List.of();
  }

  /** Live images that should move to keys of their own: the log is too full to compact it. */
  public List<ChunkId> chunksToMigrate() {
    if (!isCrowded()) {
      return List.of();
    }
    List<Slot> oldestFirst = occupied(Comparator.comparingLong(slot -> slot.writtenAt));
    return oldestFirst.isEmpty() ? List.of() : List.copyOf(oldestFirst.get(0).live.keySet());
  }

  private boolean isCrowded() {
    return liveBytes > MAX_LIVE_SHARE * MAX_SLOTS * slotBytes;
  }

  private List<Slot> occupied(Comparator<Slot> order) {
    return slots.values().stream()
        .filter(slot -> !slot.pinned && !slot.live.isEmpty())
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

  /** All chunks whose newest image is in the log. */
  public List<ChunkId> liveChunks() {
    return List.copyOf(slotByImage.keySet());
  }

  /** Whether no image in the log is needed, and no write to it may still be carried out. */
  public boolean isUnused() {
    return inUse() == 0 && uncertainSlots.isEmpty();
  }

  /** Keys of the slots that are known. */
  public List<String> slotKeys() {
    return slots.keySet().stream().map(StoreKeys::logSegment).toList();
  }
}
