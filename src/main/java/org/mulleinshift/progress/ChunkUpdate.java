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

/** The parts of a chunk of a job's progress that have changed, on their way to the store. */
final class ChunkUpdate {
  /** What is to be stored of a part. */
  record EncodedChunk(Chunk chunk, JsonNode progress, int bytes) {}

  private final ShardTable shards;
  private final UnreadableJobs unreadable;
  private final EventLoop loop;
  private final Job job;
  private final int chunk;
  private List<Chunk> sent = List.of();
  private List<TaskAssignment> written = List.of();
  private List<TaskAssignment> ended = List.of();

  ChunkUpdate(ShardTable shards, UnreadableJobs unreadable, EventLoop loop, Job job, int chunk) {
    this.shards = shards;
    this.unreadable = unreadable;
    this.loop = loop;
    this.job = job;
    this.chunk = chunk;
  }

  Job job() {
    return job;
  }

  String name() {
    return name(job, chunk);
  }

  static String name(Job job, int chunk) {
    return ChunkKey.format(job.spec().id(), Chunk.whole(chunk));
  }

  boolean urgent() {
    return job.chunks().urgent(chunk);
  }

  /** Nothing of the job's progress is to be written any more. */
  boolean obsolete() {
    boolean ends = job.state() == Job.State.ENDING || job.state() == Job.State.ENDED;
    return ends || unreadable.contains(job.spec().id());
  }

  /** Of each part that waits; one that is longer is cut first, if it may be. */
  List<EncodedChunk> encode(int longest, boolean maySplit) {
    if (obsolete()) {
      return List.of();
    }
    Map<Chunk, EncodedChunk> forms = new LinkedHashMap<>();
    List<Chunk> waiting = job.chunks().pending(chunk);
    while (waiting.stream().anyMatch(part -> splitIfTooLong(part, forms, longest, maySplit))) {
      waiting = job.chunks().pending(chunk);
    }
    return waiting.stream().map(forms::get).toList();
  }

  private boolean splitIfTooLong(
      Chunk part, Map<Chunk, EncodedChunk> forms, int longest, boolean maySplit) {
    if (forms.containsKey(part)) {
      return false;
    }
    JsonNode progress = job.progress(part);
    int bytes = StoreCodec.bytes(progress);
    if (maySplit && part.canSplit() && bytes > longest) {
      job.split(part);
      return true;
    }
    forms.put(part, new EncodedChunk(part, progress, bytes));
    return false;
  }

  /** These go to the store now. */
  void markSent(List<EncodedChunk> chosen) {
    sent = new ArrayList<>();
    for (EncodedChunk form : chosen) {
      sent.add(form.chunk());
      job.chunks().markInFlight(form.chunk());
    }
    written = select(TaskAssignment.State.WRITING);
    ended = select(TaskAssignment.State.ENDED);
  }

  private List<TaskAssignment> select(TaskAssignment.State wanted) {
    return sent.stream()
        .flatMap(part -> job.assignments(part).stream())
        .filter(assignment -> assignment.state() == wanted)
        .toList();
  }

  /** What was sent last. */
  List<Chunk> sentChunks() {
    return sent;
  }

  /** What was sent last is stored: owners may hear of it. */
  void onStored(Revision revision) {
    job.chunks().stored(sent);
    job.stored(written, ended, revision);
    if (!written.isEmpty()) {
      job.markFirstAssigned(loop.wallMillis());
    }
    // Ends first: a task that comes back to the same shard is told as a new one.
    ended.forEach(shards::retract);
    written.forEach(shards::publish);
  }

  /** Whether more has changed since. */
  boolean hasPending() {
    return !job.chunks().pending(chunk).isEmpty();
  }

  /** Parts in the store that are no longer read for anything. */
  List<Chunk> obsoleteChunks() {
    return job.chunks().obsolete(chunk);
  }
}
