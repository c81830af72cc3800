package org.mulleinshift.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.compatibility.UnreadableJobs;
import org.mulleinshift.model.Chunk;
import org.mulleinshift.model.ChunkKey;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.sharding.ShardTable;
import org.mulleinshift.transport.EventLoop;

/** The changed parts of one chunk of a job's progress, on their way to the store. */
final class ChunkUpdate {
  /** The stored form of a chunk, and its length. */
  record EncodedChunk(Chunk chunk, JsonNode progress, int bytes) {}

  private final ShardTable shards;
  private final UnreadableJobs unreadable;
  private final EventLoop loop;
  private final Job job;
  private final int chunkNumber;
  private List<Chunk> sent = List.of();
  private List<TaskAssignment> written = List.of();
  private List<TaskAssignment> ended = List.of();

  ChunkUpdate(
      ShardTable shards, UnreadableJobs unreadable, EventLoop loop, Job job, int chunkNumber) {
    this.shards = shards;
    this.unreadable = unreadable;
    this.loop = loop;
    this.job = job;
    this.chunkNumber = chunkNumber;
  }

  Job job() {
    return job;
  }

  /** The name of its mutations: one for all parts of a chunk. */
  String name() {
    return name(job, chunkNumber);
  }

  static String name(Job job, int chunkNumber) {
    return ChunkKey.format(job.spec().id(), Chunk.whole(chunkNumber));
  }

  /** Whether a task waits for the progress to be stored. */
  boolean urgent() {
    return job.chunkLayout().urgent(chunkNumber);
  }

  /** Whether nothing of the job's progress is to be written any more. */
  boolean obsolete() {
    boolean ending = job.state() == Job.State.ENDING || job.state() == Job.State.ENDED;
    return ending || unreadable.contains(job.spec().id());
  }

  /**
   * The stored forms of all pending chunks.
   *
   * @param maxBytes length from which on a chunk is split first
   * @param splitAllowed whether it may be split
   */
  List<EncodedChunk> encode(int maxBytes, boolean splitAllowed) {
    if (obsolete()) {
      return List.of();
    }
    int splitAbove = splitAllowed ? maxBytes : Integer.MAX_VALUE;
    Map<Chunk, EncodedChunk> encoded = new LinkedHashMap<>();
    List<Chunk> pending = job.chunkLayout().pending(chunkNumber);
    while (pending.stream().anyMatch(chunk -> splitIfTooLong(chunk, encoded, splitAbove))) {
      pending = job.chunkLayout().pending(chunkNumber);
    }
    return pending.stream().map(encoded::get).toList();
  }

  private boolean splitIfTooLong(Chunk chunk, Map<Chunk, EncodedChunk> encoded, int splitAbove) {
    if (encoded.containsKey(chunk)) {
      return false;
    }
    JsonNode progress = job.progressValue(chunk);
    int bytes = StoreCodec.encodedLength(progress);
    if (chunk.canSplit() && bytes > splitAbove) {
      job.split(chunk);
      return true;
    }
    encoded.put(chunk, new EncodedChunk(chunk, progress, bytes));
    return false;
  }

  /** These are sent to the store now. */
  void markSent(List<EncodedChunk> chosen) {
    sent = new ArrayList<>();
    for (EncodedChunk encoded : chosen) {
      sent.add(encoded.chunk());
      job.chunkLayout().markInFlight(encoded.chunk());
    }
    written = select(TaskAssignment.State.WRITING);
    ended = select(TaskAssignment.State.ENDED);
  }

  private List<TaskAssignment> select(TaskAssignment.State wanted) {
    return sent.stream()
        .flatMap(chunk -> job.assignments(chunk).stream())
        .filter(assignment -> assignment.state() == wanted)
        .toList();
  }

  /** What was sent last. */
  List<Chunk> sentChunks() {
    return sent;
  }

  /** What was sent last is stored: only now may it be published to owners. */
  void onStored(Revision revision) {
    job.chunkLayout().onStored(sent);
    job.onStored(written, ended, revision);
    if (!written.isEmpty()) {
      job.markFirstAssigned(loop.wallMillis());
    }
    // Ends first: a task that returns to the same shard is published as a new one.
    ended.forEach(shards::retract);
    written.forEach(shards::publish);
  }

  /** Whether more has changed since it was sent. */
  boolean hasPending() {
    return !job.chunkLayout().pending(chunkNumber).isEmpty();
  }

  /** Parts of the chunk in the store that are no longer read. */
  List<Chunk> obsoleteChunks() {
    return job.chunkLayout().obsolete(chunkNumber);
  }
}
