package org.mulleinshift.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.leader.Leader;
import org.mulleinshift.model.Chunk;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;

/** The parts of a chunk of a job's progress that have changed, on their way to the store. */
final class ChunkUpdate {
  /** What is to be stored of a part. */
  record Form(Chunk part, JsonNode progress, int bytes) {}

  private final Leader leader;
  private final EventLoop loop;
  private final Job job;
  private final int chunk;
  private List<Chunk> parts = List.of();
  private List<TaskAssignment> written = List.of();
  private List<TaskAssignment> ended = List.of();

  ChunkUpdate(Leader leader, EventLoop loop, Job job, int chunk) {
    this.leader = leader;
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
    return StoreKeys.progress(job.spec().id(), Chunk.chunk(chunk));
  }

  boolean pressing() {
    return job.parts().pressing(chunk);
  }

  /** Nothing of the job's progress is to be written any more. */
  boolean over() {
    boolean ends = job.state() == Job.State.ENDING || job.state() == Job.State.ENDED;
    return ends || leader.unreadable().has(job.spec().id());
  }

  /** Of each part that waits; one that is longer is cut first, if it may be. */
  List<Form> forms(int longest, boolean maySplit) {
    if (over()) {
      return List.of();
    }
    Map<Chunk, Form> forms = new LinkedHashMap<>();
    List<Chunk> waiting = job.parts().waiting(chunk);
    while (waiting.stream().anyMatch(part -> cut(part, forms, longest, maySplit))) {
      waiting = job.parts().waiting(chunk);
    }
    return waiting.stream().map(forms::get).toList();
  }

  private boolean cut(Chunk part, Map<Chunk, Form> forms, int longest, boolean maySplit) {
    if (forms.containsKey(part)) {
      return false;
    }
    JsonNode progress = job.progress(part);
    int bytes = StoreCodec.bytes(progress);
    if (maySplit && part.divisible() && bytes > longest) {
      job.split(part);
      return true;
    }
    forms.put(part, new Form(part, progress, bytes));
    return false;
  }

  /** These go to the store now. */
  void sent(List<Form> chosen) {
    parts = new ArrayList<>();
    for (Form form : chosen) {
      parts.add(form.part());
      job.parts().sent(form.part());
    }
    written = select(TaskAssignment.State.WRITING);
    ended = select(TaskAssignment.State.ENDED);
  }

  private List<TaskAssignment> select(TaskAssignment.State wanted) {
    return parts.stream()
        .flatMap(part -> job.assignments(part).stream())
        .filter(assignment -> assignment.state() == wanted)
        .toList();
  }

  /** What was sent last. */
  List<Chunk> sentParts() {
    return parts;
  }

  /** What was sent last is stored: owners may hear of it. */
  void stored(Revision revision) {
    job.parts().stored(parts);
    job.stored(written, ended, revision);
    if (!written.isEmpty()) {
      job.told(loop.wallMillis());
    }
    // Ends first: a task that comes back to the same shard is told as a new one.
    ended.forEach(leader::untell);
    written.forEach(leader::tell);
  }

  /** Whether more has changed since. */
  boolean waits() {
    return !job.parts().waiting(chunk).isEmpty();
  }

  /** Parts in the store that are no longer read for anything. */
  List<Chunk> outgrown() {
    return job.parts().outgrown(chunk);
  }
}
