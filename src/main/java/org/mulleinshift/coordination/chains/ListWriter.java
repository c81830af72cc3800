package org.mulleinshift.coordination.chains;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.Consumer;
import org.mulleinshift.bookkeeping.Awaits;
import org.mulleinshift.bookkeeping.Keys;
import org.mulleinshift.bookkeeping.StateStore;
import org.mulleinshift.bookkeeping.StateStore.Outcome;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StateCodec.Guard;
import org.mulleinshift.protocol.StateCodec.Write;

/**
 * Stores what a job awaits in lists of their own, before its record names them. The keys hold a
 * digest of all the names, so that nothing of another attempt is mixed in, and every write demands
 * that the job is not accepted yet: one that is applied late changes nothing of an accepted job.
 */
public final class ListWriter {
  private final StateStore store;
  private final int valueBytes;
  private final int mostOps;

  public ListWriter(StateStore store, int valueBytes, int mostOps) {
    this.store = store;
    this.valueBytes = valueBytes;
    this.mostOps = mostOps;
  }

  /** Tells what the record is to hold, or a failure: then nothing was accepted. */
  public void write(
      JobId job, List<JobId> awaited, Consumer<Awaits> written, Consumer<Outcome> failed) {
    String names = awaited.toString();
    String digest = UUID.nameUUIDFromBytes(names.getBytes(StandardCharsets.UTF_8)).toString();
    List<List<JobId>> lists = Awaits.cut(awaited, valueBytes);
    List<Write> writes = new ArrayList<>();
    for (int i = 0; i < lists.size(); i++) {
      writes.add(Write.put(Keys.awaited(job, digest, i), Awaits.list(lists.get(i))));
    }
    Awaits record = new Awaits(List.of(), lists.size(), digest);
    next(job, writes, () -> written.accept(record), failed);
  }

  private void next(JobId job, List<Write> left, Runnable written, Consumer<Outcome> failed) {
    if (left.isEmpty()) {
      written.run();
      return;
    }
    List<Write> batch = left.subList(0, Math.min(mostOps, left.size()));
    store.commit(
        List.of(
            new Guard(Keys.active(job), new Revision(0)),
            new Guard(Keys.ended(job), new Revision(0))),
        batch,
        StateStore.Urgency.PROMPT,
        outcome -> {
          if (outcome instanceof Outcome.Committed) {
            next(job, left.subList(batch.size(), left.size()), written, failed);
          } else {
            failed.accept(outcome);
          }
        });
  }
}
