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
 * How the progress of one job is split into chunks: which of them are written by now, which are in
 * the store, and which wait to be written. A chunk that was split stays in the store until all its
 * parts are there; until then it is read for those that are not.
 */
public final class ChunkLayout {
  private final int taskCount;

  /** The chunks that progress is written to, by first task. */
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

  /** The chunk that a task's progress is written to. */
  Chunk chunkOf(int index) {
    return live.floorEntry(index).getValue();
  }

  /** Whether the job has any task of the chunk. */
  boolean exists(Chunk chunk) {
    return chunk.firstTask() < taskCount;
  }

  /** Splits a chunk in two halves, which are written next. */
  void split(Chunk chunk) {
    live.remove(chunk.firstTask());
    for (int which = 0; which < 2; which++) {
      Chunk half = chunk.half(which);
      if (half.size() > 0 && exists(half)) {
        live.put(half.firstTask(), half);
        dirty.add(half);
      }
    }
    dirty.remove(chunk);
  }

  /** A chunk found in the store; those it was split from, if they are there, were found before. */
  void onLoaded(Chunk chunk) {
    stored.add(chunk);
    for (Chunk ancestor = chunkOf(chunk.firstTask());
        !ancestor.equals(chunk) && ancestor.contains(chunk);
        ancestor = chunkOf(chunk.firstTask())) {
      split(ancestor);
    }
    dirty.clear();
  }

  /** A chunk's progress has changed; nothing waits for it to be stored. */
  public void markDirty(Chunk chunk) {
    dirty.add(chunk);
  }

  /** A chunk's progress has changed, and a task waits for it to be stored. */
  public void markDirtyUrgently(Chunk chunk) {
    markDirty(chunk);
    urgentChunkNumbers.add(chunk.number());
  }

  /** Whether a task waits for progress of the whole chunk with that number to be stored. */
  public boolean urgent(int number) {
    return urgentChunkNumbers.contains(number);
  }

  /** Chunks that were split from one that is still in the store, and are not there themselves. */
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

  /** Chunks with that number that are in the store and no longer read. */
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

  /** Chunks with that number that wait to be written, or were sent before and not confirmed. */
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

  /** The chunk is on its way to the store. */
  public void markInFlight(Chunk chunk) {
    dirty.remove(chunk);
    inFlight.add(chunk);
  }

  /** The chunks are stored. */
  public void onStored(Collection<Chunk> chunks) {
    inFlight.removeAll(chunks);
    stored.addAll(chunks);
    for (Chunk chunk : chunks) {
      if (pending(chunk.number()).isEmpty()) {
        urgentChunkNumbers.remove(chunk.number());
      }
    }
  }

  /** The chunk is no longer in the store. */
  public void onDeleted(Chunk chunk) {
    stored.remove(chunk);
  }

  /** All chunks that are in the store. */
  public Collection<Chunk> stored() {
    return stored;
  }

  /** All chunks that progress is written to, in the order of tasks. */
  public Collection<Chunk> live() {
    return live.values();
  }
}
