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
 * How the progress of one job is cut into keys: which parts are written by now, which of them are
 * in the store, and which wait to be written. A part that was cut stays in the store until all that
 * it was cut into is there; until then it is read for what is not.
 */
public final class ChunkLayout {
  private final int tasks;
  private final NavigableMap<Integer, Chunk> live = new TreeMap<>();
  private final Set<Chunk> stored = new LinkedHashSet<>();
  private final Set<Chunk> dirty = new LinkedHashSet<>();
  private final Set<Chunk> markInFlight = new LinkedHashSet<>();
  private final Set<Integer> urgentChunks = new HashSet<>();

  ChunkLayout(int tasks) {
    this.tasks = tasks;
    for (int chunk = 0; chunk * Job.CHUNK < tasks; chunk++) {
      live.put(chunk * Job.CHUNK, Chunk.whole(chunk));
    }
  }

  /** The part that a task's progress is written to. */
  Chunk chunkOf(int index) {
    return live.floorEntry(index).getValue();
  }

  boolean exists(Chunk part) {
    return part.firstTask() < tasks;
  }

  /** Cuts a part in two. */
  void split(Chunk part) {
    live.remove(part.firstTask());
    for (int which = 0; which < 2; which++) {
      Chunk half = part.half(which);
      if (half.size() > 0 && exists(half)) {
        live.put(half.firstTask(), half);
        dirty.add(half);
      }
    }
    dirty.remove(part);
  }

  /** A part found in the store; the ones it was cut from, if they are there, were found before. */
  void onFound(Chunk part) {
    stored.add(part);
    for (Chunk whole = chunkOf(part.firstTask());
        !whole.equals(part) && whole.contains(part);
        whole = chunkOf(part.firstTask())) {
      split(whole);
    }
    dirty.clear();
  }

  /** A part's progress has changed; pressing if a task waits for it to be stored. */
  public void markDirty(Chunk part, boolean pressing) {
    dirty.add(part);
    if (pressing) {
      urgentChunks.add(part.number());
    }
  }

  /** Whether a task waits for the chunk's progress to be stored. */
  public boolean urgent(int chunk) {
    return urgentChunks.contains(chunk);
  }

  /** What was cut from a part that is still in the store, and is not there itself. */
  public List<Chunk> uncovered() {
    List<Chunk> found = new ArrayList<>();
    for (Chunk part : live.values()) {
      if (!stored.contains(part) && stored.stream().anyMatch(whole -> whole.contains(part))) {
        found.add(part);
      }
    }
    return found;
  }

  /** Parts of the chunk that are in the store and no longer read for anything. */
  public List<Chunk> obsolete(int chunk) {
    int from = chunk * Job.CHUNK;
    Collection<Chunk> parts = live.subMap(from, from + Job.CHUNK).values();
    List<Chunk> found = new ArrayList<>();
    if (parts.size() > 1) {
      for (Chunk whole : stored) {
        boolean cut = whole.number() == chunk && !parts.contains(whole);
        if (cut && parts.stream().filter(whole::contains).allMatch(stored::contains)) {
          found.add(whole);
        }
      }
    }
    return found;
  }

  /** What of the chunk waits to be written; what was sent before and not confirmed does again. */
  public List<Chunk> pending(int chunk) {
    dirty.addAll(take(markInFlight, chunk));
    dirty.removeIf(part -> !part.equals(live.get(part.firstTask())));
    return dirty.stream().filter(part -> part.number() == chunk).toList();
  }

  private static List<Chunk> take(Set<Chunk> from, int chunk) {
    List<Chunk> taken = from.stream().filter(part -> part.number() == chunk).toList();
    from.removeAll(taken);
    return taken;
  }

  /** The part is on its way to the store. */
  public void markInFlight(Chunk part) {
    dirty.remove(part);
    markInFlight.add(part);
  }

  public void stored(Collection<Chunk> parts) {
    markInFlight.removeAll(parts);
    stored.addAll(parts);
    for (Chunk part : parts) {
      if (pending(part.number()).isEmpty()) {
        urgentChunks.remove(part.number());
      }
    }
  }

  public void onDeleted(Chunk part) {
    stored.remove(part);
  }

  /** All that is in the store. */
  public Collection<Chunk> stored() {
    return stored;
  }

  public Collection<Chunk> live() {
    return live.values();
  }
}
