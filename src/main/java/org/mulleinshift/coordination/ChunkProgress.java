package org.mulleinshift.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.bookkeeping.Delegation;
import org.mulleinshift.bookkeeping.Job;
import org.mulleinshift.bookkeeping.Keys;
import org.mulleinshift.bookkeeping.Part;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StateCodec;
import org.mulleinshift.transport.EventLoop;

/** The parts of a chunk of a job's progress that have changed, on their way to the store. */
final class ChunkProgress {
  /** What is to be stored of a part. */
  record Form(Part part, JsonNode progress, int bytes) {}

  private final Leader leader;
  private final EventLoop loop;
  private final Job job;
  private final int chunk;
  private List<Part> parts = List.of();
  private List<Delegation> written = List.of();
  private List<Delegation> ended = List.of();

  ChunkProgress(Leader leader, EventLoop loop, Job job, int chunk) {
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
    return Keys.progress(job.spec().id(), Part.chunk(chunk));
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
    Map<Part, Form> forms = new LinkedHashMap<>();
    List<Part> waiting = job.parts().waiting(chunk);
    while (waiting.stream().anyMatch(part -> cut(part, forms, longest, maySplit))) {
      waiting = job.parts().waiting(chunk);
    }
    return waiting.stream().map(forms::get).toList();
  }

  private boolean cut(Part part, Map<Part, Form> forms, int longest, boolean maySplit) {
    if (forms.containsKey(part)) {
      return false;
    }
    JsonNode progress = job.progress(part);
    int bytes = StateCodec.bytes(progress);
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
    written = select(Delegation.State.WRITING);
    ended = select(Delegation.State.ENDED);
  }

  private List<Delegation> select(Delegation.State wanted) {
    return parts.stream()
        .flatMap(part -> job.delegations(part).stream())
        .filter(delegation -> delegation.state() == wanted)
        .toList();
  }

  /** What was sent last. */
  List<Part> sentParts() {
    return parts;
  }

  /** What was sent last is stored: holders may hear of it. */
  void stored(Revision revision) {
    job.parts().stored(parts);
    job.stored(written, ended, revision);
    if (!written.isEmpty()) {
      job.told(loop.wallMillis());
    }
    // Ends first: a task that comes back to the same block is told as a new one.
    ended.forEach(leader::untell);
    written.forEach(leader::tell);
  }

  /** Whether more has changed since. */
  boolean waits() {
    return !job.parts().waiting(chunk).isEmpty();
  }

  /** Parts in the store that are no longer read for anything. */
  List<Part> outgrown() {
    return job.parts().outgrown(chunk);
  }
}
