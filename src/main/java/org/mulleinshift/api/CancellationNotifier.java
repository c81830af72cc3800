package org.mulleinshift.api;

import java.util.function.Consumer;
import org.mulleinshift.protocol.JobId;

/** Announces stored cancellations to every controller that could start tasks of the job. */
@FunctionalInterface
public interface CancellationNotifier {
  /**
   * Announces that the job's cancellation is stored. Repeated announcements of a job are allowed.
   *
   * @param result receives true once no controller will start a task of the job any more, or false
   *     if that could not be confirmed
   */
  void announce(JobId job, Consumer<Boolean> result);
}
