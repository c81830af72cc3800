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

/** The changed parts of one chunk of a job's progress, pending or being written to the store. */
final class ChunkUpdate {
  /** A chunk in its stored form, with its encoded length. */
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

  /** The name of the mutations that write it: the key of the whole chunk, for all of its parts. */
  String name() {
    return name(job, chunkNumber);
  }

  static String name(Job job, int chunkNumber) {
    return ChunkKey.format(job.spec().id(), Chunk.whole(chunkNumber));
  }

  /** Whether a task's start waits for the chunk to be stored. */
  boolean urgent() {
    return job.chunkLayout().urgent(chunkNumber);
  }

  /** Whether the job's progress is no longer written: the job is ending, ended or quarantined. */
  boolean obsolete() {
    boolean ending = job.state() == Job.State.ENDING || job.state() == Job.State.ENDED;
    return ending || unreadable.contains(job.spec().id());
  }

  /**
   * Returns all pending chunks in their stored form; empty if the update is obsolete.
   *
   * @param maxBytes maximum encoded length; a longer chunk is split first, if that is allowed
   * @param splitAllowed whether chunks may be split
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

  /** Records that these chunks, with the assignments in them, are being sent to the store. */
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

  /** The chunks that were sent last. */
  List<Chunk> sentChunks() {
    return sent;
  }

  /**
   * Records that the chunks sent last are stored. Only now may their assignments be published to
   * the owners of shards.
   */
  void onStored(Revision revision) {
    job.chunkLayout().onStored(sent);
    job.onStored(written, ended, revision);
    if (!written.isEmpty()) {
      job.markFirstAssigned(loop.wallMillis());
    }
    // Retractions first, so that a task assigned to the same shard again is published as new.
    ended.forEach(shards::retract);
    written.forEach(shards::publish);
  }

  /** Whether parts of the chunk wait to be written, or were sent and not confirmed. */
  boolean hasPendingChunks() {
    return !job.chunkLayout().pending(chunkNumber).isEmpty();
  }

  /** Parts of the chunk that are in the store but no longer read, because they were split. */
  List<Chunk> obsoleteChunks() {
    return job.chunkLayout().obsolete(chunkNumber);
  }
}
