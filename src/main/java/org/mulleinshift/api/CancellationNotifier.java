package org.mulleinshift.api;

import java.util.function.Consumer;
import org.mulleinshift.protocol.JobId;

/** Makes a stored cancellation known to every controller that could start tasks of the job. */
@FunctionalInterface
public interface CancellationNotifier {
  /**
   * Announces that the job's cancellation is stored; it may have been announced before.
   *
   * @param result gets whether no controller will order the start of a task of the job any more
   */
  void announce(JobId job, Consumer<Boolean> result);
}
