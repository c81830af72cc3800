package org.mulleinshift.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tracks how the progress of one job is split into chunks: the chunks that progress is written to,
 * those that are in the store and those that are yet to be written. A chunk that was split stays in
 * the store until all its parts are stored; until then it is the source for the missing parts.
 */
public final class ChunkLayout {
  private final int taskCount;

  /** The chunks that progress is written to, by the index of their first task. */
  private final NavigableMap<Integer, Chunk> live = new TreeMap<>();

  private final Set<Chunk> stored = new LinkedHashSet<>();
  private final Set<Chunk> dirty = new LinkedHashSet<>();
  private final Set<Chunk> inFlight = new LinkedHashSet<>();
  private final Set<Integer> urgentChunkNumbers = new HashSet<>();

  ChunkLayout(int taskCount) {
    this.taskCount = taskCount;
    for (int number = 0; number * Chunk.TASKS_PER_CHUNK < taskCount; number++) {
      live.put(number * Chunk.TASKS_PER_CHUNK, Chunk.whole(number));
    }
  }

  /** Returns the chunk that a task's progress is written to. */
  Chunk chunkOf(int index) {
    return live.floorEntry(index).getValue();
  }

  /** Whether the job has any of the chunk's tasks. */
  boolean hasTasksOf(Chunk chunk) {
    return chunk.firstTask() < taskCount;
  }

  /** Replaces a chunk by its halves, which are marked to be written. */
  void split(Chunk chunk) {
    live.remove(chunk.firstTask());
    for (int which = 0; which < 2; which++) {
      Chunk half = chunk.half(which);
      if (half.size() > 0 && hasTasksOf(half)) {
        live.put(half.firstTask(), half);
        dirty.add(half);
      }
    }
    dirty.remove(chunk);
  }

  /**
   * Records a chunk that was read from the store. Chunks are read in key order, so those that it
   * was split from, if they are stored, have been recorded before.
   */
  void onLoaded(Chunk chunk) {
    stored.add(chunk);
    for (Chunk ancestor = chunkOf(chunk.firstTask());
        !ancestor.equals(chunk) && ancestor.contains(chunk);
        ancestor = chunkOf(chunk.firstTask())) {
      split(ancestor);
    }
    dirty.clear();
  }

  /** Marks a chunk's progress as changed, with no task waiting for it to be stored. */
  public void markDirty(Chunk chunk) {
    dirty.add(chunk);
  }

  /** Marks a chunk's progress as changed, with a task waiting for it to be stored. */
  public void markDirtyUrgently(Chunk chunk) {
    markDirty(chunk);
    urgentChunkNumbers.add(chunk.number());
  }

  /**
   * Whether a task waits for progress of the chunk with that number, or a part of it, to be stored.
   */
  public boolean urgent(int number) {
    return urgentChunkNumbers.contains(number);
  }

  /** Returns the chunks that are not stored while a chunk that they were split from is. */
  public List<Chunk> unstoredParts() {
    List<Chunk> found = new ArrayList<>();
    for (Chunk chunk : live.values()) {
      if (!stored.contains(chunk)
          && stored.stream().anyMatch(ancestor -> ancestor.contains(chunk))) {
        found.add(chunk);
      }
    }
    return found;
  }

  /** Returns the stored chunks with that number that were split and whose parts are all stored. */
  public List<Chunk> obsolete(int number) {
    int from = number * Chunk.TASKS_PER_CHUNK;
    Collection<Chunk> chunks = live.subMap(from, from + Chunk.TASKS_PER_CHUNK).values();
    List<Chunk> found = new ArrayList<>();
    if (chunks.size() > 1) {
      for (Chunk candidate : stored) {
        boolean split = candidate.number() == number && !chunks.contains(candidate);
        if (split && chunks.stream().filter(candidate::contains).allMatch(stored::contains)) {
          found.add(candidate);
        }
      }
    }
    return found;
  }

  /**
   * Returns the chunks with that number that are to be written. Chunks that were sent to the store
   * without being confirmed as stored are included, and are no longer in flight.
   */
  public List<Chunk> pending(int number) {
    dirty.addAll(takeInFlight(number));
    dirty.removeIf(chunk -> !chunk.equals(live.get(chunk.firstTask())));
    return dirty.stream().filter(chunk -> chunk.number() == number).toList();
  }

  private List<Chunk> takeInFlight(int number) {
    List<Chunk> taken = inFlight.stream().filter(chunk -> chunk.number() == number).toList();
    inFlight.removeAll(taken);
    return taken;
  }

  /** Records that the chunk was sent to the store. */
  public void markInFlight(Chunk chunk) {
    dirty.remove(chunk);
    inFlight.add(chunk);
  }

  /** Records that the store has confirmed the chunks. */
  public void onStored(Collection<Chunk> chunks) {
    inFlight.removeAll(chunks);
    stored.addAll(chunks);
    for (Chunk chunk : chunks) {
      if (pending(chunk.number()).isEmpty()) {
        urgentChunkNumbers.remove(chunk.number());
      }
    }
  }

  /** Records that the chunk was deleted from the store. */
  public void onDeleted(Chunk chunk) {
    stored.remove(chunk);
  }

  /** Returns all chunks that are in the store, including split ones that are not yet deleted. */
  public Collection<Chunk> stored() {
    return stored;
  }

  /** Returns all chunks that progress is written to, ordered by task index. */
  public Collection<Chunk> live() {
    return live.values();
  }
}
